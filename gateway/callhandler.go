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
	// queueVisit tells how the call last got its tokens in a queue, or why not.
	queueVisit QueueVisit
	deadline   knapweedpulley.Instant
	avoid      knapweedpulley.Set[knapweedpulley.EndpointID]
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
	// sentAt is when the last attempt began.
	sentAt knapweedpulley.Instant
	// longestGap is the longest time between two events, lastEventAt the arrival of the last one.
	longestGap  time.Duration
	lastEventAt knapweedpulley.Instant
	// loadAtChoice is the number of requests at the endpoint at the time it was chosen.
	loadAtChoice int
	// coldSends counts the attempts at endpoints that were cold.
	coldSends int
	// expectation is what the call could expect at that endpoint, absent if its service's endpoints
	// don't state their pace.
	expectation knapweedpulley.Option[fleet.Expectation]
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
	h.call.Fingerprint = h.call.Fingerprint.OfCustomer(h.admission.Customer())
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
	if err := h.Fleet.CheckEvacuation(h.admission.Service.ID); err != nil {
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
		h.Demand.RecordArrival(weights, h.admission.Priority)
	}
	h.RetryBudget.Deposit(h.admission.Service.ID)
	return h.sendUntilDone(ctx)
}

// sendUntilDone sends the call until it is answered or must not be retried.
func (h *callHandler) sendUntilDone(ctx context.Context) error {
	defer func() {
		if h.next != nil {
			h.next.End(fleet.Unsent)
		}
	}()
	for {
		visit, err := h.begin(ctx)
		if err != nil {
			h.endProbe(err)
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

// begin begins the call at the endpoint for the next attempt. An endpoint whose zone was evacuated
// after it was chosen, while the call waited, is left for another one.
func (h *callHandler) begin(ctx context.Context) (*fleet.ActiveRequest, error) {
	for {
		visit, err := h.reserved(ctx)
		if err != nil {
			return nil, err
		}
		// An endpoint that is chosen from the index and found to be evacuated is in the next index no
		// longer. One that was reserved before may be gone from the present one already.
		var changed <-chan struct{}
		if visit == nil {
			changed = h.Fleet.Changed()
			if visit, err = h.beginAnywhere(ctx); err != nil {
				return nil, err
			}
		}
		reason, err := h.checkCall(ctx)
		if err == nil && visit.Evacuated() {
			visit.End(fleet.Unsent)
			if err := h.leaveEvacuated(ctx, visit.Endpoint, changed); err != nil {
				return nil, err
			}
			continue
		}
		if err == nil && visit.Overdue() {
			h.beginAnew(visit)
			continue
		}
		if err != nil {
			h.recordDenial(ctx, reason)
			visit.End(fleet.Unsent)
			return nil, err
		}
		if visit.Cold() {
			h.coldSends++
		}
		return visit, nil
	}
}

// checkCall checks before an attempt whether the call may still be sent. With an error, it returns
// what refuses the call. The charge of another customer and the permission for a probe may be waited for.
func (h *callHandler) checkCall(ctx context.Context) (reason string, err error) {
	const configuration = "configuration"
	if err := h.readmit(ctx); err != nil || h.probe {
		return configuration, err
	}
	if err := h.checkAttempt(); err != nil {
		return "crashes", err
	}
	if h.probe {
		return configuration, h.readmit(ctx)
	}
	return "", nil
}

// beginAnew gives back the part of the share of a cold endpoint that a request took before it waited. The
// call begins again, at the same endpoint if it may run nowhere else.
func (h *callHandler) beginAnew(visit *fleet.ActiveRequest) {
	visit.End(fleet.Unsent)
	if h.hasRunOut() {
		h.left = visit.Endpoint
	}
}

// reserved returns the request that was begun for the call at another endpoint when it was moved, or
// begins it at the endpoint to which it returns. It returns nil if the call needs an endpoint.
func (h *callHandler) reserved(ctx context.Context) (*fleet.ActiveRequest, error) {
	visit := h.next
	h.next = nil
	if visit != nil || !h.hasRunOut() || h.left == nil {
		return visit, nil
	}
	// mayReturn has allowed this.
	visit, err := h.returnToLeft()
	if err != nil {
		h.recordDenial(ctx, "endpoint")
		return nil, err
	}
	return visit, nil
}

// returnToLeft begins the call at the endpoint that it was moved away from. Another call may have taken
// the share of that endpoint since mayReturn; the call can't run anywhere else.
func (h *callHandler) returnToLeft() (*fleet.ActiveRequest, error) {
	e := h.left
	h.left = nil
	visit, begun := e.BeginRequest(h.call.Prompt)
	if !begun {
		return nil, knapweedpulley.NewRefusal(knapweedpulley.CodeEngineFailed, knapweedpulley.MayHaveRun,
			"endpoint %s is cold and takes no more requests now", e.ID())
	}
	return visit, nil
}

// beginAnywhere begins the call at the best endpoint, and waits until there is one.
func (h *callHandler) beginAnywhere(ctx context.Context) (*fleet.ActiveRequest, error) {
	visit, err := h.findEndpoint(ctx)
	if shutdownErr := h.checkShutdown(); shutdownErr != nil {
		h.recordDenial(ctx, "shutdown")
		if visit != nil {
			visit.End(fleet.Unsent)
		}
		return nil, shutdownErr
	}
	if err != nil {
		h.recordDenial(ctx, "endpoint")
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

// findEndpoint begins the next attempt at the endpoint that suits it best. It waits until there is one.
func (h *callHandler) findEndpoint(ctx context.Context) (*fleet.ActiveRequest, error) {
	start := h.Clock.Now()
	defer func() { h.waited += h.Clock.Now().Sub(start) }()
	need := h.need()
	// An endpoint that isn't sound may fail the call, which needs a second attempt then.
	need.MayProbe = h.sends == 0 && h.admission.Route.Retry != knapweedpulley.AtMostOnce
	if visit, begun := h.Fleet.Begin(need); begun {
		return visit, nil
	}
	ctx, cancel := h.waitContext(ctx)
	defer cancel(nil)
	h.watchAdmission(ctx, cancel, &h.admission)
	visit, err := h.awaitEndpoint(ctx, need, start)
	if refusal := knapweedpulley.RefusalCause(ctx); err != nil && refusal != nil {
		return nil, refusal
	}
	return visit, err
}

// awaitEndpoint waits until the next attempt can begin at an endpoint. start is the beginning of the wait.
func (h *callHandler) awaitEndpoint(
	ctx context.Context, need fleet.Requirements, start knapweedpulley.Instant,
) (*fleet.ActiveRequest, error) {
	for {
		changed := h.Fleet.Changed()
		if visit, begun := h.Fleet.Begin(need); begun {
			return visit, nil
		}
		if err := h.Fleet.CheckEvacuation(need.Service); err != nil {
			return nil, err
		}
		if len(h.avoid) > 0 {
			// All usable endpoints have been tried. Those that refused may have capacity
			// again shortly.
			clear(h.avoid)
			h.backOff(ctx, changed)
			continue
		}
		if hold, held := h.Fleet.Hold(need); held {
			if visit, err := h.awaitRelease(ctx, need, changed, hold); visit != nil || err != nil {
				return visit, err
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
// the fleet. It refuses the call at once if it couldn't be answered in time then. It returns a request
// if it has begun one.
func (h *callHandler) awaitRelease(
	ctx context.Context, need fleet.Requirements, changed <-chan struct{}, hold fleet.Hold,
) (*fleet.ActiveRequest, error) {
	now := h.Clock.Now()
	if !hold.Until.After(now) {
		// An endpoint takes requests since the last choice.
		return nil, nil
	}
	until, loading := hold.Until, false
	if hold.Cold && need.Weights.Model != "" {
		if eta, sooner := h.Placer.LoadWithin(h.loadRequest(), until.Sub(now)); sooner {
			until, loading = now.Add(eta), true
		}
	}
	wait, inTime := h.HoldPolicy.Wait(knapweedpulley.HeldCall{
		Now: now, FreeAt: until, LatestStart: h.callerPatienceEnd().Add(-firstEventReserve), Priority: h.admission.Priority,
	})
	if hold.Cold {
		h.Meter.recordColdHold(inTime)
	}
	if !inTime {
		cause := "want no requests"
		if hold.Cold {
			cause = "are cold and take no more requests"
		}
		return nil, knapweedpulley.NewRefusal(knapweedpulley.CodeHeldBack, knapweedpulley.NotRun,
			"all endpoints of service %s %s for %s", h.admission.Service.ID, cause, until.Sub(now)).WithRetryAfter(wait)
	}
	if hold.Cold && !loading {
		if r, reserved := h.Fleet.Reserve(hold); reserved {
			if r.At.After(hold.Until) {
				// Another call has reserved the part that was free first. Whether this one can be sent in
				// time has to be decided anew.
				r.Return()
				return nil, nil
			}
			return h.awaitReservation(ctx, need, r)
		}
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return nil, h.leftWhileHeld()
	}
	return nil, nil
}

// awaitReservation waits until the call may begin with a reserved part of the share of a cold endpoint,
// or until another endpoint takes it. It returns nothing if the reservation can no longer be used.
func (h *callHandler) awaitReservation(
	ctx context.Context, need fleet.Requirements, r *fleet.Reservation,
) (*fleet.ActiveRequest, error) {
	timer := time.NewTimer(r.At.Sub(h.Clock.Now()))
	defer timer.Stop()
	for {
		changed := h.Fleet.Changed()
		select {
		case <-changed:
			if visit, begun := h.Fleet.Begin(need); begun {
				r.Return()
				return visit, nil
			}
		case <-timer.C:
			if visit, begun := h.Fleet.BeginReserved(r, need); begun {
				return visit, nil
			}
			r.Return()
			return nil, nil
		case <-ctx.Done():
			r.Return()
			return nil, h.leftWhileHeld()
		}
	}
}

// leftWhileHeld returns the refusal of a call whose caller has left while it waited for an endpoint that
// takes requests.
func (h *callHandler) leftWhileHeld() error {
	return knapweedpulley.NewRefusal(knapweedpulley.CodeCanceled, knapweedpulley.NotRun,
		"the caller disconnected while all endpoints wanted no requests")
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

		EventGapTarget: h.eventGapTarget(),
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

		EventGapTarget: h.eventGapTarget(),
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
