package agent

import (
	"context"

	"github.com/knapweedpulley/knapweedpulley"
)

// updateEngine takes the number of slots and the start counter from the engine's state, and
// refuses queued requests that can't run any more.
func (a *admission) updateEngine(slots int, engineStart uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slots = slots
	a.engineStart = engineStart
	a.recheckQueueLocked()
}

// recheckQueue refuses queued requests whose model or adapter is no longer usable, or whose
// deadline passed while the machine was suspended.
func (a *admission) recheckQueue() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recheckQueueLocked()
}

func (a *admission) recheckQueueLocked() {
	for _, t := range a.queue.all() {
		if refusal := a.checkRunnable(t); refusal != nil {
			a.queue.remove(t)
			t.refuse(refusal)
		}
	}
	a.dispatch()
}

// refuseNew makes the admission refuse all further requests with r.
func (a *admission) refuseNew(r *knapweedpulley.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closedRefusal == nil {
		a.closedRefusal = r
	}
}

// refuseQueued refuses all queued requests.
func (a *admission) refuseQueued(r *knapweedpulley.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, t := range a.queue.all() {
		a.queue.remove(t)
		t.refuse(r)
	}
	a.publishCounts()
}

// await waits until condition returns true or ctx ends, and returns the last result of
// condition, which is called with the lock held.
func (a *admission) await(ctx context.Context, condition func() bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watchers++
	defer func() { a.watchers-- }()
	for !condition() {
		changed := a.changed
		a.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		a.mu.Lock()
		if ctx.Err() != nil {
			return condition()
		}
	}
	return true
}

// held returns the occupants that running or queued requests need.
func (a *admission) held() knapweedpulley.Set[occupant] {
	a.mu.Lock()
	defer a.mu.Unlock()
	held := knapweedpulley.NewSet[occupant]()
	for o := range a.useCounts {
		held.Add(o)
	}
	for _, t := range a.queue.all() {
		for _, o := range requiredOccupants(t.request) {
			held.Add(o)
		}
	}
	return held
}

// awaitIdle waits until no request is running or queued.
func (a *admission) awaitIdle(ctx context.Context) bool {
	return a.await(ctx, func() bool { return len(a.running) == 0 && a.queue.length == 0 })
}

// awaitUnused waits until no running request uses o.
func (a *admission) awaitUnused(ctx context.Context, o occupant) bool {
	return a.await(ctx, func() bool { return a.useCounts[o] == 0 })
}

// markFailed records that a running request failed at the engine.
func (a *admission) markFailed(t *ticket) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t.failed = true
	a.notifyWatchers()
}

// awaitAllFailed waits until all running requests have failed.
func (a *admission) awaitAllFailed(ctx context.Context) bool {
	return a.await(ctx, func() bool {
		for t := range a.running {
			if !t.failed {
				return false
			}
		}
		return true
	})
}

// runningUnder returns the running requests that started under the given engine start.
func (a *admission) runningUnder(engineStart uint64) []knapweedpulley.Request {
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []knapweedpulley.Request
	for t := range a.running {
		if t.engineStart == engineStart {
			list = append(list, t.request)
		}
	}
	return list
}
