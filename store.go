package knapweedpulley

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind names a collection of objects in the platform's store.
type Kind string

// Collections of the system in the platform's store.
const (
	// KindCustomers holds one object per customer: its template, parameters,
	// key hashes and history.
	KindCustomers Kind = "customers"
	// KindPermits holds one object per model: the endpoints that may hold it.
	KindPermits Kind = "permits"
	// KindEntries holds one object per entry process that may act.
	KindEntries Kind = "entries"
	// KindClaims holds batches of claims for requests that are not idempotent.
	KindClaims Kind = "claims"
	// KindCheckpoints describes the checkpoints in the weight store.
	KindCheckpoints Kind = "checkpoints"
	// KindInstallation holds the configuration of an installation whose
	// operator writes it as a whole, as the object MainInstallation.
	KindInstallation Kind = "installation"
	// KindEndpoints holds one object per endpoint that registers itself.
	KindEndpoints Kind = "endpoints"
	// KindEvacuations holds one object per availability zone to which the operator
	// wants no requests sent. The object is named as the zone.
	KindEvacuations Kind = "evacuations"
)

// MainInstallation is the name of the object that holds the configuration.
const MainInstallation = "main"

// Object is one object of the platform's store.
type Object struct {
	Kind     Kind
	Name     string
	Revision Revision
	Value    []byte
}

// Change is a change of an object that a watch reports.
type Change struct {
	Object
	// Deleted is set if the object was removed at Revision.
	Deleted bool
}

// Listing is the content of a collection as of a revision.
type Listing struct {
	Objects  []Object
	Revision Revision
}

// Causes of failed store calls.
var (
	// ErrConflict means that the object is not at the expected revision. The
	// write took no effect.
	ErrConflict = errors.New("object is not at the expected revision")
	// ErrObjectNotFound means that the object does not exist.
	ErrObjectNotFound = errors.New("object not found")
	// ErrOutcomeUnknown means that a write may or may not have taken effect, or
	// may still do so.
	ErrOutcomeUnknown = errors.New("outcome of the write is unknown")
	// ErrConnectionLost means that a read was sent over an established connection that
	// delivered no whole answer. It doesn't say whether the store is available.
	ErrConnectionLost = errors.New("the connection delivered no answer")
	// ErrCompacted means that a watch asked for changes the store no longer has, or that
	// the store has begun another epoch.
	ErrCompacted = errors.New("changes since the revision are no longer kept")
)

// ObjectStore is the platform's object API. Every write is conditional.
type ObjectStore interface {
	// Get returns an object, or ErrObjectNotFound.
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// List returns all objects of a kind as of one revision.
	List(ctx context.Context, kind Kind) (Listing, error)
	// Put writes value if the object is at revision expected, zero for a new
	// object, and returns the revision of the write.
	Put(ctx context.Context, kind Kind, name string, value []byte, expected Revision) (Revision, error)
	// Delete removes the object if it is at revision expected, and returns the
	// revision of the removal.
	Delete(ctx context.Context, kind Kind, name string, expected Revision) (Revision, error)
	// Watch waits for changes of a kind after a revision, at most for wait, and
	// returns them in order, with the revision up to which they are complete.
	Watch(ctx context.Context, kind Kind, after Revision, wait time.Duration) ([]Change, Revision, error)
}

// StoreCall is one HTTP call to a store.
type StoreCall struct {
	Method string
	// Target is the path, escaped, with the query.
	Target string
	Header []HeaderField
	Body   []byte
}

// StoreCodec encodes the calls to a store and decodes its answers. It makes no
// decisions. Its revisions are those that the store counts, without an epoch.
type StoreCodec interface {
	// EpochHeader returns the name of the header field in which the store states its
	// epoch, or an empty name if it states none.
	EpochHeader() string
	// Get encodes a read of an object.
	Get(kind Kind, name string) StoreCall
	// List encodes a read of the objects of a collection whose names sort after
	// afterName.
	List(kind Kind, afterName string) StoreCall
	// Watch encodes a wait for changes after a revision.
	Watch(kind Kind, after Revision, wait time.Duration) StoreCall
	// Put encodes a write that takes effect only at the expected revision.
	Put(kind Kind, name string, value []byte, expected Revision) StoreCall
	// Delete encodes a removal that takes effect only at the expected revision.
	Delete(kind Kind, name string, expected Revision) StoreCall
	// Object decodes the answer to a Get.
	Object(kind Kind, body []byte) (Object, error)
	// Listing decodes the answer to a List. Next is the name after which the
	// collection continues, and absent if the listing is complete.
	Listing(kind Kind, body []byte) (listing Listing, next Option[string], err error)
	// Changes decodes the answer to a Watch.
	Changes(kind Kind, body []byte) ([]Change, Revision, error)
	// Written decodes the revision from the answer to a write.
	Written(body []byte) (Revision, error)
}
