package agent

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/machine"
)

const (
	// stateReadTimeout bounds one read of the engine's state.
	stateReadTimeout = time.Second
	// maxFailedReads is the number of consecutive failed reads after which the engine counts
	// as silent.
	maxFailedReads = 2
)

// pollState reads the engine's state until the agent stops, refuses queued requests whose
// deadline passed while the machine was suspended, and unloads expired occupants.
func (a *Agent) pollState() {
	ticker := time.NewTicker(time.Duration(a.settings.StatePeriod))
	defer ticker.Stop()
	for {
		if a.backends.Engine != nil {
			_ = a.readState(a.lifetime)
		}
		a.admission.recheckQueue()
		a.unloadExpired()
		select {
		case <-ticker.C:
		case <-a.lifetime.Done():
			return
		}
	}
}

// readState ensures that the snapshot comes from a read of the engine's state that began
// after the call, unless that read fails. Concurrent calls share a read.
func (a *Agent) readState(ctx context.Context) error {
	requestedAt := a.memory.BeginReading()
	select {
	case a.readLock <- struct{}{}:
		defer a.unlockRead()
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait to read the engine's state")
	}
	if a.lastReadStart > requestedAt {
		return a.lastReadErr
	}
	bounded, cancel := context.WithTimeout(ctx, stateReadTimeout)
	defer cancel()
	a.lastReadStart = a.memory.BeginReading()
	state, err := a.backends.Engine.State(bounded)
	a.lastReadErr = err
	if err != nil {
		a.countFailedRead(err)
	} else {
		a.failedReads = 0
		a.applyState(a.lastReadStart, state)
	}
	a.notifyReadDone()
	return err
}

func (a *Agent) unlockRead() {
	<-a.readLock
}

// countFailedRead counts a failed read and marks the engine as silent after too many.
func (a *Agent) countFailedRead(err error) {
	a.failedReads++
	if a.failedReads >= maxFailedReads {
		a.markSilent(err)
	}
}

// markSilent marks the engine as silent until a read succeeds.
func (a *Agent) markSilent(err error) {
	current := a.snapshot.Load()
	if current.silent || a.lifetime.Err() != nil {
		return
	}
	silent := *current
	silent.silent = true
	a.snapshot.Store(&silent)
	a.meter.silent.Update(1)
	a.log.WithError(err).Warn("engine state can't be read; refusing requests until it can")
	a.admission.recheckQueue()
}

// applyState updates the agent's records from a successful read that began at began.
func (a *Agent) applyState(began machine.LogicalTime, state knapweedpulley.EngineState) {
	last := a.snapshot.Load()
	if last.known && state.Starts > last.engine.Starts {
		a.recordCrash(last.engine.Starts)
	}
	a.memory.Observe(began, a.totalMemory(state), occupancies(state))
	unordered := a.orders.reconcile(state, a.inStartupLease())
	current := newSnapshot(state, a.orders.copyReleasing())
	a.snapshot.Store(current)
	a.residencyTracker.syncSnapshot(current, a.clock.Now())
	if last.silent {
		a.meter.silent.Update(0)
	}
	a.admission.updateEngine(a.slots(state), state.Starts)
	for _, o := range unordered {
		a.unloadUnordered(o)
	}
}

// refreshReleasing replaces the snapshot after the set of occupants being unloaded changed.
func (a *Agent) refreshReleasing() {
	a.readLock <- struct{}{}
	defer a.unlockRead()
	current := *a.snapshot.Load()
	current.releasing = a.orders.copyReleasing()
	a.snapshot.Store(&current)
	a.admission.recheckQueue()
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

// inStartupLease reports whether orders of a previous agent may still take effect.
func (a *Agent) inStartupLease() bool {
	return a.startupLeaseLeft() > 0
}

func (a *Agent) startupLeaseLeft() time.Duration {
	return a.startedAt.Add(a.lease()).Sub(a.clock.Now())
}

func (a *Agent) lease() time.Duration {
	return time.Duration(a.settings.Lease)
}

func (a *Agent) checksFencing() bool {
	return a.settings.Engine != nil && a.settings.Engine.ChecksFencing
}

func (a *Agent) notifyReadDone() {
	a.readDoneMu.Lock()
	defer a.readDoneMu.Unlock()
	close(a.readDone)
	a.readDone = make(chan struct{})
}

// nextRead returns a channel that is closed after the next attempt to read the state.
func (a *Agent) nextRead() <-chan struct{} {
	a.readDoneMu.Lock()
	defer a.readDoneMu.Unlock()
	return a.readDone
}
