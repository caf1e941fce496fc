package gateway

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/fleet"
)

// moveRecheckPeriod is the time between two checks whether a call at a silent endpoint can move to
// another one.
const moveRecheckPeriod = 250 * time.Millisecond

// errStalled is the cause with which the watchdog cancels an exchange.
var errStalled = errors.New("endpoint sent nothing within the time limit")

// watchdog cancels an exchange in which the endpoint has sent nothing for too long, so that the
// call can move to another endpoint. A sound endpoint may be silent for a while, so the watchdog
// cancels only once the next attempt is certain to be made: another endpoint has a free slot, the
// configuration still admits the call and the retry budget has granted the retry.
//
// A nil watchdog does nothing.
type watchdog struct {
	gateway *Gateway
	call    *knapweedpulley.Call
	service knapweedpulley.ServiceID
	// version is the configuration that admitted the call.
	version knapweedpulley.Version
	// need excludes the silent endpoint.
	need   fleet.Requirements
	cancel context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
	// silentUntil is when the endpoint will have been silent for too long.
	silentUntil knapweedpulley.Instant
	stopped     bool
	canceled    bool
}

// startWatchdog starts a watchdog for an exchange with e if the call may run once more after it.
// Otherwise it returns nil.
func (h *callHandler) startWatchdog(e *fleet.Endpoint, cancel context.CancelCauseFunc) *watchdog {
	r := &h.admission.Route
	if r.Retry == knapweedpulley.AtMostOnce || h.possibleRuns+1 >= r.MaxAttempts {
		return nil
	}
	timeout := max(minFirstAnswerTimeout, firstAnswerFactor*r.LatencyTarget)
	if r.Stream {
		timeout = max(timeout, h.stallTimeout())
	}
	w := &watchdog{
		gateway: h.Gateway, call: h.call, service: h.admission.Service.ID, version: h.admission.Version,
		need: h.need(), cancel: cancel, silentUntil: h.Clock.Now().Add(timeout),
	}
	w.need.Avoid = maps.Clone(h.avoid)
	w.need.Avoid.Add(e.ID())
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(timeout, w.expire)
	return w
}

// postpone allows the endpoint to be silent for d from now.
func (w *watchdog) postpone(d time.Duration) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silentUntil = w.gateway.Clock.Now().Add(d)
}

// stop ends the watchdog and reports whether it has canceled the exchange.
func (w *watchdog) stop() bool {
	if w == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	return w.canceled
}

// expire cancels the exchange if the endpoint has been silent for too long and the call can move.
func (w *watchdog) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	left := w.silentUntil.Sub(w.gateway.Clock.Now())
	switch {
	case w.stopped:
	case left > 0:
		w.timer.Reset(left)
	case w.grantMove():
		w.canceled = true
		w.cancel(errStalled)
	default:
		w.timer.Reset(moveRecheckPeriod)
	}
}

// grantMove reports whether the call can move to another endpoint now, and takes the retry from the
// budget if so.
func (w *watchdog) grantMove() bool {
	e, found := w.gateway.Fleet.Choose(w.need)
	if !found || e.Avoided() || !e.HasFreeSlot() {
		return false
	}
	if _, err := w.gateway.checkAdmission(w.call, w.service, w.version); err != nil {
		return false
	}
	return w.gateway.CrashTracker.Check(w.call) == nil && w.gateway.RetryBudget.TryWithdraw(w.service)
}
