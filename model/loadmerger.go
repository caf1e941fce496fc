package model

import (
	"context"
	"sync"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

// loadKey identifies the model or adapter that is loaded.
type loadKey struct {
	model   knapweedpulley.ModelID
	adapter knapweedpulley.AdapterID
}

// mergedLoad is a load that several requests wait for.
type mergedLoad struct {
	done     chan struct{}
	endpoint knapweedpulley.EndpointID
	err      error
	// expiry cancels the load once the deadlines of all waiting requests have passed.
	expiry   *time.Timer
	deadline knapweedpulley.Instant
	// ready is when the load is expected to end.
	ready knapweedpulley.Instant
}

// LoadMerger implements knapweedpulley.LoadMerger: concurrent load requests for the same
// model and adapter share one load.
type LoadMerger struct {
	loader *Loader
	clock  knapweedpulley.Clock
	ctx    context.Context //nolint:containedctx // Loads outlive the requests that start them.
	mu     sync.Mutex
	active map[loadKey]*mergedLoad
	loads  sync.WaitGroup
}

// NewLoadMerger returns a merger that loads through loader. The clean-up cancels all loads and
// waits for them to end.
func NewLoadMerger(loader *Loader, clock knapweedpulley.Clock) (*LoadMerger, knapweedpulley.Cleanup) {
	ctx, cancel := context.WithCancel(context.Background())
	m := &LoadMerger{loader: loader, clock: clock, ctx: ctx, active: make(map[loadKey]*mergedLoad)}
	return m, func() {
		cancel()
		m.loads.Wait()
	}
}

// Join implements knapweedpulley.LoadMerger.
func (m *LoadMerger) Join(
	ctx context.Context, request knapweedpulley.LoadRequest,
) (knapweedpulley.LoadResponse, error) {
	if id, ok := m.loader.leastLoaded(m.loader.holders(request.Model, request.Adapter)); ok {
		return knapweedpulley.LoadResponse{Endpoint: knapweedpulley.Some(id)}, nil
	}
	load := m.join(request)
	if err := m.refuseIfLate(load, request); err != nil {
		return knapweedpulley.LoadResponse{}, err
	}
	timer := time.NewTimer(min(longPollTimeout, request.Timeout))
	defer timer.Stop()
	select {
	case <-load.done:
		if load.err != nil {
			return knapweedpulley.LoadResponse{}, load.err
		}
		return knapweedpulley.LoadResponse{Endpoint: knapweedpulley.Some(load.endpoint)}, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return knapweedpulley.LoadResponse{}, nil
}

// refuseIfLate returns a refusal if the load is expected to end well after the request's
// deadline. The load itself continues, so that a retry finds the model loaded.
func (m *LoadMerger) refuseIfLate(load *mergedLoad, request knapweedpulley.LoadRequest) error {
	left := load.ready.Sub(m.clock.Now())
	if float64(left) <= refusalMargin*float64(request.Timeout) {
		return nil
	}
	return knapweedpulley.NewRefusal(knapweedpulley.CodeOverloaded, knapweedpulley.NotRun,
		"model %s is expected to be loaded in %s", request.Model, left).WithRetryAfter(left)
}

// join returns the load in progress of a model, or starts one if there is none, and
// extends it to the deadline of request.
func (m *LoadMerger) join(request knapweedpulley.LoadRequest) *mergedLoad {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	key := loadKey{model: request.Model, adapter: request.Adapter.Or("")}
	load, ok := m.active[key]
	if !ok {
		load = m.start(key, request, now)
	}
	if deadline := now.Add(request.Timeout); deadline.After(load.deadline) {
		load.deadline = deadline
		load.expiry.Reset(request.Timeout)
	}
	return load
}

// start starts a load. The caller holds the lock.
func (m *LoadMerger) start(key loadKey, request knapweedpulley.LoadRequest, now knapweedpulley.Instant) *mergedLoad {
	expected := m.loader.Estimate(request)
	limit := max(request.Timeout, progressCheckFactor*expected)
	ctx, cancel := context.WithTimeout(m.ctx, max(limit, defaultTimeout))
	load := &mergedLoad{
		done:     make(chan struct{}),
		deadline: now.Add(limit),
		ready:    now.Add(expected),
		expiry:   time.AfterFunc(limit, cancel),
	}
	m.active[key] = load
	m.loads.Go(func() {
		defer cancel()
		load.endpoint, load.err = m.loader.Load(ctx, request)
		load.expiry.Stop()
		m.mu.Lock()
		delete(m.active, key)
		m.mu.Unlock()
		close(load.done)
	})
	return load
}
