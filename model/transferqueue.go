package model

import (
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// adapterParallel is the number of adapters that load at full speed at once
	// over all servers.
	adapterParallel = 30
	// modelParallel is the number of models that load at full speed at once.
	modelParallel = 4
	// modelRate is the number of model loads a second that the weight store
	// allows.
	modelRate = 4.5
	// adapterRate doesn't bind before adapterParallel does.
	adapterRate = 10_000

	// askLapse is the time after which a ticket that isn't asked for again is
	// forgotten.
	askLapse = 2 * roundTimeout
	// grantLapse is the number of times the expected duration after which a
	// grant that isn't given back is taken to be lost.
	grantLapse = 4
	// grantFloor is the least time before a grant is taken to be lost.
	grantFloor = 10 * time.Second
	// fairness is by how many transfers a customer may be ahead of another one
	// that waits, if its requests are closer to their deadline.
	fairness = 2
)

// Limits bounds the transfers of one kind.
type Limits struct {
	// Parallel is the number of transfers at once.
	Parallel int
	// Rate is the number of transfers a second.
	Rate float64
}

// DefaultLimits returns what the platform's weight store allows.
func DefaultLimits(kind knapweedpulley.TransferKind) Limits {
	if kind == knapweedpulley.TransferAdapter {
		return Limits{Parallel: adapterParallel, Rate: adapterRate}
	}
	return Limits{Parallel: modelParallel, Rate: modelRate}
}

// ticketKey identifies a ticket.
type ticketKey struct {
	entry   knapweedpulley.EntryID
	model   knapweedpulley.ModelID
	adapter knapweedpulley.AdapterID
}

func keyOf(t knapweedpulley.TransferRequest) ticketKey {
	return ticketKey{entry: t.Entry, model: t.Model, adapter: t.Adapter}
}

// waiting is a ticket that has not been granted.
type waiting struct {
	ticket   knapweedpulley.TransferRequest
	order    uint64
	arrived  knapweedpulley.Instant
	deadline knapweedpulley.Instant
	asked    knapweedpulley.Instant
}

// urgency is the part of its time that a ticket has waited.
func (w *waiting) urgency(now knapweedpulley.Instant) float64 {
	whole := w.deadline.Sub(w.arrived)
	if whole <= 0 {
		return 1
	}
	return float64(now.Sub(w.arrived)) / float64(whole)
}

// TransferQueue decides the order of transfers of one kind: fairly over customers, and
// among them first who has waited longest in relation to its deadline. It is
// free of clocks and goroutines.
type TransferQueue struct {
	limits  Limits
	waiting map[ticketKey]*waiting
	// granted holds when a grant lapses.
	granted map[ticketKey]knapweedpulley.Instant
	// served counts the transfers of each customer, level with those that
	// were served while it had none.
	served map[knapweedpulley.CustomerID]float64
	floor  float64
	// next is when the rate allows the next transfer.
	next  knapweedpulley.Instant
	order uint64
	// mean is the moving average of the durations of transfers.
	mean time.Duration
}

// NewTransferQueue returns a queue without transfers.
func NewTransferQueue(limits Limits) *TransferQueue {
	return &TransferQueue{
		limits:  limits,
		waiting: make(map[ticketKey]*waiting),
		granted: make(map[ticketKey]knapweedpulley.Instant),
		served:  make(map[knapweedpulley.CustomerID]float64),
	}
}

// Ask takes in a ticket and returns whether its transfer may begin. A ticket
// that was granted stays so until it is done.
func (r *TransferQueue) Ask(t knapweedpulley.TransferRequest, now knapweedpulley.Instant) (bool, error) {
	r.lapse(now)
	key := keyOf(t)
	if _, ok := r.granted[key]; ok {
		return true, nil
	}
	w, ok := r.waiting[key]
	if !ok {
		if wait := r.Wait(); t.Timeout < wait && !t.Background {
			return false, knapweedpulley.NewRefusal(knapweedpulley.CodeOverloaded, knapweedpulley.NotRun,
				"transfers of %d models come before model %s", len(r.waiting), t.Model).WithRetryAfter(wait)
		}
		r.order++
		w = &waiting{order: r.order, arrived: now}
		r.waiting[key] = w
	}
	w.ticket = t
	w.asked = now
	w.deadline = max(w.deadline, now.Add(t.Timeout))
	r.grant(now)
	_, ok = r.granted[key]
	return ok, nil
}

// Done ends a transfer, or the wait for it.
func (r *TransferQueue) Done(t knapweedpulley.TransferRequest, now knapweedpulley.Instant) {
	delete(r.granted, keyOf(t))
	delete(r.waiting, keyOf(t))
	r.lapse(now)
	r.grant(now)
}

// Granted reports whether a ticket has been granted.
func (r *TransferQueue) Granted(t knapweedpulley.TransferRequest) bool {
	_, ok := r.granted[keyOf(t)]
	return ok
}

// Next returns the time until the rate may allow a transfer, and false if that
// isn't what the waiting tickets wait for.
func (r *TransferQueue) Next(now knapweedpulley.Instant) (time.Duration, bool) {
	if len(r.waiting) == 0 || len(r.granted) >= r.limits.Parallel || !r.next.After(now) {
		return 0, false
	}
	return r.next.Sub(now), true
}

// Wait estimates how long a further ticket would wait.
func (r *TransferQueue) Wait() time.Duration {
	ahead := len(r.waiting) - r.background() + len(r.granted) + 1 - r.limits.Parallel
	if ahead <= 0 {
		return 0
	}
	return time.Duration(float64(r.mean) * float64(ahead) / float64(r.limits.Parallel))
}

// lapse drops tickets and grants whose holder is gone.
func (r *TransferQueue) lapse(now knapweedpulley.Instant) {
	for key, w := range r.waiting {
		if now.Sub(w.asked) > askLapse {
			delete(r.waiting, key)
		}
	}
	for key, end := range r.granted {
		if now.After(end) {
			delete(r.granted, key)
		}
	}
}

// grant begins as many transfers as the limits allow.
func (r *TransferQueue) grant(now knapweedpulley.Instant) {
	for len(r.granted) < r.limits.Parallel && !r.next.After(now) {
		w := r.pick(now)
		if w == nil {
			return
		}
		delete(r.waiting, keyOf(w.ticket))
		r.granted[keyOf(w.ticket)] = now.Add(max(grantLapse*w.ticket.Duration, grantFloor))
		if !w.ticket.Background {
			r.charge(w.ticket.Customer)
		}
		r.mean += (w.ticket.Duration - r.mean) / grantLapse
		r.next = now.Add(time.Duration(float64(time.Second) / r.limits.Rate))
	}
}

// pick returns the ticket whose transfer begins next.
func (r *TransferQueue) pick(now knapweedpulley.Instant) *waiting {
	least := r.least()
	var best *waiting
	for _, w := range r.waiting {
		if w.ticket.Background {
			if len(r.granted) == 0 && len(r.waiting) == r.background() && before(w, best, now) {
				best = w
			}
			continue
		}
		if r.level(w.ticket.Customer)-least > fairness {
			continue
		}
		if before(w, best, now) {
			best = w
		}
	}
	return best
}

// background counts the waiting tickets for which no request waits. They get
// a transfer only while there is no other.
func (r *TransferQueue) background() int {
	count := 0
	for _, w := range r.waiting {
		if w.ticket.Background {
			count++
		}
	}
	return count
}

// before reports whether w goes before v, which may be nil.
func before(w, v *waiting, now knapweedpulley.Instant) bool {
	if v == nil {
		return true
	}
	a, b := w.urgency(now), v.urgency(now)
	if a != b {
		return a > b
	}
	return w.order < v.order
}

// least returns the lowest level of the customers that wait.
func (r *TransferQueue) least() float64 {
	first := true
	var least float64
	for _, w := range r.waiting {
		if w.ticket.Background {
			continue
		}
		if level := r.level(w.ticket.Customer); first || level < least {
			least, first = level, false
		}
	}
	r.floor = max(r.floor, least)
	return least
}

// level returns what a customer has been served. One that was away starts level
// with those that waited.
func (r *TransferQueue) level(c knapweedpulley.CustomerID) float64 {
	return max(r.served[c], r.floor-fairness)
}

func (r *TransferQueue) charge(c knapweedpulley.CustomerID) {
	r.served[c] = r.level(c) + 1
}
