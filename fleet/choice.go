package fleet

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// requestCost is how much later a first event comes for each request that
	// shares the batch.
	requestCost = 2 * time.Millisecond
	// queueCost is the wait for each request beyond the slots.
	queueCost = 50 * time.Millisecond
	// zoneCost weighs the price of bytes between zones against latency.
	zoneCost = 25 * time.Millisecond
	// plainZoneCost is the same for short answers: the way there and back.
	plainZoneCost = 3 * time.Millisecond
	// failureCost is the cost of an endpoint at which all requests fail.
	failureCost = time.Second
	// fullCost is the cost of an endpoint whose token memory is full, so that a
	// request would be preempted or wait.
	fullCost = 500 * time.Millisecond
	// prefillPerToken is the time an engine takes to read a token of a prompt,
	// about 20 in a millisecond.
	prefillPerToken = 50 * time.Microsecond
	// jitter keeps gateways from choosing the same of two equal endpoints.
	jitter = time.Millisecond
)

// Need is what a request needs of an endpoint.
type Need struct {
	Service knapweedpulley.ServiceID
	// Weights is empty for a plain service.
	Weights knapweedpulley.Resident
	Prompt  knapweedpulley.Tokens
	// Size is the token memory that the request can take.
	Size knapweedpulley.Tokens
	// Affinity names what an endpoint may have kept of the prompt, Shared how
	// many tokens that are.
	Affinity string
	Shared   knapweedpulley.Tokens
	Avoid    knapweedpulley.Set[knapweedpulley.EndpointID]
}

// Choose returns the endpoint with the earliest expected answer among those
// that hold what the request needs.
func (f *Fleet) Choose(n Need) (*Endpoint, bool) {
	x := f.index.Load()
	candidates := x.services[n.Service]
	if n.Weights.Model != "" {
		candidates = x.holders[n.Service][n.Weights]
	}
	return f.best(candidates, n)
}

// best returns the candidate of the least cost. Endpoints whose connections
// broke lately are the last resort.
func (f *Fleet) best(candidates []*Endpoint, n Need) (*Endpoint, bool) {
	home := homeOf(candidates, n)
	var best *Endpoint
	var least time.Duration
	resort := false
	for _, e := range candidates {
		if n.Avoid.Has(e.id) {
			continue
		}
		avoided := e.Avoided()
		if best != nil && avoided && !resort {
			continue
		}
		cost := f.cost(e, n)
		if e == home {
			cost -= time.Duration(n.Shared) * prefillPerToken
		}
		if best == nil || (resort && !avoided) || cost < least {
			best, least, resort = e, cost, avoided
		}
	}
	return best, best != nil
}

// cost estimates the time to the first event, and adds what else a choice costs.
func (f *Fleet) cost(e *Endpoint, n Need) time.Duration {
	entry := e.Entry()
	load := e.Load()
	cost := time.Duration(load) * requestCost
	if slots := e.Slots(); slots > 0 && load >= slots {
		cost += time.Duration(load-slots+1) * queueCost
	}
	cost += time.Duration(e.Failing() * float64(failureCost))
	cost += rand.N(jitter) //nolint:gosec // It needs no secrecy.
	if n.Weights.Model == "" {
		if entry.Zone != f.zone {
			cost += plainZoneCost
		}
		return cost
	}
	if entry.Zone != f.zone {
		cost += zoneCost
	}
	cost += time.Duration(e.prompts.Load()) * prefillPerToken
	if r, _, fresh := e.Report(); fresh {
		cost += time.Duration(r.Waiting) * queueCost
		if r.CacheSize > 0 && r.CacheUsed+knapweedpulley.Tokens(e.prompts.Load())+n.Size > r.CacheSize {
			cost += fullCost
		}
	}
	return cost
}

// homeOf returns the candidate on which all gateways agree for an affinity, by
// rendezvous hashing.
func homeOf(candidates []*Endpoint, n Need) *Endpoint {
	if n.Affinity == "" || len(candidates) < 2 {
		return nil
	}
	var home *Endpoint
	var most uint64
	for _, e := range candidates {
		if rank := Rank(n.Affinity, e.id); home == nil || rank > most {
			home, most = e, rank
		}
	}
	return home
}

// Rank orders endpoints for a subject in a way on which all processes agree.
func Rank(subject string, id knapweedpulley.EndpointID) uint64 {
	return xxhash.Sum64String(subject + "\x00" + string(id))
}
