package gateway

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/ratequeue"
)

const (
	// queueAnswerTimeout bounds the wait for the answer of one holder beyond the time that a call waits in its
	// queue. It allows for several round trips within a region to a slow machine.
	queueAnswerTimeout = borrowTimeout
	// holderCheckPeriod is the time after which a gateway whose call waits at a holder checks that the holder
	// still answers. A holder that is frozen doesn't end its connections.
	holderCheckPeriod = 1500 * time.Millisecond
	// holderBackoff is the time for which a holder that didn't answer is not asked.
	holderBackoff = 500 * time.Millisecond
	// maxReturnFraction is the part of the time left to a call after which its caller is told to return at most.
	// Callers accept a third. The rest covers rounding and the way of the answer.
	maxReturnFraction = 0.3
)

// Outcomes of a reservation, as they are counted.
const (
	queueGranted     = "granted"
	queueWaited      = "waited"
	queueRefused     = "refused"
	queueUnreachable = "unreachable"
	queueLeft        = "left"
)

// errNoHolder is the error of a reservation that no holder has answered.
var errNoHolder = errors.New("no holder of the contract answers")

// QueueVisit tells how a call got its tokens in a queue, or why not, for logs and metrics. It is zero if there was no
// queue to ask.
type QueueVisit struct {
	holder  knapweedpulley.EntryID
	waited  time.Duration
	outcome string
}

// Acquire takes the tokens for a call in the queue of its customer's contract. If there is none, or no holder
// of the contract answers, it charges them as [RateLimiter.Charge] does. The error is a *knapweedpulley.Refusal.
func (r *RateLimiter) Acquire(ctx context.Context, t TokenRequest) (QueueVisit, error) {
	visit, err := r.reserve(ctx, &t)
	var refusal *knapweedpulley.Refusal
	if visit.outcome == queueRefused && errors.As(err, &refusal) {
		limit := time.Duration(maxReturnFraction * float64(t.Deadline.Sub(r.clock.Now())))
		if limit > 0 && refusal.RetryAfter > limit && refusal.RetryAfter < ratequeue.UnplacedReturnTime {
			err = refusal.WithRetryAfter(limit)
		}
	}
	if errors.Is(err, errNoHolder) {
		err = r.chargeFor(ctx, &t)
	}
	return visit, err
}

// reserve takes the tokens for a call in a queue. It returns errNoHolder if there is no queue to ask.
func (r *RateLimiter) reserve(ctx context.Context, t *TokenRequest) (QueueVisit, error) {
	call := t.Reservation
	list, queues := r.allowances.Queues(call.Customer)
	if !queues {
		return QueueVisit{}, errNoHolder
	}
	self := r.group.Self().Entry
	holding := slices.ContainsFunc(list, func(m knapweedpulley.Member) bool { return m.Entry == self })
	// A gateway without a part may have tokens of a call that didn't run.
	if !holding && r.allowances.Take(call.Customer, call.Tokens, 0).Taken {
		return QueueVisit{holder: self, outcome: queueGranted}, nil
	}
	until := r.clock.Now().Add(call.MaxWait)
	holders, wait, granted := r.probe(ctx, r.nearestFirst(list), call)
	if granted != "" {
		return QueueVisit{holder: granted, outcome: queueGranted}, nil
	}
	if len(holders) > 1 && r.combine(ctx, holders, call, wait) {
		return QueueVisit{holder: holders[0].Entry, outcome: queueGranted}, nil
	}
	ctx, endWait := t.beginWait(ctx)
	defer endWait(nil)
	for _, h := range holders {
		visit, err := r.waitAt(ctx, h, call, until)
		if err == nil || visit.outcome != queueUnreachable {
			return visit, err
		}
	}
	if ctx.Err() != nil {
		return QueueVisit{outcome: queueLeft}, leftWhileWaiting(ctx)
	}
	return QueueVisit{outcome: queueUnreachable}, errNoHolder
}

// nearestFirst returns the holders that answer: the gateway itself, those of its zone, then the others.
func (r *RateLimiter) nearestFirst(list []knapweedpulley.Member) []knapweedpulley.Member {
	self := r.group.Self()
	distance := func(m knapweedpulley.Member) int {
		switch {
		case m.Entry == self.Entry:
			return 0
		case m.Zone == self.Zone:
			return 1
		default:
			return 2
		}
	}
	now := r.clock.Now()
	r.mu.Lock()
	holders := slices.DeleteFunc(slices.Clone(list), func(m knapweedpulley.Member) bool { return r.silentUntil[m.Entry].After(now) })
	r.mu.Unlock()
	rand.Shuffle(len(holders), func(i, j int) { //nolint:gosec // The order is not security-relevant.
		holders[i], holders[j] = holders[j], holders[i]
	})
	slices.SortStableFunc(holders, func(m, n knapweedpulley.Member) int { return cmp.Compare(distance(m), distance(n)) })
	return holders
}

// probe asks the holders in turn for the tokens without waiting. It returns the one that granted them, or those
// that answered in the order of the waits that they stated, and the shortest of these.
func (r *RateLimiter) probe(
	ctx context.Context, holders []knapweedpulley.Member, call knapweedpulley.Reservation,
) (answered []knapweedpulley.Member, shortest time.Duration, granted knapweedpulley.EntryID) {
	waits := make(map[knapweedpulley.EntryID]time.Duration, len(holders))
	call.MaxWait = 0
	for _, h := range holders {
		result, err := r.reserveAt(ctx, h, call)
		if err != nil {
			continue
		}
		if result.Granted {
			return nil, 0, h.Entry
		}
		waits[h.Entry] = result.RetryAfter
	}
	answered = slices.DeleteFunc(holders, func(m knapweedpulley.Member) bool {
		_, known := waits[m.Entry]
		return !known
	})
	slices.SortStableFunc(answered, func(m, n knapweedpulley.Member) int { return cmp.Compare(waits[m.Entry], waits[n.Entry]) })
	if len(answered) > 0 {
		shortest = waits[answered[0].Entry]
	}
	return answered, shortest, ""
}

// combine takes the tokens for a call from two holders, if neither has enough by itself: a small customer would be
// refused otherwise although its contract has the tokens. A holder lends nothing while others wait there or the
// rate is scarce.
func (r *RateLimiter) combine(
	ctx context.Context, holders []knapweedpulley.Member, call knapweedpulley.Reservation, wait time.Duration,
) bool {
	lacking := knapweedpulley.Tokens(math.Ceil(r.allowances.AccrualRate(call.Customer).Over(wait)))
	if lacking <= 0 || lacking >= call.Tokens {
		return false
	}
	var lent knapweedpulley.Tokens
	if holders[1].Entry == r.group.Self().Entry {
		lent = r.allowances.Lend(call.Customer, lacking)
	} else {
		lent = r.borrowFrom(ctx, holders[1], call.Customer, lacking)
	}
	if lent <= 0 {
		return false
	}
	rest := call
	rest.MaxWait, rest.Tokens = 0, max(0, call.Tokens-lent)
	result, err := r.reserveAt(ctx, holders[0], rest)
	if err != nil || !result.Granted {
		r.allowances.Return(call.Customer, lent)
		return false
	}
	return true
}

// waitAt waits in the queue of a holder until the given instant. The outcome is queueUnreachable if the holder
// doesn't answer or has no queue any more.
func (r *RateLimiter) waitAt(
	ctx context.Context, h knapweedpulley.Member, call knapweedpulley.Reservation, until knapweedpulley.Instant,
) (QueueVisit, error) {
	began := r.clock.Now()
	// A wait that is not zero keeps a place if the call is refused.
	call.MaxWait = max(1, until.Sub(began))
	result, err := r.waitWatched(ctx, h, call)
	visit := QueueVisit{holder: h.Entry, waited: r.clock.Now().Sub(began)}
	switch {
	case err == nil && result.Granted:
		visit.outcome = queueWaited
	case err == nil:
		visit.outcome = queueRefused
		err = knapweedpulley.NewRefusal(knapweedpulley.CodeRateExceeded, knapweedpulley.NotRun,
			"customer %s is over its rate", call.Customer).WithRetryAfter(result.RetryAfter)
	case ctx.Err() != nil:
		visit.outcome = queueLeft
		err = leftWhileWaiting(ctx)
	default:
		visit.outcome = queueUnreachable
	}
	return visit, err
}

// waitWatched waits for the result of a reservation as long as the holder answers.
func (r *RateLimiter) waitWatched(
	ctx context.Context, h knapweedpulley.Member, call knapweedpulley.Reservation,
) (knapweedpulley.ReservationResult, error) {
	if h.Entry == r.group.Self().Entry || call.MaxWait <= holderCheckPeriod {
		return r.reserveAt(ctx, h, call)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var result knapweedpulley.ReservationResult
	var err error
	done := make(chan struct{})
	go func() {
		defer close(done)
		result, err = r.reserveAt(ctx, h, call)
	}()
	ticker := time.NewTicker(holderCheckPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return result, err
		case <-ticker.C:
			if !r.answers(ctx, h, call) {
				cancel()
			}
		}
	}
}

// answers reports whether a holder answers at all.
func (r *RateLimiter) answers(ctx context.Context, h knapweedpulley.Member, call knapweedpulley.Reservation) bool {
	call.MaxWait, call.Tokens, call.Fingerprint = 0, 0, 0
	_, err := r.reserveAt(ctx, h, call)
	return err == nil
}

// reserveAt sends one request to a holder, or asks the own queue.
func (r *RateLimiter) reserveAt(
	ctx context.Context, h knapweedpulley.Member, call knapweedpulley.Reservation,
) (knapweedpulley.ReservationResult, error) {
	caller := ctx
	ctx, cancel := context.WithTimeout(ctx, call.MaxWait+queueAnswerTimeout)
	defer cancel()
	if h.Entry == r.group.Self().Entry {
		return r.allowances.Reserve(ctx, call)
	}
	result, err := r.link.Reserve(ctx, h, call)
	if err == nil {
		return result, nil
	}
	var refusal *knapweedpulley.Refusal
	if call.MaxWait == 0 && !errors.As(err, &refusal) && caller.Err() == nil {
		r.mu.Lock()
		r.silentUntil[h.Entry] = r.clock.Now().Add(holderBackoff)
		r.mu.Unlock()
		r.log.WithField("gateway", h.Entry).WithField("customer", call.Customer).WithError(err).
			Warn("reserving tokens at a gateway failed; asking another one")
	}
	return result, err
}
