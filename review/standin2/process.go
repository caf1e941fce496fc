package main

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
)

// process is a program of the project that the case has started.
type process struct {
	command *exec.Cmd
	done    chan struct{}
}

// startProcess starts a program of the deploy file with a settings file in directory, from the root of the
// repository.
func startProcess(root, directory, name string, settings any, command ...string) (*process, error) {
	path := filepath.Join(directory, name+".json")
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return nil, err
	}
	output, err := os.OpenFile(filepath.Join(directory, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer output.Close()
	c := exec.Command(filepath.Join(root, command[0]), command[1:]...)
	c.Dir, c.Stdout, c.Stderr = root, output, output
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "KNAPWEEDPULLEY_CONFIG=" + path}
	// The processes end with the case, whatever ends it.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return nil, err
	}
	p := &process{command: c, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		_ = c.Wait()
	}()
	return p, nil
}

func (p *process) signal(s syscall.Signal) {
	_ = p.command.Process.Signal(s)
}

// kill ends the process and waits for that.
func (p *process) kill() {
	if p != nil {
		p.signal(syscall.SIGKILL)
		<-p.done
	}
}
