package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/fleet"
)

const (
	// minStallTimeout is the shortest time without an event after which a resumable stream is
	// resumed at another endpoint. Engines pause for several hundred milliseconds while they
	// read long prompts, and callers disconnect after two seconds.
	minStallTimeout = time.Second
	// stallFactor is the stall timeout as a multiple of the objective for the time between events.
	stallFactor = 3
	// firstAnswerFactor is how long a call that may be repeated waits for its first answer, as a
	// multiple of the route's latency objective.
	firstAnswerFactor = 2
	// minFirstAnswerTimeout is the shortest such wait.
	minFirstAnswerTimeout = 250 * time.Millisecond
	// soundAnswerTime is the time from the first event of a stream after which the call counts as
	// one that doesn't crash endpoints. A call that does crashes them when the answer begins.
	soundAnswerTime = 500 * time.Millisecond
	// moveCheckTime is how long a call that moves waits for the result of the check whether its
	// endpoint has crashed.
	moveCheckTime = 50 * time.Millisecond
	// wholeAnswerSize is the size in bytes up to which an answer is read whole before it is passed
	// on, in a buffer that doubles from minStartSize. copyBufferSize is the size of the parts in
	// which the rest is passed on.
	wholeAnswerSize = int(256 * knapweedpulley.KiB)
	minStartSize    = int(knapweedpulley.KiB)
	copyBufferSize  = int(32 * knapweedpulley.KiB)
)

// send makes one attempt at the call. retryable reports whether another endpoint could still
// serve the call after the error.
func (h *callHandler) send(ctx context.Context, visit *fleet.ActiveRequest) (retryable bool, err error) {
	e := visit.Endpoint
	h.sends++
	h.endpoint = e.ID()
	h.recordChoice(visit)
	if h.call.Weights().Model != "" {
		h.Placer.ScaleOut(h.loadRequest(), h.loadAtChoice)
	}
	outcome := fleet.Inconclusive
	defer func() { visit.End(outcome) }()
	if h.call.Weights().Model != "" {
		defer h.Demand.BeginRequest(e.ID(), h.call.Weights())()
	}
	exchangeCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	guard := h.startWatchdog(e, cancel)
	defer h.endWatch(guard)
	reply, err := h.Exchanger.Exchange(exchangeCtx, h.newAttempt(e))
	if err != nil {
		h.endWatch(guard)
		if knapweedpulley.VerdictOf(err) == knapweedpulley.MayHaveRun {
			h.possibleRuns++
		}
		outcome = h.judgeFailure(ctx, e, err)
		return ctx.Err() == nil, err
	}
	defer reply.Close()
	h.observe(e, reply)
	if reply.NotRun() || reply.Misdirected() {
		outcome = refusalOutcome(reply)
		h.status = reply.Head().Status
		return true, knapweedpulley.NewRefusal(knapweedpulley.CodeOverloaded, knapweedpulley.NotRun,
			"endpoint %s refused the request with status %d", e.ID(), reply.Head().Status)
	}
	h.possibleRuns++
	if !reply.FromEndpoint() {
		outcome = fleet.Broken
		return true, knapweedpulley.NewRefusal(knapweedpulley.CodeEngineFailed, knapweedpulley.MayHaveRun,
			"endpoint %s sent an answer without its stamp", e.ID())
	}
	received, empty := h.events, false
	switch status := reply.Head().Status; {
	case h.admission.Route.Stream && status == http.StatusOK:
		retryable, err = h.relayStream(ctx, guard, reply, visit)
		empty = h.events == received
	case h.answerStarted:
		retryable, err = true, errors.Mark(knapweedpulley.NewRefusal(knapweedpulley.CodeEngineFailed, knapweedpulley.MayHaveRun,
			"endpoint %s answered with status %d instead of resuming the stream", e.ID(), status), errEndpointFailed)
	default:
		retryable, err = h.copy(ctx, guard, reply, visit)
	}
	h.endWatch(guard)
	outcome = h.outcome(ctx, e, err, empty)
	return retryable, err
}

// refusalOutcome returns the outcome of a request that its endpoint has refused.
func refusalOutcome(reply knapweedpulley.Reply) fleet.Outcome {
	if reply.Misdirected() {
		return fleet.Unsent
	}
	return fleet.Failed
}

// observe records what an answer says of its endpoint: its load, and whether it is leaving.
func (h *callHandler) observe(e *fleet.Endpoint, reply knapweedpulley.Reply) {
	e.RecordActivity()
	if l, known := reply.Load().Get(); known {
		e.Observe(l)
	}
	genuine := reply.FromEndpoint() || reply.NotRun()
	if !genuine || reply.Misdirected() {
		return
	}
	r := e.Registration()
	entry := h.Log.WithField("endpoint", e.ID()).WithField("start", r.Start).WithField("draining", r.Draining).
		WithField("request", h.call.ID)
	if reply.Leaving() && h.Fleet.MarkLeaving(e) {
		entry.Info("endpoint says that it is leaving; it gets no more requests")
		h.Meter.recordDeparture()
	}
	retryAfter, err := reply.RetryAfter()
	if err != nil {
		entry.WithError(err).Warn("endpoint gave no valid time after which it takes requests again")
	}
	if d, given := retryAfter.Get(); given && d > 0 && e.HoldBack(d) {
		entry.WithField("holdMs", d.Milliseconds()).Info("endpoint wants no requests for a while")
		h.Meter.recordHold()
	}
}

// endWatch stops the watchdog of an exchange, and records what it has decided.
func (h *callHandler) endWatch(guard *watchdog) {
	next, notMoved := guard.stop()
	if notMoved != "" {
		h.notMoved = notMoved
	}
	if next != nil {
		h.stalls++
		h.next, h.left = next, guard.endpoint
	}
}

// outcome returns the endpoint's outcome after its answer ended. A successful answer shows that the
// call doesn't crash endpoints, unless it is a stream that was resumed and is empty.
func (h *callHandler) outcome(ctx context.Context, e *fleet.Endpoint, err error, empty bool) fleet.Outcome {
	switch {
	case err == nil && h.status >= http.StatusInternalServerError:
		return fleet.Failed
	case err == nil:
		switch {
		case h.status < http.StatusMultipleChoices && !empty:
			h.CrashTracker.RecordAnswer(h.call)
		case isAnswerToContent(h.status):
			h.CrashTracker.RecordContentAnswer(h.call)
		}
		return fleet.Answered
	case errors.Is(err, errEndpointFailed):
		return fleet.Failed
	default:
		return h.judgeFailure(ctx, e, err)
	}
}

// isAnswerToContent reports whether an endpoint that answers with the status has run the request. It
// may refuse others before it has looked at them.
func isAnswerToContent(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooEarly, http.StatusTooManyRequests:
		return false
	default:
		return status >= http.StatusMultipleChoices && status < http.StatusInternalServerError
	}
}

// judgeFailure returns the endpoint's outcome after a broken exchange, and handles a possible
// crash. An exchange that ended because of the caller or the deadline isn't held against the
// endpoint, which may have crashed nevertheless.
func (h *callHandler) judgeFailure(ctx context.Context, e *fleet.Endpoint, err error) fleet.Outcome {
	if ctx.Err() != nil || errors.Is(err, errCallerWrite) {
		if knapweedpulley.VerdictOf(err) != knapweedpulley.NotRun {
			h.CrashTracker.CheckLater(e, h.call)
		}
		return fleet.Inconclusive
	}
	if knapweedpulley.VerdictOf(err) == knapweedpulley.NotRun {
		if knapweedpulley.RefusalOf(err, "").Code == knapweedpulley.CodeUnreachable {
			h.Fleet.MarkUnreachable(e)
		}
		return fleet.Broken
	}
	h.checkCrash(e)
	return fleet.Broken
}

// checkCrash checks whether the endpoint has crashed. A call that moves waits only for a quick
// result, as its endpoint may be dark.
func (h *callHandler) checkCrash(e *fleet.Endpoint) {
	if h.next == nil {
		h.CrashTracker.HandleBrokenExchange(e, h.call)
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.CrashTracker.HandleBrokenExchange(e, h.call)
	}()
	timer := time.NewTimer(moveCheckTime)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// stallTimeout returns the time without an event after which a stream counts as dead.
func (h *callHandler) stallTimeout() time.Duration {
	return max(minStallTimeout, stallFactor*h.admission.Route.EventGapTarget)
}

// newAttempt returns the attempt to send to an endpoint.
func (h *callHandler) newAttempt(e *fleet.Endpoint) knapweedpulley.Attempt {
	return knapweedpulley.Attempt{
		Call:            h.call,
		Endpoint:        e.ID(),
		Address:         e.Registration().Address,
		Customer:        h.admission.Customer(),
		Timeout:         h.remaining(),
		LastEvent:       h.lastEventID,
		FreshConnection: h.admission.Route.Retry == knapweedpulley.AtMostOnce,
		Priority:        h.admission.Priority,
	}
}

// errEndpointFailed marks an answer with an error status that was not passed on to the caller.
var errEndpointFailed = errors.New("endpoint answered with an error status")

// errCutByCrash is the error of an answer that ended because its endpoint crashed.
var errCutByCrash = errors.New("endpoint refuses connections after an answer without a marked end")

// errCallerWrite marks a failure to write to the caller.
var errCallerWrite = errors.New("write to the caller failed")

// copy passes an answer on to the caller. An answer of up to wholeAnswerSize is read whole first,
// so that the call can still be sent to another endpoint if the answer breaks off.
func (h *callHandler) copy(
	ctx context.Context, guard *watchdog, reply knapweedpulley.Reply, visit *fleet.ActiveRequest,
) (bool, error) {
	e := visit.Endpoint
	head := reply.Head()
	start, whole, err := readStart(watchedReader{reply, e, guard}, reply.Keep)
	h.endWatch(guard)
	if err == nil && h.next != nil && !whole {
		err = errStalled
	}
	if err == nil && whole {
		err = h.checkEnd(ctx, reply, e)
	}
	if err != nil {
		return true, knapweedpulley.NewRefusal(knapweedpulley.CodeEngineFailed, knapweedpulley.MayHaveRun,
			"answer of endpoint %s broke off: %v", h.endpoint, err)
	}
	if head.Status >= http.StatusInternalServerError && h.canRetryFailure() {
		return true, errors.Mark(knapweedpulley.NewRefusal(knapweedpulley.CodeEngineFailed, knapweedpulley.MayHaveRun,
			"endpoint %s answered with status %d", h.endpoint, head.Status), errEndpointFailed)
	}
	h.status = head.Status
	now := h.Clock.Now()
	h.firstLatency = now.Sub(h.call.Arrived)
	if whole && head.Status < http.StatusMultipleChoices {
		visit.RecordResponse(now.Sub(h.sentAt))
	}
	h.answerStarted = true
	if err := h.writer.WriteHead(head); err != nil {
		return false, errors.Mark(err, errCallerWrite)
	}
	if _, err := h.writer.Write(start); err != nil {
		return false, errors.Mark(err, errCallerWrite)
	}
	if whole {
		return false, nil
	}
	reply.Keep(0)
	return false, h.copyRest(ctx, reply, e)
}

// readStart reads an answer up to wholeAnswerSize, as far as keep allows that many bytes. Whole
// reports whether the answer ended.
func readStart(r io.Reader, keep func(knapweedpulley.Bytes) bool) (start []byte, whole bool, err error) {
	start = make([]byte, 0, minStartSize)
	for {
		if size := cap(start); len(start) == size {
			if size >= wholeAnswerSize || !keep(knapweedpulley.Bytes(2*size)) {
				return start, false, nil
			}
			start = append(make([]byte, 0, 2*size), start...)
		}
		n, err := r.Read(start[len(start):cap(start)])
		start = start[:len(start)+n]
		if errors.Is(err, io.EOF) {
			return start, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
}

// copyRest passes on the rest of an answer, however long it is.
func (h *callHandler) copyRest(ctx context.Context, reply knapweedpulley.Reply, e *fleet.Endpoint) error {
	buffer := make([]byte, copyBufferSize)
	for {
		n, err := reply.Read(buffer)
		if n > 0 {
			e.RecordActivity()
			if _, err := h.writer.Write(buffer[:n]); err != nil {
				return errors.Mark(err, errCallerWrite)
			}
		}
		ended := errors.Is(err, io.EOF)
		if ended {
			err = h.checkEnd(ctx, reply, e)
		}
		switch {
		case ended && err == nil:
			return nil
		case err != nil:
			return knapweedpulley.NewRefusal(knapweedpulley.CodeEngineFailed, knapweedpulley.MayHaveRun,
				"answer of endpoint %s broke off: %v", h.endpoint, err)
		}
	}
}

// checkEnd returns an error if the end of an answer is that of a connection to an endpoint that has
// crashed.
func (h *callHandler) checkEnd(ctx context.Context, reply knapweedpulley.Reply, e *fleet.Endpoint) error {
	if reply.Framed() || !h.CrashTracker.HasCrashed(context.WithoutCancel(ctx), e) {
		return nil
	}
	return errCutByCrash
}

// canRetryFailure reports whether the call may be sent to another endpoint after one answered
// with an error status.
func (h *callHandler) canRetryFailure() bool {
	r := &h.admission.Route
	return h.denyRun() == "" && h.remaining() > r.LatencyTarget/2
}

// relayStream passes on a stream event by event. If the stream breaks off or stalls and the
// route allows it, the stream can be resumed at another endpoint.
func (h *callHandler) relayStream(
	ctx context.Context, guard *watchdog, reply knapweedpulley.Reply, visit *fleet.ActiveRequest,
) (bool, error) {
	resumable := h.admission.Route.Retry == knapweedpulley.Resumable
	var began knapweedpulley.Instant
	recorded := false
	for {
		event, err := reply.Event()
		if errors.Is(err, io.EOF) {
			h.endWatch(guard)
			if err = h.checkEnd(ctx, reply, visit.Endpoint); err == nil {
				return h.endStream(reply)
			}
		}
		if err != nil {
			return resumable && ctx.Err() == nil, knapweedpulley.NewRefusal(knapweedpulley.CodeEngineFailed,
				knapweedpulley.MayHaveRun, "stream of endpoint %s broke off after %d events: %v", h.endpoint, h.events, err)
		}
		visit.PromptProcessed()
		visit.RecordActivity()
		guard.suspend()
		arrived := h.Clock.Now()
		if err := h.writeEvent(reply, event); err != nil {
			return false, err
		}
		visit.RecordEvent(arrived, h.lastEventAt)
		if began == 0 {
			began = h.lastEventAt
		}
		if !recorded && h.lastEventAt.Sub(began) >= soundAnswerTime {
			recorded = true
			h.CrashTracker.RecordAnswer(h.call)
		}
		guard.postpone(h.stallTimeout())
	}
}

// endStream completes a stream whose end was received. A stream without events is complete only
// for a caller that already has events.
func (h *callHandler) endStream(reply knapweedpulley.Reply) (bool, error) {
	switch {
	case h.answerStarted:
		return false, nil
	case h.call.LastEvent == "":
		return h.admission.Route.Retry == knapweedpulley.Resumable, knapweedpulley.NewRefusal(
			knapweedpulley.CodeEngineFailed, knapweedpulley.MayHaveRun, "stream of endpoint %s ended without an event", h.endpoint)
	default:
		h.answerStarted = true
		h.status = reply.Head().Status
		return false, h.writer.WriteHead(reply.Head())
	}
}

// writeEvent writes one event to the caller, after the head if it is the first one.
func (h *callHandler) writeEvent(reply knapweedpulley.Reply, event knapweedpulley.StreamEvent) error {
	if !h.answerStarted {
		h.answerStarted = true
		h.firstLatency = h.Clock.Now().Sub(h.call.Arrived)
		h.status = reply.Head().Status
		if err := h.writer.WriteHead(reply.Head()); err != nil {
			return errors.Mark(err, errCallerWrite)
		}
	}
	if _, err := h.writer.Write(event.Data); err != nil {
		return errors.Mark(err, errCallerWrite)
	}
	h.events++
	now := h.Clock.Now()
	if h.events > 1 {
		h.longestGap = max(h.longestGap, now.Sub(h.lastEventAt))
	}
	h.lastEventAt = now
	if event.ID != "" {
		h.lastEventID = event.ID
	}
	return nil
}
