// Package objects simulates the platform's object API in memory: versioned values,
// conditional writes and watches. A write succeeds only if its expected revision is the
// object's current one. A watch returns the changes after a given revision, or an error if
// these changes have been compacted.
//
// # Usage
//
// In a test, the store is used directly or over HTTP:
//
//	store := objects.NewStore(objects.DefaultHistory)
//	revision, err := store.Put(ctx, knapweedpulley.KindPermits, "m1", value, 0)
//	server := httptest.NewServer(objects.NewHandler(store, fault.NewInjector()))
package objects

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

// DefaultHistory bounds the changes per kind that a store keeps for watches.
const DefaultHistory = 10_000

// collection holds the objects of one kind.
type collection struct {
	objects map[string]knapweedpulley.Object
	changes []knapweedpulley.Change
	// compactedRevision is the revision up to which changes have been discarded.
	compactedRevision knapweedpulley.Revision
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// Store is an in-memory object store. It implements
// knapweedpulley.ObjectStore.
type Store struct {
	mu          sync.Mutex
	history     int
	revision    knapweedpulley.Revision
	collections map[knapweedpulley.Kind]*collection
	counter     callCounter
}

// NewStore returns an empty store that keeps at most history changes per kind.
func NewStore(history int) *Store {
	return &Store{history: history, collections: make(map[knapweedpulley.Kind]*collection), counter: newCallCounter()}
}

// collection returns the collection of a kind and creates it if necessary. The caller holds
// the lock.
func (s *Store) collection(kind knapweedpulley.Kind) *collection {
	c, ok := s.collections[kind]
	if !ok {
		c = &collection{objects: make(map[string]knapweedpulley.Object), changed: make(chan struct{})}
		s.collections[kind] = c
	}
	return c
}

// Get implements knapweedpulley.ObjectStore.
func (s *Store) Get(_ context.Context, kind knapweedpulley.Kind, name string) (knapweedpulley.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counter.add(kind, CallGet)
	o, ok := s.collection(kind).objects[name]
	if !ok {
		return knapweedpulley.Object{}, knapweedpulley.ErrObjectNotFound
	}
	return o, nil
}

// List implements knapweedpulley.ObjectStore.
func (s *Store) List(_ context.Context, kind knapweedpulley.Kind) (knapweedpulley.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counter.add(kind, CallList)
	c := s.collection(kind)
	listing := knapweedpulley.Listing{Objects: make([]knapweedpulley.Object, 0, len(c.objects)), Revision: s.revision}
	for _, o := range c.objects {
		listing.Objects = append(listing.Objects, o)
	}
	slices.SortFunc(listing.Objects, func(a, b knapweedpulley.Object) int { return cmp.Compare(a.Name, b.Name) })
	return listing, nil
}

// Put implements knapweedpulley.ObjectStore.
func (s *Store) Put(
	_ context.Context, kind knapweedpulley.Kind, name string, value []byte, expected knapweedpulley.Revision,
) (knapweedpulley.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counter.add(kind, CallPut)
	c := s.collection(kind)
	if c.objects[name].Revision != expected {
		return c.objects[name].Revision, knapweedpulley.ErrConflict
	}
	s.revision++
	o := knapweedpulley.Object{Kind: kind, Name: name, Revision: s.revision, Value: slices.Clone(value)}
	c.objects[name] = o
	c.recordChange(knapweedpulley.Change{Object: o}, s.history)
	return s.revision, nil
}

// Delete implements knapweedpulley.ObjectStore.
func (s *Store) Delete(
	_ context.Context, kind knapweedpulley.Kind, name string, expected knapweedpulley.Revision,
) (knapweedpulley.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counter.add(kind, CallDelete)
	c := s.collection(kind)
	object, ok := c.objects[name]
	if !ok {
		return 0, knapweedpulley.ErrObjectNotFound
	}
	if object.Revision != expected {
		return object.Revision, knapweedpulley.ErrConflict
	}
	s.revision++
	delete(c.objects, name)
	tombstone := knapweedpulley.Object{Kind: kind, Name: name, Revision: s.revision}
	c.recordChange(knapweedpulley.Change{Object: tombstone, Deleted: true}, s.history)
	return s.revision, nil
}

// Watch implements knapweedpulley.ObjectStore.
func (s *Store) Watch(
	ctx context.Context, kind knapweedpulley.Kind, after knapweedpulley.Revision, wait time.Duration,
) ([]knapweedpulley.Change, knapweedpulley.Revision, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.mu.Lock()
	s.counter.add(kind, CallWatch)
	s.mu.Unlock()
	for {
		changes, revision, changed, err := s.changesAfter(kind, after)
		if err != nil || len(changes) > 0 {
			return changes, revision, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, after, ctx.Err()
		}
	}
}

// changesAfter returns the changes of a kind after a revision, the store's revision, and a
// channel that is closed at the next change of the kind.
func (s *Store) changesAfter(
	kind knapweedpulley.Kind, after knapweedpulley.Revision,
) ([]knapweedpulley.Change, knapweedpulley.Revision, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.collection(kind)
	if after < c.compactedRevision {
		return nil, s.revision, nil, knapweedpulley.ErrCompacted
	}
	first, _ := slices.BinarySearchFunc(c.changes, after+1, func(h knapweedpulley.Change, r knapweedpulley.Revision) int {
		return cmp.Compare(h.Revision, r)
	})
	return slices.Clone(c.changes[first:]), s.revision, c.changed, nil
}

// Compact discards all recorded changes of a kind, as a store does with old history.
func (s *Store) Compact(kind knapweedpulley.Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.collection(kind)
	c.changes = nil
	c.compactedRevision = s.revision
}

// Counts returns the number of calls so far, by kind and operation.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counter.counts()
}

// recordChange appends a change and wakes the watches. If there are more than history
// changes, it discards the oldest so that half of history remains.
func (c *collection) recordChange(change knapweedpulley.Change, history int) {
	c.changes = append(c.changes, change)
	if len(c.changes) > history {
		drop := len(c.changes) - history/2
		c.compactedRevision = c.changes[drop-1].Revision
		c.changes = slices.Clone(c.changes[drop:])
	}
	close(c.changed)
	c.changed = make(chan struct{})
}
