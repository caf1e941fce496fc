package agent

import (
	"context"

	"github.com/knapweedpulley/knapweedpulley"
)

// update takes over the engine's slots and start, and refuses those who wait
// for what is not there any more.
func (a *admission) update(slots int, start uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slots = slots
	a.start = start
	a.refuseUnready()
}

// refresh refuses those who wait for what is not there any more, and those
// whose deadline passed while the machine was suspended.
func (a *admission) refresh() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refuseUnready()
}

func (a *admission) refuseUnready() {
	for _, t := range a.queue.all() {
		if refusal := a.refuseNow(t); refusal != nil {
			a.queue.remove(t)
			t.refuse(refusal)
		}
	}
	a.dispatch()
}

// shut refuses all further requests.
func (a *admission) shut(r *knapweedpulley.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed == nil {
		a.closed = r
	}
}

// flush refuses all requests that wait.
func (a *admission) flush(r *knapweedpulley.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, t := range a.queue.all() {
		a.queue.remove(t)
		t.refuse(r)
	}
	a.publish()
}

// await waits until done, which is called with the lock held, returns true.
func (a *admission) await(ctx context.Context, done func() bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watchers++
	defer func() { a.watchers-- }()
	for !done() {
		changed := a.changed
		a.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		a.mu.Lock()
		if ctx.Err() != nil {
			return done()
		}
	}
	return true
}

// held returns what running requests use and waiting ones need.
func (a *admission) held() knapweedpulley.Set[occupant] {
	a.mu.Lock()
	defer a.mu.Unlock()
	held := knapweedpulley.NewSet[occupant]()
	for o := range a.uses {
		held.Add(o)
	}
	for _, t := range a.queue.all() {
		for _, o := range needs(t.request) {
			held.Add(o)
		}
	}
	return held
}

// awaitIdle waits until nothing runs or waits.
func (a *admission) awaitIdle(ctx context.Context) bool {
	return a.await(ctx, func() bool { return len(a.running) == 0 && a.queue.length == 0 })
}

// awaitUnused waits until no running request uses o.
func (a *admission) awaitUnused(ctx context.Context, o occupant) bool {
	return a.await(ctx, func() bool { return a.uses[o] == 0 })
}

// fail marks a request that the engine broke off.
func (a *admission) fail(t *ticket) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t.failed = true
	a.announce()
}

// awaitAllFailed waits until all that runs has failed.
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

// ranUnder returns the requests that began under an engine start and have not
// ended.
func (a *admission) ranUnder(start uint64) []knapweedpulley.Request {
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []knapweedpulley.Request
	for t := range a.running {
		if t.start == start {
			list = append(list, t.request)
		}
	}
	return list
}
