package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Process is a gateway or keeper that the soak starts, signals and restarts.
type Process struct {
	name         string
	program      string
	settingsPath string
	logPath      string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// disturbedAt is when the process was last signaled or started.
	disturbedAt time.Time
	// unavailable is set while the soak keeps the process stopped or paused.
	unavailable bool
	// endExpected is set once the soak has ended the current run of the process.
	endExpected bool
	// memory bounds the bytes that the process may take, peak is the most that earlier runs took.
	memory, peak int64
	// ownEnds counts the runs that ended by themselves.
	ownEnds int
}

// bytesPerMB is the size of a megabyte, the unit of the settings.
const bytesPerMB = 1_000_000

// NewProcess writes the settings file of a process and returns the process, which has
// not started. Directory is for its settings and log.
func NewProcess(directory, program, name string, memoryMB int64, settings any) (*Process, error) {
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, errors.Wrap(err, "encode settings")
	}
	path := filepath.Join(directory, name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	return &Process{
		name: name, program: program, settingsPath: path, logPath: filepath.Join(directory, name+".log"),
		memory: memoryMB * bytesPerMB,
	}, nil
}

// Start starts the process. Its output is appended to its log file.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open the log")
	}
	c := exec.Command(p.program, "--settings", p.settingsPath) //nolint:gosec // The soak built it.
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return errors.CombineErrors(errors.Wrapf(err, "start %s", p.name), log.Close())
	}
	ended := make(chan struct{})
	go func() {
		// The exit status is ignored: the soak kills processes.
		_ = c.Wait()
		_ = log.Close()
		p.mu.Lock()
		if !p.endExpected {
			p.ownEnds++
		}
		p.mu.Unlock()
		close(ended)
	}()
	p.command, p.ended, p.disturbedAt, p.unavailable, p.endExpected = c, ended, time.Now(), false, false
	return nil
}

// Signal sends a signal to the running process. A paused process counts as unavailable until it is
// resumed, a stopped or killed one until it is started again. SIGHUP does not disturb a process.
func (p *Process) Signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s != syscall.SIGHUP {
		p.peak = max(p.peak, p.readPeak())
		p.endExpected = p.endExpected || s == syscall.SIGTERM || s == syscall.SIGKILL
		p.unavailable = p.endExpected || s == syscall.SIGSTOP
		p.disturbedAt = time.Now()
	}
	err := p.command.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// OwnEnds returns how many runs of the process ended by themselves.
func (p *Process) OwnEnds() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ownEnds
}

// PeakMemory returns the most bytes that the process has taken, as far as that was read.
func (p *Process) PeakMemory() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peak = max(p.peak, p.readPeak())
	return p.peak
}

// readPeak returns the most bytes that the current run has taken, or zero if it has ended.
func (p *Process) readPeak() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	var kilobytes int64
	if _, after, found := bytes.Cut(data, []byte("VmHWM:")); found {
		_, _ = fmt.Sscan(string(after), &kilobytes)
	}
	return kilobytes << 10
}

// Ended returns a channel that is closed when the current run of the process has ended.
func (p *Process) Ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// UndisturbedFor returns the time since the process was last signaled or started. It is
// zero while the process is unavailable.
func (p *Process) UndisturbedFor() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unavailable {
		return 0
	}
	return time.Since(p.disturbedAt)
}

// Kill kills the process and waits until it has ended.
func (p *Process) Kill() {
	p.mu.Lock()
	c, ended := p.command, p.ended
	p.endExpected = true
	p.mu.Unlock()
	if c == nil {
		return
	}
	// The process may have ended already.
	_ = c.Process.Kill()
	<-ended
}

// PID returns the process id of the current run.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command.Process.Pid
}
