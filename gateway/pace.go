package gateway

import (
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/fleet"
	"github.com/knapweedpulley/knapweedpulley/pace"
)

// eventGapTarget returns the objective for the time between two events of the call's answer, zero if
// the answer is no stream.
func (h *callHandler) eventGapTarget() time.Duration {
	if !h.admission.Route.Stream {
		return 0
	}
	return h.admission.Route.EventGapTarget
}

// recordChoice notes when an attempt begins, and the load and the pace of its endpoint.
func (h *callHandler) recordChoice(visit *fleet.ActiveRequest) {
	h.loadAtChoice = max(0, visit.Load()-1)
	h.sentAt = h.Clock.Now()
	if x, paced := h.Fleet.Expect(visit, h.need()); paced {
		h.expectation = knapweedpulley.Some(x)
	}
}

// recordPaceChange logs and counts the exclusion or the return of an endpoint.
func (g *Gateway) recordPaceChange(c pace.Change) {
	entry := g.Log.WithField("endpoint", c.Endpoint).WithField("reason", c.Reason).
		WithField("durationMs", c.Duration.Milliseconds())
	if !c.Excluded {
		entry.Info("endpoint returns to selection")
		g.Meter.recordPaceReturn(c.Reason)
		return
	}
	entry.WithField("pacePercent", percent(c.Pace)).WithField("failedShare", c.Failures).
		Warn("endpoint is excluded from selection")
	g.Meter.recordPaceExclusion(c.Reason)
}

// percent returns a pace in percent of the usual time.
func percent(p knapweedpulley.Pace) int {
	return int(100 * p)
}
