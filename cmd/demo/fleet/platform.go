package fleet

import (
	"context"
	"fmt"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/settings"
	"github.com/knapweedpulley/knapweedpulley/standin/machines"
)

// weightBandwidth, in bytes per second, makes loads fast enough for a demo: loading
// a checkpoint of 16 GiB takes half a second.
const weightBandwidth = 32 * knapweedpulley.GiB

// objectStoreSettings are the settings of the stand-in for the object store.
type objectStoreSettings struct {
	History int `json:"history"`
}

// machineListSettings are the settings of the stand-in for the list of VMs.
type machineListSettings struct {
	Lag      settings.Duration  `json:"lag"`
	Machines []machines.Machine `json:"machines"`
}

// weightStoreSettings are the settings of the stand-in for the weight store.
type weightStoreSettings struct {
	Bandwidth knapweedpulley.Bytes `json:"bandwidth"`
}

// objectStoreHistory is the number of changes of each kind that the object store
// keeps.
const objectStoreHistory = 10_000

// startPlatform starts the stand-ins for the platform's services and waits until
// they answer.
func (f *Fleet) startPlatform(ctx context.Context) error {
	addresses, err := f.ports.addresses(3)
	if err != nil {
		return err
	}
	f.platform = platform{objects: addresses[0], machines: addresses[1], weights: addresses[2]}
	services := []struct {
		name     string
		address  string
		settings any
	}{
		{"objectStore", f.platform.objects, objectStoreSettings{History: objectStoreHistory}},
		{"machineList", f.platform.machines, machineListSettings{Machines: f.machines()}},
		{"weightStore", f.platform.weights, weightStoreSettings{Bandwidth: weightBandwidth}},
	}
	for _, s := range services {
		if err := f.processes.start(s.name, "standin", s.settings, s.name, "--listen", s.address); err != nil {
			return err
		}
	}
	return waitForAll(ctx, []string{
		fmt.Sprintf("http://%s/counts", f.platform.objects),
		fmt.Sprintf("http://%s/machines", f.platform.machines),
		fmt.Sprintf("http://%s/counts", f.platform.weights),
	})
}

// machines lists the VMs of the fleet: one for each entry and each endpoint.
func (f *Fleet) machines() []machines.Machine {
	list := make([]machines.Machine, 0, len(f.Entries)+len(f.Endpoints))
	for _, e := range f.Entries {
		list = append(list, machines.Machine{
			ID: machineOfEntry(e.ID), Zone: e.Zone, Region: f.Deployment.Region,
			Role: knapweedpulley.RoleEntry, Address: e.Link,
		})
	}
	for _, e := range f.Endpoints {
		list = append(list, machines.Machine{
			ID: machineOfEndpoint(e.ID), Zone: e.Zone, Region: f.Deployment.Region,
			Role: knapweedpulley.RoleAgent, Address: e.Agent,
		})
	}
	return list
}

func machineOfEntry(id knapweedpulley.EntryID) knapweedpulley.MachineID {
	return knapweedpulley.MachineID("vm-" + id)
}

func machineOfEndpoint(id knapweedpulley.EndpointID) knapweedpulley.MachineID {
	return knapweedpulley.MachineID("vm-" + id)
}
