package pace

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// comparePeriod is the least time between two comparisons. It is less than the time in which a
	// gateway of a large fleet gets a second answer of the same engine.
	comparePeriod = 250 * time.Millisecond
	// minPeers is the least number of endpoints with samples of a kind and band whose median is a
	// reference. Two are left in a service of three of which one is excluded.
	minPeers = 2
	// minCellWeight is the least weight of the samples of an endpoint that count for a reference.
	minCellWeight = 0.5
)

// reference is what is usual in a group. It is immutable.
type reference struct {
	cells [cells]float64
	known [cells]bool
	// stated is the median of the means of the stated paces, pace the median of the paces.
	stated float64
	pace   float64
	// failures is the median share of requests that fail.
	failures float64
	at       knapweedpulley.Instant
}

// Group is the set of the endpoints of a service.
type Group struct {
	report    func(Change)
	reference atomic.Pointer[reference]
	// statedAt is when an endpoint last stated its pace, comparedAt when the endpoints were last
	// compared.
	statedAt   atomic.Int64
	comparedAt atomic.Int64
	// mu guards members, and is held while endpoints are excluded or return.
	mu      sync.Mutex
	members []*Member
}

// NewGroup returns an empty group. It calls report without delay when an endpoint is excluded or
// returns; report must not call the group.
func NewGroup(report func(Change)) *Group {
	g := &Group{report: report}
	g.statedAt.Store(math.MinInt64)
	return g
}

// SetMembers replaces the endpoints of the group.
func (g *Group) SetMembers(list []*Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members = slices.Clone(list)
	for _, m := range list {
		m.group.Store(g)
	}
	g.enforceBound()
}

// Stated reports whether an endpoint of the group has ever stated its pace.
func (g *Group) Stated() bool {
	return g.statedAt.Load() != math.MinInt64
}

// Active reports whether an endpoint of the group has stated its pace within the term of such a
// figure. Otherwise nothing is learned or excluded.
func (g *Group) Active(now knapweedpulley.Instant) bool {
	at := g.statedAt.Load()
	return at != math.MinInt64 && now.Sub(knapweedpulley.Instant(at)) < statedTerm
}

func (g *Group) markStated(now knapweedpulley.Instant) {
	for last := g.statedAt.Load(); last < int64(now); last = g.statedAt.Load() {
		if g.statedAt.CompareAndSwap(last, int64(now)) {
			return
		}
	}
}

// compare compares the endpoints if they haven't been compared within comparePeriod. One of the
// callers does that; the others go on.
func (g *Group) compare(now knapweedpulley.Instant) {
	last := g.comparedAt.Load()
	if now.Sub(knapweedpulley.Instant(last)) < comparePeriod || !g.comparedAt.CompareAndSwap(last, int64(now)) {
		return
	}
	if !g.mu.TryLock() {
		return
	}
	defer g.mu.Unlock()
	list := make([]*standing, 0, len(g.members))
	for _, m := range g.members {
		s := &standing{Member: m, learned: m.learned.Load().decayed(now)}
		s.log = math.Log(m.currentDeviation())
		list = append(list, s)
	}
	r := g.newReference(list, now)
	g.reference.Store(r)
	g.review(list, r, now)
}

// standing is a member during a comparison.
type standing struct {
	*Member
	learned learned
	// log is the logarithm of the deviation.
	log float64
	// pace is the long-term pace.
	pace float64
}

// newReference compares the members with each other, and stores their deviations.
func (g *Group) newReference(list []*standing, now knapweedpulley.Instant) *reference {
	r := &reference{stated: 1, pace: 1, at: now}
	values := make([]float64, 0, len(list))
	for i := range r.cells {
		values = values[:0]
		for _, s := range list {
			if c := s.learned.cells[i]; c.weight >= minCellWeight {
				values = append(values, c.mean-s.log)
			}
		}
		if len(values) >= minPeers {
			r.cells[i], r.known[i] = median(values), true
		}
	}
	values = values[:0]
	for _, s := range list {
		s.log = r.deviationOf(&s.learned)
		if s.learned.weight() >= minCellWeight {
			values = append(values, s.log)
		}
	}
	center := medianOr(values, 0)
	values = values[:0]
	failures := make([]float64, 0, len(list))
	for _, s := range list {
		// The center is taken off, so that the deviations don't drift together.
		weight := s.learned.weight()
		s.log -= center * weight / (weight + priorSamples)
		limit := math.Log(maxDeviation)
		s.log = min(max(s.log, -limit), limit)
		s.deviation.Store(math.Float64bits(math.Exp(s.log)))
		if st := s.stated.Load(); st != nil && now.Sub(st.at) < statedTerm {
			values = append(values, st.mean)
		}
		failures = append(failures, s.learned.failures())
	}
	r.stated = medianOr(values, 1)
	r.failures = medianOr(failures, 0)
	values = values[:0]
	for _, s := range list {
		s.pace = s.base(r, now, false) * math.Exp(s.log)
		values = append(values, s.pace)
	}
	r.pace = medianOr(values, 1)
	return r
}

// deviationOf returns the logarithm of an endpoint's deviation from the reference, weighted by the
// number of its samples.
func (r *reference) deviationOf(l *learned) float64 {
	sum, weight := 0.0, 0.0
	for i, c := range l.cells {
		if r.known[i] {
			sum += c.weight * (c.mean - r.cells[i])
			weight += c.weight
		}
	}
	return sum / (weight + priorSamples)
}

func medianOr(values []float64, fallback float64) float64 {
	if len(values) == 0 {
		return fallback
	}
	return median(values)
}

// median returns the median of the values, which it orders.
func median(values []float64) float64 {
	slices.SortFunc(values, cmp.Compare[float64])
	n := len(values)
	return (values[(n-1)/2] + values[n/2]) / 2
}
