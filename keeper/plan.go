package keeper

import (
	"github.com/knapweedpulley/knapweedpulley"
)

// usage is how all gateways together use a model or adapter.
type usage struct {
	active  int
	rate    float64
	holders int
	// spare is set if all gateways that tell of the model call it spare.
	spare bool
}

func (k *Keeper) usageOf(w knapweedpulley.Resident) usage {
	u := usage{}
	told := 0
	spare := 0
	for s := range k.sessions {
		d, known := s.demands[w]
		if !known {
			continue
		}
		told++
		u.active += d.Active
		u.rate += d.Rate
		u.holders = max(u.holders, d.Holders)
		if d.Spare {
			spare++
		}
	}
	u.spare = told > 0 && spare == told
	return u
}

func (k *Keeper) usage(model knapweedpulley.ModelID) usage {
	return k.usageOf(knapweedpulley.Resident{Model: model})
}

// fresh reports whether a model was loaded so lately that the requests that
// waited for it may not be counted yet.
func (k *Keeper) fresh(model knapweedpulley.ModelID, now knapweedpulley.Instant) bool {
	since, known := k.loaded[model]
	return known && now.Sub(since) < settle
}

// free returns the memory that no model or adapter takes or may take.
func (k *Keeper) free() knapweedpulley.Bytes {
	free := k.spec.Memory
	loading := k.loading
	for _, m := range k.reading.Models {
		spec := k.spec.Models[m.Model]
		free -= spec.Size + knapweedpulley.Bytes(len(m.Adapters))*spec.AdapterSize
		if loading != nil && loading.Model == m.Model {
			loading = nil
		}
	}
	if loading != nil {
		free -= k.spec.Models[loading.Model].Size
	}
	return free
}

// next returns the order that is due, if any.
func (k *Keeper) next() (knapweedpulley.EngineOrder, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.spec == nil || k.endpoint == "" {
		return knapweedpulley.EngineOrder{}, false
	}
	// Adapters come first: they take some milliseconds, but none is taken while
	// a model is loaded.
	for _, adapters := range []bool{true, false} {
		for _, w := range k.wishes {
			if (w.Adapter != "") != adapters {
				continue
			}
			if o, due := k.orderFor(w.Resident); due {
				return o, true
			}
		}
	}
	return knapweedpulley.EngineOrder{}, false
}

// orderFor returns the next order on the way to a wish, if one can be given.
func (k *Keeper) orderFor(w knapweedpulley.Resident) (knapweedpulley.EngineOrder, bool) {
	if k.reading.Busy || k.loading != nil {
		return knapweedpulley.EngineOrder{}, false
	}
	if w.Adapter != "" && knapweedpulley.Holds(k.reading.Models, knapweedpulley.Resident{Model: w.Model}) {
		return k.orderAdapter(w)
	}
	spec, known := k.spec.Models[w.Model]
	if !known {
		return knapweedpulley.EngineOrder{}, false
	}
	if k.free() >= spec.Size {
		return k.order(knapweedpulley.OrderLoadModel, knapweedpulley.Resident{Model: w.Model}), true
	}
	victim, found := k.leastUsed()
	if !found {
		return knapweedpulley.EngineOrder{}, false
	}
	return k.order(knapweedpulley.OrderUnloadModel, knapweedpulley.Resident{Model: victim}), true
}

// orderAdapter makes room for an adapter, or loads it.
func (k *Keeper) orderAdapter(w knapweedpulley.Resident) (knapweedpulley.EngineOrder, bool) {
	count := 0
	var victim knapweedpulley.Option[knapweedpulley.Resident]
	least := 0.0
	for _, m := range k.reading.Models {
		count += len(m.Adapters)
		for _, a := range m.Adapters {
			r := knapweedpulley.Resident{Model: m.Model, Adapter: a.Adapter}
			if r == w {
				// It is on its way.
				return knapweedpulley.EngineOrder{}, false
			}
			u := k.usageOf(r)
			if u.active > 0 || a.State != knapweedpulley.StateLoaded {
				continue
			}
			if _, found := victim.Get(); !found || u.rate < least {
				victim, least = knapweedpulley.Some(r), u.rate
			}
		}
	}
	if count < k.spec.AdapterSlots && k.free() >= k.spec.Models[w.Model].AdapterSize {
		return k.order(knapweedpulley.OrderLoadAdapter, w), true
	}
	if r, found := victim.Get(); found {
		return k.order(knapweedpulley.OrderUnloadAdapter, r), true
	}
	return knapweedpulley.EngineOrder{}, false
}

// leastUsed returns the model that is missed least: first those that other
// endpoints hold as well, then those that are asked for least.
func (k *Keeper) leastUsed() (knapweedpulley.ModelID, bool) {
	now := k.clock.Now()
	var victim knapweedpulley.ModelID
	var least usage
	for _, m := range k.reading.Models {
		u := k.usage(m.Model)
		if u.active > 0 || k.fresh(m.Model, now) || k.wished(m.Model) {
			continue
		}
		if victim == "" || before(u, least) {
			victim, least = m.Model, u
		}
	}
	return victim, victim != ""
}

func (k *Keeper) wished(model knapweedpulley.ModelID) bool {
	for _, w := range k.wishes {
		if w.Model == model {
			return true
		}
	}
	return false
}

// before reports whether u is unloaded before v.
func before(u, v usage) bool {
	if u.spare != v.spare {
		return u.spare
	}
	return u.rate/float64(max(1, u.holders)) < v.rate/float64(max(1, v.holders))
}

func (k *Keeper) order(kind knapweedpulley.OrderKind, w knapweedpulley.Resident) knapweedpulley.EngineOrder {
	return knapweedpulley.EngineOrder{
		Kind: kind, Resident: w, Endpoint: k.endpoint, Sequence: k.reading.Sequence,
		// The keeper is the only one that orders the engine, so that one token
		// for each run of the engine is enough. It stays when the keeper itself
		// is started anew.
		Token: knapweedpulley.FencingToken(k.reading.Start),
	}
}
