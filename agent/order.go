package agent

import (
	"context"

	"github.com/apex/log"

	"github.com/knapweedpulley/knapweedpulley"
)

// Order implements knapweedpulley.EndpointAgent. An order continues after its caller's time
// is over. The verdict NotRun means that the order had no effect.
func (a *Agent) Order(ctx context.Context, o knapweedpulley.Order) error {
	if a.backends.Engine == nil {
		return knapweedpulley.NewRefusal(knapweedpulley.CodeInvalidRequest, knapweedpulley.NotRun,
			"endpoint %s has no engine", a.settings.Endpoint)
	}
	if o.Timeout > 0 {
		bounded, cancel := context.WithTimeout(ctx, o.Timeout)
		defer cancel()
		ctx = bounded
	}
	if err := a.awaitOrdersAllowed(ctx, o); err != nil {
		return err
	}
	for {
		if err := a.refuseOrder(o); err != nil {
			return err
		}
		p, isNew, err := a.orders.joinOrStart(o)
		if err != nil {
			return err
		}
		if isNew {
			a.goroutines.Go(func() { a.execute(p) })
		}
		select {
		case <-p.done:
			if p.hasOutcomeOf(o) {
				return p.err
			}
		case <-ctx.Done():
			return refuseUnfinished(p, o)
		}
	}
}

// refuseOrder refuses loads while the agent drains, and all orders once it is stopping.
func (a *Agent) refuseOrder(o knapweedpulley.Order) error {
	if (a.draining.Load() && isLoad(o.Kind)) || a.lifetime.Err() != nil {
		return refuseDraining(a.settings.Endpoint)
	}
	return nil
}

// refuseUnfinished returns the refusal for an order that is not finished when its caller's
// time is over.
func refuseUnfinished(p *operation, o knapweedpulley.Order) error {
	verdict := knapweedpulley.NotRun
	if p.hasOutcomeOf(o) {
		verdict = knapweedpulley.MayHaveRun
	}
	return knapweedpulley.NewRefusal(knapweedpulley.CodeDeadlineExceeded, verdict,
		"%s of %s did not finish in time", o.Kind, o.Model)
}

// awaitOrdersAllowed waits until the engine's state has been read. For a load, it also waits
// until no order decided before the agent's start can take effect any more.
func (a *Agent) awaitOrdersAllowed(ctx context.Context, o knapweedpulley.Order) error {
	for !a.snapshot.Load().known || (isLoad(o.Kind) && a.inStartupLease()) {
		next := a.nextRead()
		if a.snapshot.Load().known && (!isLoad(o.Kind) || !a.inStartupLease()) {
			return nil
		}
		select {
		case <-next:
		case <-a.lifetime.Done():
			return refuseDraining(a.settings.Endpoint)
		case <-ctx.Done():
			return knapweedpulley.NewRefusal(knapweedpulley.CodeNotReady, knapweedpulley.NotRun,
				"agent of endpoint %s has just started and accepts no such order yet", a.settings.Endpoint).WithRetryAfter(max(a.startupLeaseLeft(), stateReadTimeout))
		}
	}
	return nil
}

// execute executes an operation until its outcome is known, however long that takes.
func (a *Agent) execute(p *operation) {
	a.meter.orders.Inc(1)
	var err error
	if isLoad(p.order.Kind) {
		err = a.load(p.order)
	} else {
		err = a.unload(p.order)
	}
	fields := log.Fields{
		"order": string(p.order.Kind), "model": string(p.order.Model),
		"adapter": string(p.order.Adapter), "permit": p.order.Permit.String(),
	}
	if err != nil {
		a.log.WithFields(fields).WithError(err).Warn("order failed")
	} else {
		a.log.WithFields(fields).Info("order completed")
	}
	a.orders.finish(p, err)
}

// send sends an order to the engine under a new fencing token.
func (a *Agent) send(ctx context.Context, o knapweedpulley.Order) error {
	o.Permit = 0
	o.Token = a.orders.nextToken()
	return a.backends.Engine.Order(ctx, o)
}

// awaitRead waits for the next read of the engine's state. It returns false if the agent
// stops first.
func (a *Agent) awaitRead() bool {
	select {
	case <-a.nextRead():
		return true
	case <-a.lifetime.Done():
		return false
	}
}

func refuseStopping(o knapweedpulley.Order) error {
	return knapweedpulley.NewRefusal(knapweedpulley.CodeDraining, knapweedpulley.MayHaveRun,
		"the agent stopped during %s of %s", o.Kind, o.Model)
}
