package fleet

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/customer"
)

// startTimeout bounds the time until all processes of a deployment answer.
const startTimeout = 60 * time.Second

// Options selects the deployment to start and where its files are.
type Options struct {
	// Binaries is the folder of the programs standin, agent and entry.
	Binaries   string
	Deployment Deployment
	// Entries is the number of entry processes.
	Entries int
	// MemoryMB is the memory of the machines of entries and agents, in millions of bytes. Zero stands for
	// that of this machine.
	MemoryMB int64
	// Folder is the parent of the folder for settings and logs. If it is empty, Start
	// uses a temporary folder and the clean-up removes it.
	Folder string
}

// Customer is a customer of a running fleet, with the API key that was issued to
// it.
type Customer struct {
	ID       knapweedpulley.CustomerID
	Key      string
	Template customer.Template
}

// Endpoint is an engine or a plain service with its agent.
type Endpoint struct {
	ID    knapweedpulley.EndpointID
	Zone  knapweedpulley.ZoneID
	Plain bool
	// Back is the address of the engine or plain service. Agent is the address of
	// its agent.
	Back  string
	Agent string
}

// Entry is an entry process with the addresses on which it listens for callers
// (Listen), for operators (Admin) and for the other entries (Link).
type Entry struct {
	ID     knapweedpulley.EntryID
	Zone   knapweedpulley.ZoneID
	Listen string
	Admin  string
	Link   string
}

// platform holds the addresses of the stand-ins for the platform's services.
type platform struct {
	objects  string
	machines string
	weights  string
}

// Fleet is a running deployment.
type Fleet struct {
	Deployment  Deployment
	Entries     []Entry
	Endpoints   []Endpoint
	Customers   []Customer
	OperatorKey string

	platform  platform
	ports     *ports
	processes *processes
	folder    string
	memoryMB  int64
}

// Start starts a deployment and returns once all its processes answer. It fails if
// a process can't be started, exits, or doesn't answer within 60 s. The clean-up
// stops all processes.
func Start(ctx context.Context, o Options) (*Fleet, knapweedpulley.Cleanup, error) {
	folder := filepath.Join(o.Folder, o.Deployment.Name)
	if o.Folder == "" {
		var err error
		if folder, err = os.MkdirTemp("", "knapweedpulley-"); err != nil {
			return nil, nil, errors.Wrap(err, "create temporary folder")
		}
	}
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	f := &Fleet{
		Deployment:  o.Deployment,
		OperatorKey: customer.NewSecret(),
		ports:       newPorts(),
		processes:   newProcesses(o.Binaries, folder, cancel),
		folder:      folder,
		memoryMB:    o.MemoryMB,
	}
	cleanup := func() {
		f.processes.stop()
		if o.Folder == "" {
			_ = os.RemoveAll(folder)
		}
	}
	if err := f.start(starting, o); err != nil {
		err = f.withProcessLog(err)
		cleanup()
		return nil, nil, err
	}
	return f, cleanup, nil
}

func (f *Fleet) start(ctx context.Context, o Options) error {
	if err := os.MkdirAll(f.folder, privateFolderMode); err != nil {
		return errors.Wrap(err, "create folder for settings and logs")
	}
	if err := f.assignAddresses(o); err != nil {
		return err
	}
	if err := f.startPlatform(ctx); err != nil {
		return err
	}
	if err := f.configure(ctx); err != nil {
		return err
	}
	if err := f.startEndpoints(ctx); err != nil {
		return err
	}
	return f.startEntries(ctx)
}

// assignAddresses chooses the ID, zone and addresses of each entry and endpoint.
func (f *Fleet) assignAddresses(o Options) error {
	for i := range o.Entries {
		addresses, err := f.ports.addresses(3)
		if err != nil {
			return err
		}
		f.Entries = append(f.Entries, Entry{
			ID:     knapweedpulley.EntryID(fmt.Sprintf("entry-%d", i+1)),
			Zone:   f.Deployment.zone(i),
			Listen: addresses[0],
			Admin:  addresses[1],
			Link:   addresses[2],
		})
	}
	for i := range f.Deployment.Engines + f.Deployment.Services {
		addresses, err := f.ports.addresses(2)
		if err != nil {
			return err
		}
		plain := i >= f.Deployment.Engines
		name := fmt.Sprintf("engine-%d", i+1)
		if plain {
			name = fmt.Sprintf("service-%d", i-f.Deployment.Engines+1)
		}
		f.Endpoints = append(f.Endpoints, Endpoint{
			ID:    knapweedpulley.EndpointID(name),
			Zone:  f.Deployment.zone(i),
			Plain: plain,
			Back:  addresses[0],
			Agent: addresses[1],
		})
	}
	return nil
}

// withProcessLog adds the name of the process that exited, and the end of its
// log, to err. It returns err as it is if all processes are running.
func (f *Fleet) withProcessLog(err error) error {
	name, ok := f.processes.firstExited()
	if !ok {
		return err
	}
	data, readErr := os.ReadFile(f.processes.logFile(name))
	if readErr != nil {
		return errors.Wrapf(err, "%s exited", name)
	}
	const maxLogBytes = 2000
	return errors.Wrapf(err, "%s exited; end of its log: %s", name, data[max(0, len(data)-maxLogBytes):])
}
