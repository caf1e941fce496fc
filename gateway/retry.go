package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// maxRefusedSends bounds the attempts of one call that endpoints refuse, maxMovedRefusals those
	// of a call that the gateway has moved away from an endpoint.
	maxRefusedSends  = 3
	maxMovedRefusals = 6
)

// mayRetry reports whether the call may be sent again after a failed attempt, and takes the
// retry from the budget if so.
func (h *callHandler) mayRetry(ctx context.Context, err error) bool {
	h.notRetried = h.denyRetry(ctx, err)
	return h.notRetried == ""
}

// denyRetry returns why the call may not be sent again after a failed attempt. If it may, it takes
// the retry from the budget and returns nothing. A call that the gateway has moved away from an
// endpoint that was still at work may be refused more often, and waits for the budget.
func (h *callHandler) denyRetry(ctx context.Context, err error) string {
	if h.remaining() < minSendTime {
		return "deadline"
	}
	if h.next == nil && h.checkShutdown() != nil {
		return "shutdown"
	}
	if h.next != nil {
		h.moved = true
		// The endpoint may have turned out to have crashed.
		return h.denyRun()
	}
	h.awaitReturn(ctx)
	if knapweedpulley.VerdictOf(err) == knapweedpulley.NotRun && !h.hasRunOut() {
		h.refusals++
		if h.refusals >= h.maxRefusals() {
			return "refusals"
		}
	} else if reason := h.denyRun(); reason != "" {
		return reason
	}
	switch {
	case h.RetryBudget.TryWithdraw(h.admission.Service.ID):
		return ""
	case !h.moved || !h.awaitRetry(ctx):
		return "retryBudget"
	case h.checkShutdown() != nil:
		return "shutdown"
	default:
		// The endpoint that the call would return to may have left during the wait.
		return h.denyRun()
	}
}

func (h *callHandler) maxRefusals() int {
	if h.moved {
		return maxMovedRefusals
	}
	return maxRefusedSends
}

// awaitRetry waits until the budget grants a retry, for as long as the caller waits for the next
// event or for the answer. It reports whether it was granted.
func (h *callHandler) awaitRetry(ctx context.Context) bool {
	timer := time.NewTimer(refusalBackoff)
	defer timer.Stop()
	for h.Clock.Now() < h.callerPatienceEnd() {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
		}
		if h.RetryBudget.TryWithdraw(h.admission.Service.ID) {
			return true
		}
		timer.Reset(refusalBackoff)
	}
	return false
}

// denyRun returns why the call may not run once more, or nothing if it may. Most calls that were
// running at a crash did not cause it, so one more run is worth the risk.
func (h *callHandler) denyRun() string {
	r := &h.admission.Route
	switch {
	case r.Retry == knapweedpulley.AtMostOnce || (h.hasRunOut() && h.left == nil):
		return "runs"
	case h.hasRunOut() && !h.mayReturn():
		return "away"
	case h.CrashTracker.Check(h.call) != nil:
		return "crashes"
	default:
		return ""
	}
}

// hasRunOut reports whether the call has run at as many endpoints as its route allows.
func (h *callHandler) hasRunOut() bool {
	return h.possibleRuns > 0 && h.possibleRuns >= h.admission.Route.MaxAttempts
}

// mayReturn reports whether the call may run again at the endpoint that it was moved away from. Routes
// limit the number of endpoints, and the gateway, not that endpoint, ended the run there.
func (h *callHandler) mayReturn() bool {
	if h.left == nil {
		return false
	}
	h.left = h.Fleet.Current(h.left)
	return h.Fleet.Offers(h.left, h.need())
}

// awaitReturn waits until the endpoint to which alone the call may return takes requests again, if it
// wants none for a while and the call can be answered in time then.
func (h *callHandler) awaitReturn(ctx context.Context) {
	if h.left == nil || !h.hasRunOut() || h.admission.Route.Retry == knapweedpulley.AtMostOnce {
		return
	}
	ctx, cancel := h.waitContext(ctx)
	defer cancel(nil)
	latest := h.callerPatienceEnd().Add(-firstEventReserve)
	for {
		changed := h.Fleet.Changed()
		h.left = h.Fleet.Current(h.left)
		until, held := h.left.HeldUntil()
		if !held || until.After(latest) || h.left.Departing() {
			return
		}
		timer := time.NewTimer(until.Sub(h.Clock.Now()))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// recordDenial records why there is no further attempt of a call that was sent before.
func (h *callHandler) recordDenial(ctx context.Context, reason string) {
	switch {
	case h.sends == 0:
	case ctx.Err() != nil:
		h.notRetried = h.endReason(ctx, ctx.Err())
	default:
		h.notRetried = reason
	}
}

// endReason returns why a call can't be sent again after an attempt that doesn't allow it.
func (h *callHandler) endReason(ctx context.Context, err error) string {
	switch {
	case err == nil:
		return ""
	case errors.Is(ctx.Err(), context.Canceled) && h.checkShutdown() != nil && h.Clock.Now() >= h.shutdown.Load().end:
		return "shutdown"
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return "deadline"
	case ctx.Err() != nil || errors.Is(err, errCallerWrite):
		return "callerLeft"
	default:
		return "route"
	}
}
