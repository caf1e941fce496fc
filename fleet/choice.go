package fleet

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/warmup"
)

const (
	// requestCost is the delay of a first event for each request that shares the
	// batch.
	requestCost = 2 * time.Millisecond
	// queueCost is the wait for each request beyond the slots.
	queueCost = 50 * time.Millisecond
	// zoneCost is the price of traffic between zones, expressed as latency.
	zoneCost = 25 * time.Millisecond
	// serviceZoneCost is the same for the short answers of a plain service: one round
	// trip between zones.
	serviceZoneCost = 3 * time.Millisecond
	// failureCost is the cost of an endpoint at which all requests fail.
	failureCost = time.Second
	// fullCacheCost is the cost of an endpoint whose token memory is full, so that a
	// request would be preempted or wait.
	fullCacheCost = 500 * time.Millisecond
	// coldCost is the cost of an endpoint that is cold, which answers slowly. Callers are
	// better served by a warm endpoint unless about ten requests wait there.
	coldCost = 500 * time.Millisecond
	// prefillPerToken is the time in which an engine processes a token of a prompt:
	// about 20 tokens in a millisecond.
	prefillPerToken = 50 * time.Microsecond
	// jitter bounds the random cost that keeps gateways from all choosing the same
	// of two equal endpoints.
	jitter = time.Millisecond
)

// Requirements is what a request needs of an endpoint.
type Requirements struct {
	Service knapweedpulley.ServiceID
	// Weights is empty for a plain service.
	Weights knapweedpulley.Resident
	Prompt  knapweedpulley.Tokens
	// Size is the token memory that the request can take.
	Size knapweedpulley.Tokens
	// Affinity names the part of the prompt that an endpoint may have cached.
	// Shared is the number of its tokens.
	Affinity string
	Shared   knapweedpulley.Tokens
	Avoid    knapweedpulley.Set[knapweedpulley.EndpointID]
	// MaxSilence excludes endpoints that have been silent for that long, unless it is zero.
	MaxSilence time.Duration
	// EventGapTarget is the objective for the time between two events, zero if there is none.
	EventGapTarget time.Duration
	// MayProbe allows the choice of an endpoint that was excluded for its pace or failures, to find out
	// whether it is sound again.
	MayProbe bool
}

// Choose returns the endpoint with the earliest expected answer among those
// that hold what the request needs.
func (f *Fleet) Choose(needs Requirements) (*Endpoint, bool) {
	return f.best(f.candidates(needs), needs)
}

// candidates returns the endpoints that hold what the request needs.
func (f *Fleet) candidates(needs Requirements) []*Endpoint {
	f.noticeSuspension()
	x := f.index.Load()
	if needs.Weights.Model != "" {
		return x.holders[needs.Service][needs.Weights]
	}
	return x.services[needs.Service]
}

// Begin begins a request at the endpoint that Choose returns.
func (f *Fleet) Begin(needs Requirements) (*ActiveRequest, bool) {
	for {
		e, found := f.Choose(needs)
		if !found {
			return nil, false
		}
		// Another request may have taken the share of a cold endpoint since the choice, which is
		// excluded from the next one then.
		if r, begun := e.BeginRequest(needs.Prompt); begun {
			return r, true
		}
	}
}

// Offers reports whether an endpoint holds what the request needs and takes requests.
func (f *Fleet) Offers(e *Endpoint, needs Requirements) bool {
	now := f.clock.Now()
	at, _ := e.freeAt(now)
	return !at.After(now) && slices.Contains(f.candidates(needs), e)
}

// best returns the candidate with the lowest cost. An endpoint whose connections
// broke recently is chosen only if there is no other.
func (f *Fleet) best(candidates []*Endpoint, needs Requirements) (*Endpoint, bool) {
	preferred := preferredFor(candidates, needs)
	var best *Endpoint
	var lowest time.Duration
	bestAvoided := false
	var moment warmup.Moment
	now, paced := f.paced(needs.Service)
	for _, e := range candidates {
		cold, free := e.coldAt(&moment)
		if !free || e.excludedFrom(needs) {
			continue
		}
		avoided, probe := e.avoidedBy(needs, now, paced)
		if probe {
			return e, true
		}
		if best != nil && avoided && !bestAvoided {
			continue
		}
		cost := f.costOf(e, needs, now, paced)
		if cold {
			cost += coldCost
		}
		if e == preferred {
			cost -= time.Duration(needs.Shared) * prefillPerToken
		}
		if best == nil || (bestAvoided && !avoided) || cost < lowest {
			best, lowest, bestAvoided = e, cost, avoided
		}
	}
	return best, best != nil
}

// excludedFrom reports whether the endpoint must not be chosen for a request.
func (e *Endpoint) excludedFrom(needs Requirements) bool {
	_, held := e.HeldUntil()
	return held || needs.Avoid.Has(e.id) || needs.MaxSilence > 0 && e.Silent(needs.MaxSilence)
}

// cost estimates the time to the first event, and adds penalties for failures, for
// a full cache and for traffic between zones.
func (f *Fleet) cost(e *Endpoint, needs Requirements) time.Duration {
	registration := e.Registration()
	load := e.Load()
	cost := time.Duration(load) * requestCost
	if slots := e.Slots(); slots > 0 && load >= slots {
		cost += time.Duration(load-slots+1) * queueCost
	}
	cost += time.Duration(e.FailureRate() * float64(failureCost))
	cost += rand.N(jitter) //nolint:gosec // The jitter needn't be unpredictable.
	if needs.Weights.Model == "" {
		if registration.Zone != f.zone {
			cost += serviceZoneCost
		}
		return cost
	}
	if registration.Zone != f.zone {
		cost += zoneCost
	}
	cost += time.Duration(e.promptTokens.Load()) * prefillPerToken
	if r, _, fresh := e.Report(); fresh {
		cost += time.Duration(r.Waiting) * queueCost
		if r.CacheSize > 0 && r.CacheUsed+knapweedpulley.Tokens(e.promptTokens.Load())+needs.Size > r.CacheSize {
			cost += fullCacheCost
		}
	}
	return cost
}

// preferredFor returns the candidate that all gateways prefer for an affinity. It is
// found by rendezvous hashing.
func preferredFor(candidates []*Endpoint, needs Requirements) *Endpoint {
	if needs.Affinity == "" || len(candidates) < 2 {
		return nil
	}
	var preferred *Endpoint
	var highest uint64
	for _, e := range candidates {
		if rank := Rank(needs.Affinity, e.id); preferred == nil || rank > highest {
			preferred, highest = e, rank
		}
	}
	return preferred
}

// Rank returns the rank of an endpoint for a subject, by rendezvous hashing. All
// processes compute the same rank.
func Rank(subject string, id knapweedpulley.EndpointID) uint64 {
	return xxhash.Sum64String(subject + "\x00" + string(id))
}
