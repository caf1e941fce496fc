package fleet

import (
	"slices"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/warmup"
)

const (
	// minSuspension is the time without a tick from which on the process counts as suspended. Endpoints
	// state every 1.2 s whether they are cold, so that shorter pauses make little difference.
	minSuspension = 2 * time.Second
	// staleTime is how long after a suspension registrations may arrive that were sent before its end.
	staleTime = time.Second
)

// warmUps holds what the warm-up of all endpoints depends on.
type warmUps struct {
	self       knapweedpulley.EntryID
	permission knapweedpulley.Permission
	gateways   *warmup.Gateways
	limits     map[knapweedpulley.ServiceID]knapweedpulley.WarmUpLimit
	// removed holds endpoints that were removed when a part of the gateway's share was in use. An
	// endpoint that registers again has no other share than before.
	removed map[knapweedpulley.EndpointID]*warmup.Endpoint
}

func newWarmUps() warmUps {
	return warmUps{removed: make(map[knapweedpulley.EndpointID]*warmup.Endpoint)}
}

// of returns the warm-up of an endpoint, which may be among those that are known.
func (w *warmUps) of(known map[knapweedpulley.EndpointID]*Endpoint, id knapweedpulley.EndpointID) *warmup.Endpoint {
	if e := known[id]; e != nil {
		return e.warmUp
	}
	if e := w.removed[id]; e != nil {
		return e
	}
	return warmup.NewEndpoint(id, w.gateways)
}

// limit returns the limit of the endpoints of a service.
func (w *warmUps) limit(id knapweedpulley.ServiceID) knapweedpulley.Option[knapweedpulley.WarmUpLimit] {
	if limit, limited := w.limits[id]; limited {
		return knapweedpulley.Some(limit)
	}
	return knapweedpulley.None[knapweedpulley.WarmUpLimit]()
}

// register applies the registration of an endpoint. Last is the endpoint under its id until now, or nil.
func (w *warmUps) register(last, e *Endpoint, r knapweedpulley.RegisteredEndpoint, now knapweedpulley.Instant) {
	e.warmUp.SetLimit(w.limit(r.Service), now)
	if r.Arrived == 0 {
		r.Arrived = now
	}
	e.warmUp.Register(warmup.Registration{Start: r.Start, Arrived: r.Arrived, ColdFor: r.ColdFor}, now)
	if last != nil && last.Registration().Evacuated && !r.Evacuated {
		// An endpoint without requests may cool down.
		e.warmUp.AssumeCold(now, now)
	}
}

// retain keeps the warm-up of the endpoints that are no longer registered for as long as a part of the
// gateway's share is in use.
func (w *warmUps) retain(last, next map[knapweedpulley.EndpointID]*Endpoint, now knapweedpulley.Instant) {
	for id, e := range last {
		if next[id] == nil {
			w.removed[id] = e.warmUp
		}
	}
	for id, e := range w.removed {
		if next[id] != nil || !e.Busy(now) {
			delete(w.removed, id)
		}
	}
}

// ShareWarmUp sets the gateway that has a share of the limits of cold endpoints, and what the share
// depends on. It must be called before SetGateways.
func (f *Fleet) ShareWarmUp(self knapweedpulley.EntryID, p knapweedpulley.Permission) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.warmUps.self, f.warmUps.permission = self, p
}

// SetGateways sets the gateways that have shares of the limits of cold endpoints. Until it is called, the
// gateway has no share.
func (f *Fleet) SetGateways(members []knapweedpulley.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := &f.warmUps
	if w.gateways.Lists(members) {
		return
	}
	w.gateways = warmup.NewGateways(w.self, members, w.permission, f.clock.Now())
	for _, e := range f.index.Load().byID {
		e.warmUp.SetGateways(w.gateways)
	}
	for _, e := range w.removed {
		e.SetGateways(w.gateways)
	}
}

// ConfigureWarmUp sets the limits of the services whose endpoints may be cold.
func (f *Fleet) ConfigureWarmUp(limits map[knapweedpulley.ServiceID]knapweedpulley.WarmUpLimit) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.warmUps.limits = limits
	now := f.clock.Now()
	for _, e := range f.index.Load().byID {
		e.warmUp.SetLimit(f.warmUps.limit(e.Registration().Service), now)
	}
}

// Tick records that the process is running. It must be called every second or more often.
func (f *Fleet) Tick() {
	f.noticeSuspension()
	f.mu.Lock()
	defer f.mu.Unlock()
	running := f.clock.Now()
	if len(f.warmUps.limits) == 0 {
		running = 0
	}
	f.runningAt.Store(int64(running))
}

// noticeSuspension assumes that all endpoints with a limit are cold if the process has been suspended,
// as what it knows of them is old. It does nothing without limits.
func (f *Fleet) noticeSuspension() {
	last := knapweedpulley.Instant(f.runningAt.Load())
	if last == 0 {
		return
	}
	now := f.clock.Now()
	if now.Sub(last) < minSuspension {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if knapweedpulley.Instant(f.runningAt.Load()) != last {
		return
	}
	for _, e := range f.index.Load().byID {
		e.warmUp.AssumeCold(now.Add(staleTime), now)
	}
	f.runningAt.Store(int64(now))
}

// coldAt reports whether the endpoint is cold, and whether it may get a request of the gateway. It sets
// the moment if that isn't set and the endpoint may be cold.
func (e *Endpoint) coldAt(m *warmup.Moment) (cold, free bool) {
	if !e.warmUp.Limited() {
		return false, true
	}
	if m.Now == 0 {
		*m = e.warmUp.MomentAt(e.clock.Now())
	}
	at, cold := e.warmUp.FreeAt(*m)
	return cold, !at.After(m.Now)
}

// takeShare takes a part of the gateway's share of the endpoint's limit if the endpoint is cold. It
// returns false if the share is used up.
func (e *Endpoint) takeShare() (warmup.Ticket, bool) {
	if !e.warmUp.Limited() {
		return warmup.Ticket{}, true
	}
	return e.warmUp.Take(e.warmUp.MomentAt(e.clock.Now()))
}

// freeAt returns when the endpoint takes a request of the gateway, and whether it is the warm-up for
// which the request has to wait.
func (e *Endpoint) freeAt(now knapweedpulley.Instant) (at knapweedpulley.Instant, cold bool) {
	at = now
	if e.warmUp.Limited() {
		at, _ = e.warmUp.FreeAt(e.warmUp.MomentAt(now))
		at = max(now, at)
		cold = at.After(now)
	}
	if until, held := e.HeldUntil(); held && until > at {
		return until, false
	}
	return at, cold
}

// WarmAt returns when the endpoint is warm at the latest, which is now or earlier if it is warm.
func (e *Endpoint) WarmAt(now knapweedpulley.Instant) knapweedpulley.Instant {
	if !e.warmUp.Limited() {
		return now
	}
	return e.warmUp.WarmAt(now)
}

// ColdEndpoint is an endpoint that is cold.
type ColdEndpoint struct {
	*Endpoint
	// Share is the number of requests that the gateway may send in any second.
	Share  int
	WarmAt knapweedpulley.Instant
}

// Cold returns the endpoints that are cold, by id.
func (f *Fleet) Cold() map[knapweedpulley.EndpointID]ColdEndpoint {
	now := f.clock.Now()
	var cold map[knapweedpulley.EndpointID]ColdEndpoint
	for id, e := range f.Endpoints() {
		warmAt := e.WarmAt(now)
		if !warmAt.After(now) {
			continue
		}
		if cold == nil {
			cold = make(map[knapweedpulley.EndpointID]ColdEndpoint)
		}
		cold[id] = ColdEndpoint{Endpoint: e, Share: e.warmUp.Share(), WarmAt: warmAt}
	}
	return cold
}

// Hold is the time until the first of the endpoints that hold what a request needs takes it.
type Hold struct {
	Until knapweedpulley.Instant
	// Cold is set if that endpoint is cold.
	Cold     bool
	endpoint *Endpoint
}

// Hold returns until when the endpoints that hold what the request needs don't take it. That is now if
// one of them does. It returns false if there are none.
func (f *Fleet) Hold(needs Requirements) (Hold, bool) {
	now := f.clock.Now()
	var first Hold
	for _, e := range f.candidates(needs) {
		at, cold := e.freeAt(now)
		if first.endpoint == nil || at < first.Until {
			first = Hold{Until: at, Cold: cold, endpoint: e}
		}
	}
	return first, first.endpoint != nil
}

// Reservation is a part of the gateway's share of a cold endpoint's limit that is reserved for a request.
type Reservation struct {
	endpoint *Endpoint
	ticket   warmup.Ticket
	// At is when the request may begin.
	At knapweedpulley.Instant
}

// Reserve reserves the next part of the share of the endpoint for which a request is held. It returns
// false if the endpoint is warm before that.
func (f *Fleet) Reserve(h Hold) (*Reservation, bool) {
	now := f.clock.Now()
	from := now
	if until, held := h.endpoint.HeldUntil(); held {
		from = until
	}
	w := h.endpoint.warmUp
	t, at, reserved := w.Reserve(w.MomentAt(now), from)
	if !reserved {
		return nil, false
	}
	return &Reservation{endpoint: h.endpoint, ticket: t, At: at}, true
}

// BeginReserved begins a request for which a part of a share was reserved. It returns false if the
// reservation has expired or the endpoint doesn't take the request.
func (f *Fleet) BeginReserved(r *Reservation, needs Requirements) (*ActiveRequest, bool) {
	w := r.endpoint.warmUp
	m := w.MomentAt(f.clock.Now())
	if _, held := r.endpoint.HeldUntil(); held || !slices.Contains(f.candidates(needs), r.endpoint) || !w.Redeem(m, r.ticket) {
		return nil, false
	}
	return r.endpoint.activate(needs.Prompt, r.ticket), true
}

// Return gives the reserved part of the share back.
func (r *Reservation) Return() {
	r.ticket.Return()
}
