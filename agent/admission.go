package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

// admission decides for each request whether it runs, waits in the queue or is refused.
type admission struct {
	clock     knapweedpulley.Clock
	maxQueued int
	// checkReady returns the reason why the engine can't run a request now, or nil.
	checkReady func(knapweedpulley.Request) *knapweedpulley.Refusal

	mu                sync.Mutex
	queue             *fairQueue
	running           knapweedpulley.Set[*ticket]
	useCounts         map[occupant]int
	slots             int
	engineStart       uint64
	durationEstimator durationEstimator
	closedRefusal     *knapweedpulley.Refusal
	// changed is closed and replaced whenever a request starts, ends or fails, if there
	// are watchers.
	changed  chan struct{}
	watchers int

	// queuedCount, runningCount and tokens are read without the lock.
	queuedCount  atomic.Int64
	runningCount atomic.Int64
	tokens       atomic.Int64
}

func newAdmission(
	clock knapweedpulley.Clock, q QueueSettings, checkReady func(knapweedpulley.Request) *knapweedpulley.Refusal,
) *admission {
	return &admission{
		clock:      clock,
		maxQueued:  q.MaxQueued,
		checkReady: checkReady,
		queue:      newFairQueue(),
		running:    knapweedpulley.NewSet[*ticket](),
		useCounts:  make(map[occupant]int),
		slots:      q.Slots,
		changed:    make(chan struct{}),
	}
}

// admit queues a request or refuses it immediately.
func (a *admission) admit(r knapweedpulley.Request) (*ticket, *knapweedpulley.Refusal) {
	t := newTicket(r, a.clock.Now())
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closedRefusal != nil {
		return nil, a.closedRefusal
	}
	if refusal := a.checkReady(r); refusal != nil {
		return nil, refusal
	}
	if refusal := a.checkDeadline(t); refusal != nil {
		return nil, refusal
	}
	if a.queue.length >= a.maxQueued && !a.displace(r) {
		return nil, a.queueFullRefusal(r)
	}
	a.queue.push(t)
	a.dispatch()
	return t, nil
}

// checkDeadline refuses a request whose expected waiting time and duration exceed the
// time until its deadline.
func (a *admission) checkDeadline(t *ticket) *knapweedpulley.Refusal {
	if len(a.running) < a.slots && a.queue.length == 0 {
		return nil
	}
	wait, known := a.expectedWait(t.request)
	duration, _ := a.durationEstimator.estimate(t.request.Charge)
	remaining := t.deadline.Sub(t.arrivedAt)
	if !known || wait+duration <= remaining {
		return nil
	}
	return knapweedpulley.NewRefusal(knapweedpulley.CodeOverloaded, knapweedpulley.NotRun,
		"request %s is expected to end in %s, but its deadline is in %s",
		t.request.ID, (wait + duration).Round(time.Millisecond), remaining.Round(time.Millisecond)).WithRetryAfter(wait + duration - remaining)
}

// expectedWait estimates the time until a request starts, from the tokens queued ahead of
// it and half of the tokens of the running requests.
func (a *admission) expectedWait(r knapweedpulley.Request) (time.Duration, bool) {
	tokens := a.queue.tokensAhead(r)
	for t := range a.running {
		tokens += t.request.Charge / 2
	}
	total, known := a.durationEstimator.estimate(tokens)
	return total / time.Duration(max(a.slots, 1)), known
}

func (a *admission) queueFullRefusal(r knapweedpulley.Request) *knapweedpulley.Refusal {
	wait, _ := a.expectedWait(r)
	return knapweedpulley.NewRefusal(knapweedpulley.CodeQueueFull, knapweedpulley.NotRun,
		"queue is full with %d waiting requests", a.queue.length).WithRetryAfter(wait)
}

// displace makes room in a full queue for r if its customer has a smaller backlog with r,
// relative to its weight, than another customer. The last request of the customer with the
// largest backlog is refused.
func (a *admission) displace(r knapweedpulley.Request) bool {
	var longest *customerQueue
	for _, c := range a.queue.customers {
		if longest == nil || c.backlog() > longest.backlog() ||
			(c.backlog() == longest.backlog() && c.customer < longest.customer) {
			longest = c
		}
	}
	ownBacklog := cost(r, 1)
	if c, known := a.queue.customers[r.Customer]; known {
		ownBacklog += c.backlog()
	}
	if longest == nil || longest.backlog() <= ownBacklog {
		return false
	}
	last := longest.waiting[len(longest.waiting)-1]
	a.queue.remove(last)
	last.refuse(a.queueFullRefusal(last.request))
	return true
}

// wait returns nil once the request may run. The caller must then call end.
func (a *admission) wait(ctx context.Context, t *ticket) error {
	timer := time.NewTimer(t.deadline.Sub(a.clock.Now()))
	defer timer.Stop()
	select {
	case <-t.decided:
		return a.outcome(ctx, t)
	case <-ctx.Done():
		return a.abandon(t, refuseEnded(ctx, t.request))
	case <-timer.C:
		return a.abandon(t, refuseExpired(t.request))
	}
}

// outcome returns the result of a decided ticket. It doesn't start a request whose caller
// has canceled it, or whose deadline passed while the machine was suspended.
func (a *admission) outcome(ctx context.Context, t *ticket) error {
	if t.refusal != nil {
		return t.refusal
	}
	if ctx.Err() != nil {
		return a.abandon(t, refuseEnded(ctx, t.request))
	}
	if t.expired(a.clock.Now()) {
		return a.abandon(t, refuseExpired(t.request))
	}
	return nil
}

// abandon removes a ticket whose request has not been sent to the back end, and returns r
// unless the ticket was refused for another reason.
func (a *admission) abandon(t *ticket, r *knapweedpulley.Refusal) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t.refusal != nil {
		return t.refusal
	}
	if a.running.Has(t) {
		a.removeRunning(t, 0)
	} else {
		a.queue.remove(t)
	}
	a.dispatch()
	return r
}

// end removes a request that has run, and charges the tokens it used.
func (a *admission) end(t *ticket, used knapweedpulley.Tokens, succeeded bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if succeeded {
		a.durationEstimator.record(t.request.Charge, a.clock.Now().Sub(t.startedAt))
	}
	a.removeRunning(t, used)
	a.dispatch()
}

func (a *admission) removeRunning(t *ticket, used knapweedpulley.Tokens) {
	a.running.Remove(t)
	for _, o := range t.occupants() {
		a.useCounts[o]--
		if a.useCounts[o] == 0 {
			delete(a.useCounts, o)
		}
	}
	a.queue.end(t, used)
}

// dispatch starts queued requests in order while slots are free. An isolated request at
// the head of the queue blocks those behind it until it has run alone.
func (a *admission) dispatch() {
	defer a.publishCounts()
	for t := a.queue.peek(); t != nil; t = a.queue.peek() {
		if refusal := a.checkRunnable(t); refusal != nil {
			a.queue.remove(t)
			t.refuse(refusal)
			continue
		}
		if len(a.running) >= a.slots || a.mustWaitForIsolation(t) {
			return
		}
		a.start(t)
	}
}

func (a *admission) checkRunnable(t *ticket) *knapweedpulley.Refusal {
	if t.expired(a.clock.Now()) {
		return refuseExpired(t.request)
	}
	return a.checkReady(t.request)
}

// mustWaitForIsolation reports whether t can't run beside the running requests, because it
// or one of them is isolated.
func (a *admission) mustWaitForIsolation(t *ticket) bool {
	if t.request.Isolated {
		return len(a.running) > 0
	}
	for r := range a.running {
		if r.request.Isolated {
			return true
		}
	}
	return false
}

func (a *admission) start(t *ticket) {
	a.queue.start(t)
	a.running.Add(t)
	for _, o := range t.occupants() {
		a.useCounts[o]++
	}
	t.startedAt = a.clock.Now()
	t.engineStart = a.engineStart
	close(t.decided)
}

func (a *admission) publishCounts() {
	a.queuedCount.Store(int64(a.queue.length))
	a.runningCount.Store(int64(len(a.running)))
	a.tokens.Store(int64(a.queue.tokens))
	a.notifyWatchers()
}

func (a *admission) notifyWatchers() {
	if a.watchers == 0 {
		return
	}
	close(a.changed)
	a.changed = make(chan struct{})
}
