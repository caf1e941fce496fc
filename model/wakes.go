package model

import (
	"context"
	"sync"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

// wakeKey identifies what is loaded.
type wakeKey struct {
	model   knapweedpulley.ModelID
	adapter knapweedpulley.AdapterID
}

// wake is one load with all who wait for it.
type wake struct {
	done     chan struct{}
	endpoint knapweedpulley.EndpointID
	err      error
	// expiry ends the load once the time of all who wait is over.
	expiry   *time.Timer
	deadline knapweedpulley.Instant
	// ready is when the load is expected to be done.
	ready knapweedpulley.Instant
}

// Wakes implements knapweedpulley.WakeMerger: concurrent wake requests for one
// model share a load.
type Wakes struct {
	loader *Loader
	clock  knapweedpulley.Clock
	ctx    context.Context //nolint:containedctx // Loads outlive the requests that began them.
	mu     sync.Mutex
	active map[wakeKey]*wake
	loads  sync.WaitGroup
}

// NewWakes returns a merger of wake requests. The clean-up ends all loads.
func NewWakes(loader *Loader, clock knapweedpulley.Clock) (*Wakes, knapweedpulley.Cleanup) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Wakes{loader: loader, clock: clock, ctx: ctx, active: make(map[wakeKey]*wake)}
	return s, func() {
		cancel()
		s.loads.Wait()
	}
}

// Join implements knapweedpulley.WakeMerger.
func (s *Wakes) Join(ctx context.Context, w knapweedpulley.LoadRequest) (knapweedpulley.LoadResponse, error) {
	if id, ok := s.loader.lightest(s.loader.holders(w.Model, w.Adapter)); ok {
		return knapweedpulley.LoadResponse{Endpoint: knapweedpulley.Some(id)}, nil
	}
	k := s.join(w)
	if err := s.refuse(k, w); err != nil {
		return knapweedpulley.LoadResponse{}, err
	}
	timer := time.NewTimer(min(round, w.Timeout))
	defer timer.Stop()
	select {
	case <-k.done:
		if k.err != nil {
			return knapweedpulley.LoadResponse{}, k.err
		}
		return knapweedpulley.LoadResponse{Endpoint: knapweedpulley.Some(k.endpoint)}, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return knapweedpulley.LoadResponse{}, nil
}

// refuse returns a refusal if the load will surely not be done in time. The
// load itself goes on, so that a retry finds the model loaded.
func (s *Wakes) refuse(k *wake, w knapweedpulley.LoadRequest) error {
	left := k.ready.Sub(s.clock.Now())
	if float64(left) <= refusalMargin*float64(w.Timeout) {
		return nil
	}
	return knapweedpulley.NewRefusal(knapweedpulley.CodeOverloaded, knapweedpulley.NotRun,
		"model %s is expected to be loaded in %s", w.Model, left).WithRetryAfter(left)
}

// join returns the load of a model, which it begins if there is none, and makes
// it last as long as w waits.
func (s *Wakes) join(w knapweedpulley.LoadRequest) *wake {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	key := wakeKey{model: w.Model, adapter: w.Adapter.Or("")}
	k, ok := s.active[key]
	if !ok {
		k = s.begin(key, w, now)
	}
	if deadline := now.Add(w.Timeout); deadline.After(k.deadline) {
		k.deadline = deadline
		k.expiry.Reset(w.Timeout)
	}
	return k
}

// begin starts a load. The caller holds the lock.
func (s *Wakes) begin(key wakeKey, w knapweedpulley.LoadRequest, now knapweedpulley.Instant) *wake {
	expected := s.loader.Estimate(w)
	limit := max(w.Timeout, patienceFactor*expected)
	ctx, cancel := context.WithTimeout(s.ctx, max(limit, noDeadline))
	k := &wake{
		done:     make(chan struct{}),
		deadline: now.Add(limit),
		ready:    now.Add(expected),
		expiry:   time.AfterFunc(limit, cancel),
	}
	s.active[key] = k
	s.loads.Go(func() {
		defer cancel()
		k.endpoint, k.err = s.loader.Load(ctx, w)
		k.expiry.Stop()
		s.mu.Lock()
		delete(s.active, key)
		s.mu.Unlock()
		close(k.done)
	})
	return k
}
