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
	// maxRefusedSends bounds the sends of one call that endpoints refuse.
	maxRefusedSends = 3
	// endpointWait is how long a call waits for the first endpoint of a service
	// without engines. A refusal that comes early costs the caller least.
	endpointWait = 100 * time.Millisecond
	// refusalPause is the time after which endpoints that refused a call are
	// tried again.
	refusalPause = 50 * time.Millisecond
	// firstEvent is kept for the first event after a model was loaded, before
	// the caller leaves.
	firstEvent = 200 * time.Millisecond
	// lastSend is the least time that must be left for a send.
	lastSend = 20 * time.Millisecond
	// sharedPromptLeast is the number of shared tokens from which on it pays to
	// look for the endpoint that has them.
	sharedPromptLeast = 32
)

// passage is one call on its way through the gateway.
type passage struct {
	*Gateway
	call      *knapweedpulley.Call
	writer    knapweedpulley.AnswerWriter
	admission installation.Admission
	deadline  knapweedpulley.Instant
	avoid     knapweedpulley.Set[knapweedpulley.EndpointID]
	// runs counts sends after which the call may have run, refused those that
	// an endpoint refused.
	runs    int
	refused int
	sends   int
	// begun is set once a part of the answer was written, lastEvent is the id
	// of the last event of it.
	begun     bool
	lastEvent string
	// What follows is for the log.
	endpoint knapweedpulley.EndpointID
	events   int
	status   int
	waited   time.Duration
	first    time.Duration
	// pause is the longest time between two events, eventAt when the last came.
	pause   time.Duration
	eventAt knapweedpulley.Instant
	// load is the number of requests at the endpoint when it was chosen.
	load int
}

func (p *passage) serve(ctx context.Context) error {
	var err error
	if p.admission, err = p.admit(p.call); err != nil {
		return err
	}
	r := &p.admission.Route
	p.deadline = p.call.Arrived.Add(min(p.call.Timeout, r.Timeout))
	p.lastEvent = p.call.LastEvent
	if p.Crashes.State(p.call.Fingerprint) == knapweedpulley.SuspectRefuse {
		return knapweedpulley.NewRefusal(knapweedpulley.CodeCrashSuspect, knapweedpulley.NotRun,
			"the endpoints that ran the request crashed")
	}
	ctx, cancel := context.WithTimeout(ctx, p.left())
	defer cancel()
	tokens, err := p.charge(ctx, p.call, &p.admission)
	if err != nil {
		return err
	}
	weights := p.call.Weights()
	if weights.Model != "" {
		p.Demand.Arrive(weights)
	}
	p.Budget.Earn(p.admission.Service.ID)
	err = p.run(ctx)
	if knapweedpulley.VerdictOf(err) == knapweedpulley.NotRun && err != nil && p.runs == 0 && p.admission.Account != nil {
		p.Rates.Return(p.admission.Account.Customer, tokens)
	}
	return err
}

// run sends the call until it is answered or may not be sent again.
func (p *passage) run(ctx context.Context) error {
	for {
		e, err := p.find(ctx)
		if err != nil {
			return p.conclude(err)
		}
		if err := p.readmit(); err != nil {
			return p.conclude(err)
		}
		again, err := p.send(ctx, e)
		if err == nil || !again {
			return p.conclude(err)
		}
		if !p.mayRepeat(err) {
			return p.conclude(err)
		}
		p.avoid.Add(e.ID())
	}
}

// conclude gives the verdict on the whole call to the last error.
func (p *passage) conclude(err error) error {
	switch {
	case err == nil:
		return nil
	case p.begun:
		return errors.Mark(err, ErrBroken)
	case p.runs > 0:
		r := *knapweedpulley.RefusalOf(err, knapweedpulley.CodeEngineFailed)
		r.Verdict = knapweedpulley.MayHaveRun
		if p.left() <= 0 {
			r.Code = knapweedpulley.CodeDeadlineExceeded
		}
		return &r
	default:
		return err
	}
}

// mayRepeat reports whether the call may be sent once more after a failure.
func (p *passage) mayRepeat(err error) bool {
	if p.left() < lastSend {
		return false
	}
	if knapweedpulley.VerdictOf(err) == knapweedpulley.NotRun {
		p.refused++
		if p.refused >= maxRefusedSends {
			return false
		}
	} else if !p.mayRunAgain() {
		return false
	}
	return p.Budget.Spend(p.admission.Service.ID)
}

// mayRunAgain reports whether the call may run once more. Most calls that ran at
// a crash are not its cause, so that one more run is worth the risk.
func (p *passage) mayRunAgain() bool {
	r := &p.admission.Route
	return r.Repeat != knapweedpulley.AtMostOnce && p.runs < r.MaxAttempts &&
		p.Crashes.State(p.call.Fingerprint) != knapweedpulley.SuspectRefuse
}

// readmit checks the call again after it has waited: its key may have been
// withdrawn, or its route may lead elsewhere.
func (p *passage) readmit() error {
	s, known := p.Follower.Current()
	if !known || s.Version == p.admission.Version {
		return nil
	}
	a, err := s.Admit(p.call)
	if err != nil {
		return err
	}
	if !serves(a.Route.Shares, p.admission.Service.ID) {
		return knapweedpulley.NewRefusal(knapweedpulley.CodeNoEndpoint, knapweedpulley.NotRun,
			"the route %s leads to another service now", a.Route.ID)
	}
	p.admission.Version = a.Version
	return nil
}

func serves(shares []knapweedpulley.ServiceShare, id knapweedpulley.ServiceID) bool {
	for _, s := range shares {
		if s.Service == id {
			return true
		}
	}
	return false
}

// find returns the endpoint for the next send.
func (p *passage) find(ctx context.Context) (*fleet.Endpoint, error) {
	began := p.Clock.Now()
	defer func() { p.waited += p.Clock.Now().Sub(began) }()
	need := p.need()
	for {
		changed := p.Fleet.Changed()
		if e, found := p.Fleet.Choose(need); found {
			return e, nil
		}
		if len(p.avoid) > 0 {
			// All that could serve were tried. Those that refused may have room
			// in a moment.
			clear(p.avoid)
			p.rest(ctx, changed)
			continue
		}
		if need.Weights.Model != "" {
			if err := p.Placer.Await(ctx, p.wish()); err != nil {
				return nil, err
			}
			continue
		}
		if err := p.await(ctx, changed, began.Add(endpointWait)); err != nil {
			return nil, err
		}
	}
}

// rest waits a moment, or for a change of the fleet.
func (p *passage) rest(ctx context.Context, changed <-chan struct{}) {
	timer := time.NewTimer(refusalPause)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// await waits for a change of the fleet.
func (p *passage) await(ctx context.Context, changed <-chan struct{}, until knapweedpulley.Instant) error {
	timer := time.NewTimer(until.Sub(p.Clock.Now()))
	defer timer.Stop()
	select {
	case <-changed:
		return nil
	case <-timer.C:
		return knapweedpulley.NewRefusal(knapweedpulley.CodeNoEndpoint, knapweedpulley.NotRun,
			"service %s has no endpoint", p.admission.Service.ID).WithRetryAfter(endpointWait)
	case <-ctx.Done():
		return knapweedpulley.NewRefusal(knapweedpulley.CodeCanceled, knapweedpulley.NotRun, "the caller left")
	}
}

func (p *passage) wish() placement.Wish {
	until := min(p.deadline.Add(-lastSend), knapweedpulley.Instant(p.end.Load()))
	if patience := p.admission.Route.Patience; patience > 0 {
		until = min(until, p.call.Arrived.Add(patience-firstEvent))
	}
	return placement.Wish{
		Service:  p.admission.Service.ID,
		Weights:  p.call.Weights(),
		Priority: p.admission.Priority,
		Aim:      p.call.Arrived.Add(p.admission.Route.Target),
		Until:    until,
	}
}

func (p *passage) need() fleet.Need {
	n := fleet.Need{
		Service: p.admission.Service.ID,
		Weights: p.call.Weights(),
		Prompt:  p.call.Prompt,
		Size:    p.call.Prompt + p.call.Completion,
		Avoid:   p.avoid,
	}
	for i, part := range p.call.Parts {
		// The last part belongs to the request or its session.
		n.Affinity += part.ID + " "
		n.Shared += part.Tokens
		if i == len(p.call.Parts)-2 {
			break
		}
	}
	if n.Shared < sharedPromptLeast {
		n.Affinity = ""
	}
	return n
}
