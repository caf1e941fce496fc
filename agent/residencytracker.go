package agent

import (
	"sync"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// assumedLoadTime is the assumed load time of occupants that this agent has not loaded.
	assumedLoadTime = 5 * time.Second
	// maxEvictionRounds bounds the attempts to make room for one load.
	maxEvictionRounds = 3
)

// residencyTracker reports the use of the engine's memory to the eviction policy. A nil
// *residencyTracker keeps everything that is loaded.
type residencyTracker struct {
	policy knapweedpulley.EvictionPolicy

	mu sync.Mutex
	// orderedAt holds the times at which the loads in progress were ordered.
	orderedAt map[occupant]knapweedpulley.Instant
	loaded    knapweedpulley.Set[occupant]
	// nextExpiryCheck is the time of the next check for occupants that have been idle too long.
	nextExpiryCheck knapweedpulley.Instant
}

// newResidencyTracker returns nil for a nil policy.
func newResidencyTracker(policy knapweedpulley.EvictionPolicy) *residencyTracker {
	if policy == nil {
		return nil
	}
	return &residencyTracker{
		policy:    policy,
		orderedAt: make(map[occupant]knapweedpulley.Instant),
		loaded:    knapweedpulley.NewSet[occupant](),
	}
}

// loadOrdered records the time at which a load was ordered.
func (s *residencyTracker) loadOrdered(o occupant, now knapweedpulley.Instant) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orderedAt[o] = now
}

// requestStarted records the start of a request for the occupants it needs. The returned
// function records its end.
func (s *residencyTracker) requestStarted(r knapweedpulley.Request, clock knapweedpulley.Clock) func() {
	if s == nil {
		return func() {}
	}
	occupants := requiredOccupants(r)
	for _, o := range occupants {
		s.policy.RequestArrived(o, clock.Now())
	}
	return func() {
		for _, o := range occupants {
			s.policy.RequestEnded(o, clock.Now())
		}
	}
}

// syncSnapshot records the loads and unloads that a new snapshot shows.
func (s *residencyTracker) syncSnapshot(current *snapshot, now knapweedpulley.Instant) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for o, size := range current.sizes() {
		if current.loaded(o) && !s.loaded.Has(o) {
			s.loaded.Add(o)
			s.policy.Loaded(o, size, s.loadDuration(o, now), now)
		}
	}
	for o := range s.loaded {
		if !current.loaded(o) {
			s.loaded.Remove(o)
			s.policy.Unloaded(o, now)
		}
	}
}

// loadDuration returns how long a load that has just ended took.
func (s *residencyTracker) loadDuration(o occupant, now knapweedpulley.Instant) time.Duration {
	orderedAt, ok := s.orderedAt[o]
	if !ok {
		return assumedLoadTime
	}
	delete(s.orderedAt, o)
	return now.Sub(orderedAt)
}

// list returns the occupants that have been idle too long, apart from those in held.
func (s *residencyTracker) list(held knapweedpulley.Set[occupant], now knapweedpulley.Instant) []occupant {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nextExpiryCheck.After(now) {
		return nil
	}
	expired, wait := s.policy.Expired(held, now)
	s.nextExpiryCheck = now.Add(wait)
	return expired
}

// evictionCandidates returns occupants whose unloading frees at least need, or none.
func (s *residencyTracker) evictionCandidates(
	need knapweedpulley.Bytes, held knapweedpulley.Set[occupant], now knapweedpulley.Instant,
) []occupant {
	if s == nil {
		return nil
	}
	return s.policy.EvictionCandidates(need, held, now)
}

// reserveMemory reserves memory for a load, and unloads idle occupants if too little is free.
func (a *Agent) reserveMemory(o occupant, size knapweedpulley.Bytes) bool {
	for range maxEvictionRounds {
		if a.memory.Reserve(o, size) {
			return true
		}
		held := a.admission.held()
		held.Add(o)
		held.Add(occupant{Model: o.Model})
		evictionCandidates := a.residencyTracker.evictionCandidates(size-a.memory.Free(), held, a.clock.Now())
		if len(evictionCandidates) == 0 {
			return false
		}
		for _, v := range evictionCandidates {
			a.unloadIdle(v)
		}
	}
	return a.memory.Reserve(o, size)
}

// unloadExpired unloads the occupants that have been idle too long.
func (a *Agent) unloadExpired() {
	for _, o := range a.residencyTracker.list(a.admission.held(), a.clock.Now()) {
		a.goroutines.Go(func() { a.unloadIdle(o) })
	}
}

// unloadIdle unloads an idle occupant, unless another order that concerns it is in progress.
func (a *Agent) unloadIdle(o occupant) {
	if p := a.orders.startUnload(o); p != nil {
		a.execute(p)
	}
}
