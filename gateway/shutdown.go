package gateway

import (
	"context"
	"math"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

// shutdownRetryAfter is the time after which a caller that was refused because of a shutdown may
// try another gateway.
const shutdownRetryAfter = 100 * time.Millisecond

// shutdown is the planned end of a gateway.
type shutdown struct {
	// refuseFrom is when new callers have ceased to be routed to the gateway. end is when the
	// contexts of the calls are canceled.
	refuseFrom knapweedpulley.Instant
	end        knapweedpulley.Instant
}

// commitment is what the gateway has to know of a call to decide whether the call can still be sent
// to an endpoint before the gateway ends.
type commitment struct {
	deadline knapweedpulley.Instant
	// answerStarted is set if the caller has a part of the answer. Such a call has nothing to lose.
	answerStarted bool
}

// latestSend returns until when a call may be sent to an endpoint. A call that may outlast the
// gateway would be cut; refused before it has run, it can go to another gateway. Until new callers
// are routed elsewhere, a refusal would lead them back here.
func (s *shutdown) latestSend(c commitment) knapweedpulley.Instant {
	switch {
	case s == nil:
		return math.MaxInt64
	case c.answerStarted || c.deadline <= s.end:
		return s.end
	default:
		return s.refuseFrom
	}
}

// BeginShutdown announces that the contexts of all calls are canceled at end. A call that may not be
// answered before that is refused from refuseFrom on. This applies to waiting calls too. Calls that
// endpoints are running go on.
func (g *Gateway) BeginShutdown(refuseFrom, end knapweedpulley.Instant) {
	g.shutdown.Store(&shutdown{refuseFrom: min(refuseFrom, end), end: end})
	g.beginShutdown()
}

func (h *callHandler) commitment() commitment {
	return commitment{deadline: h.deadline, answerStarted: h.answerStarted}
}

// checkShutdown refuses the call if the gateway may end before its answer does.
func (h *callHandler) checkShutdown() error {
	if h.Clock.Now() < h.shutdown.Load().latestSend(h.commitment()) {
		return nil
	}
	return newDrainingRefusal()
}

func newDrainingRefusal() *knapweedpulley.Refusal {
	return knapweedpulley.NewRefusal(knapweedpulley.CodeDraining, knapweedpulley.NotRun,
		"the gateway is stopping and may end before the request does").WithRetryAfter(shutdownRetryAfter)
}

// waitContext returns the context for a wait of the call. It also ends, with a refusal as its cause, when a
// shutdown has made the wait pointless.
func (h *callHandler) waitContext(ctx context.Context) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	c := h.commitment()
	stop := context.AfterFunc(h.shutdownBegan, func() {
		timer := time.NewTimer(h.shutdown.Load().latestSend(c).Sub(h.Clock.Now()))
		defer timer.Stop()
		select {
		case <-timer.C:
			cancel(newDrainingRefusal())
		case <-ctx.Done():
		}
	})
	return ctx, func(cause error) {
		stop()
		cancel(cause)
	}
}
