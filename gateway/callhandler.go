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
	charge    charge
	deadline  knapweedpulley.Instant
	avoid     knapweedpulley.Set[knapweedpulley.EndpointID]
	// possibleRuns counts the attempts in which the call may have run, refusals the attempts
	// that failed before the call ran.
	possibleRuns int
	refusals     int
	// sends counts all attempts.
	sends int
	// next is the request that the watchdog has begun at another endpoint when it canceled the
	// attempt. moved is set from then on.
	next  *fleet.ActiveRequest
	moved bool
	// left is the endpoint that the call was moved away from, until the call returns to it.
	left *fleet.Endpoint
	// probe is set during an attempt that is made though the content or a part of the prompt is refused, probed
	// from then on.
	probe  bool
	probed bool
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
	// notRetried says why the call was not sent again after its last attempt, notMoved why it last
	// stayed at an endpoint that had been silent for too long.
	notRetried string
	notMoved   string
}

// serve admits and charges the call, and sends it until it is answered or fails. It returns the
// last charge if the call has not run for the customer that was charged.
func (h *callHandler) serve(ctx context.Context) error {
	var err error
	if h.admission, err = h.admit(h.call); err != nil {
		return err
	}
	r := &h.admission.Route
	h.deadline = h.call.Arrived.Add(min(h.call.Timeout, r.Timeout))
	h.lastEventID = h.call.LastEvent
	if err := h.awaitStartup(ctx); err != nil {
		return err
	}
	if err := h.checkShutdown(); err != nil {
		return err
	}
	if err := h.checkSuspects(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, h.remaining())
	defer cancel()
	if err := h.chargeCustomer(ctx, &h.admission); err != nil {
		return err
	}
	defer h.returnCharge()
	weights := h.call.Weights()
	if weights.Model != "" {
		h.Demand.RecordArrival(weights)
	}
	h.RetryBudget.Deposit(h.admission.Service.ID)
	return h.sendUntilDone(ctx)
}

// sendUntilDone sends the call until it is answered or must not be retried.
func (h *callHandler) sendUntilDone(ctx context.Context) error {
	defer func() {
		if h.next != nil {
			h.next.End(fleet.Inconclusive)
		}
	}()
	for {
		visit, err := h.begin(ctx)
		if err != nil {
			return h.finalError(err)
		}
		retryable, err := h.send(ctx, visit)
		h.endProbe(err)
		if err == nil || !retryable {
			h.notRetried = h.endReason(ctx, err)
			return h.finalError(err)
		}
		if !h.mayRetry(ctx, err) {
			return h.finalError(err)
		}
		h.avoid.Add(visit.ID())
	}
}

// begin begins the call at the endpoint for the next attempt.
func (h *callHandler) begin(ctx context.Context) (*fleet.ActiveRequest, error) {
	visit := h.next
	h.next = nil
	if visit == nil && h.hasRunOut() && h.left != nil {
		// mayReturn has allowed this.
		visit = h.left.BeginRequest(h.call.Prompt)
		h.left = nil
	}
	if visit == nil {
		e, err := h.findEndpoint(ctx)
		if shutdownErr := h.checkShutdown(); shutdownErr != nil {
			h.recordDenial(ctx, "shutdown")
			return nil, shutdownErr
		}
		if err != nil {
			h.recordDenial(ctx, "endpoint")
			return nil, err
		}
		visit = e.BeginRequest(h.call.Prompt)
	}
	reason, err := "configuration", h.readmit(ctx)
	if err == nil {
		reason, err = "crashes", h.checkAttempt()
	}
	if err != nil {
		h.recordDenial(ctx, reason)
		visit.End(fleet.Inconclusive)
		return nil, err
	}
	return visit, nil
}

// checkSuspects refuses the call if it is believed to crash endpoints, unless it may be sent as a
// probe.
func (h *callHandler) checkSuspects() error {
	err := h.CrashTracker.Check(h.call)
	if err != nil && h.CrashTracker.MayProbe(h.call) {
		return nil
	}
	return err
}

// checkAttempt refuses the next attempt if the call is believed to crash endpoints, unless it is sent
// as a probe. A call is a probe in one attempt only, and never if it may have run.
func (h *callHandler) checkAttempt() error {
	err := h.CrashTracker.Check(h.call)
	if err == nil || h.possibleRuns > 0 || h.probed || !h.CrashTracker.TryProbe(h.call) {
		return err
	}
	h.probe, h.probed = true, true
	return nil
}

// endProbe ends the attempt that was a probe, and returns the probe if the call has not run.
func (h *callHandler) endProbe(err error) {
	if h.probe && err != nil && h.possibleRuns == 0 && knapweedpulley.VerdictOf(err) == knapweedpulley.NotRun {
		h.CrashTracker.suspectList.ReturnProbe(h.call.SharedFingerprints())
	}
	h.probe = false
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

// callerPatienceEnd returns until when the caller waits for the next event or for the answer, or
// until when the call may be sent if the gateway is shutting down.
func (h *callHandler) callerPatienceEnd() knapweedpulley.Instant {
	until := h.deadline.Add(-minSendTime)
	if patience := h.admission.Route.EventTimeout; patience > 0 {
		until = min(until, max(h.call.Arrived, h.lastEventAt).Add(patience))
	}
	return min(until, h.shutdown.Load().latestSend(h.commitment()))
}

// findEndpoint returns the endpoint for the next attempt. It waits until there is one.
func (h *callHandler) findEndpoint(ctx context.Context) (*fleet.Endpoint, error) {
	start := h.Clock.Now()
	defer func() { h.waited += h.Clock.Now().Sub(start) }()
	need := h.need()
	if e, found := h.Fleet.Choose(need); found {
		return e, nil
	}
	ctx, cancel := h.waitContext(ctx)
	defer cancel()
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
		if until, held := h.Fleet.HeldUntil(need); held {
			if err := h.awaitRelease(ctx, changed, until); err != nil {
				return nil, err
			}
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

// awaitRelease waits until the first of the call's endpoints takes requests again, or for a change of
// the fleet. It refuses the call at once if it couldn't be answered in time then.
func (h *callHandler) awaitRelease(ctx context.Context, changed <-chan struct{}, until knapweedpulley.Instant) error {
	now := h.Clock.Now()
	wait, inTime := h.HoldPolicy.Wait(knapweedpulley.HeldCall{
		Now: now, FreeAt: until, LatestStart: h.callerPatienceEnd().Add(-firstEventReserve), Priority: h.admission.Priority,
	})
	if !inTime {
		return knapweedpulley.NewRefusal(knapweedpulley.CodeHeldBack, knapweedpulley.NotRun,
			"all endpoints of service %s want no requests for %s", h.admission.Service.ID, until.Sub(now)).WithRetryAfter(wait)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return knapweedpulley.NewRefusal(knapweedpulley.CodeCanceled, knapweedpulley.NotRun,
			"the caller disconnected while all endpoints wanted no requests")
	}
	return nil
}

// backOff waits for refusalBackoff or a change of the fleet, whichever comes first. For a moved call,
// which may be refused more often, the time doubles with each refusal.
func (h *callHandler) backOff(ctx context.Context, changed <-chan struct{}) {
	wait := refusalBackoff
	if h.moved {
		wait <<= max(0, h.refusals-1)
	}
	timer := time.NewTimer(wait)
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
	until := h.callerPatienceEnd()
	if h.admission.Route.EventTimeout > 0 {
		until = until.Add(-firstEventReserve)
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
