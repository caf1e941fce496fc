package agent

import (
	"sync"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// foundLoadTime is the load time that is assumed for what the engine held
	// before the agent started.
	foundLoadTime = 5 * time.Second
	// evictionRounds bounds the tries to make room for one load.
	evictionRounds = 3
)

// residents tells the idle policy what happens in the engine's memory. A nil
// *residents stands for an agent that keeps all that is loaded.
type residents struct {
	policy knapweedpulley.EvictionPolicy

	mu sync.Mutex
	// began holds when the loads that are under way were ordered.
	began  map[occupant]knapweedpulley.Instant
	loaded knapweedpulley.Set[occupant]
	// next is the time of the next look for what is idle for too long.
	next knapweedpulley.Instant
}

// newResidents returns nil for a nil policy.
func newResidents(policy knapweedpulley.EvictionPolicy) *residents {
	if policy == nil {
		return nil
	}
	return &residents{
		policy: policy,
		began:  make(map[occupant]knapweedpulley.Instant),
		loaded: knapweedpulley.NewSet[occupant](),
	}
}

// ordered notes that a load is ordered.
func (s *residents) ordered(o occupant, now knapweedpulley.Instant) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.began[o] = now
}

// arrived notes a request that begins to use what it needs. The returned
// function notes its end.
func (s *residents) arrived(r knapweedpulley.Request, clock knapweedpulley.Clock) func() {
	if s == nil {
		return func() {}
	}
	used := needs(r)
	for _, o := range used {
		s.policy.RequestArrived(o, clock.Now())
	}
	return func() {
		for _, o := range used {
			s.policy.RequestEnded(o, clock.Now())
		}
	}
}

// sync takes over a reading of the engine's state.
func (s *residents) sync(t *table, now knapweedpulley.Instant) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for o, size := range t.sizes() {
		if t.loaded(o) && !s.loaded.Has(o) {
			s.loaded.Add(o)
			s.policy.Loaded(o, size, s.took(o, now), now)
		}
	}
	for o := range s.loaded {
		if !t.loaded(o) {
			s.loaded.Remove(o)
			s.policy.Unloaded(o, now)
		}
	}
}

// took returns how long the load took that has just ended.
func (s *residents) took(o occupant, now knapweedpulley.Instant) time.Duration {
	began, ok := s.began[o]
	if !ok {
		return foundLoadTime
	}
	delete(s.began, o)
	return now.Sub(began)
}

// expired returns what has been idle for too long, apart from what is held.
func (s *residents) expired(held knapweedpulley.Set[occupant], now knapweedpulley.Instant) []occupant {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next.After(now) {
		return nil
	}
	list, wait := s.policy.Expired(held, now)
	s.next = now.Add(wait)
	return list
}

// victims returns what to unload so that need becomes free, or none.
func (s *residents) victims(
	need knapweedpulley.Bytes, held knapweedpulley.Set[occupant], now knapweedpulley.Instant,
) []occupant {
	if s == nil {
		return nil
	}
	return s.policy.EvictionCandidates(need, held, now)
}

// reserve sets memory aside for a load, and makes room for it by unloading
// what is idle.
func (a *Agent) reserve(o occupant, size knapweedpulley.Bytes) bool {
	for range evictionRounds {
		if a.memory.Reserve(o, size) {
			return true
		}
		held := a.admission.held()
		held.Add(o)
		held.Add(occupant{Model: o.Model})
		victims := a.residents.victims(size-a.memory.Free(), held, a.clock.Now())
		if len(victims) == 0 {
			return false
		}
		for _, v := range victims {
			a.unloadIdle(v)
		}
	}
	return a.memory.Reserve(o, size)
}

// unloadExpired has what has been idle for too long unloaded.
func (a *Agent) unloadExpired() {
	for _, o := range a.residents.expired(a.admission.held(), a.clock.Now()) {
		a.work.Go(func() { a.unloadIdle(o) })
	}
}

// unloadIdle unloads an idle occupant, unless an order about it is under way.
func (a *Agent) unloadIdle(o occupant) {
	if p := a.orders.beginUnload(o); p != nil {
		a.carryOut(p)
	}
}
