package warmup

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

// reservationGrace is how much later than its part of the share is for a request may be sent. It covers
// the time in which a waiting goroutine gets the processor.
const reservationGrace = 100 * time.Millisecond

// Moment is when a decision is made, and whether the gateway may use its shares then.
type Moment struct {
	Now       knapweedpulley.Instant
	Confirmed bool
}

// Registration is what the registration of an endpoint says of its warm-up.
type Registration struct {
	// Start is when the endpoint started, in milliseconds of its wall clock.
	Start uint64
	// Arrived is when the registration arrived. ColdFor counts from then.
	Arrived knapweedpulley.Instant
	ColdFor time.Duration
}

// Endpoint is what one gateway knows of the warm-up of an endpoint, with the gateway's share of its
// limit. It is safe for concurrent use.
type Endpoint struct {
	id knapweedpulley.EndpointID
	// permit is nil unless the endpoint has a limit and is cold.
	permit atomic.Pointer[permit]

	// mu is held to change the permit and what it follows from.
	mu       sync.Mutex
	gateways *Gateways
	duration time.Duration
	// slots has as many elements as the limit, of which the gateway uses its share.
	slots []atomic.Int64
	share int
	last  Registration
	// newStart is the last start that only a report has told, startedAt when that arrived. They are
	// zero if the registration is as recent.
	newStart  uint64
	startedAt knapweedpulley.Instant
	// assumedAt is since when the endpoint is assumed to be cold, zero once it is known to be warm.
	assumedAt knapweedpulley.Instant
}

// permit is the gateway's share of the limit of a cold endpoint. It is immutable but for the slots. A
// slot holds the instant from which on it may be used, and is used once in any window, so that the
// number of slots bounds the requests of any window.
type permit struct {
	coldUntil knapweedpulley.Instant
	slots     []atomic.Int64
	gateways  *Gateways
}

// NewEndpoint returns an endpoint that is warm and has no limit.
func NewEndpoint(id knapweedpulley.EndpointID, g *Gateways) *Endpoint {
	return &Endpoint{id: id, gateways: g}
}

// SetLimit sets the limit of the endpoint, if it has one.
func (e *Endpoint) SetLimit(o knapweedpulley.Option[knapweedpulley.WarmUpLimit], now knapweedpulley.Instant) {
	e.mu.Lock()
	defer e.mu.Unlock()
	limit, limited := o.Get()
	n := 0
	if limited {
		n = limitOf(limit.RequestsPerSecond)
	}
	if n == len(e.slots) && limit.Duration == e.duration {
		return
	}
	if n != len(e.slots) {
		freeAt := knapweedpulley.Instant(0)
		if len(e.slots) > 0 {
			// The last window may have been used up under the limit before.
			freeAt = now.Add(window)
		}
		if e.gateways != nil {
			// A gateway that has just started may have used its share before.
			freeAt = max(freeAt, e.gateways.since.Add(window))
		}
		e.slots = make([]atomic.Int64, n)
		for i := range e.slots {
			e.slots[i].Store(int64(freeAt))
		}
	}
	e.duration = limit.Duration
	e.share = e.gateways.share(e.id, n)
	e.publish(now)
}

// SetGateways replaces the list of gateways. What the gateway's share grows by was another gateway's
// until now, and can be used after a window.
func (e *Endpoint) SetGateways(g *Gateways) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.gateways = g
	share := g.share(e.id, len(e.slots))
	for i := e.share; i < share; i++ {
		delay(&e.slots[i], g.since.Add(window))
	}
	e.share = share
	e.publish(g.since)
}

// Register applies a registration of the endpoint. One that has been applied before has no effect.
func (e *Endpoint) Register(r Registration, now knapweedpulley.Instant) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r == e.last {
		return
	}
	e.last = r
	if r.Start >= e.newStart {
		e.newStart, e.startedAt = 0, 0
	}
	if r.ColdFor == 0 && r.Arrived.After(e.assumedAt) {
		e.assumedAt = 0
	}
	e.publish(now)
}

// ReportStart applies the start of the endpoint that a report tells. The endpoint counts as cold until a
// registration describes that start.
func (e *Endpoint) ReportStart(start uint64, now knapweedpulley.Instant) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if start <= max(e.last.Start, e.newStart) {
		return
	}
	e.newStart, e.startedAt = start, now
	e.publish(now)
}

// AssumeCold records that the endpoint may be cold although its registration doesn't say so. It counts as
// cold until its warm-up time after since, or until a registration that arrives later than since says that
// it is warm.
func (e *Endpoint) AssumeCold(since, now knapweedpulley.Instant) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.assumedAt = since
	e.publish(now)
}

// publish replaces the permit. The caller holds mu.
func (e *Endpoint) publish(now knapweedpulley.Instant) {
	until := e.last.Arrived.Add(e.last.ColdFor)
	for _, at := range []knapweedpulley.Instant{e.startedAt, e.assumedAt} {
		if at != 0 {
			until = max(until, at.Add(e.duration))
		}
	}
	if len(e.slots) == 0 || !until.After(now) {
		e.permit.Store(nil)
		return
	}
	e.permit.Store(&permit{coldUntil: until, slots: e.slots[:e.share], gateways: e.gateways})
}

// Limited reports whether the endpoint may be cold. It is false for endpoints without a limit, and
// costs no reading of a clock.
func (e *Endpoint) Limited() bool {
	return e.permit.Load() != nil
}

// MomentAt returns the moment for a decision on the endpoint and all others with the same list of
// gateways.
func (e *Endpoint) MomentAt(now knapweedpulley.Instant) Moment {
	p := e.permit.Load()
	return Moment{Now: now, Confirmed: p != nil && p.gateways.confirmed()}
}

// FreeAt returns when the endpoint may next get a request of the gateway, which is now or earlier if it
// may get one at once, and whether it is cold now.
func (e *Endpoint) FreeAt(m Moment) (at knapweedpulley.Instant, cold bool) {
	p := e.permit.Load()
	if p == nil || !p.coldUntil.After(m.Now) {
		return m.Now, false
	}
	if s, freeAt := p.next(m); s != nil {
		return min(freeAt, p.coldUntil), true
	}
	return p.coldUntil, true
}

// WarmAt returns when the endpoint is warm, which is now if it is.
func (e *Endpoint) WarmAt(now knapweedpulley.Instant) knapweedpulley.Instant {
	if p := e.permit.Load(); p != nil {
		return max(now, p.coldUntil)
	}
	return now
}

// next returns the slot that is free first, and when that is. It returns nil if the gateway has no
// share.
func (p *permit) next(m Moment) (*atomic.Int64, knapweedpulley.Instant) {
	if !m.Confirmed {
		return nil, 0
	}
	var first *atomic.Int64
	var freeAt knapweedpulley.Instant
	for i := range p.slots {
		if at := knapweedpulley.Instant(p.slots[i].Load()); first == nil || at < freeAt {
			first, freeAt = &p.slots[i], at
		}
	}
	return first, freeAt
}

// Ticket is a part of the gateway's share that was taken for one request. It is empty for a request to
// an endpoint that is warm.
type Ticket struct {
	slot *atomic.Int64
	// before and after are the values of the slot before and after it was taken.
	before, after int64
	// at is when the part may be used, or when it was taken for a request that begins at once.
	at knapweedpulley.Instant
}

// Cold reports whether the endpoint was cold when the ticket was taken.
func (t Ticket) Cold() bool {
	return t.slot != nil
}

// Overdue reports whether the part was for an earlier time, so that its request would be sent beside those
// of later windows.
func (t Ticket) Overdue(now knapweedpulley.Instant) bool {
	return t.slot != nil && now.Sub(t.at) > reservationGrace
}

// Return gives the part back, unless another request has been given the next use of its slot. The
// request must not have been sent.
func (t Ticket) Return() {
	if t.slot != nil {
		t.slot.CompareAndSwap(t.after, t.before)
	}
}

// Take takes a part of the share for a request that begins now. It returns false if the endpoint is cold
// and the share is used up.
func (e *Endpoint) Take(m Moment) (Ticket, bool) {
	p := e.permit.Load()
	if p == nil || !p.coldUntil.After(m.Now) {
		return Ticket{}, true
	}
	return p.take(m, m.Now, m.Now, window)
}

// Reserve takes the first part of the share that is free from an instant on, for a request that waits
// until then. It returns false if there is none before the endpoint is warm.
func (e *Endpoint) Reserve(m Moment, from knapweedpulley.Instant) (Ticket, knapweedpulley.Instant, bool) {
	p := e.permit.Load()
	if p == nil || !p.coldUntil.After(m.Now) {
		return Ticket{}, 0, false
	}
	t, reserved := p.take(m, max(m.Now, from), p.coldUntil-1, window+reservationGrace)
	return t, t.at, reserved
}

// take takes the slot that is free first for a use between two instants, and keeps others from using it
// for a time after that.
func (p *permit) take(m Moment, from, latest knapweedpulley.Instant, blocked time.Duration) (Ticket, bool) {
	for {
		s, freeAt := p.next(m)
		if s == nil {
			return Ticket{}, false
		}
		at := max(freeAt, from)
		if at.After(latest) {
			return Ticket{}, false
		}
		t := Ticket{slot: s, before: int64(freeAt), after: int64(at.Add(blocked)), at: at}
		if s.CompareAndSwap(t.before, t.after) {
			return t, true
		}
	}
}

// Redeem reports whether a request may begin now on a part of the share that was reserved for it. That
// has expired if the request is late, or if the gateway may no longer use its share or that part of it.
func (e *Endpoint) Redeem(m Moment, t Ticket) bool {
	p := e.permit.Load()
	if p == nil || !p.coldUntil.After(m.Now) {
		return true
	}
	return m.Confirmed && !t.at.After(m.Now) && m.Now.Sub(t.at) <= reservationGrace && p.has(t.slot)
}

// has reports whether a slot belongs to the gateway's share.
func (p *permit) has(slot *atomic.Int64) bool {
	for i := range p.slots {
		if &p.slots[i] == slot {
			return true
		}
	}
	return false
}

// Busy reports whether a part of the share was taken in the last window or is reserved.
func (e *Endpoint) Busy(now knapweedpulley.Instant) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range e.slots {
		if knapweedpulley.Instant(e.slots[i].Load()).After(now) {
			return true
		}
	}
	return false
}

// Share returns the number of requests that the gateway may send to the endpoint in any second while it
// is cold.
func (e *Endpoint) Share() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.share
}

// delay makes an instant that is stored at least i.
func delay(stored *atomic.Int64, i knapweedpulley.Instant) {
	for last := stored.Load(); last < int64(i); last = stored.Load() {
		if stored.CompareAndSwap(last, int64(i)) {
			return
		}
	}
}
