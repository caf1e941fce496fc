// Package pace estimates how long work takes at the endpoints of a service in relation to each other,
// and excludes endpoints that are much slower than their peers or fail more often. It responds to the
// load of endpoints of unequal speed that share their VMs with other workloads: about 200 requests a
// second from 27 gateways to 49 engines, of which one gateway sees each engine every few seconds.
//
// The package neither sends messages nor reads a clock: it is told what endpoints state and how long
// their answers took, with the instants. Reads take no lock.
//
// # Usage
//
//	group := pace.NewGroup(report)
//	member := pace.NewMember(id)
//	group.SetMembers([]*pace.Member{member})
//	member.State(stated, now)
//	member.RecordEvents(load, gap, now)
//	if group.Active(now) {
//		slower := member.Pace(now)
//	}
package pace

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// statedTerm is how long a stated pace counts. A gateway of a large fleet gets an answer of an
	// engine every seven seconds on average; four of them may fail to appear.
	statedTerm = 30 * time.Second
	// statedTime is the time constant of the mean of the stated paces. It spans several slow spells
	// of a VM.
	statedTime = 10 * time.Second
	// maxFigureWeight is the most that one of several figures counts in the mean, as figures that
	// arrive seldom may each be from a spell.
	maxFigureWeight = 0.2
	// spellTime is the time in which the deviation of the last figure from the mean loses its
	// weight. Slow spells of a VM last about 600 ms.
	spellTime = 600 * time.Millisecond
	// learnedTime is the time constant after which samples lose their weight. It holds about nine
	// answers of an engine in a large fleet.
	learnedTime = 60 * time.Second
	// failureTime is the time without outcomes in which the share of failed requests loses half of its
	// weight in the choice, so that an endpoint gets calls again some seconds after it failed.
	failureTime = 5 * time.Second
	// learnedTerm is how long the result of a comparison with the peers counts.
	learnedTerm = 30 * time.Second
	// priorSamples is the weight of the assumption that an endpoint is like its peers, as a number
	// of samples. A sample that falls into a slow spell is off by a factor of 2.5.
	priorSamples = 3
	// priorOutcomes is the weight of the assumption that requests don't fail, as a number of requests.
	priorOutcomes = 4
	// minSampleWeight is the weight of a sample that was taken at the same time as another.
	minSampleWeight = 0.02
	// minPace and maxPace bound the estimates, as the paces that endpoints can state are bounded.
	minPace = 0.1
	maxPace = 10
	// maxDeviation bounds the learned pace as a factor of the stated one, either way.
	maxDeviation = 8
)

// A step of an engine takes about 10 ms and a little for each running request. An event holds three
// or four tokens, each of which takes a step, and the prompts of others are read in between.
const (
	// EventTime is the time between two events of a stream that has its engine for itself.
	EventTime = 35 * time.Millisecond
	// eventLoadTime is added to the mean time between events for each other request.
	eventLoadTime = time.Millisecond
	// responseTime and responseLoadTime are the same for whole responses. Only their ratio has an
	// effect, as responses are compared with those of the peers.
	responseTime     = 100 * time.Millisecond
	responseLoadTime = 2 * time.Millisecond
)

// Samples are compared within one kind and one band of load.
const (
	eventKind = iota
	responseKind
	kinds
	bands = 4
	cells = kinds * bands
)

// bandOf returns the band of a load: up to 3, 15, 63 and more.
func bandOf(load int) int {
	switch {
	case load < 4:
		return 0
	case load < 16:
		return 1
	case load < 64:
		return 2
	default:
		return 3
	}
}

// stated is what an endpoint has stated of its pace.
type stated struct {
	mean  float64
	last  float64
	count float64
	at    knapweedpulley.Instant
}

// cell is the mean of the logarithms of the samples of a kind in a band, and their weight.
type cell struct {
	mean   float64
	weight float64
}

// learned is what the answers of an endpoint have shown.
type learned struct {
	cells  [cells]cell
	failed float64
	ended  float64
	at     knapweedpulley.Instant
	// sampledAt is when the last sample was taken.
	sampledAt knapweedpulley.Instant
}

// decayed returns what is left of l at an instant.
func (l *learned) decayed(now knapweedpulley.Instant) learned {
	if l == nil {
		return learned{at: now}
	}
	next := *l
	age := now.Sub(l.at)
	if age <= 0 {
		return next
	}
	left := math.Exp(-float64(age) / float64(learnedTime))
	for i := range next.cells {
		next.cells[i].weight *= left
	}
	next.failed *= left
	next.ended *= left
	next.at = now
	return next
}

// weight returns the weight of all samples.
func (l *learned) weight() float64 {
	sum := 0.0
	for _, c := range l.cells {
		sum += c.weight
	}
	return sum
}

// failures estimates the share of requests that fail, assuming that priorOutcomes more have not.
func (l *learned) failures() float64 {
	return l.failed / (l.ended + priorOutcomes)
}

// Member is one run of an endpoint in the group of its service.
type Member struct {
	id      knapweedpulley.EndpointID
	group   atomic.Pointer[Group]
	stated  atomic.Pointer[stated]
	learned atomic.Pointer[learned]
	// deviation is the learned pace as a factor of the stated one, as the bits of a float64. It is
	// zero until the first comparison with the peers.
	deviation atomic.Uint64
	// exclusion is nil unless the endpoint is or was excluded. nextProbe is when the next probe may
	// be sent.
	exclusion atomic.Pointer[exclusion]
	nextProbe atomic.Int64
}

// NewMember returns the member for an endpoint.
func NewMember(id knapweedpulley.EndpointID) *Member {
	return &Member{id: id}
}

// State records a pace that the endpoint stated.
func (m *Member) State(p knapweedpulley.Pace, now knapweedpulley.Instant) {
	value := bounded(float64(p))
	for {
		last := m.stated.Load()
		next := &stated{mean: value, last: value, count: 1, at: now}
		if last != nil {
			age := now.Sub(last.at)
			if age < 0 {
				return
			}
			if age < statedTerm {
				// The least weight is that of figures which arrive every fifth of a spell.
				age = max(age, spellTime/5)
				next.count = last.count + 1
				weight := min(1-math.Exp(-float64(age)/float64(statedTime)), max(maxFigureWeight, 1/next.count))
				next.mean = last.mean + weight*(value-last.mean)
			}
		}
		if m.stated.CompareAndSwap(last, next) {
			break
		}
	}
	if g := m.group.Load(); g != nil {
		g.markStated(now)
	}
}

// RecordEvents records the mean time between some events of a stream, at the given number of other
// requests.
func (m *Member) RecordEvents(load int, gap time.Duration, now knapweedpulley.Instant) {
	m.record(eventKind, load, gap, EventTime+time.Duration(load)*eventLoadTime, now)
}

// RecordResponse records the time of a whole response, at the given number of other requests.
func (m *Member) RecordResponse(load int, took time.Duration, now knapweedpulley.Instant) {
	m.record(responseKind, load, took, responseTime+time.Duration(load)*responseLoadTime, now)
}

func (m *Member) record(kind, load int, took, usual time.Duration, now knapweedpulley.Instant) {
	g := m.group.Load()
	if g == nil || !g.Active(now) {
		return
	}
	i := kind*bands + bandOf(load)
	ratio := math.Log(max(float64(took), float64(time.Millisecond)) / float64(usual) / m.base(g.reference.Load(), now, false))
	m.update(now, func(l *learned) {
		c := &l.cells[i]
		// Streams that run beside each other show the same spell.
		weight := min(max(float64(now.Sub(l.sampledAt))/float64(spellTime), minSampleWeight), 1)
		l.sampledAt = now
		c.weight += weight
		c.mean += (ratio - c.mean) * weight / c.weight
	})
	m.judgeSample(g, i, ratio, now)
	g.compare(now)
}

// RecordOutcome records whether a request at the endpoint failed.
func (m *Member) RecordOutcome(failed bool, now knapweedpulley.Instant) {
	g := m.group.Load()
	if g == nil || !g.Active(now) {
		return
	}
	m.update(now, func(l *learned) {
		l.ended++
		if failed {
			l.failed++
		}
	})
	m.judgeOutcome(g, failed, now)
	g.compare(now)
}

// update replaces what is learned by what change makes of it.
func (m *Member) update(now knapweedpulley.Instant, change func(*learned)) {
	for {
		last := m.learned.Load()
		next := last.decayed(now)
		change(&next)
		if m.learned.CompareAndSwap(last, &next) {
			return
		}
	}
}

// Pace returns the pace that is expected at the endpoint now, in relation to the usual one.
func (m *Member) Pace(now knapweedpulley.Instant) knapweedpulley.Pace {
	return m.expected(now, true)
}

// LongPace returns the pace that is expected over several seconds.
func (m *Member) LongPace(now knapweedpulley.Instant) knapweedpulley.Pace {
	return m.expected(now, false)
}

func (m *Member) expected(now knapweedpulley.Instant, spells bool) knapweedpulley.Pace {
	g := m.group.Load()
	if g == nil {
		return 1
	}
	r := g.reference.Load()
	p := m.base(r, now, spells)
	if r != nil && now.Sub(r.at) < learnedTerm {
		p *= m.currentDeviation()
	}
	return knapweedpulley.Pace(bounded(p * m.exclusion.Load().returnFactor(now)))
}

// Failures estimates the share of requests that fail. It decays if no more requests end.
func (m *Member) Failures(now knapweedpulley.Instant) float64 {
	l := m.learned.Load()
	if l == nil {
		return 0
	}
	left := 1 / (1 + float64(max(0, now.Sub(l.at)))/float64(failureTime))
	return l.failed * left / (l.ended*left + priorOutcomes)
}

// base returns the stated pace, or what is left of it and that of the peers. With spells, the last
// figure counts beside the mean.
func (m *Member) base(r *reference, now knapweedpulley.Instant, spells bool) float64 {
	peers := 1.0
	if r != nil && now.Sub(r.at) < learnedTerm {
		peers = r.stated
	}
	s := m.stated.Load()
	if s == nil {
		return peers
	}
	age := max(0, now.Sub(s.at))
	if age >= statedTerm {
		return peers
	}
	p := s.mean
	if spells && age < spellTime {
		p += (s.last - s.mean) * (1 - float64(age)/float64(spellTime))
	}
	if left := 2 * (1 - float64(age)/float64(statedTerm)); left < 1 {
		p = peers + (p-peers)*left
	}
	return p
}

func (m *Member) currentDeviation() float64 {
	if d := math.Float64frombits(m.deviation.Load()); d > 0 {
		return d
	}
	return 1
}

func bounded(p float64) float64 {
	if math.IsNaN(p) {
		return 1
	}
	return min(max(p, minPace), maxPace)
}
