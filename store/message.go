package store

import (
	"encoding/json"

	"github.com/knapweedpulley/knapweedpulley"
)

// object is the JSON form of one object in an answer of the store.
type object struct {
	Kind     knapweedpulley.Kind     `json:"kind"`
	Name     string                  `json:"name"`
	Revision knapweedpulley.Revision `json:"revision"`
	Value    json.RawMessage         `json:"value"`
}

func (o object) object() knapweedpulley.Object {
	return knapweedpulley.Object{Kind: o.Kind, Name: o.Name, Revision: o.Revision, Value: o.Value}
}

// writeAnswer is the answer to a write.
type writeAnswer struct {
	Revision knapweedpulley.Revision `json:"revision"`
}

// machine is a VM in the platform's list.
type machine struct {
	ID      knapweedpulley.MachineID   `json:"id"`
	Zone    knapweedpulley.ZoneID      `json:"zone"`
	Region  knapweedpulley.RegionID    `json:"region"`
	Leaving bool                       `json:"leaving"`
	Role    knapweedpulley.MachineRole `json:"role"`
	Address string                     `json:"address"`
}

// machineList is the platform's list of VMs.
type machineList struct {
	Machines []machine `json:"machines"`
	Sequence uint64    `json:"sequence"`
}

func (l machineList) listing() knapweedpulley.MachineListing {
	result := knapweedpulley.MachineListing{Sequence: l.Sequence}
	for _, m := range l.Machines {
		result.Machines = append(result.Machines, knapweedpulley.Machine(m))
	}
	return result
}
