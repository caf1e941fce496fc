package configuration

import (
	"cmp"
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/customer"
)

// Collection describes a collection of the store that the entry processes replicate.
type Collection struct {
	Kind knapweedpulley.Kind
	// Apply applies changes. They come in the order of their revisions, each of them once. Calls
	// never overlap.
	Apply func([]knapweedpulley.Change)
	// Trim returns the part of a stored value that the processes keep. The result must depend on
	// the value alone. Nil keeps the whole value.
	Trim func(value []byte) []byte
	// WatchWait is how long the store holds a watch request without changes. Zero stands for
	// 500 ms. A longer wait puts off how soon a source that has lost the store is noticed by this
	// collection alone.
	WatchWait time.Duration
	// LoneWatchWait is the same while all processes of the zone watch the store. Zero stands for
	// WatchWait.
	LoneWatchWait time.Duration
	// WatchInterval is the minimum time between two watch requests, except after a removal. It bounds
	// the calls to the store for a collection that changes all the time.
	WatchInterval time.Duration
}

// Options holds the settings and dependencies of a configuration.
type Options struct {
	// Self is the entry process itself.
	Self    knapweedpulley.Member
	Clock   knapweedpulley.Clock
	Objects knapweedpulley.ObjectStore
	// Peers lists entry processes that may be reachable in addition to the registered ones, so that
	// a process can start while the store is unavailable. It may be nil.
	Peers knapweedpulley.PeerList
	Link  knapweedpulley.ConfigurationLink
	// Collections lists the replicated collections. All processes must list the same ones.
	Collections []Collection
	// MaxTurn bounds the time for which a process waits, after its content has become stale, until
	// it watches the store itself, and the pause after a failed call to the store. Both grow with
	// the rank of the process otherwise. Zero means no bound.
	MaxTurn time.Duration
	// Directory holds the versions of the customers that are in force. It is nil in processes
	// that don't replicate the customers.
	Directory *customer.Directory
	Log       log.Interface
}

// Configuration is the content of the store that is in force at an entry process. It implements
// knapweedpulley.ConfigurationSource and knapweedpulley.ConfigurationView.
type Configuration struct {
	self      knapweedpulley.Member
	clock     knapweedpulley.Clock
	objects   knapweedpulley.ObjectStore
	seeds     knapweedpulley.PeerList
	link      knapweedpulley.ConfigurationLink
	log       log.Interface
	directory *customer.Directory
	maxTurn   time.Duration
	tables    []*Table
	startedAt knapweedpulley.Instant
	// ended is closed when the clean-up begins. It ends the feeds of subscribers.
	ended <-chan struct{}
	// lone is set while all processes of the zone watch the store, so that none depends on the
	// evidence of this one.
	lone atomic.Bool
	// failingCollections counts the collections for which the last call to the store has failed.
	failingCollections atomic.Int32
	// storeEvidence holds the evidence by collection that came directly from the store, put off
	// by staleTolerance.
	storeEvidence map[knapweedpulley.Kind]*atomic.Int64
	// peerEvidence is the newest evidence that came from a peer.
	peerEvidence atomic.Int64
	// lastPeerUpdate is the instant of the last update from a peer.
	lastPeerUpdate atomic.Int64
	// changed is broadcast when the content changes.
	changed *signal
	// refreshed is broadcast when the evidence advances.
	refreshed      *signal
	decodedEntries atomic.Pointer[decodedEntries]
	// digestMismatches counts the contents whose digest differed at the same revision.
	digestMismatches atomic.Int64
	// watching is set while the entry process watches the store.
	watching atomic.Bool
	ready    chan struct{}
	once     sync.Once
}

// New returns a configuration and starts to replicate the collections from the store and the peers.
// The clean-up stops that and waits until it has ended; it also ends the feeds of subscribers.
func New(o Options) (*Configuration, knapweedpulley.Cleanup) {
	c := &Configuration{
		self: o.Self, clock: o.Clock, objects: o.Objects, seeds: o.Peers, link: o.Link, log: o.Log,
		directory:     o.Directory,
		maxTurn:       cmp.Or(o.MaxTurn, time.Duration(math.MaxInt64)),
		startedAt:     o.Clock.Now(),
		storeEvidence: make(map[knapweedpulley.Kind]*atomic.Int64),
		changed:       newSignal(),
		refreshed:     newSignal(),
		ready:         make(chan struct{}),
	}
	for _, one := range o.Collections {
		c.tables = append(c.tables, newTable(one))
		c.storeEvidence[one.Kind] = new(atomic.Int64)
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.ended = ctx.Done()
	var group sync.WaitGroup
	group.Go(func() { newSourceManager(c).run(ctx) })
	group.Go(func() { c.signalWhenReady(ctx) })
	return c, func() {
		cancel()
		group.Wait()
	}
}

// View returns the content of a replicated collection. It panics if the collection is not
// replicated.
func (c *Configuration) View(kind knapweedpulley.Kind) *View {
	return c.table(kind).View()
}

// Evidence returns how complete the content of a replicated collection is. It panics if the
// collection is not replicated.
func (c *Configuration) Evidence(kind knapweedpulley.Kind) Evidence {
	return c.table(kind).Evidence()
}

// Fresh reports whether the evidence of a replicated collection is recent. It panics if the collection
// is not replicated.
func (c *Configuration) Fresh(kind knapweedpulley.Kind) bool {
	return c.freshTable(c.table(kind))
}

// Changed returns a channel that is closed at the next change of any content. Callers must get the
// channel before they read the content, or they may miss a change.
func (c *Configuration) Changed() <-chan struct{} {
	return c.changed.wait()
}

// Ready returns a channel that is closed once the content is usable: either it is fresh, or the
// store is unreachable and the content is the newest of all peers that answered.
func (c *Configuration) Ready() <-chan struct{} {
	return c.ready
}

// Age implements knapweedpulley.ConfigurationView: it returns an upper bound for how long ago the store
// may have accepted a write that is missing from the content.
func (c *Configuration) Age() time.Duration {
	oldest := knapweedpulley.Instant(0)
	for i, t := range c.tables {
		if e := t.Evidence().CompleteAsOf; i == 0 || e < oldest {
			oldest = e
		}
	}
	if oldest == 0 {
		return unknownAge
	}
	return max(0, c.clock.Now().Sub(oldest))
}

// Digest implements knapweedpulley.ConfigurationView.
func (c *Configuration) Digest() knapweedpulley.Fingerprint {
	var d knapweedpulley.Fingerprint
	for _, t := range c.tables {
		d ^= t.View().Digest
	}
	return d
}

// DigestMismatches returns how many times the digest of a content differed from that of the store
// or of a peer at the same revision.
func (c *Configuration) DigestMismatches() int64 {
	return c.digestMismatches.Load()
}

// Watching reports whether this entry process watches the store.
func (c *Configuration) Watching() bool {
	return c.watching.Load()
}

// Await implements knapweedpulley.ConfigurationSource.
func (c *Configuration) Await(
	ctx context.Context, kind knapweedpulley.Kind, revision knapweedpulley.Revision,
) (knapweedpulley.ConfigurationReport, error) {
	t := c.table(kind)
	if t == nil {
		return knapweedpulley.ConfigurationReport{}, knapweedpulley.ErrObjectNotFound
	}
	for {
		v := t.View()
		if v.Revision >= revision {
			return c.report(), nil
		}
		select {
		case <-v.Changed():
		case <-ctx.Done():
			return c.report(), ctx.Err()
		}
	}
}

func (c *Configuration) report() knapweedpulley.ConfigurationReport {
	r := knapweedpulley.ConfigurationReport{
		Entry: c.self.Entry, Incarnation: c.self.Incarnation, Age: c.Age(),
	}
	for _, t := range c.tables {
		if s, ok := t.State(); ok {
			r.States = append(r.States, s)
		}
	}
	if c.directory == nil {
		return r
	}
	for _, one := range c.directory.Current().Customers() {
		r.Customers = append(r.Customers, knapweedpulley.CustomerVersion{Customer: one.ID, Version: one.Version})
	}
	return r
}

func (c *Configuration) table(kind knapweedpulley.Kind) *Table {
	for _, t := range c.tables {
		if t.kind == kind {
			return t
		}
	}
	return nil
}

func (c *Configuration) loaded() bool {
	for _, t := range c.tables {
		if !t.View().Loaded {
			return false
		}
	}
	return true
}

// fresh reports whether the evidence of all collections is fresh.
func (c *Configuration) fresh() bool {
	for _, t := range c.tables {
		if !c.freshTable(t) {
			return false
		}
	}
	return true
}

func (c *Configuration) freshTable(t *Table) bool {
	e := t.Evidence().CompleteAsOf
	return e != 0 && c.clock.Now().Sub(e) <= staleAfter+staleTolerance(c.watchWait(t))
}

// watchWait returns how long the store holds a watch of a collection without changes.
func (c *Configuration) watchWait(t *Table) time.Duration {
	if c.lone.Load() {
		return t.loneWatchWait
	}
	return t.watchWait
}

// sourceInputs returns a snapshot of the state that the choice of a source depends on.
func (c *Configuration) sourceInputs() sourceInputs {
	inputs := sourceInputs{
		now: c.clock.Now(), startedAt: c.startedAt, position: positionOf(c.self, c.peers()),
		maxTurn: c.maxTurn, storeFailing: c.failingCollections.Load() > 0,
		peerEvidence:   knapweedpulley.Instant(c.peerEvidence.Load()),
		lastPeerUpdate: knapweedpulley.Instant(c.lastPeerUpdate.Load()),
	}
	for i, t := range c.tables {
		if e := knapweedpulley.Instant(c.storeEvidence[t.kind].Load()); i == 0 || e < inputs.storeEvidence {
			inputs.storeEvidence = e
		}
	}
	return inputs
}
