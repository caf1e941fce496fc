package entry

import (
	"slices"
	"strings"
	"sync/atomic"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/customer"
)

// templates shows the decisions and checkpoints that the templates in force
// name. It implements knapweedpulley.DecisionSource and
// knapweedpulley.CheckpointSource.
type templates struct {
	decisions atomic.Pointer[[]knapweedpulley.DesiredModel]
	adapters  atomic.Pointer[map[knapweedpulley.AdapterID]*customer.Adapter]
	models    atomic.Pointer[map[knapweedpulley.ModelID]*customer.Model]
}

func newTemplates() *templates {
	t := &templates{}
	t.apply(customer.NewDirectory().Current())
	return t
}

// apply takes over what a snapshot of the directory says.
func (t *templates) apply(s *customer.Snapshot) {
	models := s.Models()
	decisions := make([]knapweedpulley.DesiredModel, 0, len(models))
	for id, m := range models {
		decisions = append(decisions, knapweedpulley.DesiredModel{Model: id, Replicas: m.Replicas, Size: m.Size})
	}
	slices.SortFunc(decisions, func(a, b knapweedpulley.DesiredModel) int {
		return strings.Compare(string(a.Model), string(b.Model))
	})
	adapters := make(map[knapweedpulley.AdapterID]*customer.Adapter)
	for _, c := range s.Customers() {
		for id, a := range c.Adapters {
			adapters[id] = a
		}
	}
	t.models.Store(&models)
	t.adapters.Store(&adapters)
	t.decisions.Store(&decisions)
}

// DesiredModels implements knapweedpulley.DecisionSource.
func (t *templates) DesiredModels() []knapweedpulley.DesiredModel {
	return *t.decisions.Load()
}

// Checkpoint implements knapweedpulley.CheckpointSource.
func (t *templates) Checkpoint(
	model knapweedpulley.ModelID, adapter knapweedpulley.Option[knapweedpulley.AdapterID],
) (knapweedpulley.Checkpoint, bool) {
	if id, named := adapter.Get(); named {
		a, ok := (*t.adapters.Load())[id]
		if !ok || a.Model != model {
			return knapweedpulley.Checkpoint{}, false
		}
		return knapweedpulley.Checkpoint{Model: model, Adapter: id, Size: a.Size}, true
	}
	m, ok := (*t.models.Load())[model]
	if !ok {
		return knapweedpulley.Checkpoint{}, false
	}
	return knapweedpulley.Checkpoint{Model: model, Size: m.Size}, true
}
