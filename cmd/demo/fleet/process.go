package fleet

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// stopTimeout bounds the time from SIGTERM until processes that are still running
	// are killed.
	stopTimeout = 15 * time.Second
	// privateFileMode and privateFolderMode give access to the owner only.
	privateFileMode   = 0o600
	privateFolderMode = 0o700
)

// process is a started program, with what is needed to start it again.
type process struct {
	name   string
	binary string
	// arguments are the arguments of the command line, including the settings file.
	arguments []string
	command   *exec.Cmd
	exited    chan struct{}
}

// processes starts programs, each with its own settings file, and stops them all
// together.
type processes struct {
	binaries string
	folder   string
	// onExit is called each time a process exits.
	onExit func()

	mu      sync.Mutex
	started []*process
}

func newProcesses(binaries, folder string, onExit func()) *processes {
	return &processes{binaries: binaries, folder: folder, onExit: onExit}
}

// start writes a settings file and runs a program with it, after the other
// arguments. The program's standard error goes to a log file in the same folder.
func (p *processes) start(name, binary string, programSettings any, arguments ...string) error {
	path := filepath.Join(p.folder, name+".json")
	data, err := json.MarshalIndent(programSettings, "", "  ")
	if err != nil {
		return errors.Wrapf(err, "encode settings of %s", name)
	}
	if err := os.WriteFile(path, data, privateFileMode); err != nil {
		return errors.Wrapf(err, "write settings of %s", name)
	}
	return p.run(name, binary, append(arguments, "--settings", path))
}

// run runs a program whose settings file exists already.
func (p *processes) run(name, binary string, arguments []string) error {
	file, err := os.OpenFile(p.logFile(name), os.O_CREATE|os.O_WRONLY|os.O_APPEND, privateFileMode)
	if err != nil {
		return errors.Wrapf(err, "open log of %s", name)
	}
	defer func() { _ = file.Close() }()
	command := exec.Command(filepath.Join(p.binaries, binary), arguments...) //nolint:gosec // The caller names the binaries.
	command.Stderr = file
	// The kernel kills the process when the demo exits, even if the demo is killed.
	// In its own process group, the process gets no interrupts from the demo's
	// terminal.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return errors.Wrapf(err, "start %s", name)
	}
	r := &process{name: name, binary: binary, arguments: arguments, command: command, exited: make(chan struct{})}
	go func() {
		_ = command.Wait()
		close(r.exited)
		p.onExit()
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.started = append(p.started, r)
	return nil
}

// find returns the most recently started process with the given name. It fails if
// there is none.
func (p *processes) find(name string) (*process, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.started) - 1; i >= 0; i-- {
		if p.started[i].name == name {
			return p.started[i], nil
		}
	}
	return nil, errors.Newf("no process is named %q", name)
}

func (p *processes) logFile(name string) string {
	return filepath.Join(p.folder, name+".log")
}

// firstExited returns the name of the earliest started process that has exited, and
// false if all are running.
func (p *processes) firstExited() (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.started {
		select {
		case <-r.exited:
			return r.name, true
		default:
		}
	}
	return "", false
}

// stop sends SIGTERM to all processes, the last started first, and kills those that
// are still running after stopTimeout. It returns when all have exited.
func (p *processes) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.started) - 1; i >= 0; i-- {
		_ = p.started[i].command.Process.Signal(syscall.SIGTERM)
	}
	timer := time.NewTimer(stopTimeout)
	defer timer.Stop()
	for _, r := range p.started {
		select {
		case <-r.exited:
			continue
		case <-timer.C:
			timer.Reset(0)
		}
		_ = r.command.Process.Kill()
		<-r.exited
	}
}
