package agent

import (
	"context"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

// unloadTimeout bounds the wait for running requests to end before an unload whose order has
// no timeout.
const unloadTimeout = 30 * time.Second

// unload sends the unload order once no request uses the occupant. It returns nil only when
// the engine's state shows that the occupant is gone.
func (a *Agent) unload(o knapweedpulley.Order) error {
	target := occupantOf(o)
	a.orders.setReleasing(target, true)
	a.refreshReleasing()
	defer func() {
		a.orders.setReleasing(target, false)
		a.refreshReleasing()
	}()
	timeout := o.Timeout
	if timeout <= 0 {
		timeout = unloadTimeout
	}
	bounded, cancel := context.WithTimeout(a.lifetime, timeout)
	defer cancel()
	if !a.admission.awaitUnused(bounded, target) {
		return knapweedpulley.NewRefusal(knapweedpulley.CodeNotReady, knapweedpulley.NotRun,
			"%s %s is still used by running requests", o.Model, o.Adapter)
	}
	return a.unloadUnused(o)
}

// unloadUnused retries the order until the engine's state shows its effect. An unload is
// idempotent, so a retry after a lost answer does no harm.
func (a *Agent) unloadUnused(o knapweedpulley.Order) error {
	target := occupantOf(o)
	isGone := func(current *snapshot) bool {
		_, present := current.states[target]
		return !present
	}
	for {
		if a.readState(a.lifetime) == nil {
			current := a.snapshot.Load()
			if isGone(current) {
				return nil
			}
			if current.loaded(target) {
				err := a.sendAndAwait(o, isGone)
				if err != nil && knapweedpulley.VerdictOf(err) == knapweedpulley.NotRun {
					return err
				}
			}
		}
		if a.readState(a.lifetime) == nil && isGone(a.snapshot.Load()) {
			return nil
		}
		if !a.awaitRead() {
			return refuseStopping(o)
		}
	}
}

// unloadUnordered unloads an occupant that the engine holds although this agent didn't
// load it.
func (a *Agent) unloadUnordered(o occupant) {
	p := a.orders.startUnload(o)
	if p == nil {
		return
	}
	a.log.WithField("model", string(o.Model)).WithField("adapter", string(o.Adapter)).
		Warn("unloading a model or adapter that this agent did not load")
	a.goroutines.Go(func() { a.execute(p) })
}
