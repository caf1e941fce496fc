package fake

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

// ErrDown is the error of calls during an outage.
var ErrDown = errors.New("the store is down")

// Call names a kind of call to the store.
type Call string

// Kinds of calls.
const (
	CallGet    Call = "get"
	CallList   Call = "list"
	CallPut    Call = "put"
	CallDelete Call = "delete"
	CallWatch  Call = "watch"
)

// Store is an object store in memory.
type Store struct {
	mu       sync.Mutex
	objects  map[objectKey]knapweedpulley.Object
	changes  []knapweedpulley.Change
	revision knapweedpulley.Revision
	// compacted is the revision up to which changes have been discarded.
	compacted knapweedpulley.Revision
	// changed is closed and replaced at each change of the content, and when an
	// outage starts or ends.
	changed       chan struct{}
	calls         map[Call]int
	down          bool
	latency       time.Duration
	lostAnswers   int
	delayedWrites int
	writeDelay    time.Duration
}

type objectKey struct {
	kind knapweedpulley.Kind
	name string
}

// New returns an empty store without faults.
func New() *Store {
	return &Store{
		objects: make(map[objectKey]knapweedpulley.Object),
		changed: make(chan struct{}),
		calls:   make(map[Call]int),
	}
}

// SetDown starts or ends an outage. During an outage, calls fail at once with
// ErrDown.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.broadcast()
}

// SetLatency makes each call take d longer.
func (s *Store) SetLatency(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = d
}

// LoseAnswers makes the next n writes take effect and then fail.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostAnswers = n
}

// DelayWrites makes the next n writes fail and take effect d later, if the object is
// at the expected revision then.
func (s *Store) DelayWrites(n int, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delayedWrites, s.writeDelay = n, d
}

// Compact discards the history of changes. Watches from earlier revisions fail with
// ErrCompacted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes, s.compacted = nil, s.revision
}

// Copy is a copy of a store's content.
type Copy struct {
	objects  map[objectKey]knapweedpulley.Object
	revision knapweedpulley.Revision
}

// Copy returns a copy of the content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{objects: maps.Clone(s.objects), revision: s.revision}
}

// Restore replaces the content with a copy and begins another epoch. Writes since the copy are lost.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	epoch := s.revision.Epoch() + 1
	s.revision, _ = c.revision.Number().InEpoch(epoch)
	s.objects = make(map[objectKey]knapweedpulley.Object, len(c.objects))
	for key, o := range c.objects {
		o.Revision, _ = o.Revision.Number().InEpoch(epoch)
		s.objects[key] = o
	}
	s.changes, s.compacted = nil, s.revision
	s.broadcast()
}

// Calls returns how often calls of kind c were made.
func (s *Store) Calls(c Call) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[c]
}

// Get implements knapweedpulley.ObjectStore.
func (s *Store) Get(ctx context.Context, kind knapweedpulley.Kind, name string) (knapweedpulley.Object, error) {
	if err := s.beginCall(ctx, CallGet); err != nil {
		return knapweedpulley.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[objectKey{kind, name}]
	if !ok {
		return o, knapweedpulley.ErrObjectNotFound
	}
	return o, nil
}

// List implements knapweedpulley.ObjectStore.
func (s *Store) List(ctx context.Context, kind knapweedpulley.Kind) (knapweedpulley.Listing, error) {
	if err := s.beginCall(ctx, CallList); err != nil {
		return knapweedpulley.Listing{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := knapweedpulley.Listing{Revision: s.revision}
	for k, o := range s.objects {
		if k.kind == kind {
			l.Objects = append(l.Objects, o)
		}
	}
	slices.SortFunc(l.Objects, func(a, b knapweedpulley.Object) int { return strings.Compare(a.Name, b.Name) })
	return l, nil
}

// Put implements knapweedpulley.ObjectStore.
func (s *Store) Put(
	ctx context.Context, kind knapweedpulley.Kind, name string, value []byte, expected knapweedpulley.Revision,
) (knapweedpulley.Revision, error) {
	if err := s.beginCall(ctx, CallPut); err != nil {
		return 0, err
	}
	return s.write(knapweedpulley.Change{Object: knapweedpulley.Object{
		Kind: kind, Name: name, Value: bytes.Clone(value),
	}}, expected)
}

// Delete implements knapweedpulley.ObjectStore.
func (s *Store) Delete(
	ctx context.Context, kind knapweedpulley.Kind, name string, expected knapweedpulley.Revision,
) (knapweedpulley.Revision, error) {
	if err := s.beginCall(ctx, CallDelete); err != nil {
		return 0, err
	}
	return s.write(knapweedpulley.Change{Object: knapweedpulley.Object{Kind: kind, Name: name}, Deleted: true}, expected)
}

// Watch implements knapweedpulley.ObjectStore.
func (s *Store) Watch(
	ctx context.Context, kind knapweedpulley.Kind, after knapweedpulley.Revision, wait time.Duration,
) ([]knapweedpulley.Change, knapweedpulley.Revision, error) {
	if err := s.beginCall(ctx, CallWatch); err != nil {
		return nil, 0, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for expired := false; ; {
		changes, revision, changed, err := s.changesSince(kind, after)
		if err != nil || len(changes) > 0 || expired {
			return changes, revision, err
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// beginCall counts a call and waits for the configured latency. It returns ErrDown
// during an outage.
func (s *Store) beginCall(ctx context.Context, c Call) error {
	s.mu.Lock()
	s.calls[c]++
	latency := s.latency
	s.mu.Unlock()
	if latency > 0 {
		select {
		case <-time.After(latency):
		case <-ctx.Done():
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return ErrDown
	}
	return ctx.Err()
}

func (s *Store) write(c knapweedpulley.Change, expected knapweedpulley.Revision) (knapweedpulley.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.delayedWrites > 0 {
		s.delayedWrites--
		time.AfterFunc(s.writeDelay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			_, _ = s.commit(c, expected)
		})
		return 0, knapweedpulley.ErrOutcomeUnknown
	}
	revision, err := s.commit(c, expected)
	if s.lostAnswers > 0 {
		s.lostAnswers--
		return 0, knapweedpulley.ErrOutcomeUnknown
	}
	return revision, err
}

// commit applies a change if the object is at the expected revision. The caller
// holds mu.
func (s *Store) commit(c knapweedpulley.Change, expected knapweedpulley.Revision) (knapweedpulley.Revision, error) {
	key := objectKey{c.Kind, c.Name}
	if s.objects[key].Revision != expected || (c.Deleted && expected == 0) {
		return 0, knapweedpulley.ErrConflict
	}
	s.revision++
	c.Revision = s.revision
	s.objects[key] = c.Object
	if c.Deleted {
		delete(s.objects, key)
	}
	s.changes = append(s.changes, c)
	s.broadcast()
	return c.Revision, nil
}

// changesSince returns the changes of a kind after a revision, the store's revision
// and a channel that is closed at the next change.
func (s *Store) changesSince(
	kind knapweedpulley.Kind, after knapweedpulley.Revision,
) ([]knapweedpulley.Change, knapweedpulley.Revision, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, 0, nil, ErrDown
	}
	if after < s.compacted || after.Epoch() != s.revision.Epoch() {
		return nil, 0, nil, knapweedpulley.ErrCompacted
	}
	var changes []knapweedpulley.Change
	for _, c := range s.changes {
		if c.Kind == kind && c.Revision > after {
			changes = append(changes, c)
		}
	}
	return changes, s.revision, s.changed, nil
}

func (s *Store) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}
