package ratequeue

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// demandTime is the time constant of the average of a route's demand. It spans several requests
	// of a route that sends one a second.
	demandTime = 4 * time.Second
	// creditTime is the time constant with which a route loses the claim to tokens that it hasn't used,
	// and the debt for tokens that others didn't use. It is the window in which operators count.
	creditTime = 8 * time.Second
	// sizeTime is the time constant with which the size of a route's largest request is forgotten.
	sizeTime = 30 * time.Second
	// scarcityTime is the time constant of the average of the whole demand by which a rate counts as scarce. In it
	// a small customer sends several requests, so that a chance row of them isn't taken for scarcity.
	scarcityTime = 15 * time.Second
	// scarceDeviation is the number of standard deviations, for independent arrivals, by which the average of the
	// demand exceeds the rate when that counts as scarce. With it a chance row of requests of a small customer
	// that uses three fifths of its rate is not taken for scarcity.
	scarceDeviation = 3
	// typicalWeight is the weight of a request in the average size of its route's requests. If demand were counted by
	// each request's own size, a large one would raise its route's share by itself, and more large requests
	// than small ones would be let in.
	typicalWeight = 0.05
	// minDemand is the demand in tokens a second that a route counts with at least, so that it has a
	// weight from its first request on.
	minDemand = 1.0
	// priorityBonus is the weight that a route gets in addition for each step by which it is more urgent
	// than the least urgent one. Without it, a route whose requests can wait less is served less,
	// because it can't use each moment in which tokens are left. With 0.05, routes got 0.82, 0.88 and 0.91 of a demand of
	// 1.2 times the rate, the most urgent one least; with 0.12 they got 0.85, 0.87 and 0.88.
	priorityBonus = 0.12
	// maxBonusSteps bounds the steps that count.
	maxBonusSteps = 3
	// reservedRequests is the number of requests of a route with less time for which others leave its tokens.
	reservedRequests = 2
)

// route is the state of one route of the customer.
type route struct {
	id       knapweedpulley.RouteID
	priority int
	// entries are ordered by key.
	entries []*entry
	// credit is the route's counter: the tokens that it may use before others. It is negative after it
	// used tokens that others left.
	credit float64
	// demand is the recent demand in tokens a second, weight the weight that follows from it.
	demand float64
	weight float64
	// slowDemand is the demand over a longer time.
	slowDemand float64
	// typical is the average size of recent requests, by which demand is counted.
	typical float64
	// largest is the size of the largest recent request, patience the longest time that a recent one could
	// wait.
	largest  float64
	patience time.Duration
	// placeTokens is the number of tokens of the entries without a caller.
	placeTokens float64
	lastUse     knapweedpulley.Instant
}

// entry is a request in the queue, or a place that is kept for one.
type entry struct {
	// ticket is zero while no caller waits.
	ticket      Ticket
	route       *route
	tokens      float64
	fingerprint knapweedpulley.Fingerprint
	// key is the instant by which the request is to be granted, by which entries are ordered.
	key knapweedpulley.Instant
	// patience is how long the request could wait when it came.
	patience time.Duration
	// until is when the request is refused, or when the place expires.
	until knapweedpulley.Instant
	// setAside is set once the tokens of a place were taken.
	setAside bool
}

// record adds a request to the route's demand.
func (r *route) record(now knapweedpulley.Instant, tokens float64) {
	if r.typical == 0 {
		r.typical = tokens
	}
	r.typical += typicalWeight * (tokens - r.typical)
	r.demand += r.typical / demandTime.Seconds()
	r.slowDemand += r.typical / scarcityTime.Seconds()
	r.largest = max(r.largest, tokens)
	r.lastUse = now
}

// position returns where an entry with the given key belongs. It is behind those with the same key.
func (r *route) position(key knapweedpulley.Instant) int {
	i, _ := slices.BinarySearchFunc(r.entries, key, func(e *entry, k knapweedpulley.Instant) int {
		if e.key == k {
			return -1
		}
		return cmp.Compare(e.key, k)
	})
	return i
}

func (r *route) insert(e *entry) int {
	i := r.position(e.key)
	r.entries = slices.Insert(r.entries, i, e)
	if e.ticket == 0 {
		r.placeTokens += e.tokens
	}
	return i
}

func (r *route) remove(e *entry) {
	if i := slices.Index(r.entries, e); i >= 0 {
		r.entries = slices.Delete(r.entries, i, i+1)
	}
	if e.ticket == 0 {
		r.placeTokens = max(0, r.placeTokens-e.tokens)
	}
}

// tokensBefore returns the tokens of the first n entries.
func (r *route) tokensBefore(n int) float64 {
	sum := 0.0
	for _, e := range r.entries[:n] {
		sum += e.tokens
	}
	return sum
}

// advance brings the counters of all routes up to date. The tokens by which the level has changed are
// divided by weight, so that the counters add up to the level.
func (q *Queue) advance(now knapweedpulley.Instant, s *Supply) {
	elapsed := max(0, now.Sub(q.updated))
	q.updated = max(q.updated, now)
	if elapsed > 0 {
		q.dropIdle(now)
	}
	if len(q.routes) == 0 {
		return
	}
	forget := math.Exp(-elapsed.Seconds() / demandTime.Seconds())
	forgetSlowly := math.Exp(-elapsed.Seconds() / scarcityTime.Seconds())
	shrink := math.Exp(-elapsed.Seconds() / sizeTime.Seconds())
	settle := 1 - math.Exp(-elapsed.Seconds()/creditTime.Seconds())
	least := 0
	for _, r := range q.routes {
		r.demand *= forget
		r.slowDemand *= forgetSlowly
		r.largest *= shrink
		r.patience = time.Duration(shrink * float64(r.patience))
		least = max(least, r.priority)
	}
	q.weight, q.demand, q.slowDemand = 0, 0, 0
	typical := 0.0
	credits := 0.0
	for _, r := range q.routes {
		steps := min(maxBonusSteps, least-r.priority)
		r.weight = max(minDemand, r.demand) * (1 + priorityBonus*float64(steps))
		q.weight += r.weight
		q.demand += r.demand
		q.slowDemand += r.slowDemand
		typical = max(typical, r.typical)
		credits += r.credit
	}
	rate := s.Rate * float64(s.Parts)
	q.scarce = q.slowDemand > rate+scarceDeviation*math.Sqrt(rate*typical/(2*scarcityTime.Seconds()))
	change := s.Level - credits
	for _, r := range q.routes {
		share := r.weight / q.weight
		r.credit += share * change
		r.credit += settle * (share*s.Level - r.credit)
	}
}

// dropIdle removes routes that were not used for long, so that their number doesn't grow.
func (q *Queue) dropIdle(now knapweedpulley.Instant) {
	q.routes = slices.DeleteFunc(q.routes, func(r *route) bool {
		return len(r.entries) == 0 && now.Sub(r.lastUse) > sizeTime
	})
}

// routeOf returns the state of a request's route.
func (q *Queue) routeOf(now knapweedpulley.Instant, s *Supply, r Request) *route {
	for _, known := range q.routes {
		if known.id == r.Route {
			known.priority = r.Priority
			return known
		}
	}
	if len(q.routes) >= maxRoutes {
		return q.routes[len(q.routes)-1]
	}
	added := &route{id: r.Route, priority: r.Priority, lastUse: now}
	q.routes = append(q.routes, added)
	q.advance(now, s)
	return added
}

// share returns the tokens a second that a route can count on: its part by weight, or what the others
// leave. Each call asks all holders, so each of them sees the whole demand.
func (q *Queue) share(r *route, s *Supply) float64 {
	return max(1, s.Rate*r.weight/q.weight, s.Rate-(q.demand-r.demand)/float64(s.Parts))
}

// reserve returns the tokens that a request of a route leaves for those that can wait less: what belongs to their
// routes, up to a few of their largest requests.
func (q *Queue) reserve(r *route, s *Supply) float64 {
	if !q.scarce {
		return 0
	}
	reserved, largest := 0.0, 0.0
	for _, other := range q.routes {
		largest = max(largest, other.largest)
		if other != r && other.patience < r.patience && other.demand > minDemand {
			reserved += max(0, min(other.credit, reservedRequests*other.largest))
		}
	}
	return max(0, min(reserved, s.Burst-largest))
}
