package agent

import (
	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/machine"
)

// occupant is a model, or an adapter on one, in an engine's memory.
type occupant = machine.Occupant

// needs returns what a request needs to be loaded.
func needs(r knapweedpulley.Request) []occupant {
	if r.Kind != knapweedpulley.KindChat {
		return nil
	}
	list := []occupant{{Model: r.Model}}
	if adapter, ok := r.Adapter.Get(); ok {
		list = append(list, occupant{Model: r.Model, Adapter: adapter})
	}
	return list
}

// occupantOf returns what an order is about.
func occupantOf(o knapweedpulley.Order) occupant {
	return occupant{Model: o.Model, Adapter: o.Adapter}
}

// table is a snapshot of what the engine holds. It is never changed.
type table struct {
	engine knapweedpulley.EngineState
	states map[occupant]knapweedpulley.LoadState
	// releasing holds what is about to be unloaded.
	releasing knapweedpulley.Set[occupant]
	// known is set once the state was read, silent while it can't be read.
	known  bool
	silent bool
}

// newTable returns the table of a reading.
func newTable(s knapweedpulley.EngineState, releasing knapweedpulley.Set[occupant]) *table {
	t := &table{engine: s, states: make(map[occupant]knapweedpulley.LoadState), releasing: releasing, known: true}
	for _, m := range s.Models {
		t.states[occupant{Model: m.Model}] = m.State
		for _, a := range m.Adapters {
			t.states[occupant{Model: m.Model, Adapter: a.Adapter}] = a.State
		}
	}
	return t
}

// occupancies lists what takes memory according to a state.
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
func (t *table) sizes() map[occupant]knapweedpulley.Bytes {
	sizes := make(map[occupant]knapweedpulley.Bytes, len(t.states))
	for _, o := range occupancies(t.engine) {
		sizes[o.Occupant] = o.Size
	}
	return sizes
}

// loaded reports whether the engine holds o for use.
func (t *table) loaded(o occupant) bool {
	return t.states[o] == knapweedpulley.StateLoaded
}

// usable reports whether requests may begin on o.
func (t *table) usable(o occupant) bool {
	return t.loaded(o) && !t.releasing.Has(o) && !t.releasing.Has(occupant{Model: o.Model})
}

// report returns the state as the entries are to see it: nothing that can't be
// used is shown as loaded.
func (t *table) report() knapweedpulley.EngineState {
	s := t.engine
	s.Models = make([]knapweedpulley.LoadedModel, len(t.engine.Models))
	for i, m := range t.engine.Models {
		m.State = t.reported(occupant{Model: m.Model}, m.State)
		adapters := make([]knapweedpulley.LoadedAdapter, len(m.Adapters))
		for j, a := range m.Adapters {
			a.State = t.reported(occupant{Model: m.Model, Adapter: a.Adapter}, a.State)
			adapters[j] = a
		}
		m.Adapters = adapters
		s.Models[i] = m
	}
	return s
}

func (t *table) reported(o occupant, state knapweedpulley.LoadState) knapweedpulley.LoadState {
	if state == knapweedpulley.StateLoaded && (t.silent || !t.usable(o)) {
		return knapweedpulley.StateUnloading
	}
	return state
}
