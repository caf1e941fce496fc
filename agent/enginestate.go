package agent

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/machine"
)

const (
	// stateTimeout bounds one reading of the engine's state.
	stateTimeout = time.Second
	// silentFailures is the number of failed readings in a row after which the
	// engine counts as silent.
	silentFailures = 2
)

// watch reads the engine's state until the agent ends, and refuses requests
// whose deadline passed while the machine was suspended.
func (a *Agent) watch() {
	ticker := time.NewTicker(time.Duration(a.settings.StatePeriod))
	defer ticker.Stop()
	for {
		if a.backends.Engine != nil {
			_ = a.observe(a.life)
		}
		a.admission.refresh()
		a.unloadExpired()
		select {
		case <-ticker.C:
		case <-a.life.Done():
			return
		}
	}
}

// observe makes sure that the table shows a reading that began after the call.
// Concurrent calls share a reading.
func (a *Agent) observe(ctx context.Context) error {
	asked := a.memory.BeginReading()
	select {
	case a.reading <- struct{}{}:
		defer a.endReading()
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for a reading")
	}
	if a.lastBegan > asked {
		return a.lastErr
	}
	bounded, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	a.lastBegan = a.memory.BeginReading()
	state, err := a.backends.Engine.State(bounded)
	a.lastErr = err
	if err != nil {
		a.missed(err)
	} else {
		a.failures = 0
		a.apply(a.lastBegan, state)
	}
	a.announceReading()
	return err
}

func (a *Agent) endReading() {
	<-a.reading
}

// missed counts a failed reading.
func (a *Agent) missed(err error) {
	a.failures++
	if a.failures >= silentFailures {
		a.silence(err)
	}
}

// silence takes the engine for silent until a reading succeeds.
func (a *Agent) silence(err error) {
	t := a.table.Load()
	if t.silent || a.life.Err() != nil {
		return
	}
	silent := *t
	silent.silent = true
	a.table.Store(&silent)
	a.meter.silent.Update(1)
	a.log.WithError(err).Warn("engine is silent")
	a.admission.refresh()
}

// apply takes over a reading.
func (a *Agent) apply(began machine.LogicalTime, s knapweedpulley.EngineState) {
	last := a.table.Load()
	if last.known && s.Starts > last.engine.Starts {
		a.recordCrash(last.engine.Starts)
	}
	a.memory.Observe(began, a.totalMemory(s), occupancies(s))
	foreign := a.orders.adopt(s, a.inLease())
	t := newTable(s, a.orders.releasingNow())
	a.table.Store(t)
	a.residents.sync(t, a.clock.Now())
	if last.silent {
		a.meter.silent.Update(0)
	}
	a.admission.update(a.slots(s), s.Starts)
	for _, o := range foreign {
		a.unloadForeign(o)
	}
}

// rebuild renews the table after a change of what is being released.
func (a *Agent) rebuild() {
	a.reading <- struct{}{}
	defer a.endReading()
	t := *a.table.Load()
	t.releasing = a.orders.releasingNow()
	a.table.Store(&t)
	a.admission.refresh()
}

func (a *Agent) totalMemory(s knapweedpulley.EngineState) knapweedpulley.Bytes {
	if a.settings.Engine == nil || a.settings.Engine.Memory == 0 {
		return s.Memory
	}
	if s.Memory == 0 {
		return a.settings.Engine.Memory
	}
	return min(s.Memory, a.settings.Engine.Memory)
}

func (a *Agent) slots(s knapweedpulley.EngineState) int {
	if a.settings.Queue.Slots == 0 {
		return max(s.Slots, 1)
	}
	if s.Slots == 0 {
		return a.settings.Queue.Slots
	}
	return min(s.Slots, a.settings.Queue.Slots)
}

// inLease reports whether orders of a predecessor may still be taking effect.
func (a *Agent) inLease() bool {
	return a.leaseLeft() > 0
}

func (a *Agent) leaseLeft() time.Duration {
	return a.born.Add(a.lease()).Sub(a.clock.Now())
}

func (a *Agent) lease() time.Duration {
	return time.Duration(a.settings.Lease)
}

func (a *Agent) checksFencing() bool {
	return a.settings.Engine != nil && a.settings.Engine.ChecksFencing
}

func (a *Agent) announceReading() {
	a.observedMu.Lock()
	defer a.observedMu.Unlock()
	close(a.observed)
	a.observed = make(chan struct{})
}

// nextReading returns a channel that is closed after the next reading.
func (a *Agent) nextReading() <-chan struct{} {
	a.observedMu.Lock()
	defer a.observedMu.Unlock()
	return a.observed
}
