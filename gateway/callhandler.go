package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/fleet"
	"github.com/knapweedpulley/knapweedpulley/installation"
	"github.com/knapweedpulley/knapweedpulley/placement"
)

const (
	// maxRefusedSends bounds the attempts of one call that endpoints refuse.
	maxRefusedSends = 3
	// endpointWait is how long a call waits for a service without engines to get an endpoint.
	// It is short because an early refusal costs the caller least.
	endpointWait = 100 * time.Millisecond
	// refusalBackoff is the time after which endpoints that refused a call are tried again.
	refusalBackoff = 50 * time.Millisecond
	// firstEventReserve is the time reserved for the first event between the end of a model load
	// and the moment at which the caller gives up.
	firstEventReserve = 200 * time.Millisecond
	// minSendTime is the shortest time before the deadline at which an attempt may start.
	minSendTime = 20 * time.Millisecond
	// minSharedTokens is the number of shared prompt tokens from which on routing to the
	// endpoint that has them cached is worthwhile.
	minSharedTokens = 32
)

// callHandler holds the state of one call while the gateway serves it.
type callHandler struct {
	*Gateway
	call      *knapweedpulley.Call
	writer    knapweedpulley.AnswerWriter
	admission installation.Admission
	deadline  knapweedpulley.Instant
	avoid     knapweedpulley.Set[knapweedpulley.EndpointID]
	// possibleRuns counts the attempts in which the call may have run, refusals the attempts
	// that failed before the call ran.
	possibleRuns int
	refusals     int
	// sends counts all attempts.
	sends int
	// answerStarted is set when writing of the answer to the caller begins. lastEventID is the
	// id of the last event that the caller has received.
	answerStarted bool
	lastEventID   string
	// The following fields are used for logs and metrics. waited is the total time in which the
	// call waited for an endpoint, firstLatency the time from its arrival to the start of the
	// answer.
	endpoint     knapweedpulley.EndpointID
	events       int
	status       int
	waited       time.Duration
	firstLatency time.Duration
	// longestGap is the longest time between two events, lastEventAt the arrival of the last one.
	longestGap  time.Duration
	lastEventAt knapweedpulley.Instant
	// loadAtChoice is the number of requests at the endpoint at the time it was chosen.
	loadAtChoice int
	// stalls counts the attempts that were canceled because the endpoint sent nothing for too long.
	stalls int
	// notRetried says why the call was not sent again after its last attempt.
	notRetried string
}

// serve admits and charges the call, and sends it until it is answered or fails. It returns the
// charge if the call has not run.
func (h *callHandler) serve(ctx context.Context) error {
	var err error
	if h.admission, err = h.admit(h.call); err != nil {
		return err
	}
	r := &h.admission.Route
	h.deadline = h.call.Arrived.Add(min(h.call.Timeout, r.Timeout))
	h.lastEventID = h.call.LastEvent
	if h.CrashTracker.State(h.call.Fingerprint) == knapweedpulley.SuspectRefuse {
		return knapweedpulley.NewRefusal(knapweedpulley.CodeCrashSuspect, knapweedpulley.NotRun,
			"endpoints crashed repeatedly while running requests with this content")
	}
	ctx, cancel := context.WithTimeout(ctx, h.remaining())
	defer cancel()
	tokens, err := h.charge(ctx, h.call, &h.admission)
	if err != nil {
		return err
	}
	weights := h.call.Weights()
	if weights.Model != "" {
		h.Demand.RecordArrival(weights)
	}
	h.RetryBudget.Deposit(h.admission.Service.ID)
	err = h.sendUntilDone(ctx)
	if knapweedpulley.VerdictOf(err) == knapweedpulley.NotRun && err != nil && h.possibleRuns == 0 && h.admission.Account != nil {
		h.RateLimiter.Return(h.admission.Account.Customer, tokens)
	}
	return err
}

// sendUntilDone sends the call until it is answered or must not be retried.
func (h *callHandler) sendUntilDone(ctx context.Context) error {
	for {
		e, err := h.findEndpoint(ctx)
		if err != nil {
			return h.finalError(err)
		}
		if err := h.readmit(); err != nil {
			return h.finalError(err)
		}
		retryable, err := h.send(ctx, e)
		if err == nil || !retryable {
			return h.finalError(err)
		}
		if !h.mayRetry(err) {
			return h.finalError(err)
		}
		h.avoid.Add(e.ID())
	}
}

// finalError returns the error of the whole call, derived from that of the last attempt. Its
// verdict takes all attempts into account.
func (h *callHandler) finalError(err error) error {
	switch {
	case err == nil:
		return nil
	case h.answerStarted:
		return errors.Mark(err, ErrIncompleteAnswer)
	case h.possibleRuns > 0:
		r := *knapweedpulley.RefusalOf(err, knapweedpulley.CodeEngineFailed)
		r.Verdict = knapweedpulley.MayHaveRun
		if h.remaining() <= 0 {
			r.Code = knapweedpulley.CodeDeadlineExceeded
		}
		return &r
	default:
		return err
	}
}

// mayRetry reports whether the call may be sent again after a failed attempt, and takes the
// retry from the budget if so.
func (h *callHandler) mayRetry(err error) bool {
	h.notRetried = h.denyRetry(err)
	return h.notRetried == ""
}

// denyRetry returns why the call may not be sent again after a failed attempt. If it may, it takes
// the retry from the budget and returns nothing.
func (h *callHandler) denyRetry(err error) string {
	if h.remaining() < minSendTime {
		return "deadline"
	}
	if knapweedpulley.VerdictOf(err) == knapweedpulley.NotRun {
		h.refusals++
		if h.refusals >= maxRefusedSends {
			return "refusals"
		}
	} else if !h.mayRunAgain() {
		return "runs"
	}
	if !h.RetryBudget.TryWithdraw(h.admission.Service.ID) {
		return "retryBudget"
	}
	return ""
}

// mayRunAgain reports whether the call may run once more. Most calls that were running at a crash
// did not cause it, so one more run is worth the risk.
func (h *callHandler) mayRunAgain() bool {
	r := &h.admission.Route
	return r.Retry != knapweedpulley.AtMostOnce && h.possibleRuns < r.MaxAttempts &&
		h.CrashTracker.State(h.call.Fingerprint) != knapweedpulley.SuspectRefuse
}

// readmit checks the call against the current configuration after it has waited: its key may
// have been withdrawn, or its route may lead to another service.
func (h *callHandler) readmit() error {
	s, known := h.Follower.Current()
	if !known || s.Version == h.admission.Version {
		return nil
	}
	a, err := s.Admit(h.call)
	if err != nil {
		return err
	}
	if !includesService(a.Route.Shares, h.admission.Service.ID) {
		return knapweedpulley.NewRefusal(knapweedpulley.CodeNoEndpoint, knapweedpulley.NotRun,
			"route %s no longer leads to the service of the request", a.Route.ID)
	}
	h.admission.Version = a.Version
	return nil
}

func includesService(shares []knapweedpulley.ServiceShare, id knapweedpulley.ServiceID) bool {
	for _, s := range shares {
		if s.Service == id {
			return true
		}
	}
	return false
}

// findEndpoint returns the endpoint for the next attempt. It waits until there is one.
func (h *callHandler) findEndpoint(ctx context.Context) (*fleet.Endpoint, error) {
	start := h.Clock.Now()
	defer func() { h.waited += h.Clock.Now().Sub(start) }()
	need := h.need()
	for {
		changed := h.Fleet.Changed()
		if e, found := h.Fleet.Choose(need); found {
			return e, nil
		}
		if len(h.avoid) > 0 {
			// All usable endpoints have been tried. Those that refused may have capacity
			// again shortly.
			clear(h.avoid)
			h.backOff(ctx, changed)
			continue
		}
		if need.Weights.Model != "" {
			if err := h.Placer.Await(ctx, h.loadRequest()); err != nil {
				return nil, err
			}
			continue
		}
		if err := h.awaitFleetChange(ctx, changed, start.Add(endpointWait)); err != nil {
			return nil, err
		}
	}
}

// backOff waits for refusalBackoff or a change of the fleet, whichever comes first.
func (h *callHandler) backOff(ctx context.Context, changed <-chan struct{}) {
	timer := time.NewTimer(refusalBackoff)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// awaitFleetChange waits for a change of the fleet, and refuses the call if there is none until
// the given instant.
func (h *callHandler) awaitFleetChange(ctx context.Context, changed <-chan struct{}, until knapweedpulley.Instant) error {
	timer := time.NewTimer(until.Sub(h.Clock.Now()))
	defer timer.Stop()
	select {
	case <-changed:
		return nil
	case <-timer.C:
		return knapweedpulley.NewRefusal(knapweedpulley.CodeNoEndpoint, knapweedpulley.NotRun,
			"service %s has no endpoint", h.admission.Service.ID).WithRetryAfter(endpointWait)
	case <-ctx.Done():
		return knapweedpulley.NewRefusal(knapweedpulley.CodeCanceled, knapweedpulley.NotRun, "the caller disconnected while waiting for an endpoint")
	}
}

// loadRequest returns the request to load what the call needs.
func (h *callHandler) loadRequest() placement.LoadRequest {
	until := min(h.deadline.Add(-minSendTime), knapweedpulley.Instant(h.waitDeadline.Load()))
	if callerPatience := h.admission.Route.EventTimeout; callerPatience > 0 {
		until = min(until, h.call.Arrived.Add(callerPatience-firstEventReserve))
	}
	return placement.LoadRequest{
		Service:    h.admission.Service.ID,
		Weights:    h.call.Weights(),
		Priority:   h.admission.Priority,
		TargetTime: h.call.Arrived.Add(h.admission.Route.LatencyTarget),
		Deadline:   until,
	}
}

// need returns the requirements on the call's endpoint.
func (h *callHandler) need() fleet.Requirements {
	n := fleet.Requirements{
		Service: h.admission.Service.ID,
		Weights: h.call.Weights(),
		Prompt:  h.call.Prompt,
		Size:    h.call.Prompt + h.call.Completion,
		Avoid:   h.avoid,
	}
	for i, part := range h.call.PromptParts {
		// The last part of the prompt is specific to the request or its session.
		n.Affinity += part.ID + " "
		n.Shared += part.Tokens
		if i == len(h.call.PromptParts)-2 {
			break
		}
	}
	if n.Shared < minSharedTokens {
		n.Affinity = ""
	}
	return n
}
