package contract

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/ratequeue"
)

// QueueSlack is the slack of a contract whose calls queue for its tokens. Half of a small contract's burst is
// less than one of its requests, and operators tolerate 11,000 tokens beyond a contract. The rest is left for
// gateways whose lists of holders differ for a while.
const QueueSlack knapweedpulley.Tokens = 8000

// noQueue returns the refusal of a reservation at a gateway that holds no part of the contract.
func noQueue(customer knapweedpulley.CustomerID) error {
	return knapweedpulley.NewRefusal(knapweedpulley.CodeNotReady, knapweedpulley.NotRun, "gateway has no queue for customer %s", customer)
}

// line is the calls that wait for the tokens of one part.
type line struct {
	queue   *ratequeue.Queue
	waiters map[ratequeue.Ticket]chan knapweedpulley.ReservationResult
	// timer serves the line when the next decision is due.
	timer *time.Timer
	stats QueueStats
}

// QueueStats describes the queue for one contract at its holder.
type QueueStats struct {
	Customer knapweedpulley.CustomerID
	// Waiting and Places are the calls that wait and the places that are kept for callers.
	Waiting int
	Places  int
	// Next is the route whose turn it is. It is empty if nothing waits.
	Next knapweedpulley.RouteID
	// Granted, Refused and Returning count the calls since the last report that were granted, refused, and
	// refused with a place kept. LongestReturn is the longest time that refused callers were told.
	Granted       int
	Refused       int
	Returning     int
	LongestReturn time.Duration
}

// EnableQueues makes calls queue for the tokens of contracts at their holders. It must be called before the
// allowances are used.
func (a *Allowances) EnableQueues() {
	a.queues = true
}

// holdersOf returns the gateways that hold parts of a contract.
func (a *Allowances) holdersOf(c knapweedpulley.Contract) []knapweedpulley.Member {
	if a.queues {
		return QueueHolders(c, a.members)
	}
	return Holders(c, a.members)
}

// Queues returns the gateways at which calls of a customer queue. It returns false if calls of the customer
// don't queue, because they aren't limited, the feature is off or the gateways aren't known yet.
func (a *Allowances) Queues(customer knapweedpulley.CustomerID) ([]knapweedpulley.Member, bool) {
	if !a.queues {
		return nil, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.checkPermission()
	part, known := a.parts[customer]
	if !known || part.contract.Rate <= 0 || part.holders == nil {
		return nil, false
	}
	if part.lapsed {
		return slices.DeleteFunc(slices.Clone(part.holders), func(m knapweedpulley.Member) bool { return m.Entry == a.self }), true
	}
	return part.holders, true
}

// AccrualRate returns the rate at which tokens accrue at each holder of a customer's contract.
func (a *Allowances) AccrualRate(customer knapweedpulley.CustomerID) knapweedpulley.TokensPerSecond {
	a.mu.Lock()
	defer a.mu.Unlock()
	if part, known := a.parts[customer]; known && part.holderCount > 0 {
		return part.contract.Rate / knapweedpulley.TokensPerSecond(part.holderCount)
	}
	return 0
}

// serves reports whether calls queue for the tokens of a part.
func (a *Allowances) serves(part *allowance) bool {
	return a.queues && part.contract.Rate > 0 && part.holders != nil && part.holding && !part.lapsed
}

// Reserve implements knapweedpulley.AllowanceLender.
func (a *Allowances) Reserve(ctx context.Context, r knapweedpulley.Reservation) (knapweedpulley.ReservationResult, error) {
	part, ticket, waiter, result, err := a.enter(r)
	if err != nil || waiter == nil {
		return result, err
	}
	select {
	case result, open := <-waiter:
		if !open {
			return result, noQueue(r.Customer)
		}
		return result, nil
	case <-ctx.Done():
		a.leave(part, ticket, waiter, r.Tokens)
		return knapweedpulley.ReservationResult{}, errors.Wrap(ctx.Err(), "wait for tokens")
	}
}

// enter adds a call to the line of its customer. The channel is nil if the call doesn't wait.
func (a *Allowances) enter(r knapweedpulley.Reservation) (
	part *allowance, ticket ratequeue.Ticket, waiter chan knapweedpulley.ReservationResult,
	result knapweedpulley.ReservationResult, err error,
) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.checkPermission()
	part, known := a.parts[r.Customer]
	if !known || !a.serves(part) || r.Tokens < 0 {
		return nil, 0, nil, result, noQueue(r.Customer)
	}
	now := a.clock.Now()
	a.advance(part, now)
	if part.line == nil {
		part.line = &line{queue: ratequeue.New(), waiters: make(map[ratequeue.Ticket]chan knapweedpulley.ReservationResult)}
	}
	l, supply := part.line, part.supply(now)
	level := supply.Level
	request := ratequeue.Request{
		Route: r.Route, Priority: r.Priority, Tokens: r.Tokens, LatestStart: now.Add(r.MaxWait), Fingerprint: r.Fingerprint,
	}
	if r.MaxWait <= 0 {
		result.Granted, result.RetryAfter = l.queue.Probe(now, &supply, request)
		if result.Granted {
			l.stats.Granted++
		}
	} else {
		ticket = l.queue.Enter(now, &supply, request)
		waiter = make(chan knapweedpulley.ReservationResult, 1)
		l.waiters[ticket] = waiter
	}
	part.bucket.deduct(now, level-supply.Level)
	a.finish(part, now, &supply)
	return part, ticket, waiter, result, nil
}

// leave removes a call whose caller has left. Tokens that were granted to it are put back, because no answer
// was sent.
func (a *Allowances) leave(
	part *allowance, ticket ratequeue.Ticket, waiter <-chan knapweedpulley.ReservationResult, n knapweedpulley.Tokens,
) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.checkPermission()
	now := a.clock.Now()
	a.advance(part, now)
	select {
	case result := <-waiter:
		if result.Granted && a.serves(part) {
			part.bucket.level = max(part.bucket.level, min(part.bucket.burst, part.bucket.level+float64(n)))
		}
	default:
		if part.line != nil {
			part.line.queue.Leave(ticket)
			delete(part.line.waiters, ticket)
		}
	}
	a.serveLine(part, now)
}

// serveLine grants the tokens of a part to the calls whose turn it is.
func (a *Allowances) serveLine(part *allowance, now knapweedpulley.Instant) {
	if part.line == nil || !a.serves(part) {
		return
	}
	supply := part.supply(now)
	level := supply.Level
	part.line.queue.Advance(now, &supply)
	part.bucket.deduct(now, level-supply.Level)
	a.finish(part, now, &supply)
}

// finish answers the calls that were decided, and schedules the next decision.
func (a *Allowances) finish(part *allowance, now knapweedpulley.Instant, supply *ratequeue.Supply) {
	l := part.line
	for _, o := range l.queue.Outcomes() {
		l.stats.count(o)
		if waiter, waits := l.waiters[o.Ticket]; waits {
			waiter <- knapweedpulley.ReservationResult{Granted: o.Granted, RetryAfter: o.RetryAfter}
			delete(l.waiters, o.Ticket)
		}
	}
	next, some := l.queue.Next(now, supply)
	switch {
	case !some && l.timer != nil:
		l.timer.Stop()
	case !some:
	case l.timer == nil:
		l.timer = time.AfterFunc(next.Sub(now), func() { a.serveDue(part) })
	default:
		l.timer.Reset(next.Sub(now))
	}
}

// serveDue serves a line when a decision is due.
func (a *Allowances) serveDue(part *allowance) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.checkPermission()
	now := a.clock.Now()
	a.advance(part, now)
	a.serveLine(part, now)
}

// QueueStats returns what has happened in the queues since the last call. Queues in which nothing waits and
// nothing was refused are left out.
func (a *Allowances) QueueStats() []QueueStats {
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []QueueStats
	for id, part := range a.parts {
		if part.line == nil {
			continue
		}
		s := part.line.stats
		part.line.stats = QueueStats{}
		s.Customer = id
		s.Waiting, s.Places = part.line.queue.Waiting()
		s.Next, _ = part.line.queue.NextRoute()
		if s.Waiting > 0 || s.Refused > 0 {
			list = append(list, s)
		}
	}
	return list
}

func (s *QueueStats) count(o ratequeue.Outcome) {
	if o.Granted {
		s.Granted++
		return
	}
	s.Refused++
	if o.Kept {
		s.Returning++
	}
	s.LongestReturn = max(s.LongestReturn, o.RetryAfter)
}

// supply returns the tokens of a part. Those that it lacks because it doesn't accrue yet count as a debt.
func (p *allowance) supply(now knapweedpulley.Instant) ratequeue.Supply {
	s := ratequeue.Supply{
		Level: p.bucket.level, Rate: float64(p.contract.Rate) / float64(p.holderCount), Burst: p.bucket.burst,
		Parts: p.holderCount,
	}
	if p.accruesFrom.After(now) {
		s.Level -= s.Rate * p.accruesFrom.Sub(now).Seconds()
	}
	return s
}

// busy reports whether calls wait for the part's tokens, or must ask the queue for them because the rate is
// scarce.
func (p *allowance) busy() bool {
	if p.line == nil {
		return false
	}
	requests, _ := p.line.queue.Waiting()
	return requests > 0 || p.line.queue.Scarce()
}

// clearLine ends the line of a part that the gateway no longer holds. Its calls ask another holder.
func (p *allowance) clearLine() {
	if p.line == nil {
		return
	}
	for _, waiter := range p.line.waiters {
		close(waiter)
	}
	if p.line.timer != nil {
		p.line.timer.Stop()
	}
	p.line = nil
}
