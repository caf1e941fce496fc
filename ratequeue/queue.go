package ratequeue

import (
	"slices"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// maxWaiting bounds the requests that wait in a queue. It is more than a rate of 18,800 tokens a second
	// grants within the longest objective.
	maxWaiting = 1024
	// maxRoutes bounds the routes that are told apart.
	maxRoutes = 64
	// maxPlaces bounds the places that a queue keeps.
	maxPlaces = 64
	// placeTerm is how long a place is kept after its caller was told to return.
	placeTerm = time.Second
	// maxReturnTime is the longest time after which a caller is told to return to a kept place. Callers accept
	// a third of the time that they have left, which is shorter for routes with short objectives: it is
	// limited to returnPatience times the time that the request could wait as well.
	maxReturnTime  = 4 * time.Second
	returnPatience = 2
	// placeShare is the part of a route's share that kept places may use, so that newcomers are served
	// in time.
	placeShare = 0.2
	// UnplacedReturnTime is the least time after which a caller without a place is told to return while it would most
	// likely be refused again. Most callers don't accept it.
	UnplacedReturnTime = 10 * time.Second
	// chanceReturnTime is the least time after which a caller without a place is told to return if it has a chance then. With
	// 3 s, callers refused in a peak of 6 s returned in the same peak, and a little less of the rate was used.
	// Callers who accept less are told less by their gateway.
	chanceReturnTime = 5 * time.Second
	// minChance is the part of the demand that the rate covers at least while a caller without a place has a chance. In a
	// lasting overload beyond that, callers who return are refused again or take the tokens of newcomers.
	minChance = 0.6
	// returnFraction is the part of the time that a request can wait that a returning caller spends
	// waiting in the queue.
	returnFraction = 0.5
	// minReturnTime is the least time after which a caller is told to return.
	minReturnTime = 50 * time.Millisecond
	// shareMargin is the factor by which a route is expected to get its share later than by the recent demand, as
	// that varies. Without it, one refusal in six comes only when the request's time has passed.
	shareMargin = 1.15
	// minAccrual is the part of the rate at which a request's own tokens are expected to accrue at least. Routes whose
	// requests can wait less don't always use their shares.
	minAccrual = 0.5
	// recheckTime is the longest time between two checks of whose turn it is, which changes as
	// tokens accrue.
	recheckTime = 50 * time.Millisecond
	// maxSizeShare is the part of the burst by which a smaller request is judged at most while the rate is scarce. If a part
	// that holds less than two large requests kept room for one, it would be full most of the time and lose tokens: with
	// 2,600 tokens a second and requests of up to 6,000, 0.46 instead of 0.57 of the requests are served.
	maxSizeShare = 0.5
	// maxEstimate bounds the times that are told, for a contract whose rate is close to zero.
	maxEstimate = time.Hour
)

// Request is a request for tokens.
type Request struct {
	Route knapweedpulley.RouteID
	// Priority ranks the route; zero is the most urgent.
	Priority    int
	Tokens      knapweedpulley.Tokens
	LatestStart knapweedpulley.Instant
	// Fingerprint identifies a caller who returns.
	Fingerprint knapweedpulley.Fingerprint
}

// Supply is the tokens that the holder has. The methods of Queue deduct what they grant from Level, and
// add what is no longer set aside.
type Supply struct {
	// Level is negative while the part doesn't accrue yet or is in debt.
	Level float64
	Rate  float64
	Burst float64
	// Parts is the number of holders, whose rates add up to the customer's.
	Parts int
}

// Ticket names a request in the queue. Zero names none.
type Ticket uint64

// Outcome tells how a request ended.
type Outcome struct {
	Ticket  Ticket
	Granted bool
	// RetryAfter is when a refused request may return. Kept is set if a place is kept for it.
	RetryAfter time.Duration
	Kept       bool
}

// Queue is the queue of one customer at one holder. It isn't safe for concurrent use.
type Queue struct {
	routes []*route
	// byTicket holds the entries with a caller, kept those without.
	byTicket map[Ticket]*entry
	kept     map[knapweedpulley.Fingerprint]*entry
	outcomes []Outcome
	last     Ticket
	updated  knapweedpulley.Instant
	// earliest is not later than the end of any entry.
	earliest knapweedpulley.Instant
	// weight and demand are the sums over all routes.
	weight float64
	demand float64
	// slowDemand is the sum of the demand over a longer time.
	slowDemand float64
	// setAside is the number of tokens that are set aside for places.
	setAside float64
	// scarce is set while the customer asks for more than its rate. Otherwise requests are let in whatever their route.
	scarce bool
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{byTicket: make(map[Ticket]*entry), kept: make(map[knapweedpulley.Fingerprint]*entry)}
}

// Waiting returns the number of requests that wait, and of the places that are kept.
func (q *Queue) Waiting() (requests, places int) {
	return len(q.byTicket), len(q.kept)
}

// Outcomes returns what was decided since the last call. The slice is valid until the next decision.
func (q *Queue) Outcomes() []Outcome {
	list := q.outcomes
	q.outcomes = q.outcomes[:0]
	return list
}

// Probe grants a request if it is its turn and its tokens are there, and otherwise returns the time that it
// would wait. It takes no place. A request is probed once at each holder before it enters the queue of one, and
// counts as demand then.
func (q *Queue) Probe(now knapweedpulley.Instant, s *Supply, r Request) (bool, time.Duration) {
	q.Advance(now, s)
	if e, returns := q.kept[r.Fingerprint]; returns && e.tokens == float64(r.Tokens) {
		if e.setAside {
			q.dropSetAside(e)
			return true, 0
		}
		return false, 0
	}
	route := q.routeOf(now, s, r)
	route.record(now, float64(r.Tokens))
	q.advance(now, s)
	e := &entry{route: route, tokens: float64(r.Tokens), key: now.Add(route.patience)}
	q.last++
	e.ticket = q.last
	route.insert(e)
	q.byTicket[e.ticket] = e
	if q.mayProbe(now, s, e) {
		q.dispatch(s)
	}
	if _, waiting := q.byTicket[e.ticket]; !waiting {
		q.dropOutcome(e.ticket)
		return true, 0
	}
	wait := q.estimate(s, e, slices.Index(route.entries, e), q.size(s, e))
	route.remove(e)
	delete(q.byTicket, e.ticket)
	return false, wait
}

// mayProbe reports whether a request may be granted without waiting. While the rate is scarce it has to find the tokens
// for its route's largest request, because small requests would use those that large ones wait for otherwise.
func (q *Queue) mayProbe(now knapweedpulley.Instant, s *Supply, e *entry) bool {
	if q.scarce {
		return s.Level >= min(s.Burst, q.size(s, e)+q.reserve(e.route, s))
	}
	return q.othersInTime(now, s, e)
}

// dropOutcome removes the outcome of a request that is answered in another way.
func (q *Queue) dropOutcome(t Ticket) {
	q.outcomes = slices.DeleteFunc(q.outcomes, func(o Outcome) bool { return o.Ticket == t })
}

// Enter adds a request. Its outcome is among the next ones if it is known already.
func (q *Queue) Enter(now knapweedpulley.Instant, s *Supply, r Request) Ticket {
	q.Advance(now, s)
	q.last++
	ticket := q.last
	if e, returns := q.kept[r.Fingerprint]; returns && e.tokens == float64(r.Tokens) {
		q.returnToPlace(now, e, ticket, r.LatestStart)
		return ticket
	}
	route := q.routeOf(now, s, r)
	route.patience = max(route.patience, r.LatestStart.Sub(now))
	route.largest = max(route.largest, float64(r.Tokens))
	route.lastUse = now
	e := &entry{
		ticket: ticket, route: route, tokens: float64(r.Tokens), fingerprint: r.Fingerprint,
		key: r.LatestStart, until: r.LatestStart, patience: r.LatestStart.Sub(now),
	}
	if len(q.byTicket) >= maxWaiting {
		wait := q.estimate(s, e, len(route.entries), e.tokens)
		q.outcomes = append(q.outcomes, Outcome{Ticket: ticket, RetryAfter: q.unplacedReturnTime(s, e, wait)})
		return ticket
	}
	i := route.insert(e)
	q.byTicket[ticket] = e
	if !q.admissible(now, s, e, i) {
		q.refuse(now, s, e)
		return ticket
	}
	q.limitEarliest(e.until)
	q.dispatch(s)
	return ticket
}

// returnToPlace lets a caller take its place again. It is told to wait on if it has come too early.
func (q *Queue) returnToPlace(now knapweedpulley.Instant, e *entry, ticket Ticket, latestStart knapweedpulley.Instant) {
	switch {
	case e.setAside:
		q.dropSetAside(e)
		q.outcomes = append(q.outcomes, Outcome{Ticket: ticket, Granted: true})
	case e.key.After(latestStart):
		wait := max(minReturnTime, e.key.Sub(latestStart))
		e.until = max(e.until, now.Add(wait+placeTerm))
		q.outcomes = append(q.outcomes, Outcome{Ticket: ticket, RetryAfter: wait, Kept: true})
	default:
		delete(q.kept, e.fingerprint)
		e.route.placeTokens = max(0, e.route.placeTokens-e.tokens)
		e.ticket, e.until = ticket, latestStart
		q.byTicket[ticket] = e
		q.limitEarliest(e.until)
	}
}

// Leave removes a request whose caller has left.
func (q *Queue) Leave(t Ticket) {
	if e, waiting := q.byTicket[t]; waiting {
		e.route.remove(e)
		delete(q.byTicket, t)
	}
}

// Advance grants the requests whose turn it is and refuses those whose latest start has passed.
func (q *Queue) Advance(now knapweedpulley.Instant, s *Supply) {
	// What is set aside counts as part of the burst. Otherwise a full part and the places together would admit more.
	if room := max(0, s.Burst-q.setAside); s.Level > room {
		s.Level = room
	}
	q.advance(now, s)
	if q.earliest != 0 && now.After(q.earliest) {
		q.releasePlaces(now, s)
		q.dispatch(s)
		q.expire(now, s)
	}
	q.dispatch(s)
}

// Next returns when Advance has to be called again, and false if nothing waits.
func (q *Queue) Next(now knapweedpulley.Instant, s *Supply) (knapweedpulley.Instant, bool) {
	if len(q.byTicket) == 0 && len(q.kept) == 0 {
		return 0, false
	}
	next := now.Add(maxReturnTime)
	if q.earliest != 0 {
		next = q.earliest.Add(1)
	}
	if e := q.head(); e != nil && s.Rate > 0 {
		wait := durationOf((q.need(e, s) - s.Level) / s.Rate)
		next = min(next, now.Add(min(wait+1, recheckTime)))
	}
	return max(next, now.Add(time.Millisecond)), true
}

// Scarce reports whether the customer asks for more than its rate.
func (q *Queue) Scarce() bool {
	return q.scarce
}

// NextRoute returns the route whose turn it is, and false if nothing waits.
func (q *Queue) NextRoute() (knapweedpulley.RouteID, bool) {
	if e := q.head(); e != nil {
		return e.route.id, true
	}
	return "", false
}

// head returns the entry whose turn it is, which is the one with the earliest latest start. Which requests are let in
// keeps the routes to their shares.
func (q *Queue) head() *entry {
	var first *entry
	for _, r := range q.routes {
		if len(r.entries) > 0 && (first == nil || first.key.After(r.entries[0].key)) {
			first = r.entries[0]
		}
	}
	return first
}

// need returns the level at which a request is granted. One that is larger than the burst is granted when the
// part is full.
func (q *Queue) need(e *entry, s *Supply) float64 {
	return min(s.Burst, e.tokens+q.reserve(e.route, s))
}

// dispatch grants requests as long as the tokens last.
func (q *Queue) dispatch(s *Supply) {
	for e := q.head(); e != nil && s.Level >= q.need(e, s); e = q.head() {
		e.route.remove(e)
		e.route.credit -= e.tokens
		s.Level -= e.tokens
		if e.ticket == 0 {
			e.setAside = true
			q.setAside += e.tokens
			continue
		}
		delete(q.byTicket, e.ticket)
		q.outcomes = append(q.outcomes, Outcome{Ticket: e.ticket, Granted: true})
	}
}

// estimate returns the time after which a request of the given size is granted at position i of its route.
func (q *Queue) estimate(s *Supply, e *entry, i int, tokens float64) time.Duration {
	before := e.route.tokensBefore(i)
	if q.scarce {
		return q.scarceEstimate(s, e.route, before, tokens)
	}
	for _, other := range q.routes {
		if other != e.route {
			before += other.tokensBefore(other.position(e.key))
		}
	}
	return durationOf(accrualTime(before+min(s.Burst, tokens)-s.Level, s.Rate))
}

// scarceEstimate returns the time after which a request with the given tokens of its route ahead of it is granted:
// when the route has paid for those, and then its own tokens have accrued beside those of the routes whose
// requests can wait less.
func (q *Queue) scarceEstimate(s *Supply, r *route, before, tokens float64) time.Duration {
	first := 0.0
	for _, other := range q.routes {
		if other != r && other.patience < r.patience {
			first += other.weight / q.weight
		}
	}
	accrual := s.Rate * max(minAccrual, 1-first)
	if before > r.credit {
		// Until the route has paid, other routes use the tokens.
		return durationOf(shareMargin*(before-r.credit)/q.share(r, s) + accrualTime(tokens, accrual))
	}
	return durationOf(accrualTime(min(s.Burst, tokens+q.reserve(r, s))+before-s.Level, accrual))
}

// accrualTime returns the time in seconds in which tokens accrue.
func accrualTime(tokens, rate float64) float64 {
	if rate <= 0 {
		return maxEstimate.Seconds()
	}
	return max(0, tokens/rate)
}

// durationOf converts seconds to a duration between zero and maxEstimate.
func durationOf(seconds float64) time.Duration {
	return time.Duration(max(0, min(seconds, maxEstimate.Seconds())) * float64(time.Second))
}

// size returns the size by which a request is judged. While the rate is scarce it is that of its route's largest
// request, so that small requests don't fill the room that large ones wait for, and large ones are not told to
// wait or to return at another time than small ones.
func (q *Queue) size(s *Supply, e *entry) float64 {
	if q.scarce {
		return max(e.tokens, min(e.route.largest, maxSizeShare*s.Burst))
	}
	return e.tokens
}

// admissible reports whether a request at position i of its route will be granted in time. While the rate isn't
// scarce, it must not make one behind it late either; otherwise the routes' shares see to that.
func (q *Queue) admissible(now knapweedpulley.Instant, s *Supply, e *entry, i int) bool {
	if now.Add(q.estimate(s, e, i, q.size(s, e))).After(e.until) {
		return false
	}
	return q.scarce || q.othersInTime(now, s, e)
}

// othersInTime reports whether the first request of each route behind a new one is still granted in time while the
// rate isn't scarce.
func (q *Queue) othersInTime(now knapweedpulley.Instant, s *Supply, added *entry) bool {
	for _, r := range q.routes {
		i := r.position(added.key)
		if i < len(r.entries) && now.Add(q.estimate(s, r.entries[i], i, r.entries[i].tokens)).After(r.entries[i].key) {
			return false
		}
	}
	return true
}

// refuse ends a request that can't be granted in time, and keeps a place for its caller if that will be due soon
// enough.
func (q *Queue) refuse(now knapweedpulley.Instant, s *Supply, e *entry) {
	r := e.route
	r.remove(e)
	delete(q.byTicket, e.ticket)
	due, latest := q.dueTime(s, e)
	wait := max(minReturnTime, due-time.Duration(returnFraction*float64(e.patience)))
	o := Outcome{Ticket: e.ticket, RetryAfter: wait}
	if q.scarce {
		o.RetryAfter = q.unplacedReturnTime(s, e, wait)
	}
	if _, taken := q.kept[e.fingerprint]; !taken && len(q.kept) < maxPlaces && wait <= latest {
		o.Kept, o.RetryAfter = true, wait
		place := &entry{
			route: r, tokens: e.tokens, fingerprint: e.fingerprint, patience: e.patience,
			key: now.Add(due), until: now.Add(wait + placeTerm),
		}
		r.insert(place)
		q.kept[e.fingerprint] = place
		q.limitEarliest(place.until)
	}
	q.outcomes = append(q.outcomes, o)
}

// unplacedReturnTime returns the time after which the caller of a refused request returns without a place while the rate is
// scarce. A place would be due after placed; without one, the caller has the chance of a newcomer once the requests that
// wait now have their tokens.
func (q *Queue) unplacedReturnTime(s *Supply, e *entry, placed time.Duration) time.Duration {
	if s.Rate*float64(s.Parts) < minChance*q.slowDemand {
		return max(UnplacedReturnTime, placed)
	}
	due := q.estimate(s, e, len(e.route.entries), q.size(s, e))
	return max(chanceReturnTime, due-time.Duration(returnFraction*float64(e.patience)))
}

// dueTime returns the time after which a place for a refused request is due, and the longest time after which its
// caller is told to return.
func (q *Queue) dueTime(s *Supply, e *entry) (due, latest time.Duration) {
	r := e.route
	if q.scarce {
		size := q.size(s, e)
		due = max(
			q.estimate(s, e, len(r.entries), size),
			durationOf((r.placeTokens+size-max(0, r.credit))/(placeShare*q.share(r, s))),
		)
		return due, min(maxReturnTime, returnPatience*e.patience)
	}
	before := 0.0
	for _, other := range q.routes {
		before += other.tokensBefore(len(other.entries))
	}
	return durationOf(accrualTime(before+min(s.Burst, e.tokens)-s.Level, s.Rate)), 0
}

// dropSetAside removes a place whose tokens were set aside.
func (q *Queue) dropSetAside(e *entry) {
	delete(q.kept, e.fingerprint)
	q.setAside = max(0, q.setAside-e.tokens)
}

func (q *Queue) limitEarliest(until knapweedpulley.Instant) {
	if q.earliest == 0 || q.earliest.After(until) {
		q.earliest = until
	}
}

// releasePlaces removes the places whose callers didn't return, and puts their tokens back.
func (q *Queue) releasePlaces(now knapweedpulley.Instant, s *Supply) {
	for f, e := range q.kept {
		if !now.After(e.until) {
			continue
		}
		if !e.setAside {
			delete(q.kept, f)
			e.route.remove(e)
			continue
		}
		q.dropSetAside(e)
		put := max(0, min(e.tokens, s.Burst-s.Level))
		s.Level += put
		e.route.credit += put
	}
}

// expire refuses the requests whose latest start has passed.
func (q *Queue) expire(now knapweedpulley.Instant, s *Supply) {
	q.earliest = 0
	var late []*entry
	for _, e := range q.byTicket {
		if now.After(e.until) {
			late = append(late, e)
		} else {
			q.limitEarliest(e.until)
		}
	}
	slices.SortFunc(late, func(a, b *entry) int { return int(a.ticket) - int(b.ticket) })
	for _, e := range q.kept {
		q.limitEarliest(e.until)
	}
	for _, e := range late {
		q.refuse(now, s, e)
	}
}
