package knapweedpulley

import (
	"context"
	"time"
)

// ConfigurationState is the state of one collection as a process knows it.
type ConfigurationState struct {
	Kind Kind
	// Revision is the revision up to which the content is complete.
	Revision Revision
	// Digest identifies the content.
	Digest Fingerprint
}

// ConfigurationPing is sent by a subscriber at every heartbeat.
type ConfigurationPing struct {
	// Sent is the time of sending, on the subscriber's clock.
	Sent Instant
	// Seen counts the updates of the subscription that were applied.
	Seen uint64
	// Have lists the collections that the subscriber has. A collection that is not
	// in the list is sent to it in full.
	Have []ConfigurationState
}

// ConfigurationChange is a change as it is sent to a subscriber.
type ConfigurationChange struct {
	Change
	// Base is zero if Value is the complete new value. Otherwise the new value
	// consists of the first Prefix bytes of the value at revision Base, Value, and
	// the last Suffix bytes of the value at revision Base.
	Base   Revision
	Prefix int
	Suffix int
	// Sum is the hash of the complete new value if Value is only a part of it.
	Sum Fingerprint
}

// ConfigurationPart is the part of an update that concerns one collection.
type ConfigurationPart struct {
	Kind Kind
	// From is the revision that the changes apply to.
	From Revision
	// Full is set if the changes are the whole collection.
	Full    bool
	Changes []ConfigurationChange
	// More is set if further changes of the part follow in the next update.
	More bool
	// Revision is the revision up to which the content is complete after the part.
	Revision Revision
	Digest   Fingerprint
	// CompleteAsOf is an instant on the sender's clock. The content contains all writes
	// that the store accepted before it.
	CompleteAsOf Instant
	// ContinuousSince is the instant on the sender's clock since which the store has
	// answered without an outage.
	ContinuousSince Instant
}

// ConfigurationUpdate carries changes, and confirms up to which instant the
// content is complete. One is sent at least at every heartbeat.
type ConfigurationUpdate struct {
	// Echo is the Sent field of the last ping that arrived.
	Echo Instant
	// EchoAt is when that ping arrived, on the sender's clock.
	EchoAt Instant
	Parts  []ConfigurationPart
}

// ConfigurationStream is the subscriber's end of a subscription.
type ConfigurationStream interface {
	// Send sends a ping.
	Send(p ConfigurationPing) error
	// Receive waits for the next update.
	Receive() (ConfigurationUpdate, error)
}

// ConfigurationSubscriber is the source's end of a subscription.
type ConfigurationSubscriber interface {
	// Send sends an update.
	Send(u ConfigurationUpdate) error
	// Receive waits for the next ping.
	Receive() (ConfigurationPing, error)
}

// CustomerVersion is the version of a customer that is in force.
type CustomerVersion struct {
	Customer CustomerID
	Version  Version
}

// ConfigurationReport is the configuration that is in force at an entry process.
type ConfigurationReport struct {
	Entry       EntryID
	Incarnation Incarnation
	// Age is the upper bound of the content's age.
	Age       time.Duration
	States    []ConfigurationState
	Customers []CustomerVersion
}

// ConfigurationLink gives access to the configuration of other entry processes.
type ConfigurationLink interface {
	// Subscribe opens a subscription that ends with ctx.
	Subscribe(ctx context.Context, to Member) (ConfigurationStream, error)
	// Await waits until a collection is complete at a member up to a revision,
	// and returns the configuration in force there.
	Await(ctx context.Context, to Member, kind Kind, revision Revision) (ConfigurationReport, error)
}

// ConfigurationSource is the configuration that an entry process offers to the
// others.
type ConfigurationSource interface {
	// Feed serves a subscriber until its end of the subscription closes.
	Feed(ctx context.Context, s ConfigurationSubscriber) error
	// Await waits until a collection is complete up to a revision, and returns
	// the configuration in force.
	Await(ctx context.Context, kind Kind, revision Revision) (ConfigurationReport, error)
}

// PeerList lists the entry processes that may be reachable.
type PeerList interface {
	// Peers returns the known entry processes, in any order.
	Peers() []Member
}
