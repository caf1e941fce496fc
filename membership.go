package knapweedpulley

// Member is an entry process that takes part in the division of work.
type Member struct {
	Entry       EntryID
	Incarnation Incarnation
	Machine     MachineID
	Zone        ZoneID
	// Address is the host and port at which other entries reach it.
	Address string
}

// ID returns the id of the member's run.
func (m Member) ID() MemberID {
	return MemberID{Entry: m.Entry, Incarnation: m.Incarnation}
}

// Lease is the right of an entry process to act on its view of the system. It
// expires when the process has been isolated or paused for too long.
type Lease interface {
	// Valid reports whether the lease is valid at this moment.
	Valid() bool
}

// Group is a process's view of the processes of its kind.
type Group interface {
	// Self returns the process's own membership.
	Self() Member
	// Members returns all members, itself included, ordered by id. The slice is
	// shared and must not be changed.
	Members() []Member
}

// Membership is an entry's view of the entry processes.
type Membership interface {
	Lease
	Group
	// Owner returns the member that is responsible for the named subject. It is
	// the same on all entries that have the same members.
	Owner(subject string) Member
}
