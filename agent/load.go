package agent

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

// errOutcomeUnknown means that an order may have taken effect or may still do so.
var errOutcomeUnknown = errors.New("outcome of the order is unknown")

// load reserves memory and sends the load order to the engine. It returns once it is known
// whether the model or adapter is loaded.
func (a *Agent) load(o knapweedpulley.Order) error {
	target := occupantOf(o)
	if err := a.readState(a.lifetime); err != nil {
		return knapweedpulley.NewRefusal(knapweedpulley.CodeNotReady, knapweedpulley.NotRun,
			"read state before %s of %s: %v", o.Kind, o.Model, err)
	}
	current := a.snapshot.Load()
	if current.loaded(target) {
		return nil
	}
	if o.Adapter != "" && !current.usable(occupant{Model: o.Model}) {
		return knapweedpulley.NewRefusal(knapweedpulley.CodeNotReady, knapweedpulley.NotRun,
			"adapter %s needs model %s, which is not loaded", o.Adapter, o.Model)
	}
	if !a.reserveMemory(target, o.Size) {
		return knapweedpulley.NewRefusal(knapweedpulley.CodeOutOfMemory, knapweedpulley.NotRun,
			"%s %s needs %s of memory, %s are free", o.Model, o.Adapter, o.Size, a.memory.Free())
	}
	a.orders.addOwned(target)
	a.residencyTracker.loadOrdered(target, a.clock.Now())
	starts := current.engine.Starts
	err := errOutcomeUnknown
	if _, present := current.states[target]; !present {
		err = a.sendLoad(o, starts)
	}
	if errors.Is(err, errOutcomeUnknown) {
		err = a.awaitLoadOutcome(o)
	}
	return err
}

// sendLoad sends a load order. It returns errOutcomeUnknown unless it is certain that the
// order had no effect or the agent is stopping.
func (a *Agent) sendLoad(o knapweedpulley.Order, starts uint64) error {
	target := occupantOf(o)
	err := a.sendAndAwait(o, func(s *snapshot) bool { return s.loaded(target) || s.engine.Starts != starts })
	if err != nil && knapweedpulley.VerdictOf(err) == knapweedpulley.NotRun {
		a.settle(target)
		return err
	}
	if a.lifetime.Err() != nil {
		return refuseStopping(o)
	}
	return errOutcomeUnknown
}

// sendAndAwait sends an order and waits for its answer, or for a read of the state for which
// isOver returns true, because the answer can be lost on a connection that has gone silent.
func (a *Agent) sendAndAwait(o knapweedpulley.Order, isOver func(*snapshot) bool) error {
	ctx, cancel := context.WithCancel(a.lifetime)
	defer cancel()
	result := make(chan error, 1)
	a.goroutines.Go(func() { result <- a.send(ctx, o) })
	for {
		next := a.nextRead()
		if isOver(a.snapshot.Load()) {
			return nil
		}
		select {
		case err := <-result:
			return err
		case <-next:
		case <-a.lifetime.Done():
			return refuseStopping(o)
		}
	}
}

// awaitLoadOutcome reads the engine's state until the outcome of a load order is known. The
// memory stays reserved until then, also if the engine restarts: the order can still arrive.
func (a *Agent) awaitLoadOutcome(o knapweedpulley.Order) error {
	target := occupantOf(o)
	absentSince := knapweedpulley.None[knapweedpulley.Instant]()
	for {
		if a.readState(a.lifetime) == nil {
			current := a.snapshot.Load()
			_, present := current.states[target]
			switch {
			case current.loaded(target):
				a.settle(target)
				return nil
			case present:
				absentSince = knapweedpulley.None[knapweedpulley.Instant]()
			case a.cannotTakeEffect(o, &absentSince):
				a.settle(target)
				return knapweedpulley.NewRefusal(knapweedpulley.CodeEngineFailed, knapweedpulley.NotRun,
					"the engine does not hold %s %s after the load order", o.Model, o.Adapter)
			}
		}
		if !a.awaitRead() {
			return refuseStopping(o)
		}
	}
}

// cannotTakeEffect reports whether a load order whose occupant is absent from the engine's
// state can no longer take effect: an engine that checks fencing tokens has since received a
// higher one, or the lease time has passed since the occupant was first seen to be absent.
func (a *Agent) cannotTakeEffect(o knapweedpulley.Order, absentSince *knapweedpulley.Option[knapweedpulley.Instant]) bool {
	now := a.clock.Now()
	first, known := absentSince.Get()
	if !known {
		*absentSince = knapweedpulley.Some(now)
		return a.fence(o)
	}
	return now.Sub(first) >= a.lease()
}

// fence sends an order that changes nothing under a higher token, so that an engine that
// checks tokens refuses o if it arrives late. It reports whether the engine accepted the
// fence and doesn't hold the occupant of o.
func (a *Agent) fence(o knapweedpulley.Order) bool {
	if !a.checksFencing() {
		return false
	}
	ctx, cancel := context.WithTimeout(a.lifetime, stateReadTimeout)
	defer cancel()
	fence := knapweedpulley.Order{Kind: knapweedpulley.OrderUnloadModel, Model: o.Model, Adapter: o.Adapter}
	if o.Adapter != "" {
		fence.Kind = knapweedpulley.OrderUnloadAdapter
	}
	if a.send(ctx, fence) != nil {
		return false
	}
	if a.readState(a.lifetime) != nil {
		return false
	}
	_, present := a.snapshot.Load().states[occupantOf(o)]
	return !present
}

// settle makes the ledger follow the engine's state for o again.
func (a *Agent) settle(o occupant) {
	a.memory.Settle(o)
	_ = a.readState(a.lifetime)
}
