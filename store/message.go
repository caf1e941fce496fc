package store

import (
	"encoding/json"

	"github.com/knapweedpulley/knapweedpulley"
)

// object is the JSON form of an object, or of a change of one, in an answer of the
// store.
type object struct {
	Kind     knapweedpulley.Kind     `json:"kind"`
	Name     string                  `json:"name"`
	Revision knapweedpulley.Revision `json:"revision"`
	Value    json.RawMessage         `json:"value"`
	Deleted  bool                    `json:"deleted"`
}

func (o object) object() knapweedpulley.Object {
	return knapweedpulley.Object{Kind: o.Kind, Name: o.Name, Revision: o.Revision, Value: o.Value}
}

// listing is the answer to a request for all objects of a collection.
type listing struct {
	Objects  []object                `json:"objects"`
	Revision knapweedpulley.Revision `json:"revision"`
}

func (l listing) listing() knapweedpulley.Listing {
	result := knapweedpulley.Listing{Revision: l.Revision, Objects: make([]knapweedpulley.Object, 0, len(l.Objects))}
	for _, o := range l.Objects {
		result.Objects = append(result.Objects, o.object())
	}
	return result
}

// changeList is the answer to a watch.
type changeList struct {
	Changes  []object                `json:"changes"`
	Revision knapweedpulley.Revision `json:"revision"`
}

func (l changeList) changes() []knapweedpulley.Change {
	result := make([]knapweedpulley.Change, 0, len(l.Changes))
	for _, o := range l.Changes {
		result = append(result, knapweedpulley.Change{Object: o.object(), Deleted: o.Deleted})
	}
	return result
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
