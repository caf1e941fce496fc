package gateway

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/pace"
)

// Meter records metrics about the outcomes of calls.
type Meter struct {
	scope tally.Scope
}

// NewMeter returns a meter that records in a scope.
func NewMeter(scope tally.Scope) *Meter {
	return &Meter{scope: scope}
}

// latencyBuckets returns the upper bounds of the buckets of latency histograms.
func latencyBuckets() tally.DurationBuckets {
	return tally.DurationBuckets{
		20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond,
		300 * time.Millisecond, 600 * time.Millisecond, time.Second, 2 * time.Second,
		4 * time.Second, 8 * time.Second, 16 * time.Second, 32 * time.Second,
	}
}

// recordDeparture counts an endpoint that has said that it is leaving.
func (m *Meter) recordDeparture() {
	m.scope.Counter("departures").Inc(1)
}

// recordHold counts an endpoint that wants no requests for a while.
func (m *Meter) recordHold() {
	m.scope.Counter("holds").Inc(1)
}

// recordRedirect counts an attempt that was not sent because the zone of its endpoint was evacuated
// after the endpoint was chosen.
func (m *Meter) recordRedirect() {
	m.scope.Counter("evacuation_redirects").Inc(1)
}

// recordEvacuatedRequests records the number of the gateway's requests in an evacuated zone.
func (m *Meter) recordEvacuatedRequests(zone knapweedpulley.ZoneID, n int) {
	m.scope.Tagged(map[string]string{"zone": string(zone)}).Gauge("evacuated_requests").Update(float64(n))
}

// recordColdHold counts a call all of whose endpoints are cold without a share left for it. It waits
// if it can be answered in time, and is refused otherwise.
func (m *Meter) recordColdHold(waits bool) {
	action := "refused"
	if waits {
		action = "waits"
	}
	m.scope.Tagged(map[string]string{"action": action}).Counter("cold_holds").Inc(1)
}

// recordQueueVisit counts a call that asked for its tokens in a queue, by its outcome, and the time that it waited.
func (m *Meter) recordQueueVisit(v QueueVisit) {
	m.scope.Tagged(map[string]string{"outcome": v.outcome}).Counter("rate_queue").Inc(1)
	if v.waited > 0 {
		m.scope.Histogram("rate_queue_wait", latencyBuckets()).RecordDuration(v.waited)
	}
}

// recordPaceExclusion counts an endpoint that is excluded for its pace or failures.
func (m *Meter) recordPaceExclusion(r pace.Reason) {
	m.scope.Tagged(map[string]string{"reason": string(r)}).Counter("pace_exclusions").Inc(1)
}

// recordPaceReturn counts an endpoint that returns from such an exclusion.
func (m *Meter) recordPaceReturn(r pace.Reason) {
	m.scope.Tagged(map[string]string{"reason": string(r)}).Counter("pace_returns").Inc(1)
}

// record records the outcome, the latency and the retries of a call.
func (m *Meter) record(h *callHandler, err error) {
	outcome := "answered"
	var refusal *knapweedpulley.Refusal
	switch {
	case err == nil:
	case errors.Is(err, ErrIncompleteAnswer):
		outcome = "broken"
	case errors.As(err, &refusal):
		outcome = string(refusal.Code)
	}
	scope := m.scope.Tagged(map[string]string{"route": string(h.admission.Route.ID)})
	scope.Tagged(map[string]string{"outcome": outcome}).Counter("requests").Inc(1)
	if h.firstLatency > 0 {
		scope.Histogram("first_answer", latencyBuckets()).RecordDuration(h.firstLatency)
	}
	if h.sends > 1 {
		scope.Counter("repeats").Inc(int64(h.sends - 1))
	}
	if h.coldSends > 0 {
		scope.Counter("cold_sends").Inc(int64(h.coldSends))
	}
	if h.stalls > 0 {
		scope.Counter("stalls").Inc(int64(h.stalls))
	}
	if h.notRetried != "" {
		scope.Tagged(map[string]string{"reason": h.notRetried}).Counter("not_retried").Inc(1)
	}
}
