package model

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// waitCostFactor is the cost of a request that waits one second for a load, in
	// seconds of a whole accelerator.
	waitCostFactor = 60
	// priorWeight is the weight of the histogram of all models in that of one model,
	// as a number of gaps.
	priorWeight = 4
	// evictionHorizon is the time over which the probability of a miss after an
	// eviction is estimated.
	evictionHorizon = 5 * time.Minute
	// loadTimeGain is the weight of a new load in the average load time.
	loadTimeGain = 0.5
	// minCheckInterval and maxCheckInterval bound the time until the next call of
	// Expired.
	minCheckInterval = time.Second
	maxCheckInterval = time.Minute
)

// residentState is the state of a model or adapter.
type residentState struct {
	id      knapweedpulley.Resident
	size    knapweedpulley.Bytes
	loaded  bool
	running int
	// idleSince is when the last request ended or, before the first request, when the
	// load did.
	idleSince knapweedpulley.Instant
	// requested is set once a request has arrived.
	requested bool
	// loadTime is the moving average of the duration of a load.
	loadTime  time.Duration
	idleTimes *IdleHistogram
}

// EvictionPolicy implements knapweedpulley.EvictionPolicy for one endpoint. It compares the
// cost of holding an idle model with the expected cost of a miss, whose probability
// it derives from the gaps between the model's requests.
type EvictionPolicy struct {
	engineMemory   knapweedpulley.Bytes
	waitCostFactor float64
	mu             sync.Mutex
	residents      map[knapweedpulley.Resident]*residentState
	// prior is the histogram of the gaps of all models.
	prior *IdleHistogram
}

// NewEvictionPolicy returns the policy for an engine with the given memory.
func NewEvictionPolicy(memory knapweedpulley.Bytes) *EvictionPolicy {
	return &EvictionPolicy{
		engineMemory:   memory,
		waitCostFactor: waitCostFactor,
		residents:      make(map[knapweedpulley.Resident]*residentState),
		prior:          newPrior(),
	}
}

// Loaded implements knapweedpulley.EvictionPolicy.
func (p *EvictionPolicy) Loaded(
	id knapweedpulley.Resident, size knapweedpulley.Bytes, took time.Duration, now knapweedpulley.Instant,
) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.getOrCreate(id)
	if r.loadTime == 0 {
		r.loadTime = took
	}
	r.loadTime += time.Duration(loadTimeGain * float64(took-r.loadTime))
	r.size = size
	r.loaded = true
	if !r.requested {
		r.idleSince = now
	}
}

// Unloaded implements knapweedpulley.EvictionPolicy.
func (p *EvictionPolicy) Unloaded(id knapweedpulley.Resident, _ knapweedpulley.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.getOrCreate(id).loaded = false
	if id.Adapter != "" {
		return
	}
	for _, r := range p.residents {
		if r.id.Model == id.Model {
			r.loaded = false
		}
	}
}

// RequestArrived implements knapweedpulley.EvictionPolicy.
func (p *EvictionPolicy) RequestArrived(id knapweedpulley.Resident, now knapweedpulley.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.getOrCreate(id)
	if r.running == 0 && r.requested {
		gap := now.Sub(r.idleSince)
		r.idleTimes.Add(gap)
		p.prior.Add(gap)
	}
	r.requested = true
	r.running++
}

// RequestEnded implements knapweedpulley.EvictionPolicy.
func (p *EvictionPolicy) RequestEnded(id knapweedpulley.Resident, now knapweedpulley.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.getOrCreate(id)
	r.running = max(r.running-1, 0)
	r.idleSince = now
}

// Expired implements knapweedpulley.EvictionPolicy.
func (p *EvictionPolicy) Expired(
	held knapweedpulley.Set[knapweedpulley.Resident], now knapweedpulley.Instant,
) ([]knapweedpulley.Resident, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []knapweedpulley.Resident
	next := maxCheckInterval
	for _, r := range p.idleResidents(held) {
		left := p.keepAlive(r) - now.Sub(r.idleSince)
		if left <= 0 {
			list = append(list, r.id)
			continue
		}
		next = min(next, left)
	}
	return list, max(next, minCheckInterval)
}

// EvictionCandidates implements knapweedpulley.EvictionPolicy.
func (p *EvictionPolicy) EvictionCandidates(
	need knapweedpulley.Bytes, held knapweedpulley.Set[knapweedpulley.Resident], now knapweedpulley.Instant,
) []knapweedpulley.Resident {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.rankCandidates(p.idleResidents(held), now)
	var freedSum knapweedpulley.Bytes
	for i, v := range list {
		if freedSum += v.freedMemory; freedSum >= need {
			return trimSurplus(list[:i+1], freedSum-need)
		}
	}
	return nil
}

// evictionCandidate is an idle resident that may be evicted.
type evictionCandidate struct {
	id          knapweedpulley.Resident
	freedMemory knapweedpulley.Bytes
	// costPerByte is the expected load time after a miss, in seconds per byte freed.
	costPerByte float64
}

// rankCandidates orders idle residents by the expected cost of evicting them, lowest
// cost per byte first.
func (p *EvictionPolicy) rankCandidates(idle []*residentState, now knapweedpulley.Instant) []evictionCandidate {
	var list []evictionCandidate
	for _, r := range idle {
		frees := r.size
		if r.id.Adapter == "" {
			frees = p.footprint(r.id.Model)
		}
		chance := r.idleTimes.Probability(p.prior, priorWeight, now.Sub(r.idleSince), evictionHorizon)
		value := chance * r.loadTime.Seconds() / float64(max(frees, 1))
		list = append(list, evictionCandidate{id: r.id, freedMemory: frees, costPerByte: value})
	}
	slices.SortFunc(list, func(a, b evictionCandidate) int {
		return cmp.Or(cmp.Compare(a.costPerByte, b.costPerByte), compareResidents(a.id, b.id))
	})
	return dropCoveredAdapters(list)
}

// dropCoveredAdapters removes the adapters of models that precede them in the list,
// since they are unloaded with the model. A model that follows its adapters counts
// their memory as well, so the error is that too much is freed, never too little.
func dropCoveredAdapters(list []evictionCandidate) []evictionCandidate {
	models := knapweedpulley.NewSet[knapweedpulley.ModelID]()
	return slices.DeleteFunc(list, func(v evictionCandidate) bool {
		if v.id.Adapter == "" {
			models.Add(v.id.Model)
			return false
		}
		return models.Has(v.id.Model)
	})
}

// trimSurplus drops the most costly candidates that aren't needed, within a surplus of
// freed memory.
func trimSurplus(list []evictionCandidate, surplus knapweedpulley.Bytes) []knapweedpulley.Resident {
	var ids []knapweedpulley.Resident
	for i := len(list) - 1; i >= 0; i-- {
		if list[i].freedMemory <= surplus {
			surplus -= list[i].freedMemory
			continue
		}
		ids = append(ids, list[i].id)
	}
	slices.Reverse(ids)
	return ids
}

// idleResidents returns the loaded residents that have no requests and are not in
// held, in a fixed order. A model is in use as long as one of its adapters is.
func (p *EvictionPolicy) idleResidents(held knapweedpulley.Set[knapweedpulley.Resident]) []*residentState {
	busy := knapweedpulley.NewSet[knapweedpulley.ModelID]()
	for _, r := range p.residents {
		if r.running > 0 {
			busy.Add(r.id.Model)
		}
	}
	for h := range held {
		busy.Add(h.Model)
	}
	var list []*residentState
	for _, r := range p.residents {
		blocked := held.Has(r.id) || r.running > 0
		if r.id.Adapter == "" {
			blocked = busy.Has(r.id.Model)
		}
		if r.loaded && !blocked {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *residentState) int { return compareResidents(a.id, b.id) })
	return list
}

// keepAlive returns how long an idle resident stays loaded.
func (p *EvictionPolicy) keepAlive(r *residentState) time.Duration {
	hold := float64(r.size) / float64(max(p.engineMemory, 1))
	return r.idleTimes.KeepAlive(p.prior, priorWeight, hold, p.waitCostFactor*r.loadTime.Seconds())
}

// footprint returns the memory that a model and its loaded adapters occupy.
func (p *EvictionPolicy) footprint(model knapweedpulley.ModelID) knapweedpulley.Bytes {
	var sum knapweedpulley.Bytes
	for _, r := range p.residents {
		if r.loaded && r.id.Model == model {
			sum += r.size
		}
	}
	return sum
}

func (p *EvictionPolicy) getOrCreate(id knapweedpulley.Resident) *residentState {
	r, ok := p.residents[id]
	if !ok {
		r = &residentState{id: id, idleTimes: NewIdleHistogram()}
		p.residents[id] = r
	}
	return r
}

func compareResidents(a, b knapweedpulley.Resident) int {
	return cmp.Or(
		strings.Compare(string(a.Model), string(b.Model)),
		strings.Compare(string(a.Adapter), string(b.Adapter)),
	)
}
