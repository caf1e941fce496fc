package model

import (
	"context"
	"sync"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// scaleUpLoad is the fraction of the slots of a model's holders that must be in use
	// for another replica to be loaded.
	scaleUpLoad = 0.9
	// scaleDownLoad is the fraction of the remaining slots that may be in use after a
	// replica has been unloaded.
	scaleDownLoad = 0.4
	// scaleDownDelay is how long a model must have a surplus replica before it is
	// unloaded.
	scaleDownDelay = 30 * time.Second
	// scaleTimeout bounds the load or unload of a replica.
	scaleTimeout = time.Minute
)

// Scaler loads further replicas of loaded models under load, within their permits, and
// unloads surplus ones.
type Scaler struct {
	loader  *Loader
	sources Sources
	mu      sync.Mutex
	// surplus holds the time since which a model has had a surplus replica.
	surplus map[knapweedpulley.ModelID]knapweedpulley.Instant
}

// NewScaler returns a scaler that sends its orders through loader.
func NewScaler(loader *Loader) *Scaler {
	return &Scaler{
		loader: loader, sources: loader.sources,
		surplus: make(map[knapweedpulley.ModelID]knapweedpulley.Instant),
	}
}

// Due reports whether a replica of a model is to be loaded or unloaded.
func (s *Scaler) Due(model knapweedpulley.ModelID) bool {
	return s.replicaChange(s.loader.holders(model, knapweedpulley.None[knapweedpulley.AdapterID]())) != 0
}

// Step loads or unloads one replica of a model if that is due.
func (s *Scaler) Step(ctx context.Context, model knapweedpulley.ModelID) error {
	holders := s.loader.holders(model, knapweedpulley.None[knapweedpulley.AdapterID]())
	ctx, cancel := context.WithTimeout(ctx, scaleTimeout)
	defer cancel()
	change := s.replicaChange(holders)
	long := s.recordSurplus(model, change < 0)
	switch {
	case change > 0:
		return s.loader.Replicate(ctx, knapweedpulley.LoadRequest{Model: model, Zone: holders[0].Zone})
	case change < 0 && long:
		id, _ := s.loader.leastLoaded(holders)
		// The agent refuses this order while requests run.
		_ = s.loader.sendOrder(ctx, id, knapweedpulley.Order{
			Kind: knapweedpulley.OrderUnloadModel, Model: model,
		}, scaleTimeout)
		return nil
	default:
		return nil
	}
}

// replicaChange returns 1 if a replica should be added to the holders of a model, -1 if
// there is a surplus replica, and 0 otherwise.
func (s *Scaler) replicaChange(holders []knapweedpulley.EndpointStatus) int {
	load, slots, largest := s.totalLoad(holders)
	switch {
	case len(holders) > 0 && float64(load) >= scaleUpLoad*float64(slots):
		return 1
	case len(holders) > 1 && float64(load) <= scaleDownLoad*float64(slots-largest):
		return -1
	default:
		return 0
	}
}

// totalLoad returns the number of requests and slots of the holders, and the number
// of slots of the largest one.
func (s *Scaler) totalLoad(holders []knapweedpulley.EndpointStatus) (load, slots, largest int) {
	for _, h := range holders {
		load += s.sources.Endpoints.Load(h.Endpoint)
		slots += h.Engine.Slots
		largest = max(largest, h.Engine.Slots)
	}
	return load, slots, largest
}

// recordSurplus records whether a model has a surplus replica, and reports whether it has
// had one for scaleDownDelay; in that case the delay starts again.
func (s *Scaler) recordSurplus(model knapweedpulley.ModelID, tooMany bool) bool {
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
	case now.Sub(since) < scaleDownDelay:
		return false
	default:
		s.surplus[model] = now
		return true
	}
}
