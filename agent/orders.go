package agent

import (
	"sync"

	"github.com/knapweedpulley/knapweedpulley"
)

// tokenBits is the number of low bits of a fencing token that hold a counter. The bits above
// hold the agent's incarnation.
const tokenBits = 20

// operation is an order that is being executed. Callers with the same order share it.
type operation struct {
	order knapweedpulley.Order
	done  chan struct{}
	// err is the outcome, valid once done is closed.
	err error
}

// hasOutcomeOf reports whether the outcome of the operation is also that of o.
func (p *operation) hasOutcomeOf(o knapweedpulley.Order) bool {
	return p.order.Kind == o.Kind && occupantOf(p.order) == occupantOf(o)
}

// conflicts reports whether an order for o must wait for the operation, because both concern
// the same occupant, or one a model and the other an adapter of it.
func (p *operation) conflicts(o occupant) bool {
	own := occupantOf(p.order)
	return own.Model == o.Model && (own.Adapter == o.Adapter || own.Adapter == "" || o.Adapter == "")
}

// orders decides which orders may be sent to the engine.
type orders struct {
	mu   sync.Mutex
	open []*operation
	// highestPermits holds the highest permit revision seen for each model.
	highestPermits map[knapweedpulley.ModelID]knapweedpulley.Revision
	releasing      knapweedpulley.Set[occupant]
	// owned holds the occupants that this agent loaded or that the engine held during the
	// lease time after the agent's start.
	owned     knapweedpulley.Set[occupant]
	token     knapweedpulley.FencingToken
	stateRead bool
}

func newOrders(i knapweedpulley.Incarnation) *orders {
	return &orders{
		highestPermits: make(map[knapweedpulley.ModelID]knapweedpulley.Revision),
		releasing:      knapweedpulley.NewSet[occupant](),
		owned:          knapweedpulley.NewSet[occupant](),
		token:          knapweedpulley.FencingToken(i) << tokenBits,
	}
}

// nextToken returns a token higher than all tokens issued so far and than the token in the
// first state read from the engine.
func (s *orders) nextToken() knapweedpulley.FencingToken {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.token++
	return s.token
}

// joinOrStart returns the operation that o shares or must wait for, and whether it is new.
// It refuses a load whose permit is older than one already seen.
func (s *orders) joinOrStart(o knapweedpulley.Order) (*operation, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	highest := s.highestPermits[o.Model]
	if o.Permit < highest && isLoad(o.Kind) {
		return nil, false, knapweedpulley.NewRefusal(knapweedpulley.CodeNotPermitted, knapweedpulley.NotRun,
			"permit of model %s is at revision %s, the order has the older revision %s", o.Model, highest, o.Permit)
	}
	s.highestPermits[o.Model] = max(highest, o.Permit)
	if p := s.conflicting(occupantOf(o)); p != nil {
		return p, false, nil
	}
	return s.start(o), true, nil
}

// conflicting returns an open operation that an order for o must wait for, or nil. An
// operation for o itself takes precedence.
func (s *orders) conflicting(o occupant) *operation {
	var found *operation
	for _, p := range s.open {
		if occupantOf(p.order) == o {
			return p
		}
		if p.conflicts(o) {
			found = p
		}
	}
	return found
}

func (s *orders) start(o knapweedpulley.Order) *operation {
	p := &operation{order: o, done: make(chan struct{})}
	s.open = append(s.open, p)
	return p
}

// finish ends an operation with its outcome.
func (s *orders) finish(p *operation, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, open := range s.open {
		if open == p {
			s.open = append(s.open[:i], s.open[i+1:]...)
			break
		}
	}
	p.err = err
	close(p.done)
}

// addOwned records that this agent loads o.
func (s *orders) addOwned(o occupant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owned.Add(o)
}

// setReleasing adds o to the occupants about to be unloaded, or removes it from them.
func (s *orders) setReleasing(o occupant, releasing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if releasing {
		s.releasing.Add(o)
		return
	}
	s.releasing.Remove(o)
}

// copyReleasing returns a copy of the set of occupants about to be unloaded.
func (s *orders) copyReleasing() knapweedpulley.Set[occupant] {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := knapweedpulley.NewSet[occupant]()
	for o := range s.releasing {
		c.Add(o)
	}
	return c
}

// reconcile compares the engine's state with the occupants that this agent loaded. It returns
// the loaded occupants that this agent didn't order, for example because of a late order of
// its predecessor. During the lease time after the agent's start, it adopts everything found.
func (s *orders) reconcile(state knapweedpulley.EngineState, inStartupLease bool) []occupant {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stateRead {
		s.token = max(s.token, state.FencingToken)
		s.stateRead = true
	}
	current := newSnapshot(state, nil)
	for o := range s.owned {
		if _, present := current.states[o]; !present && s.conflicting(o) == nil {
			s.owned.Remove(o)
		}
	}
	var unordered []occupant
	for o := range current.states {
		switch {
		case inStartupLease:
			s.owned.Add(o)
		case !s.owned.Has(o) && current.loaded(o) && s.conflicting(o) == nil:
			unordered = append(unordered, o)
		}
	}
	return unordered
}

// startUnload starts an unload that no entry ordered. It returns nil if another order that
// concerns o is in progress.
func (s *orders) startUnload(o occupant) *operation {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conflicting(o) != nil {
		return nil
	}
	kind := knapweedpulley.OrderUnloadModel
	if o.Adapter != "" {
		kind = knapweedpulley.OrderUnloadAdapter
	}
	return s.start(knapweedpulley.Order{Kind: kind, Model: o.Model, Adapter: o.Adapter})
}

func isLoad(k knapweedpulley.OrderKind) bool {
	return k == knapweedpulley.OrderLoadModel || k == knapweedpulley.OrderLoadAdapter
}
