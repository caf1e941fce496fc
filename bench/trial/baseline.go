package trial

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

// residentUsage is what a baseline policy records about a resident.
type residentUsage struct {
	id       knapweedpulley.Resident
	size     knapweedpulley.Bytes
	running  int
	lastUsed knapweedpulley.Instant
	loaded   bool
	loadTime time.Duration
}

// baseline implements knapweedpulley.EvictionPolicy: a fixed time after which idle
// models are unloaded, and eviction of the least recently used.
type baseline struct {
	// keepAlive is zero if models are never unloaded.
	keepAlive time.Duration
	mu        sync.Mutex
	residents map[knapweedpulley.Resident]*residentUsage
}

func newBaseline(keepAlive time.Duration) *baseline {
	return &baseline{keepAlive: keepAlive, residents: make(map[knapweedpulley.Resident]*residentUsage)}
}

func (b *baseline) get(id knapweedpulley.Resident) *residentUsage {
	u, ok := b.residents[id]
	if !ok {
		u = &residentUsage{id: id}
		b.residents[id] = u
	}
	return u
}

// Loaded implements knapweedpulley.EvictionPolicy.
func (b *baseline) Loaded(
	id knapweedpulley.Resident, size knapweedpulley.Bytes, took time.Duration, now knapweedpulley.Instant,
) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.get(id)
	u.size, u.loaded, u.lastUsed, u.loadTime = size, true, now, took
}

// Unloaded implements knapweedpulley.EvictionPolicy.
func (b *baseline) Unloaded(id knapweedpulley.Resident, _ knapweedpulley.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, u := range b.residents {
		if u.id == id || (id.Adapter == "" && u.id.Model == id.Model) {
			u.loaded = false
		}
	}
}

// RequestArrived implements knapweedpulley.EvictionPolicy.
func (b *baseline) RequestArrived(id knapweedpulley.Resident, _ knapweedpulley.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.get(id).running++
}

// RequestEnded implements knapweedpulley.EvictionPolicy.
func (b *baseline) RequestEnded(id knapweedpulley.Resident, now knapweedpulley.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.get(id)
	u.running--
	u.lastUsed = now
}

// Expired implements knapweedpulley.EvictionPolicy.
func (b *baseline) Expired(
	held knapweedpulley.Set[knapweedpulley.Resident], now knapweedpulley.Instant,
) ([]knapweedpulley.Resident, time.Duration) {
	if b.keepAlive == 0 {
		return nil, time.Minute
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []knapweedpulley.Resident
	for _, u := range b.idle(held) {
		if now.Sub(u.lastUsed) >= b.keepAlive {
			list = append(list, u.id)
		}
	}
	return list, time.Second
}

// EvictionCandidates implements knapweedpulley.EvictionPolicy.
func (b *baseline) EvictionCandidates(
	need knapweedpulley.Bytes, held knapweedpulley.Set[knapweedpulley.Resident], _ knapweedpulley.Instant,
) []knapweedpulley.Resident {
	b.mu.Lock()
	defer b.mu.Unlock()
	idle := b.idle(held)
	slices.SortStableFunc(idle, func(a, b *residentUsage) int { return cmp.Compare(a.lastUsed, b.lastUsed) })
	return selectVictims(idle, need)
}

// selectVictims returns models from the start of a list until need is reached.
func selectVictims(list []*residentUsage, need knapweedpulley.Bytes) []knapweedpulley.Resident {
	var victims []knapweedpulley.Resident
	var freed knapweedpulley.Bytes
	for _, u := range list {
		if u.id.Adapter != "" {
			continue
		}
		victims = append(victims, u.id)
		if freed += u.size; freed >= need {
			return victims
		}
	}
	return nil
}

// idle returns the loaded residents without requests, in a fixed order.
func (b *baseline) idle(held knapweedpulley.Set[knapweedpulley.Resident]) []*residentUsage {
	busy := knapweedpulley.NewSet[knapweedpulley.ModelID]()
	for _, u := range b.residents {
		if u.running > 0 {
			busy.Add(u.id.Model)
		}
	}
	var list []*residentUsage
	for _, u := range b.residents {
		if u.loaded && u.running == 0 && !held.Has(u.id) && (u.id.Adapter != "" || !busy.Has(u.id.Model)) {
			list = append(list, u)
		}
	}
	slices.SortFunc(list, func(a, b *residentUsage) int {
		return cmp.Or(strings.Compare(string(a.id.Model), string(b.id.Model)),
			strings.Compare(string(a.id.Adapter), string(b.id.Adapter)))
	})
	return list
}

// leastLoaded implements knapweedpulley.LoadPolicy: the endpoint with the fewest
// requests, and of those the one with the most free memory, wherever the
// checkpoint is.
type leastLoaded struct {
	endpoints knapweedpulley.Endpoints
}

// Rank implements knapweedpulley.LoadPolicy.
func (l leastLoaded) Rank(
	w knapweedpulley.LoadRequest, c knapweedpulley.Checkpoint, endpoints []knapweedpulley.EndpointStatus,
) []knapweedpulley.LoadOption {
	list := slices.Clone(endpoints)
	slices.SortStableFunc(list, func(a, b knapweedpulley.EndpointStatus) int {
		return cmp.Or(
			cmp.Compare(l.endpoints.Load(a.Endpoint), l.endpoints.Load(b.Endpoint)),
			cmp.Compare(b.FreeMemory, a.FreeMemory),
		)
	})
	var options []knapweedpulley.LoadOption
	for _, s := range list {
		if s.Draining || s.Engine.Memory < c.Size {
			continue
		}
		tier := knapweedpulley.TierRemote
		for _, x := range s.Engine.Cached {
			if x.Model == w.Model {
				tier = x.Tier
			}
		}
		options = append(options, knapweedpulley.LoadOption{Endpoint: s.Endpoint, Tier: tier})
	}
	return options
}
