package claim_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

const storeLatency = 2 * time.Millisecond

var errConnectionRefused = errors.New("connection refused")

// writeFault is what happens to a write.
type writeFault int

const (
	noFault writeFault = iota
	// faultReplyLost applies the write and loses its reply.
	faultReplyLost
	// faultWriteLost loses the write before it takes effect.
	faultWriteLost
	// faultWriteDelayed applies the write after its caller has received an error.
	faultWriteDelayed
)

// fakeStore is an object store in memory that injects faults into writes.
type fakeStore struct {
	mu            sync.Mutex
	objects       map[string]knapweedpulley.Object
	revision      knapweedpulley.Revision
	writes        int
	largest       int
	down          bool
	fault         func() writeFault
	delayedWrites sync.WaitGroup
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		objects: make(map[string]knapweedpulley.Object),
		fault:   func() writeFault { return noFault },
	}
}

// failRandomly makes the given share of the writes fail with random faults.
func (s *fakeStore) failRandomly(seed uint64, share float64) {
	random := rand.New(rand.NewPCG(seed, seed))
	s.fault = func() writeFault {
		if random.Float64() >= share {
			return noFault
		}
		return writeFault(1 + random.IntN(3))
	}
}

// failNext makes the next writes fail with the given faults, one fault each.
func (s *fakeStore) failNext(faults ...writeFault) {
	s.fault = func() writeFault {
		if len(faults) == 0 {
			return noFault
		}
		f := faults[0]
		faults = faults[1:]
		return f
	}
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) Get(_ context.Context, _ knapweedpulley.Kind, name string) (knapweedpulley.Object, error) {
	time.Sleep(storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return knapweedpulley.Object{}, errConnectionRefused
	}
	o, ok := s.objects[name]
	if !ok {
		return o, knapweedpulley.ErrObjectNotFound
	}
	return o, nil
}

func (s *fakeStore) Put(
	_ context.Context, _ knapweedpulley.Kind, name string, value []byte, expected knapweedpulley.Revision,
) (knapweedpulley.Revision, error) {
	time.Sleep(storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, knapweedpulley.ErrOutcomeUnknown
	}
	switch s.fault() {
	case faultReplyLost:
		_, _ = s.putLocked(name, value, expected)
	case faultWriteLost:
	case faultWriteDelayed:
		s.delayedWrites.Go(func() {
			time.Sleep(30 * time.Millisecond)
			s.mu.Lock()
			defer s.mu.Unlock()
			_, _ = s.putLocked(name, value, expected)
		})
	default:
		return s.putLocked(name, value, expected)
	}
	return 0, knapweedpulley.ErrOutcomeUnknown
}

func (s *fakeStore) putLocked(name string, value []byte, expected knapweedpulley.Revision) (knapweedpulley.Revision, error) {
	if s.objects[name].Revision != expected {
		return 0, knapweedpulley.ErrConflict
	}
	s.revision++
	s.writes++
	s.largest = max(s.largest, len(value))
	s.objects[name] = knapweedpulley.Object{Name: name, Revision: s.revision, Value: slices.Clone(value)}
	return s.revision, nil
}

func (s *fakeStore) Delete(
	_ context.Context, _ knapweedpulley.Kind, name string, expected knapweedpulley.Revision,
) (knapweedpulley.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[name].Revision != expected {
		return 0, knapweedpulley.ErrConflict
	}
	delete(s.objects, name)
	return s.revision, nil
}

func (s *fakeStore) List(context.Context, knapweedpulley.Kind) (knapweedpulley.Listing, error) {
	return knapweedpulley.Listing{}, errors.New("not used")
}

func (s *fakeStore) Watch(
	context.Context, knapweedpulley.Kind, knapweedpulley.Revision, time.Duration,
) ([]knapweedpulley.Change, knapweedpulley.Revision, error) {
	return nil, 0, errors.New("not used")
}

// archives returns the number of archives of all buckets.
func (s *fakeStore) archives() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for name := range s.objects {
		if strings.Contains(name, ".") {
			count++
		}
	}
	return count
}
