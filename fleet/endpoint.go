package fleet

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/pace"
	"github.com/knapweedpulley/knapweedpulley/warmup"
)

const (
	// minAvoidTime and maxAvoidTime bound the time for which an endpoint is avoided
	// after a broken connection. The time doubles with each one in a row.
	minAvoidTime = 200 * time.Millisecond
	maxAvoidTime = 3 * time.Second
	// unreachableTime is how long an endpoint that refuses connections is excluded
	// unless its keeper sends a report earlier. Crashed endpoints are back after some
	// seconds.
	unreachableTime = 3 * time.Second
	// failureWeight is the weight of the last request in the moving average of
	// failures, which covers about the last ten requests.
	failureWeight = 0.1
	// silentTime is how long an endpoint that was silent for too long counts as silent unless it
	// sends something.
	silentTime = 3 * time.Second
	// maxLoad bounds the numbers of requests that an endpoint reports, so that the costs fit into 64
	// bits.
	maxLoad = 1_000_000
)

// receivedReport is a keeper's report with the state at its arrival.
type receivedReport struct {
	knapweedpulley.EngineReport
	at knapweedpulley.Instant
	// active is the number of the gateway's own requests at the endpoint when the first
	// report with these request counts arrived.
	active int32
}

// receivedLoad is the load that an answer reported, with the state at its arrival.
type receivedLoad struct {
	knapweedpulley.EndpointLoad
	// active is the number of the gateway's own requests at the endpoint.
	active int32
}

// Endpoint is an endpoint as one gateway sees it.
type Endpoint struct {
	id           knapweedpulley.EndpointID
	clock        knapweedpulley.Clock
	registration atomic.Pointer[knapweedpulley.RegisteredEndpoint]
	report       atomic.Pointer[receivedReport]
	load         atomic.Pointer[receivedLoad]
	// active counts the gateway's requests. promptTokens counts the prompt tokens of
	// those that have no first event yet.
	active       atomic.Int32
	promptTokens atomic.Int64
	// failureRate is the moving average of failures, as the bits of a float64.
	failureRate atomic.Uint64
	// brokenInRow counts broken connections in a row.
	brokenInRow atomic.Int32
	avoidUntil  atomic.Int64
	// unreachableUntil is set while the endpoint refuses connections.
	unreachableUntil atomic.Int64
	// heldUntil is until when the endpoint wants no requests.
	heldUntil atomic.Int64
	// heardAt is when the endpoint last sent a part of an answer, busySince when it got the first of
	// the gateway's active requests, silentAt when it had been silent for too long.
	heardAt   atomic.Int64
	busySince atomic.Int64
	silentAt  atomic.Int64
	// leaving is set once the endpoint has said that it is leaving.
	leaving atomic.Bool
	pace    *pace.Member
	// warmUp outlives a restart of the endpoint.
	warmUp *warmup.Endpoint
}

func newEndpoint(id knapweedpulley.EndpointID, clock knapweedpulley.Clock, w *warmup.Endpoint) *Endpoint {
	return &Endpoint{id: id, clock: clock, pace: pace.NewMember(id), warmUp: w}
}

// ID returns the endpoint's id.
func (e *Endpoint) ID() knapweedpulley.EndpointID {
	return e.id
}

// Registration returns the registration of the endpoint.
func (e *Endpoint) Registration() *knapweedpulley.RegisteredEndpoint {
	return e.registration.Load()
}

// Report returns the last report of the keeper on the registered run of the
// endpoint, the time since the keeper read the endpoint for it, and whether it is
// still valid. The report is nil if there is none.
func (e *Endpoint) Report() (*knapweedpulley.EngineReport, time.Duration, bool) {
	r, age, fresh := e.lastReport()
	if r == nil {
		return nil, 0, false
	}
	return &r.EngineReport, age, fresh
}

// lastReport returns the last report as Report does, with the state at its arrival.
func (e *Endpoint) lastReport() (*receivedReport, time.Duration, bool) {
	r := e.report.Load()
	if r == nil || r.Start < e.Registration().Start {
		return nil, 0, false
	}
	age := e.clock.Now().Sub(r.at) + r.Age
	return r, age, age < r.Lifetime
}

// Models returns the models that the endpoint holds, from a fresh report if there
// is one and from the registration otherwise.
func (e *Endpoint) Models() []knapweedpulley.LoadedModel {
	if r, _, fresh := e.Report(); fresh {
		return r.Models
	}
	return e.Registration().Models
}

// Active returns the number of the gateway's requests at the endpoint.
func (e *Endpoint) Active() int {
	return int(e.active.Load())
}

// Load returns the estimated number of requests of all gateways at the endpoint.
func (e *Endpoint) Load() int {
	own := int(e.active.Load())
	if r, _, fresh := e.lastReport(); fresh {
		return own + max(0, r.Running+r.Waiting-int(r.active))
	}
	if l := e.load.Load(); l != nil {
		return own + max(0, l.Running+l.Waiting-int(l.active))
	}
	return own
}

// Slots returns how many requests the endpoint runs at once, or zero if unknown.
func (e *Endpoint) Slots() int {
	if l := e.load.Load(); l != nil && l.Slots > 0 {
		return l.Slots
	}
	return e.Registration().Slots
}

// Avoided reports whether connections to the endpoint broke recently.
func (e *Endpoint) Avoided() bool {
	return knapweedpulley.Instant(e.avoidUntil.Load()).After(e.clock.Now())
}

// Departing reports whether the endpoint takes no new requests because it is leaving, by its
// registration or by its own word.
func (e *Endpoint) Departing() bool {
	return e.leaving.Load() || e.Registration().Draining
}

// Unreachable reports whether the endpoint refused connections recently and its
// keeper has not read it since.
func (e *Endpoint) Unreachable() bool {
	return knapweedpulley.Instant(e.unreachableUntil.Load()).After(e.clock.Now())
}

// FailureRate returns the share of the last requests that failed, from 0 to 1.
func (e *Endpoint) FailureRate() float64 {
	return math.Float64frombits(e.failureRate.Load())
}

// Observe records the load that the endpoint reported with an answer.
func (e *Endpoint) Observe(l knapweedpulley.EndpointLoad) {
	l.Running, l.Waiting = bounded(l.Running), bounded(l.Waiting)
	e.load.Store(&receivedLoad{EndpointLoad: l, active: e.active.Load()})
	if p, known := l.Pace.Get(); known {
		e.pace.State(p, e.clock.Now())
	}
}

// setReport stores a keeper's report. If the keeper read the endpoint after it refused
// connections, the endpoint is reachable again.
func (e *Endpoint) setReport(r knapweedpulley.EngineReport) {
	now := e.clock.Now()
	readAt := now.Add(-r.Age)
	if refusedAt := knapweedpulley.Instant(e.unreachableUntil.Load()).Add(-unreachableTime); !refusedAt.After(readAt) {
		e.unreachableUntil.Store(0)
	}
	active := e.active.Load()
	if last := e.report.Load(); last != nil && last.at.After(readAt) {
		// The request counts are those of the last report.
		active = last.active
	}
	r.Running, r.Waiting = bounded(r.Running), bounded(r.Waiting)
	e.report.Store(&receivedReport{EngineReport: r, at: now, active: active})
}

// bounded returns a reported number of requests, limited to 0 to maxLoad.
func bounded(n int) int {
	return min(max(n, 0), maxLoad)
}

// Outcome is the outcome of a request at an endpoint.
type Outcome int

// Outcomes of requests.
const (
	// Answered requests got a complete answer that is not a failure.
	Answered Outcome = iota
	// Failed requests were answered with a failure.
	Failed
	// Broken requests got no complete answer.
	Broken
	// Inconclusive requests say nothing about the endpoint.
	Inconclusive
	// Unsent requests were not sent, or didn't reach the instance for which they were meant.
	Unsent
)

// ActiveRequest is a request in progress at an endpoint.
type ActiveRequest struct {
	*Endpoint
	prompt     int64
	prefilling atomic.Bool
	ticket     warmup.Ticket
	sampler    eventSampler
}

// BeginRequest counts a request with the given number of prompt tokens as active. It returns false if
// the endpoint is cold and the gateway's share of its limit is used up.
func (e *Endpoint) BeginRequest(prompt knapweedpulley.Tokens) (*ActiveRequest, bool) {
	t, taken := e.takeShare()
	if !taken {
		return nil, false
	}
	return e.activate(prompt, t), true
}

// TryBeginRequest does the same as BeginRequest if the endpoint has a free slot for the request.
func (e *Endpoint) TryBeginRequest(prompt knapweedpulley.Tokens) (*ActiveRequest, bool) {
	r, begun := e.BeginRequest(prompt)
	if !begun {
		return nil, false
	}
	if slots := e.Slots(); slots > 0 && e.Load() > slots {
		r.End(Unsent)
		return nil, false
	}
	return r, true
}

// activate counts a request as active.
func (e *Endpoint) activate(prompt knapweedpulley.Tokens, t warmup.Ticket) *ActiveRequest {
	r := &ActiveRequest{Endpoint: e, prompt: int64(prompt), ticket: t}
	r.prefilling.Store(true)
	if e.active.Add(1) == 1 {
		e.busySince.Store(int64(e.clock.Now()))
	}
	e.promptTokens.Add(r.prompt)
	return r
}

// Cold reports whether the request has taken a part of the share for a cold endpoint.
func (r *ActiveRequest) Cold() bool {
	return r.ticket.Cold()
}

// Overdue reports whether the request has waited since it began for so long that it must not be sent
// with the part of the share that it has taken.
func (r *ActiveRequest) Overdue() bool {
	return r.ticket.Cold() && r.ticket.Overdue(r.clock.Now())
}

// PromptProcessed records that the endpoint has processed the prompt.
func (r *ActiveRequest) PromptProcessed() {
	if r.prefilling.CompareAndSwap(true, false) {
		r.promptTokens.Add(-r.prompt)
	}
}

// End records the outcome of the request, which is no longer active. It may be
// called only once.
func (r *ActiveRequest) End(o Outcome) {
	r.PromptProcessed()
	r.active.Add(-1)
	r.recordPaceOutcome(o)
	switch o {
	case Answered:
		r.brokenInRow.Store(0)
		r.recordFailure(0)
	case Failed:
		r.recordFailure(1)
	case Broken:
		r.recordFailure(1)
		r.backOff()
	case Unsent:
		r.ticket.Return()
	case Inconclusive:
	}
}

// recordFailure adds a request to the moving average of failures. The value is 1 for
// a failed request and 0 for any other.
func (e *Endpoint) recordFailure(failure float64) {
	last := e.FailureRate()
	e.failureRate.Store(math.Float64bits(last + failureWeight*(failure-last)))
}

// Avoid has the endpoint avoided for d from now.
func (e *Endpoint) Avoid(d time.Duration) {
	advance(&e.avoidUntil, e.clock.Now().Add(d))
}

// RecordActivity records that the endpoint has sent a part of an answer.
func (e *Endpoint) RecordActivity() {
	advance(&e.heardAt, e.clock.Now())
}

// MarkSilent records that the endpoint has been silent for too long.
func (e *Endpoint) MarkSilent() {
	advance(&e.silentAt, e.clock.Now())
}

// Silent reports whether the endpoint has been silent for too long and not been heard since, or has
// sent nothing for d although it has requests of the gateway.
func (e *Endpoint) Silent(d time.Duration) bool {
	now, heardAt := e.clock.Now(), e.heardAt.Load()
	if silentAt := e.silentAt.Load(); silentAt > heardAt && now.Sub(knapweedpulley.Instant(silentAt)) < silentTime {
		return true
	}
	return e.active.Load() > 0 && now.Sub(knapweedpulley.Instant(max(heardAt, e.busySince.Load()))) >= d
}

// HoldBack excludes the endpoint from choices for d from now, as it wants no requests. It reports
// whether the endpoint took requests until now.
func (e *Endpoint) HoldBack(d time.Duration) bool {
	_, held := e.HeldUntil()
	advance(&e.heldUntil, e.clock.Now().Add(d))
	return !held
}

// HeldUntil returns until when the endpoint wants no requests, and false if it takes them.
func (e *Endpoint) HeldUntil() (knapweedpulley.Instant, bool) {
	until := knapweedpulley.Instant(e.heldUntil.Load())
	return until, until.After(e.clock.Now())
}

// advance stores an instant unless a later one is stored.
func advance(stored *atomic.Int64, i knapweedpulley.Instant) {
	for last := stored.Load(); last < int64(i); last = stored.Load() {
		if stored.CompareAndSwap(last, int64(i)) {
			return
		}
	}
}

// backOff has the endpoint avoided for a time that doubles with each broken
// connection in a row.
func (e *Endpoint) backOff() {
	n := e.brokenInRow.Add(1)
	e.Avoid(min(maxAvoidTime, minAvoidTime<<min(n-1, 8)))
}
