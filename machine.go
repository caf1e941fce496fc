package knapweedpulley

import "context"

// Machine is a VM as the platform lists it.
type Machine struct {
	ID      MachineID
	Zone    ZoneID
	Region  RegionID
	Leaving bool
	Role    MachineRole
	// Address is the host and port of the system's process on the VM.
	Address string
}

// MachineRole says which process of the system runs on a VM.
type MachineRole string

// Roles of machines.
const (
	RoleEntry MachineRole = "entry"
	RoleAgent MachineRole = "agent"
)

// MachineListing is the platform's list of VMs as of a sequence number. It lags
// both ways: a VM may be missing though it runs, or listed though it is gone.
type MachineListing struct {
	Machines []Machine
	Sequence uint64
}

// MachineList is the platform's list of live and leaving VMs.
type MachineList interface {
	// Machines returns the current list.
	Machines(ctx context.Context) (MachineListing, error)
}
