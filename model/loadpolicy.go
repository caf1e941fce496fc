package model

import (
	"cmp"
	"slices"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/zone"
)

const (
	// maxEvictionCost is charged for a load whose memory must be freed entirely by
	// evicting other models.
	maxEvictionCost = time.Second
	// maxQueueCost is charged for a load on an endpoint whose slots are all in use.
	maxQueueCost = time.Second
	// roundTripsPerRequest is the number of round trips to the endpoint's zone that
	// a request waits for.
	roundTripsPerRequest = 2
)

// LoadPolicy implements knapweedpulley.LoadPolicy. It ranks endpoints by the estimated
// time until the request is served: the transfer from the tier in which the machine
// has the checkpoint, the evictions, the queue and the network distance.
type LoadPolicy struct {
	endpoints knapweedpulley.Endpoints
	distances *zone.Distances
	estimator *Estimator
}

// NewLoadPolicy returns a policy that takes transfer times from estimator.
func NewLoadPolicy(endpoints knapweedpulley.Endpoints, distances *zone.Distances, estimator *Estimator) *LoadPolicy {
	return &LoadPolicy{endpoints: endpoints, distances: distances, estimator: estimator}
}

// rankedOption is a load option with its estimated cost.
type rankedOption struct {
	option knapweedpulley.LoadOption
	cost   time.Duration
}

// Rank implements knapweedpulley.LoadPolicy.
func (p *LoadPolicy) Rank(
	request knapweedpulley.LoadRequest, checkpoint knapweedpulley.Checkpoint, endpoints []knapweedpulley.EndpointStatus,
) []knapweedpulley.LoadOption {
	list := make([]rankedOption, 0, len(endpoints))
	for i := range endpoints {
		s := &endpoints[i]
		if s.Draining || s.Engine.Memory < checkpoint.Size {
			continue
		}
		tier := tierOf(s, request.Model)
		list = append(list, rankedOption{
			option: knapweedpulley.LoadOption{Endpoint: s.Endpoint, Tier: tier},
			cost:   p.cost(request, checkpoint, s, tier),
		})
	}
	slices.SortStableFunc(list, func(a, b rankedOption) int { return cmp.Compare(a.cost, b.cost) })
	options := make([]knapweedpulley.LoadOption, 0, len(list))
	for _, r := range list {
		options = append(options, r.option)
	}
	return options
}

func (p *LoadPolicy) cost(
	request knapweedpulley.LoadRequest, checkpoint knapweedpulley.Checkpoint, s *knapweedpulley.EndpointStatus,
	tier knapweedpulley.CacheTier,
) time.Duration {
	cost := roundTripsPerRequest * p.distances.Between(request.Zone, s.Zone)
	cost += proportionalCost(maxQueueCost, int64(p.endpoints.Load(s.Endpoint)), int64(s.Engine.Slots))
	transfer := p.estimator.Estimate(tier, checkpoint.Size)
	switch state, _ := stateOf(s, request.Model); state {
	case knapweedpulley.StateLoaded:
		return cost
	case knapweedpulley.StateLoading:
		// On average, half of the transfer remains.
		return cost + transfer/2
	}
	cost += transfer
	return cost + proportionalCost(maxEvictionCost, int64(checkpoint.Size-s.FreeMemory), int64(checkpoint.Size))
}

// proportionalCost returns cost scaled by portion / whole.
func proportionalCost(cost time.Duration, portion, whole int64) time.Duration {
	if whole <= 0 || portion <= 0 {
		return 0
	}
	return time.Duration(float64(cost) * float64(portion) / float64(whole))
}

// tierOf returns the fastest tier in which the endpoint's machine has a checkpoint.
func tierOf(s *knapweedpulley.EndpointStatus, model knapweedpulley.ModelID) knapweedpulley.CacheTier {
	tier := knapweedpulley.TierRemote
	for _, c := range s.Engine.Cached {
		if c.Model == model {
			tier = min(tier, c.Tier)
		}
	}
	return tier
}

// stateOf returns the state of a model in an endpoint's engine, and false if the
// engine doesn't hold it.
func stateOf(s *knapweedpulley.EndpointStatus, model knapweedpulley.ModelID) (knapweedpulley.LoadState, bool) {
	for _, m := range s.Engine.Models {
		if m.Model == model {
			return m.State, true
		}
	}
	return "", false
}
