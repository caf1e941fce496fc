package trial

import (
	"context"
	"sync"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/model"
)

// storeLatency is the time that a call to the store takes.
const storeLatency = 5 * time.Millisecond

// permitStore is a fake of the store for the collection of permits. It implements
// only the methods of knapweedpulley.ObjectStore that the trial calls.
type permitStore struct {
	knapweedpulley.ObjectStore

	mu       sync.Mutex
	revision knapweedpulley.Revision
	objects  map[string]knapweedpulley.Object
	readers  []*model.Permits
	writes   int
}

// Get implements knapweedpulley.ObjectStore.
func (s *permitStore) Get(
	ctx context.Context, _ knapweedpulley.Kind, name string,
) (knapweedpulley.Object, error) {
	sleep(ctx, storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[name]
	if !ok {
		return o, knapweedpulley.ErrObjectNotFound
	}
	return o, nil
}

// Put implements knapweedpulley.ObjectStore.
func (s *permitStore) Put(
	ctx context.Context, kind knapweedpulley.Kind, name string, value []byte, expected knapweedpulley.Revision,
) (knapweedpulley.Revision, error) {
	sleep(ctx, storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[name].Revision != expected {
		return 0, knapweedpulley.ErrConflict
	}
	s.revision++
	s.writes++
	o := knapweedpulley.Object{Kind: kind, Name: name, Revision: s.revision, Value: value}
	s.objects[name] = o
	for _, r := range s.readers {
		if err := r.Apply([]knapweedpulley.Change{{Object: o}}); err != nil {
			return 0, err
		}
	}
	return s.revision, nil
}
