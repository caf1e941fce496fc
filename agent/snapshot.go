package agent

import (
	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/machine"
)

// occupant is a model, or an adapter on top of one, in an engine's memory.
type occupant = machine.Occupant

// requiredOccupants returns the model and adapter that must be loaded to run a request.
func requiredOccupants(r knapweedpulley.Request) []occupant {
	if r.Kind != knapweedpulley.KindChat {
		return nil
	}
	list := []occupant{{Model: r.Model}}
	if adapter, ok := r.Adapter.Get(); ok {
		list = append(list, occupant{Model: r.Model, Adapter: adapter})
	}
	return list
}

// occupantOf returns the model or adapter that an order concerns.
func occupantOf(o knapweedpulley.Order) occupant {
	return occupant{Model: o.Model, Adapter: o.Adapter}
}

// snapshot is an immutable copy of the engine's state.
type snapshot struct {
	engine knapweedpulley.EngineState
	states map[occupant]knapweedpulley.LoadState
	// releasing holds the occupants that are about to be unloaded.
	releasing knapweedpulley.Set[occupant]
	// known is true once the state has been read. silent is true while it can't be read.
	known  bool
	silent bool
}

// newSnapshot returns the snapshot of a state that was read from the engine.
func newSnapshot(state knapweedpulley.EngineState, releasing knapweedpulley.Set[occupant]) *snapshot {
	s := &snapshot{engine: state, states: make(map[occupant]knapweedpulley.LoadState), releasing: releasing, known: true}
	for _, m := range state.Models {
		s.states[occupant{Model: m.Model}] = m.State
		for _, a := range m.Adapters {
			s.states[occupant{Model: m.Model, Adapter: a.Adapter}] = a.State
		}
	}
	return s
}

// occupancies lists the memory that each occupant takes according to a state.
func occupancies(s knapweedpulley.EngineState) []machine.Occupancy {
	var list []machine.Occupancy
	for _, m := range s.Models {
		list = append(list, machine.Occupancy{Occupant: occupant{Model: m.Model}, Size: m.Size})
		for _, a := range m.Adapters {
			o := occupant{Model: m.Model, Adapter: a.Adapter}
			list = append(list, machine.Occupancy{Occupant: o, Size: a.Size})
		}
	}
	return list
}

// sizes returns the memory that each occupant takes.
func (s *snapshot) sizes() map[occupant]knapweedpulley.Bytes {
	sizes := make(map[occupant]knapweedpulley.Bytes, len(s.states))
	for _, o := range occupancies(s.engine) {
		sizes[o.Occupant] = o.Size
	}
	return sizes
}

// loaded reports whether o is loaded in the engine.
func (s *snapshot) loaded(o occupant) bool {
	return s.states[o] == knapweedpulley.StateLoaded
}

// usable reports whether requests that need o may start.
func (s *snapshot) usable(o occupant) bool {
	return s.loaded(o) && !s.releasing.Has(o) && !s.releasing.Has(occupant{Model: o.Model})
}

// report returns the state as reported to the entries. Occupants that can't be used are
// reported as unloading instead of loaded.
func (s *snapshot) report() knapweedpulley.EngineState {
	state := s.engine
	state.Models = make([]knapweedpulley.LoadedModel, len(s.engine.Models))
	for i, m := range s.engine.Models {
		m.State = s.reported(occupant{Model: m.Model}, m.State)
		adapters := make([]knapweedpulley.LoadedAdapter, len(m.Adapters))
		for j, a := range m.Adapters {
			a.State = s.reported(occupant{Model: m.Model, Adapter: a.Adapter}, a.State)
			adapters[j] = a
		}
		m.Adapters = adapters
		state.Models[i] = m
	}
	return state
}

func (s *snapshot) reported(o occupant, state knapweedpulley.LoadState) knapweedpulley.LoadState {
	if state == knapweedpulley.StateLoaded && (s.silent || !s.usable(o)) {
		return knapweedpulley.StateUnloading
	}
	return state
}
