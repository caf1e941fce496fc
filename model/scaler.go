package model

import (
	"context"
	"sync"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// highLoad is the part of the slots of a model's holders that must be taken
	// for another replica to be loaded.
	highLoad = 0.9
	// lowLoad is the part of the slots that may be taken after a replica has
	// been unloaded.
	lowLoad = 0.4
	// surplusTime is how long a replica must be too many to be unloaded.
	surplusTime = 30 * time.Second
	// scaleTimeout bounds the load of a further replica.
	scaleTimeout = time.Minute
)

// Scaler adds replicas of loaded models under load, within their permits, and
// takes surplus ones away.
type Scaler struct {
	loader  *Loader
	sources Sources
	mu      sync.Mutex
	// surplus holds since when a model has had a replica too many.
	surplus map[knapweedpulley.ModelID]knapweedpulley.Instant
}

// NewScaler returns a scaler that loads by loader.
func NewScaler(loader *Loader) *Scaler {
	return &Scaler{
		loader: loader, sources: loader.sources,
		surplus: make(map[knapweedpulley.ModelID]knapweedpulley.Instant),
	}
}

// Due reports whether a replica of a model is to be added or taken away.
func (s *Scaler) Due(model knapweedpulley.ModelID) bool {
	return s.change(s.loader.holders(model, knapweedpulley.None[knapweedpulley.AdapterID]())) != 0
}

// Step adds or takes away one replica of a model if that is due.
func (s *Scaler) Step(ctx context.Context, model knapweedpulley.ModelID) error {
	holders := s.loader.holders(model, knapweedpulley.None[knapweedpulley.AdapterID]())
	ctx, cancel := context.WithTimeout(ctx, scaleTimeout)
	defer cancel()
	change := s.change(holders)
	long := s.setSurplus(model, change < 0)
	switch {
	case change > 0:
		return s.loader.Replicate(ctx, knapweedpulley.LoadRequest{Model: model, Zone: holders[0].Zone})
	case change < 0 && long:
		id, _ := s.loader.lightest(holders)
		// An agent refuses this order while requests run.
		_ = s.loader.send(ctx, id, knapweedpulley.Order{
			Kind: knapweedpulley.OrderUnloadModel, Model: model,
		}, scaleTimeout)
		return nil
	default:
		return nil
	}
}

// change returns 1 if a replica should be added to the holders of a model, and
// -1 if one is too many.
func (s *Scaler) change(holders []knapweedpulley.EndpointStatus) int {
	load, slots, largest := s.sum(holders)
	switch {
	case len(holders) > 0 && float64(load) >= highLoad*float64(slots):
		return 1
	case len(holders) > 1 && float64(load) <= lowLoad*float64(slots-largest):
		return -1
	default:
		return 0
	}
}

// sum returns the requests and slots at the holders, and the slots of the
// largest of them.
func (s *Scaler) sum(holders []knapweedpulley.EndpointStatus) (load, slots, largest int) {
	for _, h := range holders {
		load += s.sources.Endpoints.Load(h.Endpoint)
		slots += h.Engine.Slots
		largest = max(largest, h.Engine.Slots)
	}
	return load, slots, largest
}

// setSurplus takes in whether a model has a replica too many, and reports
// whether it has been so for long enough; then the time starts again.
func (s *Scaler) setSurplus(model knapweedpulley.ModelID, tooMany bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.sources.Clock.Now()
	since, ok := s.surplus[model]
	switch {
	case !tooMany:
		delete(s.surplus, model)
		return false
	case !ok:
		s.surplus[model] = now
		return false
	case now.Sub(since) < surplusTime:
		return false
	default:
		s.surplus[model] = now
		return true
	}
}
