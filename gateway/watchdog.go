package gateway

import (
	"context"
	"io"
	"maps"
	"math"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/fleet"
	"github.com/knapweedpulley/knapweedpulley/installation"
)

// moveRecheckPeriod is the time between two checks whether a call at a silent endpoint can move to
// another one.
const moveRecheckPeriod = 250 * time.Millisecond

// minMoveTime is the time that the next attempt may take to start.
const minMoveTime = moveCheckTime + minSendTime

// errStalled is the cause with which the watchdog cancels an exchange.
var errStalled = errors.New("endpoint sent nothing within the time limit")

// watchdog cancels an exchange in which the endpoint has sent nothing for too long, so that the
// call can move to another endpoint. A sound endpoint may be silent for a while, so the watchdog
// cancels only once the next attempt is certain to be made: an answer may still come in time, a slot
// of another endpoint is reserved, the configuration still admits the call and the retry budget has
// granted the retry.
//
// A nil watchdog does nothing.
type watchdog struct {
	gateway *Gateway
	call    *knapweedpulley.Call
	// admission is the one with which the call is running.
	admission installation.Admission
	// endpoint is the one that is watched; need excludes it.
	endpoint *fleet.Endpoint
	need     fleet.Requirements
	cancel   context.CancelCauseFunc
	// latestMove is until when an answer of another endpoint may still come in time.
	latestMove knapweedpulley.Instant
	// timeout is how long the endpoint may be silent at first.
	timeout time.Duration

	mu         sync.Mutex
	commitment commitment
	timer      *time.Timer
	// silentUntil is when the endpoint will have been silent for too long.
	silentUntil knapweedpulley.Instant
	stopped     bool
	// next is the request at the endpoint to which the call moves. It is set once the exchange has
	// been canceled.
	next *fleet.ActiveRequest
	// notMoved says why the call could not move when the endpoint had last been silent for too long.
	notMoved string
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
		gateway: h.Gateway, call: h.call, admission: h.admission,
		endpoint: e, need: h.need(), cancel: cancel, timeout: timeout, commitment: h.commitment(),
		silentUntil: h.Clock.Now().Add(timeout),
	}
	w.latestMove = h.deadline.Add(-max(minMoveTime, r.LatencyTarget/2))
	w.need.Avoid = maps.Clone(h.avoid)
	w.need.Avoid.Add(e.ID())
	// An endpoint that is itself silent would answer no sooner.
	w.need.MaxSilence = max(moveRecheckPeriod, r.LatencyTarget)
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
	if w.stopped || w.next != nil {
		return
	}
	w.silentUntil = w.gateway.Clock.Now().Add(d)
	w.timer.Reset(d)
}

// suspend allows the endpoint to be silent until the next call of postpone, while an event is
// written to the caller.
func (w *watchdog) suspend() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.commitment.answerStarted = true
	w.silentUntil = math.MaxInt64
	w.timer.Stop()
}

// watchedReader reads an answer and allows its endpoint to be silent again after each read.
type watchedReader struct {
	io.Reader
	endpoint *fleet.Endpoint
	guard    *watchdog
}

// Read implements io.Reader.
func (r watchedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.endpoint.RecordActivity()
	}
	if n > 0 && r.guard != nil {
		r.guard.postpone(r.guard.timeout)
	}
	return n, err
}

// stop ends the watchdog. If the watchdog has canceled the exchange, it returns the request at the
// endpoint to which the call moves, once. It also returns why the call last could not move, if so.
func (w *watchdog) stop() (next *fleet.ActiveRequest, notMoved string) {
	if w == nil {
		return nil, ""
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	next = w.next
	w.next = nil
	return next, w.notMoved
}

// expire cancels the exchange if the endpoint has been silent for too long and the call can move.
func (w *watchdog) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.next != nil {
		return
	}
	if left := w.silentUntil.Sub(w.gateway.Clock.Now()); left > 0 {
		w.timer.Reset(left)
		return
	}
	w.endpoint.MarkSilent()
	var next *fleet.ActiveRequest
	if next, w.notMoved = w.grantMove(); next == nil {
		w.endpoint.Avoid(2 * moveRecheckPeriod)
		w.timer.Reset(moveRecheckPeriod)
		return
	}
	w.next = next
	w.cancel(errStalled)
}

// grantMove begins the call at another endpoint if it can move there now, and takes the retry from
// the budget. Otherwise it returns why the call can't move.
func (w *watchdog) grantMove() (next *fleet.ActiveRequest, reason string) {
	if w.commitment.answerStarted && w.admission.Route.Retry != knapweedpulley.Resumable {
		return nil, "route"
	}
	now := w.gateway.Clock.Now()
	if now.After(w.latestMove) {
		return nil, "deadline"
	}
	if now >= w.gateway.shutdown.Load().latestSend(w.commitment) {
		return nil, "shutdown"
	}
	e, found := w.gateway.Fleet.Choose(w.need)
	if !found || e.Avoided() || e.Evacuated() {
		return nil, "endpoint"
	}
	if w.gateway.CrashTracker.Check(w.call) != nil {
		return nil, "crashes"
	}
	if err := w.gateway.checkAdmission(w.call, &w.admission, w.commitment.answerStarted); err != nil {
		return nil, "configuration"
	}
	next, free := e.TryBeginRequest(w.call.Prompt)
	if !free {
		return nil, "slot"
	}
	if !w.gateway.RetryBudget.TryWithdraw(w.admission.Service.ID) {
		next.End(fleet.Unsent)
		return nil, "retryBudget"
	}
	return next, ""
}
