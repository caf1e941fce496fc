package intake

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// SmallSize is the largest reservation of a small request. Ordinary requests are smaller.
	SmallSize = 16 * knapweedpulley.KiB
	// smallDivisor gives the part of the budget for small requests: a quarter.
	smallDivisor = 4
	// ownerDivisor gives the part of the rest that one owner may hold: a half.
	ownerDivisor = 2
	// maxWaiting bounds the queue. Each request in it holds its connection.
	maxWaiting = 128
	// maxWait is how long a request waits for memory, in all steps together. It is longer than stallTime, so that a request
	// that waits gets the memory of one that has stalled.
	maxWait = 5 * time.Second
	// checkPeriod is the time between two searches for stalled requests while others wait.
	checkPeriod = 250 * time.Millisecond
	// stallTime is the time over which progress is measured while others wait, crowdedRate the slowest
	// transfer then. A link of 10 Mbit/s gives each of the six bodies that the smallest machine reads
	// at once ten times as much.
	stallTime   = 3 * time.Second
	crowdedRate = 16 * knapweedpulley.KiB
	// crowdedTotal is half of a link of 10 Mbit/s. Where more bodies are read at once than it gives
	// crowdedRate to, they share it. Such bodies are small, so that a slow one is soon complete.
	crowdedTotal = 600 * knapweedpulley.KiB
	// retryAfter is when a refused request may return. Requests that stalled are gone by then.
	retryAfter = stallTime
)

// Owner is on whose account a request holds memory.
type Owner string

// Budget bounds the memory that requests hold.
type Budget struct {
	clock      knapweedpulley.Clock
	recorder   *Recorder
	smallLimit int64
	smallTaken atomic.Int64
	headLimit  int64
	headTaken  atomic.Int64

	limit      knapweedpulley.Bytes
	ownerLimit knapweedpulley.Bytes
	mu         sync.Mutex
	taken      knapweedpulley.Bytes
	byOwner    map[Owner]knapweedpulley.Bytes
	// holds are those of large requests whose bodies are being read, the oldest first.
	holds []*Hold
	// waiting are the large requests that wait: first those that hold memory already, then others, each
	// in the order of their arrival.
	waiting []*waiter
	// checkedAt is when stalled requests were last searched for.
	checkedAt knapweedpulley.Instant
}

// NewBudget returns a budget of the given limits.
func NewBudget(l Limits, clock knapweedpulley.Clock, recorder *Recorder) *Budget {
	small := l.Bodies / smallDivisor
	return &Budget{
		clock: clock, recorder: recorder, smallLimit: int64(small), headLimit: int64(l.Heads),
		limit: l.Bodies - small, ownerLimit: (l.Bodies - small) / ownerDivisor, byOwner: make(map[Owner]knapweedpulley.Bytes),
	}
}

// TakeHead takes n bytes for a long head, or gives them back if n is negative. It reports whether there
// were enough.
func (b *Budget) TakeHead(n knapweedpulley.Bytes) bool {
	return take(&b.headTaken, b.headLimit, n)
}

func take(taken *atomic.Int64, limit int64, n knapweedpulley.Bytes) bool {
	if taken.Add(int64(n)) <= limit || n <= 0 {
		return true
	}
	taken.Add(-int64(n))
	return false
}

// Taken returns the memory that bodies hold.
func (b *Budget) Taken() knapweedpulley.Bytes {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.taken + knapweedpulley.Bytes(b.smallTaken.Load())
}

// Hold is the memory that one request holds.
type Hold struct {
	budget *Budget
	// small and large are what the request holds of both parts of the budget.
	small, large knapweedpulley.Bytes
	received     atomic.Int64
	dropped      atomic.Bool
	// The following are set for a large request. interrupt ends the read in progress.
	owner     Owner
	interrupt func()
	// progress is that at markedAt.
	progress int64
	markedAt knapweedpulley.Instant
	waits    bool
	// waited is how long the request has waited so far.
	waited time.Duration
}

// NewHold returns a hold without memory.
func (b *Budget) NewHold() *Hold {
	return &Hold{budget: b}
}

// Advance records that n bytes have been received.
func (h *Hold) Advance(n int) {
	h.received.Add(int64(n))
}

// Dropped reports whether the request has to release its memory for others.
func (h *Hold) Dropped() bool {
	return h.dropped.Load()
}

// ReserveSmall makes the hold of a small request size bytes large. It reports whether the request is small
// and there was enough memory; [Hold.Reserve] may still succeed otherwise.
func (h *Hold) ReserveSmall(size knapweedpulley.Bytes) bool {
	b := h.budget
	if h.large > 0 || size > SmallSize || !take(&b.smallTaken, b.smallLimit, size-h.small) {
		return false
	}
	h.small = size
	return true
}

// Reserve makes the hold of a large request size bytes large, and waits a moment if there is no memory.
// Interrupt is called when the request is dropped, but not after Release or Complete; it must not block.
// The error is a refusal.
func (h *Hold) Reserve(ctx context.Context, size knapweedpulley.Bytes, owner Owner, interrupt func()) error {
	b := h.budget
	b.mu.Lock()
	first := h.large == 0
	if first {
		h.owner, h.interrupt = owner, interrupt
	}
	need := size - h.large
	if len(b.waiting) == 0 || !first {
		if b.fits(h, need) {
			b.grant(h, need)
			b.mu.Unlock()
			return nil
		}
	}
	if len(b.waiting) >= maxWaiting || size > b.limit {
		b.mu.Unlock()
		return b.refuse()
	}
	w := b.enqueue(h, need, first)
	// Those before it may wait for their own owners only.
	b.grantWaiting()
	b.mu.Unlock()
	return b.wait(ctx, w)
}

// Complete records that the whole body has been received. The request is no longer dropped.
func (h *Hold) Complete() {
	if h.large == 0 {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.removeHold(h)
}

// Release gives all memory back.
func (h *Hold) Release() {
	b := h.budget
	if h.small > 0 {
		take(&b.smallTaken, b.smallLimit, -h.small)
		h.small = 0
	}
	if h.large == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.removeHold(h)
	b.taken -= h.large
	b.byOwner[h.owner] -= h.large
	if b.byOwner[h.owner] == 0 {
		delete(b.byOwner, h.owner)
	}
	h.large = 0
	b.grantWaiting()
}

// waiter is a large request that waits for memory.
type waiter struct {
	hold  *Hold
	need  knapweedpulley.Bytes
	first bool
	began knapweedpulley.Instant
	// patience is how long it may wait.
	patience time.Duration
	// decided is closed when the request has got its memory, or when refused is set.
	decided chan struct{}
	refused bool
}

// fits reports whether a request can get more memory.
func (b *Budget) fits(h *Hold, need knapweedpulley.Bytes) bool {
	return b.taken+need <= b.limit && b.withinShare(h, need)
}

// withinShare reports whether the owner of a request may hold so much more. A request that is its owner's
// only one always may.
func (b *Budget) withinShare(h *Hold, need knapweedpulley.Bytes) bool {
	held := b.byOwner[h.owner]
	return held+need <= b.ownerLimit || held == h.large
}

func (b *Budget) grant(h *Hold, need knapweedpulley.Bytes) {
	if h.large == 0 {
		b.holds = append(b.holds, h)
	}
	h.mark(b.clock.Now())
	b.taken += need
	b.byOwner[h.owner] += need
	h.large += need
	if h.small > 0 {
		take(&b.smallTaken, b.smallLimit, -h.small)
		h.small = 0
	}
}

// mark begins a new measurement of progress.
func (h *Hold) mark(now knapweedpulley.Instant) {
	h.progress, h.markedAt = h.received.Load(), now
}

func (b *Budget) removeHold(h *Hold) {
	if i := slices.Index(b.holds, h); i >= 0 {
		b.holds = slices.Delete(b.holds, i, i+1)
	}
}

// enqueue adds a request to the queue.
func (b *Budget) enqueue(h *Hold, need knapweedpulley.Bytes, first bool) *waiter {
	w := &waiter{hold: h, need: need, first: first, began: b.clock.Now(), patience: maxWait - h.waited, decided: make(chan struct{})}
	h.waits = true
	i := len(b.waiting)
	if !first {
		if i = slices.IndexFunc(b.waiting, func(o *waiter) bool { return o.first }); i < 0 {
			i = len(b.waiting)
		}
	}
	b.waiting = slices.Insert(b.waiting, i, w)
	return w
}

// grantWaiting gives free memory to those who wait. It passes over requests whose owner holds its share,
// and over nobody else, so that small ones don't starve large ones.
func (b *Budget) grantWaiting() {
	for i := 0; i < len(b.waiting); {
		w := b.waiting[i]
		if !b.withinShare(w.hold, w.need) {
			i++
			continue
		}
		if b.taken+w.need > b.limit {
			return
		}
		b.grant(w.hold, w.need)
		b.leaveQueue(i)
		close(w.decided)
	}
}

// leaveQueue removes the i-th request from the queue.
func (b *Budget) leaveQueue(i int) {
	h := b.waiting[i].hold
	h.waits = false
	h.waited += b.clock.Now().Sub(b.waiting[i].began)
	b.waiting = slices.Delete(b.waiting, i, i+1)
}

// wait waits until the request has got its memory, the caller has left or the time is over.
func (b *Budget) wait(ctx context.Context, w *waiter) error {
	timer := time.NewTimer(w.patience)
	defer timer.Stop()
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-w.decided:
			if w.refused {
				return b.refuse()
			}
			return nil
		case <-ticker.C:
			b.dropStalled()
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		b.mu.Lock()
		i := slices.Index(b.waiting, w)
		if i >= 0 {
			b.leaveQueue(i)
			w.refused = true
			b.grantWaiting()
		}
		b.mu.Unlock()
		if !w.refused {
			return nil
		}
		return b.refuse()
	}
}

func (b *Budget) refuse() error {
	b.recorder.Record(NoMemory)
	return knapweedpulley.NewRefusal(knapweedpulley.CodeOverloaded, knapweedpulley.NotRun,
		"the memory for request bodies is used up").WithRetryAfter(retryAfter)
}

// dropStalled drops the oldest request that makes no progress, if a request in the queue needs its memory
// and no other is about to release as much. Progress is measured while the queue is checked: before
// that, nobody waited, or the process was frozen.
func (b *Budget) dropStalled() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	fresh := now.Sub(b.checkedAt) > pauseTolerance
	b.checkedAt = now
	if fresh {
		for _, h := range b.holds {
			h.mark(now)
		}
	}
	if len(b.waiting) == 0 {
		return
	}
	b.resolveDeadlock()
	if len(b.waiting) == 0 {
		return
	}
	w, anyOwner := b.firstWaiting()
	rate := max(minRate, min(crowdedRate, crowdedTotal/knapweedpulley.Bytes(max(1, len(b.holds)))))
	var leaving knapweedpulley.Bytes
	var stalled *Hold
	for _, h := range b.holds {
		switch {
		case h.owner != w.hold.owner && !anyOwner:
		case h.dropped.Load():
			leaving += h.large
		case h.waits || now.Sub(h.markedAt) < stallTime:
		case !h.stalled(now, rate):
			h.mark(now)
		case stalled == nil:
			stalled = h
		}
	}
	if stalled == nil || leaving >= w.need {
		return
	}
	stalled.dropped.Store(true)
	b.recorder.Record(BodyDropped)
	stalled.interrupt()
}

// resolveDeadlock refuses the last one of the requests that hold memory and wait for more, if all do.
func (b *Budget) resolveDeadlock() {
	for _, h := range b.holds {
		if !h.waits {
			return
		}
	}
	for i, w := range slices.Backward(b.waiting) {
		if !w.first {
			b.leaveQueue(i)
			w.refused = true
			close(w.decided)
			return
		}
	}
}

// firstWaiting returns the first request in the queue that waits for the memory of any owner, or else the
// first one, which waits for that of its own owner.
func (b *Budget) firstWaiting() (w *waiter, anyOwner bool) {
	for _, w := range b.waiting {
		if b.withinShare(w.hold, w.need) {
			return w, true
		}
	}
	return b.waiting[0], false
}

// stalled reports whether a request made less progress than at rate, in bytes a second, since it was last
// marked.
func (h *Hold) stalled(now knapweedpulley.Instant, rate knapweedpulley.Bytes) bool {
	received := knapweedpulley.Bytes(h.received.Load() - h.progress)
	return received < knapweedpulley.Bytes(now.Sub(h.markedAt).Seconds()*float64(rate))
}
