package pace

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// minExclusion and maxExclusion bound the time for which an endpoint is excluded. It doubles
	// with each one in a row. The first is several slow spells of a VM long.
	minExclusion = 2 * time.Second
	maxExclusion = 60 * time.Second
	// excludablePart is the part of a service's endpoints that can be excluded, as a divisor. The
	// others have to bear their load: a quarter more.
	excludablePart = 5
	// minExcludable is the least number of endpoints of which one can be excluded.
	minExcludable = 3
	// slowRatio is the ratio to the median pace from which on an endpoint is excluded. Endpoints that
	// are slower by less are useful with fewer requests: sound engines differ by up to 1.6 / 0.6.
	slowRatio = 3
	// failureExcess is the share of failed requests, beyond that of the peers, from which on an
	// endpoint is excluded.
	failureExcess = 0.2
	// minSamples and minOutcomes are the numbers from which on an endpoint is judged, and those
	// with returning are the same while it returns.
	minSamples           = 8
	minOutcomes          = 5
	minReturningSamples  = 2
	minReturningOutcomes = 2
	// probePeriod is the least time between two probes. It is longer than most answers take to begin.
	probePeriod = 2 * time.Second
	// returnTime is the time in which a returning endpoint gets its part of the load back, and
	// returnPenalty the factor by which it counts as slower at first.
	returnTime    = 10 * time.Second
	returnPenalty = 4
	// abandonTime is the time after which an endpoint returns though no probe was sent to it.
	abandonTime = 60 * time.Second
	// soundTime is the time after which an earlier exclusion no longer lengthens the next.
	soundTime = 60 * time.Second
)

// Reason says why an endpoint is excluded.
type Reason string

// Reasons for which endpoints are excluded.
const (
	Slow    Reason = "slow"
	Failing Reason = "failing"
)

// Change is the exclusion or the return of an endpoint.
type Change struct {
	Endpoint knapweedpulley.EndpointID
	Excluded bool
	Reason   Reason
	// Duration is for how long the endpoint is excluded, or was until it returned.
	Duration time.Duration
	// Pace is the pace in relation to the median of the peers, and Failures the share of requests that
	// fail.
	Pace     knapweedpulley.Pace
	Failures float64
}

// exclusion is the state of an endpoint that is or was excluded. It is immutable.
type exclusion struct {
	reason Reason
	// level counts exclusions in a row.
	level int
	since knapweedpulley.Instant
	until knapweedpulley.Instant
	// returned is when the endpoint began to return, and zero before.
	returned knapweedpulley.Instant
}

// current reports whether the endpoint is excluded.
func (x *exclusion) current() bool {
	return x != nil && x.returned == 0
}

// returning reports whether the endpoint doesn't have its part of the load back yet.
func (x *exclusion) returning(now knapweedpulley.Instant) bool {
	return x != nil && x.returned != 0 && now.Sub(x.returned) < returnTime
}

// returnFactor returns the factor by which an endpoint that returns counts as slower.
func (x *exclusion) returnFactor(now knapweedpulley.Instant) float64 {
	if !x.returning(now) {
		return 1
	}
	return returnPenalty - (returnPenalty-1)*float64(now.Sub(x.returned))/float64(returnTime)
}

// Excluded reports whether the endpoint is excluded. It stays so after its time until a probe has
// shown that it is sound.
func (m *Member) Excluded() bool {
	return m.exclusion.Load().current()
}

// TryProbe reports whether a request may be sent to the excluded endpoint as a probe. If so, the next
// one may follow after probePeriod.
func (m *Member) TryProbe(now knapweedpulley.Instant) bool {
	x := m.exclusion.Load()
	if !x.current() || x.until.After(now) {
		return false
	}
	next := m.nextProbe.Load()
	return next <= int64(now) && m.nextProbe.CompareAndSwap(next, int64(now.Add(probePeriod)))
}

// judgeSample ends or lengthens an exclusion by a sample that was taken after its time.
func (m *Member) judgeSample(g *Group, i int, ratio float64, now knapweedpulley.Instant) {
	x := m.exclusion.Load()
	if !x.current() || x.reason != Slow || x.until.After(now) {
		return
	}
	r := g.reference.Load()
	if r == nil || !r.known[i] {
		return
	}
	p := math.Exp(ratio-r.cells[i]) * m.base(r, now, false) / r.pace
	g.judge(m, p < slowRatio, p, now)
}

// judgeOutcome does the same by the outcome of a request.
func (m *Member) judgeOutcome(g *Group, failed bool, now knapweedpulley.Instant) {
	x := m.exclusion.Load()
	if !x.current() || x.until.After(now) || x.reason == Slow && !failed {
		return
	}
	g.judge(m, !failed, 0, now)
}

// judge ends the exclusion of a sound endpoint, and lengthens that of any other.
func (g *Group) judge(m *Member, sound bool, pace float64, now knapweedpulley.Instant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	x := m.exclusion.Load()
	if !x.current() || x.until.After(now) {
		return
	}
	if sound {
		g.release(m, x, now)
		return
	}
	g.exclude(m, x.reason, pace, now)
}

// review excludes endpoints that are much slower than the others or fail more often, the worst first,
// as far as the bound allows. The caller holds mu.
func (g *Group) review(list []*standing, r *reference, now knapweedpulley.Instant) {
	type finding struct {
		*standing
		reason   Reason
		severity float64
	}
	var found []finding
	for _, s := range list {
		x := s.exclusion.Load()
		if x.current() {
			if now.Sub(x.until) >= abandonTime {
				g.release(s.Member, x, now)
			}
			continue
		}
		samples, outcomes := float64(minSamples), float64(minOutcomes)
		if x.returning(now) {
			samples, outcomes = minReturningSamples, minReturningOutcomes
		}
		// The weights of samples decay a little between two of them.
		excess := s.learned.failures() - r.failures
		switch ratio := s.pace / r.pace; {
		case s.learned.ended > outcomes-0.5 && excess >= failureExcess:
			found = append(found, finding{s, Failing, slowRatio + excess})
		case s.learned.weight() > samples-0.5 && ratio >= slowRatio:
			found = append(found, finding{s, Slow, ratio})
		}
	}
	slices.SortFunc(found, func(a, b finding) int { return cmp.Compare(b.severity, a.severity) })
	for _, f := range found {
		if g.countExcluded() >= excludable(len(g.members)) {
			return
		}
		g.exclude(f.Member, f.reason, f.pace/r.pace, now)
	}
}

// excludable returns how many of n endpoints can be excluded.
func excludable(n int) int {
	if n < minExcludable {
		return 0
	}
	return max(1, n/excludablePart)
}

// countExcluded returns the number of excluded endpoints. The caller holds mu.
func (g *Group) countExcluded() int {
	n := 0
	for _, m := range g.members {
		if m.Excluded() {
			n++
		}
	}
	return n
}

// enforceBound has endpoints return if fewer can be excluded than are, those first whose time ends
// first. The caller holds mu.
func (g *Group) enforceBound() {
	var excluded []*Member
	for _, m := range g.members {
		if m.Excluded() {
			excluded = append(excluded, m)
		}
	}
	surplus := len(excluded) - excludable(len(g.members))
	if surplus <= 0 {
		return
	}
	slices.SortFunc(excluded, func(a, b *Member) int {
		return cmp.Compare(a.exclusion.Load().until, b.exclusion.Load().until)
	})
	for _, m := range excluded[:surplus] {
		x := m.exclusion.Load()
		g.release(m, x, max(x.since, knapweedpulley.Instant(g.comparedAt.Load())))
	}
}

// exclude excludes an endpoint, or does so again. What was learned is forgotten, so that only later
// answers count. The caller holds mu.
func (g *Group) exclude(m *Member, reason Reason, ratio float64, now knapweedpulley.Instant) {
	x := m.exclusion.Load()
	level := 0
	if x.current() || x != nil && now.Sub(x.returned) < soundTime {
		level = x.level + 1
	}
	d := min(maxExclusion, minExclusion<<min(level, 8))
	l := m.learned.Load().decayed(now)
	m.exclusion.Store(&exclusion{reason: reason, level: level, since: now, until: now.Add(d)})
	m.forget()
	g.report(Change{
		Endpoint: m.id, Excluded: true, Reason: reason, Duration: d, Pace: knapweedpulley.Pace(ratio), Failures: l.failures(),
	})
}

// release has an endpoint return. The caller holds mu.
func (g *Group) release(m *Member, x *exclusion, now knapweedpulley.Instant) {
	next := *x
	next.returned = now
	m.exclusion.Store(&next)
	m.forget()
	g.report(Change{Endpoint: m.id, Reason: x.reason, Duration: now.Sub(x.since)})
}

func (m *Member) forget() {
	m.learned.Store(nil)
	m.deviation.Store(0)
}
