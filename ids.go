package knapweedpulley

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

type (
	// CustomerID names a customer, as its template does.
	CustomerID string
	// KeyID names a customer's key without revealing its secret.
	KeyID string
	// OperatorID names an operator who changes the configuration.
	OperatorID string
	// ModelID names a base model.
	ModelID string
	// AdapterID names an adapter that is loaded on top of a base model.
	AdapterID string
	// RouteID names a route to a plain service.
	RouteID string
	// RegionID names a region, a group of zones.
	RegionID string
	// ZoneID names an availability zone.
	ZoneID string
	// MachineID names a VM.
	MachineID string
	// EndpointID names an endpoint: an engine or a plain service with the
	// agent beside it.
	EndpointID string
	// EntryID names an entry process.
	EntryID string
	// RequestID names one request of a caller across all its attempts.
	RequestID string
	// IdempotencyKey is the id that a caller gives to a request.
	IdempotencyKey string
)

// Incarnation distinguishes the runs of a process that keeps its id. A later run
// on the same machine has a higher incarnation.
type Incarnation uint64

// StoreEpoch counts how often the store has come back from an older copy of its content. It
// then has lost writes that it had acknowledged, and assigns their revisions again.
type StoreEpoch uint16

// Revision is the version of an object in the platform's store. Revisions increase
// across all objects of the store; zero stands for an object that does not exist. The
// upper bits hold the epoch, so that a revision of a later epoch is always higher.
type Revision uint64

// epochShift is the number of bits of a revision's number within its epoch.
const epochShift = 48

// InEpoch returns the revision with the given number in an epoch, and false if the number
// is out of range.
func (r Revision) InEpoch(e StoreEpoch) (Revision, bool) {
	return Revision(e)<<epochShift | r.Number(), r == r.Number()
}

// Epoch returns the epoch of the revision.
func (r Revision) Epoch() StoreEpoch {
	return StoreEpoch(r >> epochShift)
}

// Number returns the revision as the store counts it within the epoch.
func (r Revision) Number() Revision {
	return r & (1<<epochShift - 1)
}

// String returns the decimal form of the revision. That of a later epoch begins with it.
func (r Revision) String() string {
	number := strconv.FormatUint(uint64(r.Number()), 10)
	if r.Epoch() == 0 {
		return number
	}
	return strconv.FormatUint(uint64(r.Epoch()), 10) + ":" + number
}

// FencingToken puts the orders to an engine in sequence. An engine that checks
// tokens refuses an order whose token is lower than one it has seen.
type FencingToken uint64

// Fingerprint identifies the content of a request, so that every entry process
// recognizes a repeat of it.
type Fingerprint uint64

// OfCustomer returns the fingerprint of the same content from a customer, or the fingerprint itself if
// the customer is unknown.
func (f Fingerprint) OfCustomer(c Option[CustomerID]) Fingerprint {
	customer, known := c.Get()
	if !known {
		return f
	}
	d := xxhash.NewWithSeed(uint64(f))
	// Writes to the hash never fail.
	_, _ = d.WriteString(string(customer))
	return Fingerprint(d.Sum64())
}

// PartFingerprint identifies a part of a prompt by its id.
type PartFingerprint uint64

// NewPartFingerprint returns the fingerprint of the prompt part with an id.
func NewPartFingerprint(id string) PartFingerprint {
	return PartFingerprint(xxhash.Sum64String(id))
}

// String returns the hexadecimal form of the fingerprint.
func (p PartFingerprint) String() string {
	return strconv.FormatUint(uint64(p), 16)
}
