package fleet

import (
	"context"
	"os"

	"github.com/cockroachdb/errors"
)

// Platform holds the addresses of the stand-ins for the platform's services.
type Platform struct {
	Objects  string
	Machines string
	Weights  string
}

// Platform returns the addresses of the stand-ins for the platform's services.
func (f *Fleet) Platform() Platform {
	return Platform{Objects: f.platform.objects, Machines: f.platform.machines, Weights: f.platform.weights}
}

// Folder returns the folder that holds the settings and logs of all processes.
func (f *Fleet) Folder() string {
	return f.folder
}

// AgentOf returns the process name of an endpoint's agent. The process names of
// entries, engines and plain services are their IDs.
func AgentOf(e Endpoint) string {
	return "agent-" + string(e.ID)
}

// Signal sends a signal to the process with the given name. It fails if there is no
// such process or it has exited.
func (f *Fleet) Signal(name string, s os.Signal) error {
	r, err := f.processes.find(name)
	if err != nil {
		return err
	}
	return errors.Wrapf(r.command.Process.Signal(s), "signal %s", name)
}

// Wait waits until the process with the given name has exited. It fails if there is
// no such process or if ctx ends first.
func (f *Fleet) Wait(ctx context.Context, name string) error {
	r, err := f.processes.find(name)
	if err != nil {
		return err
	}
	select {
	case <-r.exited:
		return nil
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "%s is still running", name)
	}
}

// Restart starts a process again that has exited, with the same settings file and
// arguments. It fails if there is no such process or the start fails.
func (f *Fleet) Restart(name string) error {
	r, err := f.processes.find(name)
	if err != nil {
		return err
	}
	return f.processes.run(name, r.binary, r.arguments)
}

// PID returns the process id of the process with the given name. It fails if there is
// no such process.
func (f *Fleet) PID(name string) (int, error) {
	r, err := f.processes.find(name)
	if err != nil {
		return 0, err
	}
	return r.command.Process.Pid, nil
}
