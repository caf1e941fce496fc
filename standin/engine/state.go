package engine

import (
	"cmp"
	"maps"
	"slices"

	"github.com/knapweedpulley/knapweedpulley"
)

// State is the response body of GET /state.
type State struct {
	Memory       knapweedpulley.Bytes        `json:"memory"`
	Models       []LoadedModel               `json:"models"`
	Cached       []Cached                    `json:"cached"`
	Running      int                         `json:"running"`
	Waiting      int                         `json:"waiting"`
	Slots        int                         `json:"slots"`
	Starts       uint64                      `json:"starts"`
	FencingToken knapweedpulley.FencingToken `json:"fencingToken"`
}

// LoadedModel is a model in an engine's memory.
type LoadedModel struct {
	Model    knapweedpulley.ModelID   `json:"model"`
	Size     knapweedpulley.Bytes     `json:"size"`
	State    knapweedpulley.LoadState `json:"state"`
	Adapters []LoadedAdapter          `json:"adapters"`
}

// LoadedAdapter is an adapter in an engine's memory.
type LoadedAdapter struct {
	Adapter knapweedpulley.AdapterID `json:"adapter"`
	Size    knapweedpulley.Bytes     `json:"size"`
	State   knapweedpulley.LoadState `json:"state"`
}

// State returns the state that the engine reports, and false while it restarts after a
// crash. The counts of requests lag behind by the load lag.
func (e *Engine) State() (State, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.restarting() {
		return State{}, false
	}
	reported := e.reportedRequests.Get()
	s := State{
		Memory:       e.settings.Memory,
		Models:       make([]LoadedModel, 0, len(e.memory.models)),
		Cached:       append([]Cached{}, e.cache.list...),
		Running:      reported.running,
		Waiting:      reported.waiting,
		Slots:        e.settings.Slots,
		Starts:       e.starts,
		FencingToken: e.fencingToken,
	}
	for id, m := range e.memory.models {
		s.Models = append(s.Models, LoadedModel{Model: id, Size: m.size, State: m.state, Adapters: m.loadedAdapters()})
	}
	slices.SortFunc(s.Models, func(a, b LoadedModel) int { return cmp.Compare(a.Model, b.Model) })
	return s, true
}

// loadedAdapters returns the adapters in memory for a model, ordered by id.
func (m *model) loadedAdapters() []LoadedAdapter {
	adapters := make([]LoadedAdapter, 0, len(m.adapters))
	for _, id := range slices.Sorted(maps.Keys(m.adapters)) {
		a := m.adapters[id]
		adapters = append(adapters, LoadedAdapter{Adapter: id, Size: a.size, State: a.state})
	}
	return adapters
}
