// Package gateway serves the requests of callers. For each call it decides whether to admit
// it, whether the customer's rate limit allows it, which endpoint runs it, whether a failed
// attempt is retried, and how a stream that breaks off is resumed. It decides from the
// configuration in force, the registered endpoints and the reports of their keepers.
//
// The package depends neither on HTTP nor on the message formats of a platform: a front end
// translates a request into a knapweedpulley.Call, and the gateway writes the answer to a
// knapweedpulley.AnswerWriter.
//
// # Usage
//
//	g := gateway.New(gateway.Options{…})
//	if err := g.Serve(ctx, call, writer); err != nil {
//		// err is a *knapweedpulley.Refusal, or ErrIncompleteAnswer after a part of the answer.
//	}
package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/fleet"
	"github.com/knapweedpulley/knapweedpulley/installation"
	"github.com/knapweedpulley/knapweedpulley/placement"
)

// ErrIncompleteAnswer marks an error that occurred after a part of the answer was written.
var ErrIncompleteAnswer = errors.New("answer is incomplete")

// Options holds the dependencies of a gateway.
type Options struct {
	Follower     *installation.Follower
	Fleet        *fleet.Fleet
	Placer       *placement.Placer
	Demand       *placement.Demand
	RateLimiter  *RateLimiter
	CrashTracker *CrashTracker
	RetryBudget  *RetryBudget
	HoldPolicy   knapweedpulley.HoldPolicy
	Exchanger    knapweedpulley.Exchanger
	Clock        knapweedpulley.Clock
	Log          log.Interface
	Meter        *Meter
	// Startup, if it is set, is waited for by calls.
	Startup *Startup
}

// Gateway serves calls.
type Gateway struct {
	Options
	// shutdown is nil until the gateway shuts down. shutdownBegan ends then.
	shutdown      atomic.Pointer[shutdown]
	shutdownBegan context.Context
	beginShutdown context.CancelFunc
}

// New returns a gateway.
func New(o Options) *Gateway {
	g := &Gateway{Options: o}
	g.shutdownBegan, g.beginShutdown = context.WithCancel(context.Background())
	if o.Fleet != nil {
		o.Fleet.ObservePace(g.recordPaceChange)
	}
	return g
}

// Serve serves a call and writes the answer to w. The error is a *knapweedpulley.Refusal, or is
// marked with ErrIncompleteAnswer if a part of the answer was written.
func (g *Gateway) Serve(ctx context.Context, c *knapweedpulley.Call, w knapweedpulley.AnswerWriter) error {
	h := &callHandler{Gateway: g, call: c, writer: w, avoid: make(knapweedpulley.Set[knapweedpulley.EndpointID])}
	err := h.serve(ctx)
	g.Meter.record(h, err)
	h.logOutcome(err)
	return err
}

// Limits returns the limits on callers' requests, and false if no configuration is in force.
func (g *Gateway) Limits() (knapweedpulley.CallerLimits, bool) {
	s, known := g.Follower.Current()
	if !known {
		return knapweedpulley.CallerLimits{}, false
	}
	return s.Limits, true
}

// admit checks a call against the configuration in force.
func (g *Gateway) admit(c *knapweedpulley.Call) (installation.Admission, error) {
	s, known := g.Follower.Current()
	if !known {
		return installation.Admission{}, knapweedpulley.NewRefusal(
			knapweedpulley.CodeNotReady, knapweedpulley.NotRun, "no configuration is known yet")
	}
	return s.Admit(c)
}

// logOutcome logs the outcome of a call and its cause.
func (h *callHandler) logOutcome(err error) {
	entry := h.Log.WithFields(log.Fields{
		"request":    h.call.ID,
		"route":      h.admission.Route.ID,
		"version":    h.admission.Version,
		"customer":   h.admission.Customer().Or(""),
		"model":      h.call.Model.Or(""),
		"adapter":    h.call.Adapter.Or(""),
		"endpoint":   h.endpoint,
		"sends":      h.sends,
		"stalls":     h.stalls,
		"coldSends":  h.coldSends,
		"notRetried": h.notRetried,
		"notMoved":   h.notMoved,
		"events":     h.events,
		"waitedMs":   h.waited.Milliseconds(),
		"firstMs":    h.firstLatency.Milliseconds(),
		"pauseMs":    h.longestGap.Milliseconds(),
		"aimMs":      h.admission.Route.LatencyTarget.Milliseconds(),
		"gapAimMs":   h.admission.Route.EventGapTarget.Milliseconds(),
		"load":       h.loadAtChoice,
		"prompt":     h.call.Prompt,
		"completion": h.call.Completion,
		"tookMs":     h.Clock.Now().Sub(h.call.Arrived).Milliseconds(),
		"status":     h.status,
	})
	if h.queueVisit.outcome != "" {
		entry = entry.WithField("queue", h.queueVisit.outcome).WithField("queuedAt", h.queueVisit.holder).
			WithField("queuedMs", h.queueVisit.waited.Milliseconds())
	}
	if x, paced := h.expectation.Get(); paced {
		entry = entry.WithField("pacePercent", percent(x.Pace)).
			WithField("expectedFirstMs", x.FirstEvent.Milliseconds()).WithField("expectedPauseMs", x.Pause.Milliseconds())
	}
	var refusal *knapweedpulley.Refusal
	switch {
	case err == nil:
		entry.Info("request answered")
	case errors.Is(err, ErrIncompleteAnswer):
		entry.WithField("cause", err.Error()).Info("answer broken off")
	case errors.As(err, &refusal):
		entry.WithField("code", refusal.Code).WithField("verdict", refusal.Verdict.String()).
			WithField("cause", refusal.Message).WithField("retryAfterMs", refusal.RetryAfter.Milliseconds()).
			Info("request refused")
	default:
		entry.WithField("cause", err.Error()).Error("request failed with an unexpected error")
	}
}

// remaining returns the time until the call's deadline.
func (h *callHandler) remaining() time.Duration {
	return h.deadline.Sub(h.Clock.Now())
}
