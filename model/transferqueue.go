package model

import (
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// maxAdapterTransfers is the number of adapters that can be transferred at full
	// speed at once across all servers.
	maxAdapterTransfers = 30
	// maxModelTransfers is the number of models that can be transferred at full speed
	// at once.
	maxModelTransfers = 4
	// maxModelTransferRate is the number of model transfers per second that the weight
	// store allows.
	maxModelTransferRate = 4.5
	// maxAdapterTransferRate, per second, is so high that maxAdapterTransfers is reached
	// first.
	maxAdapterTransferRate = 10_000

	// requestLapseTime is the time after which a queued request that isn't repeated is
	// dropped.
	requestLapseTime = 2 * peerTimeout
	// grantLapseFactor is the multiple of the expected duration after which a grant
	// that isn't released lapses, because its holder has presumably failed. Its
	// reciprocal is also the weight of a new transfer in the average duration.
	grantLapseFactor = 4
	// minGrantLapseTime is the minimum time before a grant lapses.
	minGrantLapseTime = 10 * time.Second
	// maxCustomerLead is the number of transfers by which a customer may be ahead of
	// another waiting customer, if its requests are closer to their deadlines.
	maxCustomerLead = 2
)

// Limits bounds the transfers of one kind.
type Limits struct {
	// Parallel is the maximum number of concurrent transfers.
	Parallel int
	// Rate is the maximum number of transfers per second.
	Rate float64
}

// DefaultLimits returns the limits of the platform's weight store.
func DefaultLimits(kind knapweedpulley.TransferKind) Limits {
	if kind == knapweedpulley.TransferAdapter {
		return Limits{Parallel: maxAdapterTransfers, Rate: maxAdapterTransferRate}
	}
	return Limits{Parallel: maxModelTransfers, Rate: maxModelTransferRate}
}

// transferKey identifies a transfer request.
type transferKey struct {
	entry   knapweedpulley.EntryID
	model   knapweedpulley.ModelID
	adapter knapweedpulley.AdapterID
}

func keyOf(t knapweedpulley.TransferRequest) transferKey {
	return transferKey{entry: t.Entry, model: t.Model, adapter: t.Adapter}
}

// queuedTransfer is a transfer request that has not been granted.
type queuedTransfer struct {
	request   knapweedpulley.TransferRequest
	position  uint64
	arrived   knapweedpulley.Instant
	deadline  knapweedpulley.Instant
	requested knapweedpulley.Instant
}

// urgency returns the fraction of its time until the deadline that a request has waited.
func (w *queuedTransfer) urgency(now knapweedpulley.Instant) float64 {
	whole := w.deadline.Sub(w.arrived)
	if whole <= 0 {
		return 1
	}
	return float64(now.Sub(w.arrived)) / float64(whole)
}

// TransferQueue decides the order of transfers of one kind. It shares them fairly among
// customers, and among requests that fairness allows it grants the one that has waited
// longest in relation to its deadline. It uses no clock and no goroutines, and isn't safe
// for concurrent use.
type TransferQueue struct {
	limits  Limits
	waiting map[transferKey]*queuedTransfer
	// granted holds the time at which each grant lapses.
	granted map[transferKey]knapweedpulley.Instant
	// served counts the transfers of each customer. A customer that returns after a
	// pause is raised towards the level of those that were served meanwhile.
	served   map[knapweedpulley.CustomerID]float64
	minLevel float64
	// nextAllowed is the time from which the rate limit allows the next transfer.
	nextAllowed  knapweedpulley.Instant
	lastPosition uint64
	// meanDuration is the moving average of the expected durations of granted transfers.
	meanDuration time.Duration
}

// NewTransferQueue returns an empty queue with the given limits.
func NewTransferQueue(limits Limits) *TransferQueue {
	return &TransferQueue{
		limits:  limits,
		waiting: make(map[transferKey]*queuedTransfer),
		granted: make(map[transferKey]knapweedpulley.Instant),
		served:  make(map[knapweedpulley.CustomerID]float64),
	}
}

// Acquire queues a request and returns whether its transfer may begin. A granted request
// stays granted until Done is called or the grant lapses. The error is a *Refusal if the
// request would wait beyond its deadline.
func (q *TransferQueue) Acquire(t knapweedpulley.TransferRequest, now knapweedpulley.Instant) (bool, error) {
	q.dropLapsed(now)
	key := keyOf(t)
	if _, ok := q.granted[key]; ok {
		return true, nil
	}
	w, ok := q.waiting[key]
	if !ok {
		if wait := q.EstimateWait(); t.Timeout < wait && !t.Background {
			return false, knapweedpulley.NewRefusal(knapweedpulley.CodeOverloaded, knapweedpulley.NotRun,
				"%d transfers are queued before that of model %s", len(q.waiting), t.Model).WithRetryAfter(wait)
		}
		q.lastPosition++
		w = &queuedTransfer{position: q.lastPosition, arrived: now}
		q.waiting[key] = w
	}
	w.request = t
	w.requested = now
	w.deadline = max(w.deadline, now.Add(t.Timeout))
	q.grant(now)
	_, ok = q.granted[key]
	return ok, nil
}

// Done ends a transfer, or removes a request that is still queued.
func (q *TransferQueue) Done(t knapweedpulley.TransferRequest, now knapweedpulley.Instant) {
	delete(q.granted, keyOf(t))
	delete(q.waiting, keyOf(t))
	q.dropLapsed(now)
	q.grant(now)
}

// Granted reports whether a request has been granted.
func (q *TransferQueue) Granted(t knapweedpulley.TransferRequest) bool {
	_, ok := q.granted[keyOf(t)]
	return ok
}

// RateDelay returns the time until the rate limit allows the next transfer, and false if
// the queued requests don't wait for the rate limit.
func (q *TransferQueue) RateDelay(now knapweedpulley.Instant) (time.Duration, bool) {
	if len(q.waiting) == 0 || len(q.granted) >= q.limits.Parallel || !q.nextAllowed.After(now) {
		return 0, false
	}
	return q.nextAllowed.Sub(now), true
}

// EstimateWait estimates how long a further request would wait.
func (q *TransferQueue) EstimateWait() time.Duration {
	ahead := len(q.waiting) - q.countBackground() + len(q.granted) + 1 - q.limits.Parallel
	if ahead <= 0 {
		return 0
	}
	return time.Duration(float64(q.meanDuration) * float64(ahead) / float64(q.limits.Parallel))
}

// dropLapsed drops requests that weren't repeated and grants that weren't released in
// time.
func (q *TransferQueue) dropLapsed(now knapweedpulley.Instant) {
	for key, w := range q.waiting {
		if now.Sub(w.requested) > requestLapseTime {
			delete(q.waiting, key)
		}
	}
	for key, end := range q.granted {
		if now.After(end) {
			delete(q.granted, key)
		}
	}
}

// grant grants as many queued requests as the limits allow.
func (q *TransferQueue) grant(now knapweedpulley.Instant) {
	for len(q.granted) < q.limits.Parallel && !q.nextAllowed.After(now) {
		w := q.selectNext(now)
		if w == nil {
			return
		}
		delete(q.waiting, keyOf(w.request))
		q.granted[keyOf(w.request)] = now.Add(max(grantLapseFactor*w.request.Duration, minGrantLapseTime))
		if !w.request.Background {
			q.charge(w.request.Customer)
		}
		q.meanDuration += (w.request.Duration - q.meanDuration) / grantLapseFactor
		q.nextAllowed = now.Add(time.Duration(float64(time.Second) / q.limits.Rate))
	}
}

// selectNext returns the request to grant next, or nil if there is none.
func (q *TransferQueue) selectNext(now knapweedpulley.Instant) *queuedTransfer {
	least := q.lowestLevel()
	var best *queuedTransfer
	for _, w := range q.waiting {
		if w.request.Background {
			if len(q.granted) == 0 && len(q.waiting) == q.countBackground() && precedes(w, best, now) {
				best = w
			}
			continue
		}
		if q.level(w.request.Customer)-least > maxCustomerLead {
			continue
		}
		if precedes(w, best, now) {
			best = w
		}
	}
	return best
}

// countBackground counts the queued background transfers. They are granted only while
// no other transfer runs or waits.
func (q *TransferQueue) countBackground() int {
	count := 0
	for _, w := range q.waiting {
		if w.request.Background {
			count++
		}
	}
	return count
}

// precedes reports whether w is granted before v, which may be nil.
func precedes(w, v *queuedTransfer, now knapweedpulley.Instant) bool {
	if v == nil {
		return true
	}
	a, b := w.urgency(now), v.urgency(now)
	if a != b {
		return a > b
	}
	return w.position < v.position
}

// lowestLevel returns the lowest level of the customers with queued requests.
func (q *TransferQueue) lowestLevel() float64 {
	first := true
	var least float64
	for _, w := range q.waiting {
		if w.request.Background {
			continue
		}
		if level := q.level(w.request.Customer); first || level < least {
			least, first = level, false
		}
	}
	q.minLevel = max(q.minLevel, least)
	return least
}

// level returns the number of transfers that a customer is charged for. A customer that
// returns after a pause starts at most maxCustomerLead below the others, so that a pause
// doesn't accumulate a larger lead.
func (q *TransferQueue) level(c knapweedpulley.CustomerID) float64 {
	return max(q.served[c], q.minLevel-maxCustomerLead)
}

func (q *TransferQueue) charge(c knapweedpulley.CustomerID) {
	q.served[c] = q.level(c) + 1
}
