package fleet

import (
	"maps"
	"math"
	"math/rand/v2"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/pace"
)

const (
	// pauseCost is added to the mean time between events for each other request to get the longest
	// pause of a stream, as the engine reads the prompts of the others in between. With about ten
	// requests, pauses reach the 300 ms that callers accept.
	pauseCost = 26 * time.Millisecond
	// stepTime is the time of a step of an engine, after which the first event follows.
	stepTime = 10 * time.Millisecond
	// responseTime is the time of a short response of a plain service, and responseCost what each
	// other request counts, so that load is divided in inverse proportion to the pace.
	responseTime = 10 * time.Millisecond
	responseCost = 10 * time.Millisecond
	// missedObjectiveCost ranks an endpoint behind all at which the objective for pauses can be kept.
	// It exceeds the sum of all other costs up to the deadlines of callers.
	missedObjectiveCost = time.Hour
	// missedFailureRate is the share of failed requests from which on an endpoint counts as one at
	// which no objective is kept.
	missedFailureRate = 0.25
	// promptShare is the part of its prompt's reading time that a call counts for each stream at the
	// endpoint, which pauses meanwhile.
	promptShare = 0.05
	// excludedLoadCost is added to the load time at an endpoint that is excluded, so that a model is
	// loaded there only if no other can load it.
	excludedLoadCost = 10 * time.Second
	// idlePaceLoad is the number of requests as whose delay the pace of an idle engine counts in the
	// choice of the engine that loads a model: what it can bear before streams pause.
	idlePaceLoad = 9
	// minSampleEvents is the number of times between events whose mean is a sample of the pace.
	minSampleEvents = 8
	// slowWriteTime is the time for which the writing of an event holds up the reading of the next
	// ones, so that the time between them says nothing about the endpoint.
	slowWriteTime = 5 * time.Millisecond
)

// paceGroups are the groups of the services. The map is immutable.
type paceGroups map[knapweedpulley.ServiceID]*pace.Group

// Expectation is what a call can expect at an endpoint.
type Expectation struct {
	Pace knapweedpulley.Pace
	// FirstEvent is the expected time to the first event, Pause the longest one between two events.
	FirstEvent time.Duration
	Pause      time.Duration
}

// ObservePace has report called when an endpoint is excluded for its pace or failures, and when it
// returns. report must not call the fleet, and must not block.
func (f *Fleet) ObservePace(report func(pace.Change)) {
	f.paceReport.Store(&report)
}

// updatePace puts the endpoints into the groups of their services. The caller holds mu.
func (f *Fleet) updatePace(byID map[knapweedpulley.EndpointID]*Endpoint) {
	members := make(map[knapweedpulley.ServiceID][]*pace.Member)
	for _, e := range byID {
		service := e.Registration().Service
		members[service] = append(members[service], e.pace)
	}
	last := f.paceGroups.Load()
	next := make(paceGroups, len(members))
	if last != nil {
		maps.Copy(next, *last)
	}
	for service := range next {
		if len(members[service]) == 0 {
			next[service].SetMembers(nil)
		}
	}
	for service, list := range members {
		g, known := next[service]
		if !known {
			g = pace.NewGroup(f.reportPace)
			next[service] = g
		}
		g.SetMembers(list)
	}
	f.paceGroups.Store(&next)
}

func (f *Fleet) reportPace(c pace.Change) {
	if report := f.paceReport.Load(); report != nil {
		(*report)(c)
	}
}

// paced reports whether endpoints of a service state their pace, with the instant for which that
// holds. The clock is read only for services whose endpoints have ever stated it.
func (f *Fleet) paced(service knapweedpulley.ServiceID) (knapweedpulley.Instant, bool) {
	groups := f.paceGroups.Load()
	if groups == nil {
		return 0, false
	}
	g, known := (*groups)[service]
	if !known || !g.Stated() {
		return 0, false
	}
	now := f.clock.Now()
	return now, g.Active(now)
}

// Expect returns what a request that has just begun can expect, and false if the endpoints of its
// service don't state their pace.
func (f *Fleet) Expect(r *ActiveRequest, needs Requirements) (Expectation, bool) {
	now, paced := f.paced(needs.Service)
	if !paced {
		return Expectation{}, false
	}
	needs.Prompt = 0 // It is among the prompt tokens at the endpoint.
	return r.expect(needs, max(0, r.Load()-1), r.pace.Pace(now)), true
}

// expect returns what a call can expect at the endpoint at a pace and beside a number of requests.
func (e *Endpoint) expect(needs Requirements, load int, p knapweedpulley.Pace) Expectation {
	x := Expectation{Pace: p}
	if needs.Weights.Model == "" {
		x.FirstEvent = responseTime + time.Duration(load)*responseCost
	} else {
		x.FirstEvent = stepTime + time.Duration(load)*requestCost +
			time.Duration(e.promptTokens.Load()+int64(needs.Prompt))*prefillPerToken
		x.Pause = expectedPause(load, p)
	}
	if slots := e.Slots(); slots > 0 && load >= slots {
		x.FirstEvent += time.Duration(load-slots+1) * queueCost
	}
	if needs.Weights.Model != "" {
		if r, _, fresh := e.Report(); fresh {
			x.FirstEvent += time.Duration(r.Waiting) * queueCost
		}
	}
	x.FirstEvent = scale(x.FirstEvent, p)
	return x
}

// expectedPause returns the longest pause that a stream can expect beside a number of requests.
func expectedPause(load int, p knapweedpulley.Pace) time.Duration {
	return scale(pace.EventTime+time.Duration(load)*pauseCost, p)
}

// keepsPauses reports whether the endpoint is expected to keep an objective for pauses for a while.
func (e *Endpoint) keepsPauses(target time.Duration, now knapweedpulley.Instant) bool {
	return !e.pace.Excluded() && expectedPause(e.Load(), e.pace.LongPace(now)) <= target
}

// avoidedBy reports whether the endpoint is to be chosen only if there is no other, and if it is excluded
// for its pace or failures, whether the call is to be sent to it as a probe.
func (e *Endpoint) avoidedBy(needs Requirements, now knapweedpulley.Instant, paced bool) (avoided, probe bool) {
	avoided = e.Avoided()
	if !paced || !e.pace.Excluded() {
		return avoided, false
	}
	return true, needs.MayProbe && !avoided && e.pace.TryProbe(now)
}

// costOf returns the cost of an endpoint, by its pace if paced is set.
func (f *Fleet) costOf(e *Endpoint, needs Requirements, now knapweedpulley.Instant, paced bool) time.Duration {
	if !paced {
		return f.cost(e, needs)
	}
	return f.pacedCost(e, needs, now) + rand.N(jitter) //nolint:gosec // The jitter needn't be unpredictable.
}

// pacedCost is the cost of an endpoint whose service states its pace: the expected time to the first
// event, the expected pause in relation to the objective, and the other penalties of cost.
func (f *Fleet) pacedCost(e *Endpoint, needs Requirements, now knapweedpulley.Instant) time.Duration {
	load := e.Load()
	x := e.expect(needs, load, e.pace.Pace(now))
	// Unlike FailureRate, this decays without further requests.
	failureRate := e.pace.Failures(now)
	cost := x.FirstEvent + time.Duration(failureRate*float64(failureCost))
	missed := failureRate >= missedFailureRate
	if target := needs.EventGapTarget; target > 0 && x.Pause > 0 {
		// The square divides load by pace as engines fill, and lets zones count while they are idle.
		// The limit keeps a false load of an endpoint from overflowing, which would make it the cheapest one.
		cost += time.Duration(min(float64(x.Pause)*float64(x.Pause)/float64(target)/2, float64(missedObjectiveCost)))
		missed = missed || x.Pause > target
	}
	away := e.Registration().Zone != f.zone
	if needs.Weights.Model == "" {
		if away {
			cost += serviceZoneCost
		}
	} else {
		if away {
			cost += zoneCost
		}
		reading := scale(time.Duration(needs.Prompt)*prefillPerToken, x.Pace)
		cost += time.Duration(promptShare * float64(reading) * float64(load))
		if r, _, fresh := e.Report(); fresh && r.CacheSize > 0 &&
			r.CacheUsed+knapweedpulley.Tokens(e.promptTokens.Load())+needs.Size > r.CacheSize {
			cost += fullCacheCost
			missed = true
		}
	}
	if missed {
		cost += missedObjectiveCost
	}
	return cost
}

// PauseObjectiveMissed reports whether all endpoints that hold what the request needs are beyond what
// keeps its objective for pauses, while one that doesn't hold it would keep it. It is false if the
// service's endpoints don't state their pace.
func (f *Fleet) PauseObjectiveMissed(needs Requirements) bool {
	now, paced := f.paced(needs.Service)
	if !paced || needs.EventGapTarget <= 0 {
		return false
	}
	for _, e := range f.candidates(needs) {
		if e.keepsPauses(needs.EventGapTarget, now) {
			return false
		}
	}
	for _, e := range f.Service(needs.Service) {
		if !knapweedpulley.Holds(e.Models(), needs.Weights) && e.keepsPauses(needs.EventGapTarget, now) {
			return true
		}
	}
	return false
}

// PaceLoadCost returns what is added to the load time of a model at an endpoint for its pace and its
// requests, each of which costs requestDelay at the usual pace. It returns false if the endpoints of
// the service don't state their pace.
func (f *Fleet) PaceLoadCost(e *Endpoint, requestDelay time.Duration) (time.Duration, bool) {
	now, paced := f.paced(e.Registration().Service)
	if !paced {
		return 0, false
	}
	d := scale(time.Duration(e.Load()+idlePaceLoad)*requestDelay, e.pace.LongPace(now))
	if e.pace.Excluded() {
		d += excludedLoadCost
	}
	return d, true
}

// scale returns a duration at the usual pace as one at pace p.
func scale(d time.Duration, p knapweedpulley.Pace) time.Duration {
	return time.Duration(math.Round(float64(d) * float64(p)))
}

// eventSampler takes the times between the events of one request's stream. It isn't safe for
// concurrent use.
type eventSampler struct {
	last  knapweedpulley.Instant
	total time.Duration
	count int
}

// RecordEvent records that an event of the request's stream arrived, and that it had been passed on at
// written.
func (r *ActiveRequest) RecordEvent(arrived, written knapweedpulley.Instant) {
	s := &r.sampler
	if s.last != 0 {
		s.total += arrived.Sub(s.last)
		s.count++
	}
	s.last = arrived
	if written.Sub(arrived) > slowWriteTime {
		s.last = 0
	}
	if s.count >= minSampleEvents {
		r.pace.RecordEvents(max(0, r.Load()-1), s.total/time.Duration(s.count), arrived)
		s.total, s.count = 0, 0
	}
}

// RecordResponse records that the endpoint has given a whole response, took after it was sent.
func (r *ActiveRequest) RecordResponse(took time.Duration) {
	r.pace.RecordResponse(max(0, r.Load()-1), took, r.clock.Now())
}

// recordPaceOutcome records what the outcome of the request says of its endpoint.
func (r *ActiveRequest) recordPaceOutcome(o Outcome) {
	if o != Inconclusive && o != Unsent {
		r.pace.RecordOutcome(o != Answered, r.clock.Now())
	}
}
