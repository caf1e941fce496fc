package entry

import (
	"slices"
	"strings"
	"sync/atomic"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/customer"
)

// modelCatalog holds the desired models and the checkpoints that the templates in
// force give. It implements knapweedpulley.DesiredModelSource and
// knapweedpulley.CheckpointSource.
type modelCatalog struct {
	desired  atomic.Pointer[[]knapweedpulley.DesiredModel]
	adapters atomic.Pointer[map[knapweedpulley.AdapterID]*customer.Adapter]
	models   atomic.Pointer[map[knapweedpulley.ModelID]*customer.Model]
}

func newModelCatalog() *modelCatalog {
	mc := &modelCatalog{}
	mc.apply(customer.NewDirectory().Current())
	return mc
}

// apply replaces the content with that of a snapshot of the directory.
func (mc *modelCatalog) apply(s *customer.Snapshot) {
	models := s.Models()
	desired := make([]knapweedpulley.DesiredModel, 0, len(models))
	for id, m := range models {
		desired = append(desired, knapweedpulley.DesiredModel{Model: id, Replicas: m.Replicas, Size: m.Size})
	}
	slices.SortFunc(desired, func(a, b knapweedpulley.DesiredModel) int {
		return strings.Compare(string(a.Model), string(b.Model))
	})
	adapters := make(map[knapweedpulley.AdapterID]*customer.Adapter)
	for _, c := range s.Customers() {
		for id, a := range c.Adapters {
			adapters[id] = a
		}
	}
	mc.models.Store(&models)
	mc.adapters.Store(&adapters)
	mc.desired.Store(&desired)
}

// DesiredModels implements knapweedpulley.DesiredModelSource.
func (mc *modelCatalog) DesiredModels() []knapweedpulley.DesiredModel {
	return *mc.desired.Load()
}

// Checkpoint implements knapweedpulley.CheckpointSource.
func (mc *modelCatalog) Checkpoint(
	model knapweedpulley.ModelID, adapter knapweedpulley.Option[knapweedpulley.AdapterID],
) (knapweedpulley.Checkpoint, bool) {
	if id, named := adapter.Get(); named {
		a, ok := (*mc.adapters.Load())[id]
		if !ok || a.Model != model {
			return knapweedpulley.Checkpoint{}, false
		}
		return knapweedpulley.Checkpoint{Model: model, Adapter: id, Size: a.Size}, true
	}
	m, ok := (*mc.models.Load())[model]
	if !ok {
		return knapweedpulley.Checkpoint{}, false
	}
	return knapweedpulley.Checkpoint{Model: model, Size: m.Size}, true
}
