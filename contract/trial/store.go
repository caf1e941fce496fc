package trial

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/membership"
)

const (
	// storeDelay is the duration of a call to the store.
	storeDelay = 2 * time.Millisecond
	// pollPeriod is the time between two reads of the registered entry processes.
	pollPeriod = 200 * time.Millisecond
)

var errStoreDown = errors.New("store is down")

// store is an object store in memory that holds only the registered entry processes.
type store struct {
	mu       sync.Mutex
	revision knapweedpulley.Revision
	objects  map[string]knapweedpulley.Object
	down     bool
}

func newStore() *store {
	return &store{objects: make(map[string]knapweedpulley.Object)}
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Get implements knapweedpulley.ObjectStore.
func (s *store) Get(_ context.Context, _ knapweedpulley.Kind, name string) (knapweedpulley.Object, error) {
	time.Sleep(storeDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return knapweedpulley.Object{}, errStoreDown
	}
	o, ok := s.objects[name]
	if !ok {
		return o, knapweedpulley.ErrObjectNotFound
	}
	return o, nil
}

// List implements knapweedpulley.ObjectStore.
func (s *store) List(context.Context, knapweedpulley.Kind) (knapweedpulley.Listing, error) {
	time.Sleep(storeDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return knapweedpulley.Listing{}, errStoreDown
	}
	l := knapweedpulley.Listing{Revision: s.revision}
	for _, o := range s.objects {
		l.Objects = append(l.Objects, o)
	}
	return l, nil
}

// Put implements knapweedpulley.ObjectStore.
func (s *store) Put(
	_ context.Context, kind knapweedpulley.Kind, name string, value []byte, expected knapweedpulley.Revision,
) (knapweedpulley.Revision, error) {
	time.Sleep(storeDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, errStoreDown
	}
	if s.objects[name].Revision != expected {
		return 0, knapweedpulley.ErrConflict
	}
	s.revision++
	s.objects[name] = knapweedpulley.Object{Kind: kind, Name: name, Revision: s.revision, Value: value}
	return s.revision, nil
}

// Delete implements knapweedpulley.ObjectStore.
func (s *store) Delete(
	_ context.Context, _ knapweedpulley.Kind, name string, expected knapweedpulley.Revision,
) (knapweedpulley.Revision, error) {
	time.Sleep(storeDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, errStoreDown
	}
	if s.objects[name].Revision != expected {
		return 0, knapweedpulley.ErrConflict
	}
	s.revision++
	delete(s.objects, name)
	return s.revision, nil
}

// Watch implements knapweedpulley.ObjectStore. It always fails, because nothing here uses it.
func (s *store) Watch(
	context.Context, knapweedpulley.Kind, knapweedpulley.Revision, time.Duration,
) ([]knapweedpulley.Change, knapweedpulley.Revision, error) {
	return nil, 0, errStoreDown
}

// evidence polls the store for one entry process. It implements [knapweedpulley.ConfigurationView].
type evidence struct {
	store *store

	mu   sync.Mutex
	view knapweedpulley.EntryView
	// requestedAt is the time when the request for the view was sent.
	requestedAt time.Time
	// disconnected is set while the process can't reach the store.
	disconnected bool
}

func (e *evidence) setDisconnected(disconnected bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.disconnected = disconnected
}

// run polls the store until ctx ends.
func (e *evidence) run(ctx context.Context) {
	ticker := time.NewTicker(pollPeriod)
	defer ticker.Stop()
	for {
		e.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// poll reads the view from the store, unless the store can't be reached.
func (e *evidence) poll(ctx context.Context) {
	e.mu.Lock()
	disconnected := e.disconnected
	e.mu.Unlock()
	requestedAt := time.Now()
	if disconnected {
		return
	}
	l, err := e.store.List(ctx, knapweedpulley.KindEntries)
	if err != nil {
		return
	}
	view, err := membership.NewView(l)
	if err != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.view = view
	e.requestedAt = requestedAt
}

// Age implements knapweedpulley.ConfigurationView.
func (e *evidence) Age() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Since(e.requestedAt)
}

// Entries implements knapweedpulley.ConfigurationView.
func (e *evidence) Entries() knapweedpulley.EntryView {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.view
}

// Digest implements knapweedpulley.ConfigurationView.
func (*evidence) Digest() knapweedpulley.Fingerprint {
	return 0
}
