package soak

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

// Process is a gateway or keeper that the soak started.
type Process struct {
	name     string
	program  string
	settings string
	logPath  string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// disturbed is when it was last signaled or started.
	disturbed time.Time
	// down is set while the soak keeps it down or paused.
	down bool
}

// NewProcess writes the settings of a process that has not started.
func NewProcess(directory, program, name string, settings any) (*Process, error) {
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, errors.Wrap(err, "encode settings")
	}
	path := filepath.Join(directory, name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	return &Process{
		name: name, program: program, settings: path, logPath: filepath.Join(directory, name+".log"),
	}, nil
}

// Start starts a run of the process.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open the log")
	}
	c := exec.Command(p.program, "--settings", p.settings) //nolint:gosec // The soak built it.
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return errors.CombineErrors(errors.Wrapf(err, "start %s", p.name), log.Close())
	}
	ended := make(chan struct{})
	go func() {
		// The status of a process that was killed is of no interest.
		_ = c.Wait()
		_ = log.Close()
		close(ended)
	}()
	p.command, p.ended, p.disturbed, p.down = c, ended, time.Now(), false
	return nil
}

// Signal signals the run that the soak started.
func (p *Process) Signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disturbed = time.Now()
	switch s {
	case syscall.SIGCONT:
		p.down = false
	default:
		p.down = true
	}
	err := p.command.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// Ended returns a channel that is closed when the run has ended.
func (p *Process) Ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// Calm returns for how long the process has run undisturbed.
func (p *Process) Calm() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return 0
	}
	return time.Since(p.disturbed)
}

// Kill ends the run for good.
func (p *Process) Kill() {
	p.mu.Lock()
	c, ended := p.command, p.ended
	p.mu.Unlock()
	if c == nil {
		return
	}
	// It may have ended already.
	_ = c.Process.Kill()
	<-ended
}
