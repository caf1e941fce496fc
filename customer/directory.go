package customer

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

// Directory holds the customers. Readers load the current snapshot without a lock. Writers replace
// it with a new snapshot, which shares the unchanged parts with the previous one.
type Directory struct {
	current atomic.Pointer[Snapshot]
	// mu serializes the writers.
	mu sync.Mutex
	// revisions holds the latest revision of each record, including removed records, so that a
	// change that arrives late can't replace a newer one.
	revisions map[string]knapweedpulley.Revision
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	d := &Directory{revisions: make(map[string]knapweedpulley.Revision)}
	d.current.Store(newSnapshot())
	return d
}

// Current returns the current snapshot of the customers.
func (d *Directory) Current() *Snapshot {
	return d.current.Load()
}

// Changed returns a channel that is closed when the directory changes. To miss no change, call it
// before Current, or use Superseded of the snapshot.
func (d *Directory) Changed() <-chan struct{} {
	return d.Current().Superseded()
}

// Apply applies changes of the customers' records. Changes may arrive in any order and repeatedly:
// a change is ignored unless its revision is newer than the last one applied. An invalid record is
// skipped and the customer keeps its previous configuration. The error lists all invalid records.
func (d *Directory) Apply(changes ...knapweedpulley.Change) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	previous := d.Current()
	builder := newSnapshotBuilder(previous)
	var faults error
	for _, c := range changes {
		if c.Revision <= d.revisions[c.Name] {
			continue
		}
		if err := builder.applyChange(c); err != nil {
			faults = errors.CombineErrors(faults, errors.Wrapf(err, "customer %s at revision %s", c.Name, c.Revision))
			continue
		}
		d.revisions[c.Name] = c.Revision
	}
	if builder.changed {
		d.current.Store(builder.build())
		close(previous.superseded)
	}
	return faults
}

// snapshotBuilder derives a new snapshot from an earlier one.
type snapshotBuilder struct {
	next *Snapshot
	// copied marks the shards of credentials that the new snapshot no longer shares.
	copied  [credentialShards]bool
	changed bool
}

func newSnapshotBuilder(base *Snapshot) *snapshotBuilder {
	snapshot := &Snapshot{customers: maps.Clone(base.customers), credentials: base.credentials, superseded: make(chan struct{})}
	return &snapshotBuilder{next: snapshot}
}

func (b *snapshotBuilder) applyChange(c knapweedpulley.Change) error {
	id := knapweedpulley.CustomerID(c.Name)
	if c.Deleted {
		b.replaceCustomer(id, nil)
		return nil
	}
	record, err := ParseRecord(c.Value)
	if err != nil {
		return err
	}
	customer, err := NewCustomer(record)
	if err != nil {
		return err
	}
	if customer.ID != id {
		return errors.Newf("customer: %q must be %q", customer.ID, id)
	}
	b.replaceCustomer(id, customer)
	return nil
}

func (b *snapshotBuilder) replaceCustomer(id knapweedpulley.CustomerID, c *Customer) {
	b.changed = true
	if previous, ok := b.next.customers[id]; ok {
		for _, h := range previous.keys {
			b.removeCredential(h, previous)
		}
		delete(b.next.customers, id)
	}
	if c == nil {
		return
	}
	b.next.customers[id] = c
	for k, h := range c.keys {
		shard := b.mutableShard(h)
		shard[h] = &credential{customer: c, key: k, next: shard[h]}
	}
}

func (b *snapshotBuilder) removeCredential(h Hash, owner *Customer) {
	shard := b.mutableShard(h)
	var remaining *credential
	for c := shard[h]; c != nil; c = c.next {
		if c.customer != owner {
			remaining = &credential{customer: c.customer, key: c.key, next: remaining}
		}
	}
	if remaining == nil {
		delete(shard, h)
		return
	}
	shard[h] = remaining
}

// mutableShard returns the map for a hash. It copies the map first if the new snapshot still shares
// it with the earlier one.
func (b *snapshotBuilder) mutableShard(h Hash) map[Hash]*credential {
	i := h[0]
	if !b.copied[i] {
		b.copied[i] = true
		shard := maps.Clone(b.next.credentials[i])
		if shard == nil {
			shard = make(map[Hash]*credential)
		}
		b.next.credentials[i] = shard
	}
	return b.next.credentials[i]
}

func (b *snapshotBuilder) build() *Snapshot {
	b.next.buildIndexes()
	return b.next
}
