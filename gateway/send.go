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
	// leastStall is the shortest silence after which a stream that can be
	// resumed goes on elsewhere: engines pause some hundred milliseconds when
	// they read long prompts, and callers leave after two seconds.
	leastStall = time.Second
	// stallPauses is the silence in objectives of the pause between events.
	stallPauses = 3
	// patience is how long a call that may be repeated waits for its first
	// answer, in objectives.
	patience = 2
	// leastPatience is the shortest such wait.
	leastPatience = 250 * time.Millisecond
)

// send sends the call once. Again tells whether another endpoint could make up
// for the error.
func (p *passage) send(ctx context.Context, e *fleet.Endpoint) (again bool, err error) {
	p.sends++
	p.endpoint = e.ID()
	p.load = e.Load()
	if p.call.Weights().Model != "" {
		p.Placer.Grow(p.wish(), p.load)
	}
	visit := e.Enter(p.call.Prompt)
	outcome := fleet.Unjudged
	defer func() { visit.Leave(outcome) }()
	if p.call.Weights().Model != "" {
		defer p.Demand.Enter(e.ID(), p.call.Weights())()
	}
	waiting, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	dog := p.watch(cancel)
	defer dog.stop()
	reply, err := p.Exchanger.Exchange(waiting, p.attempt(e))
	if err != nil {
		if knapweedpulley.VerdictOf(err) == knapweedpulley.MayHaveRun {
			p.runs++
		}
		outcome = p.blame(ctx, e, err)
		return ctx.Err() == nil, err
	}
	defer reply.Close()
	if l, told := reply.Load().Get(); told {
		e.Observe(l)
	}
	if reply.NotRun() || reply.Misdirected() {
		if !reply.Misdirected() {
			outcome = fleet.Failed
		}
		p.status = reply.Head().Status
		return true, knapweedpulley.NewRefusal(knapweedpulley.CodeOverloaded, knapweedpulley.NotRun,
			"endpoint %s refused the request with status %d", e.ID(), reply.Head().Status)
	}
	p.runs++
	if !reply.Genuine() {
		outcome = fleet.Broken
		return true, knapweedpulley.NewRefusal(knapweedpulley.CodeEngineFailed, knapweedpulley.MayHaveRun,
			"endpoint %s answered without its stamp", e.ID())
	}
	if p.admission.Route.Stream && reply.Head().Status == http.StatusOK {
		again, err = p.relay(ctx, dog, reply, visit)
	} else {
		again, err = p.copy(reply)
	}
	outcome = p.outcome(ctx, e, err)
	return again, err
}

// outcome judges the endpoint by the end of an answer.
func (p *passage) outcome(ctx context.Context, e *fleet.Endpoint, err error) fleet.Outcome {
	switch {
	case err == nil && p.status >= http.StatusInternalServerError:
		return fleet.Failed
	case err == nil:
		return fleet.Answered
	case errors.Is(err, errFailure):
		return fleet.Failed
	default:
		return p.blame(ctx, e, err)
	}
}

// blame judges the endpoint by a broken exchange. One that ends with the caller
// or the deadline says nothing.
func (p *passage) blame(ctx context.Context, e *fleet.Endpoint, err error) fleet.Outcome {
	if ctx.Err() != nil || errors.Is(err, errWriting) {
		return fleet.Unjudged
	}
	if knapweedpulley.VerdictOf(err) == knapweedpulley.NotRun {
		if knapweedpulley.RefusalOf(err, "").Code == knapweedpulley.CodeUnreachable {
			p.Fleet.Lose(e)
		}
		return fleet.Broken
	}
	p.Crashes.Broken(e, p.call.Fingerprint)
	return fleet.Broken
}

// watchdog ends an exchange that is silent for too long, so that the call can
// go elsewhere.
type watchdog struct {
	timer *time.Timer
}

// watch guards an exchange if the call may be sent once more after it. A nil
// watchdog does nothing.
func (p *passage) watch(cancel context.CancelCauseFunc) *watchdog {
	r := &p.admission.Route
	if r.Repeat == knapweedpulley.AtMostOnce || p.runs+1 >= r.MaxAttempts {
		return nil
	}
	bound := max(leastPatience, patience*r.Target)
	if r.Stream {
		bound = max(bound, p.stall())
	}
	return &watchdog{timer: time.AfterFunc(bound, func() { cancel(errStalled) })}
}

// feed puts the end off.
func (w *watchdog) feed(d time.Duration) {
	if w != nil {
		w.timer.Reset(d)
	}
}

func (w *watchdog) stop() {
	if w != nil {
		w.timer.Stop()
	}
}

// stall returns the silence after which a stream is taken for dead.
func (p *passage) stall() time.Duration {
	return max(leastStall, stallPauses*p.admission.Route.Pause)
}

func (p *passage) attempt(e *fleet.Endpoint) knapweedpulley.Attempt {
	return knapweedpulley.Attempt{
		Call:      p.call,
		Endpoint:  e.ID(),
		Address:   e.Entry().Address,
		Customer:  p.admission.Customer(),
		Timeout:   p.left(),
		LastEvent: p.lastEvent,
		Fresh:     p.admission.Route.Repeat == knapweedpulley.AtMostOnce,
		Priority:  p.admission.Priority,
	}
}

// errFailure marks an answer that tells of a failure and was not passed on.
var errFailure = errors.New("the endpoint failed")

// errWriting marks a failure on the caller's side.
var errWriting = errors.New("the caller can't be written to")

// copy passes on a whole answer.
func (p *passage) copy(reply knapweedpulley.Reply) (bool, error) {
	head := reply.Head()
	body, err := reply.Body()
	if err != nil {
		return true, knapweedpulley.NewRefusal(knapweedpulley.CodeEngineFailed, knapweedpulley.MayHaveRun,
			"the answer of %s broke off: %v", p.endpoint, err)
	}
	if head.Status >= http.StatusInternalServerError && p.canRetryFailure() {
		return true, errors.Mark(knapweedpulley.NewRefusal(knapweedpulley.CodeEngineFailed, knapweedpulley.MayHaveRun,
			"%s answered with status %d", p.endpoint, head.Status), errFailure)
	}
	p.status = head.Status
	p.first = p.Clock.Now().Sub(p.call.Arrived)
	p.begun = true
	if err := p.writer.WriteHead(head); err != nil {
		return false, errors.Mark(err, errWriting)
	}
	if _, err := p.writer.Write(body); err != nil {
		return false, errors.Mark(err, errWriting)
	}
	return false, nil
}

// canRetryFailure reports whether a failure that an endpoint told of may be
// answered by another one.
func (p *passage) canRetryFailure() bool {
	r := &p.admission.Route
	return p.mayRunAgain() && p.left() > r.Target/2
}

// relay passes on a stream event by event. A stream that breaks off or falls
// silent goes on elsewhere if it can be resumed.
func (p *passage) relay(
	ctx context.Context, dog *watchdog, reply knapweedpulley.Reply, visit *fleet.Visit,
) (bool, error) {
	resumable := p.admission.Route.Repeat == knapweedpulley.Resumable
	for {
		event, err := reply.Event()
		if errors.Is(err, io.EOF) {
			return p.endStream(reply)
		}
		if err != nil {
			return resumable && ctx.Err() == nil, knapweedpulley.NewRefusal(knapweedpulley.CodeEngineFailed,
				knapweedpulley.MayHaveRun, "the stream of %s broke off after %d events: %v", p.endpoint, p.events, err)
		}
		visit.Started()
		dog.feed(p.stall())
		if err := p.pass(reply, event); err != nil {
			return false, err
		}
	}
}

// endStream ends a stream as whole. One without any event is only whole for a
// caller that has events already.
func (p *passage) endStream(reply knapweedpulley.Reply) (bool, error) {
	switch {
	case p.begun:
		return false, nil
	case p.call.LastEvent == "":
		return p.admission.Route.Repeat == knapweedpulley.Resumable, knapweedpulley.NewRefusal(
			knapweedpulley.CodeEngineFailed, knapweedpulley.MayHaveRun, "the stream of %s has no event", p.endpoint)
	default:
		p.begun = true
		p.status = reply.Head().Status
		return false, p.writer.WriteHead(reply.Head())
	}
}

// errStalled says that a stream fell silent.
var errStalled = errors.New("the stream fell silent")

// pass writes one event to the caller.
func (p *passage) pass(reply knapweedpulley.Reply, event knapweedpulley.StreamEvent) error {
	if !p.begun {
		p.begun = true
		p.first = p.Clock.Now().Sub(p.call.Arrived)
		p.status = reply.Head().Status
		if err := p.writer.WriteHead(reply.Head()); err != nil {
			return errors.Mark(err, errWriting)
		}
	}
	if _, err := p.writer.Write(event.Data); err != nil {
		return errors.Mark(err, errWriting)
	}
	p.events++
	now := p.Clock.Now()
	if p.events > 1 {
		p.pause = max(p.pause, now.Sub(p.eventAt))
	}
	p.eventAt = now
	if event.ID != "" {
		p.lastEvent = event.ID
	}
	return nil
}
