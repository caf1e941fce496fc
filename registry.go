package knapweedpulley

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNoListener means that the machine of a process is up, but that nothing
// listens on the port that the process keeps open until it ends.
var ErrNoListener = errors.New("nothing listens on the port of the process")

// EntryState is the state of a registered entry process.
type EntryState string

// States of registered entry processes.
const (
	EntryActive EntryState = "active"
	// EntryEvicted marks a process whose lease may still be valid for a short
	// time. Its object is removed once the lease has certainly expired.
	EntryEvicted EntryState = "evicted"
)

// RegisteredEntry is the object of an entry process in the store.
type RegisteredEntry struct {
	Member
	State    EntryState
	Revision Revision
}

// EntryView is the collection of registered entry processes as of a revision. A
// run of a process that the view does not list either registered later or has
// certainly ended.
type EntryView struct {
	Revision Revision
	// Entries is ordered by id. It is shared and must not be changed.
	Entries []RegisteredEntry
}

// ConfigurationView is the configuration that an entry process knows, and its age.
type ConfigurationView interface {
	// Age returns how long ago the content was last confirmed to be that of the
	// store, measured from the sending of the request that confirmed it. It grows
	// while no confirmation arrives.
	Age() time.Duration
	// Entries returns the registered entry processes.
	Entries() EntryView
	// Digest identifies the content.
	Digest() Fingerprint
}

// Registry is a membership that also lists the entry processes that may still hold
// parts of contracts.
type Registry interface {
	Membership
	// View returns the registered entry processes.
	View() EntryView
}

// Heartbeat is sent from one entry process to another, and returned as the answer.
type Heartbeat struct {
	From MemberID
	// View is the revision of the sender's view.
	View Revision
	// Age is the age of the sender's configuration.
	Age time.Duration
	// InForce is set once the sender's registration is known to enough others.
	InForce bool
	// Evicted lists the processes that the sender knows to be evicted.
	Evicted []MemberID
	// Silent lists the members that have not answered the sender for long.
	Silent []MemberID
	// Digest identifies the sender's configuration.
	Digest Fingerprint
}

// HeartbeatLink sends heartbeats to other members.
type HeartbeatLink interface {
	// Heartbeat sends h to a member and returns its answer. The error is
	// ErrNoListener if the process has certainly ended.
	Heartbeat(ctx context.Context, to Member, h Heartbeat) (Heartbeat, error)
}

// HeartbeatService answers the heartbeats of other members.
type HeartbeatService interface {
	// HandleHeartbeat returns the answer to h.
	HandleHeartbeat(h Heartbeat) Heartbeat
}
