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
	// waitPrice is how many seconds of an accelerator a second is worth that a
	// request doesn't wait for a load.
	waitPrice = 60
	// priorWeight is the number of gaps that the gaps of all models count for
	// in the history of one.
	priorWeight = 4
	// evictionHorizon is the time for which a victim is expected to be missed.
	evictionHorizon = 5 * time.Minute
	// costGain is the weight of a new load in the average duration.
	costGain = 0.5
	// askFloor and askCeiling bound the time until the next look for idle
	// models.
	askFloor   = time.Second
	askCeiling = time.Minute
)

// resident is what a keeper knows of a model or adapter.
type resident struct {
	id      knapweedpulley.Resident
	size    knapweedpulley.Bytes
	loaded  bool
	running int
	// idle is when the last request ended or the load did.
	idle knapweedpulley.Instant
	// seen is set once a request has come.
	seen bool
	// cost is the average duration of a load.
	cost    time.Duration
	history *History
}

// Keeper implements knapweedpulley.IdlePolicy for one endpoint. It weighs what
// it costs to hold an idle model against how likely and how costly a miss is,
// from the gaps between the requests of each model.
type Keeper struct {
	memory knapweedpulley.Bytes
	price  float64
	mu     sync.Mutex
	all    map[knapweedpulley.Resident]*resident
	// prior holds the gaps of all models.
	prior *History
}

// NewKeeper returns a keeper of an engine's memory.
func NewKeeper(memory knapweedpulley.Bytes) *Keeper {
	return &Keeper{
		memory: memory,
		price:  waitPrice,
		all:    make(map[knapweedpulley.Resident]*resident),
		prior:  newPrior(),
	}
}

// Loaded implements knapweedpulley.IdlePolicy.
func (k *Keeper) Loaded(
	id knapweedpulley.Resident, size knapweedpulley.Bytes, took time.Duration, now knapweedpulley.Instant,
) {
	k.mu.Lock()
	defer k.mu.Unlock()
	r := k.get(id)
	if r.cost == 0 {
		r.cost = took
	}
	r.cost += time.Duration(costGain * float64(took-r.cost))
	r.size = size
	r.loaded = true
	if !r.seen {
		r.idle = now
	}
}

// Unloaded implements knapweedpulley.IdlePolicy.
func (k *Keeper) Unloaded(id knapweedpulley.Resident, _ knapweedpulley.Instant) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.get(id).loaded = false
	if id.Adapter != "" {
		return
	}
	for _, r := range k.all {
		if r.id.Model == id.Model {
			r.loaded = false
		}
	}
}

// RequestArrived implements knapweedpulley.IdlePolicy.
func (k *Keeper) RequestArrived(id knapweedpulley.Resident, now knapweedpulley.Instant) {
	k.mu.Lock()
	defer k.mu.Unlock()
	r := k.get(id)
	if r.running == 0 && r.seen {
		gap := now.Sub(r.idle)
		r.history.Add(gap)
		k.prior.Add(gap)
	}
	r.seen = true
	r.running++
}

// RequestEnded implements knapweedpulley.IdlePolicy.
func (k *Keeper) RequestEnded(id knapweedpulley.Resident, now knapweedpulley.Instant) {
	k.mu.Lock()
	defer k.mu.Unlock()
	r := k.get(id)
	r.running = max(r.running-1, 0)
	r.idle = now
}

// Expired implements knapweedpulley.IdlePolicy.
func (k *Keeper) Expired(
	held knapweedpulley.Set[knapweedpulley.Resident], now knapweedpulley.Instant,
) ([]knapweedpulley.Resident, time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []knapweedpulley.Resident
	next := askCeiling
	for _, r := range k.idle(held) {
		left := k.keep(r) - now.Sub(r.idle)
		if left <= 0 {
			list = append(list, r.id)
			continue
		}
		next = min(next, left)
	}
	return list, max(next, askFloor)
}

// EvictionCandidates implements knapweedpulley.IdlePolicy.
func (k *Keeper) EvictionCandidates(
	need knapweedpulley.Bytes, held knapweedpulley.Set[knapweedpulley.Resident], now knapweedpulley.Instant,
) []knapweedpulley.Resident {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := k.victims(k.idle(held), now)
	var freed knapweedpulley.Bytes
	for i, v := range list {
		if freed += v.frees; freed >= need {
			return spareVictims(list[:i+1], freed-need)
		}
	}
	return nil
}

// victim is a resident that could be unloaded.
type victim struct {
	id    knapweedpulley.Resident
	frees knapweedpulley.Bytes
	// value is the expected cost of missing it, by byte.
	value float64
}

// victims orders residents by what is lost with a byte of them.
func (k *Keeper) victims(idle []*resident, now knapweedpulley.Instant) []victim {
	var list []victim
	for _, r := range idle {
		frees := r.size
		if r.id.Adapter == "" {
			frees = k.footprint(r.id.Model)
		}
		chance := r.history.Chance(k.prior, priorWeight, now.Sub(r.idle), evictionHorizon)
		value := chance * r.cost.Seconds() / float64(max(frees, 1))
		list = append(list, victim{id: r.id, frees: frees, value: value})
	}
	slices.SortFunc(list, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.value, b.value), compareResidents(a.id, b.id))
	})
	return withoutCovered(list)
}

// withoutCovered drops the adapters of models that come before them, since they
// leave with the model. A model that comes later frees its adapters as well, so
// that at most too much is freed.
func withoutCovered(list []victim) []victim {
	models := knapweedpulley.NewSet[knapweedpulley.ModelID]()
	return slices.DeleteFunc(list, func(v victim) bool {
		if v.id.Adapter == "" {
			models.Add(v.id.Model)
			return false
		}
		return models.Has(v.id.Model)
	})
}

// spareVictims drops the most valuable victims that aren't needed.
func spareVictims(list []victim, surplus knapweedpulley.Bytes) []knapweedpulley.Resident {
	var ids []knapweedpulley.Resident
	for i := len(list) - 1; i >= 0; i-- {
		if list[i].frees <= surplus {
			surplus -= list[i].frees
			continue
		}
		ids = append(ids, list[i].id)
	}
	slices.Reverse(ids)
	return ids
}

// idle returns the loaded residents without requests outside held, in a fixed
// order. A model is held as long as one of its adapters is.
func (k *Keeper) idle(held knapweedpulley.Set[knapweedpulley.Resident]) []*resident {
	busy := knapweedpulley.NewSet[knapweedpulley.ModelID]()
	for _, r := range k.all {
		if r.running > 0 {
			busy.Add(r.id.Model)
		}
	}
	for h := range held {
		busy.Add(h.Model)
	}
	var list []*resident
	for _, r := range k.all {
		blocked := held.Has(r.id) || r.running > 0
		if r.id.Adapter == "" {
			blocked = busy.Has(r.id.Model)
		}
		if r.loaded && !blocked {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *resident) int { return compareResidents(a.id, b.id) })
	return list
}

// keep returns how long an idle resident is held.
func (k *Keeper) keep(r *resident) time.Duration {
	hold := float64(r.size) / float64(max(k.memory, 1))
	return r.history.Keep(k.prior, priorWeight, hold, k.price*r.cost.Seconds())
}

// footprint returns the memory of a model and its loaded adapters.
func (k *Keeper) footprint(model knapweedpulley.ModelID) knapweedpulley.Bytes {
	var sum knapweedpulley.Bytes
	for _, r := range k.all {
		if r.loaded && r.id.Model == model {
			sum += r.size
		}
	}
	return sum
}

func (k *Keeper) get(id knapweedpulley.Resident) *resident {
	r, ok := k.all[id]
	if !ok {
		r = &resident{id: id, history: NewHistory()}
		k.all[id] = r
	}
	return r
}

func compareResidents(a, b knapweedpulley.Resident) int {
	return cmp.Or(
		strings.Compare(string(a.Model), string(b.Model)),
		strings.Compare(string(a.Adapter), string(b.Adapter)),
	)
}
