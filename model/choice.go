package model

import (
	"cmp"
	"slices"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/zone"
)

const (
	// evictionCost is charged for a load for which the whole of the memory must
	// be taken from other models.
	evictionCost = time.Second
	// queueCost is charged for a load on an endpoint whose slots are all busy.
	queueCost = time.Second
	// roundTrips is the number of round trips that a request waits for.
	roundTrips = 2
)

// Choice implements knapweedpulley.LoadPolicy: the endpoint that is ready first
// comes first, counting the transfer from where its machine has the checkpoint,
// what must be evicted, the queue and the distance.
type Choice struct {
	endpoints knapweedpulley.Endpoints
	distances *zone.Distances
	estimator *Estimator
}

// NewChoice returns a choice that estimates transfers by estimator.
func NewChoice(endpoints knapweedpulley.Endpoints, distances *zone.Distances, estimator *Estimator) *Choice {
	return &Choice{endpoints: endpoints, distances: distances, estimator: estimator}
}

// ranked is an option with its cost.
type ranked struct {
	option knapweedpulley.LoadOption
	cost   time.Duration
}

// Rank implements knapweedpulley.LoadPolicy.
func (c *Choice) Rank(
	w knapweedpulley.LoadRequest, checkpoint knapweedpulley.Checkpoint, endpoints []knapweedpulley.EndpointStatus,
) []knapweedpulley.LoadOption {
	list := make([]ranked, 0, len(endpoints))
	for i := range endpoints {
		s := &endpoints[i]
		if s.Draining || s.Engine.Memory < checkpoint.Size {
			continue
		}
		tier := tierOf(s, w.Model)
		list = append(list, ranked{
			option: knapweedpulley.LoadOption{Endpoint: s.Endpoint, Tier: tier},
			cost:   c.cost(w, checkpoint, s, tier),
		})
	}
	slices.SortStableFunc(list, func(a, b ranked) int { return cmp.Compare(a.cost, b.cost) })
	options := make([]knapweedpulley.LoadOption, 0, len(list))
	for _, r := range list {
		options = append(options, r.option)
	}
	return options
}

func (c *Choice) cost(
	w knapweedpulley.LoadRequest, checkpoint knapweedpulley.Checkpoint, s *knapweedpulley.EndpointStatus,
	tier knapweedpulley.CacheTier,
) time.Duration {
	cost := roundTrips * c.distances.Between(w.Zone, s.Zone)
	cost += share(queueCost, int64(c.endpoints.Load(s.Endpoint)), int64(s.Engine.Slots))
	transfer := c.estimator.Estimate(tier, checkpoint.Size)
	switch state, _ := stateOf(s, w.Model); state {
	case knapweedpulley.StateLoaded:
		return cost
	case knapweedpulley.StateLoading:
		// On average half of the transfer is still to come.
		return cost + transfer/2
	}
	cost += transfer
	return cost + share(evictionCost, int64(checkpoint.Size-s.FreeMemory), int64(checkpoint.Size))
}

// share returns the part of cost that corresponds to part of whole.
func share(cost time.Duration, part, whole int64) time.Duration {
	if whole <= 0 || part <= 0 {
		return 0
	}
	return time.Duration(float64(cost) * float64(part) / float64(whole))
}

// tierOf returns where the endpoint's machine finds a checkpoint.
func tierOf(s *knapweedpulley.EndpointStatus, model knapweedpulley.ModelID) knapweedpulley.CacheTier {
	tier := knapweedpulley.TierRemote
	for _, c := range s.Engine.Cached {
		if c.Model == model {
			tier = min(tier, c.Tier)
		}
	}
	return tier
}

// stateOf returns the state of a model in an endpoint's engine, and false if it
// isn't there.
func stateOf(s *knapweedpulley.EndpointStatus, model knapweedpulley.ModelID) (knapweedpulley.LoadState, bool) {
	for _, m := range s.Engine.Models {
		if m.Model == model {
			return m.State, true
		}
	}
	return "", false
}
