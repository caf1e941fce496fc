package keeper

import (
	"slices"

	"github.com/knapweedpulley/knapweedpulley"
)

// usage is the demand of all gateways together for a model or adapter.
type usage struct {
	// active counts the requests at the engine or on their way to it.
	active int
	// rate is the number of requests per second, at any endpoint.
	rate float64
	// holders counts the endpoints that hold the model.
	holders int
	// spare is set if all gateways that report the model mark it as spare.
	spare bool
}

// residentUsage returns the combined demand of all gateways for a model or
// adapter.
func (k *Keeper) residentUsage(resident knapweedpulley.Resident) usage {
	u := usage{}
	reporting := 0
	spare := 0
	for _, sessions := range []knapweedpulley.Set[*session]{k.sessions, k.lostSessions} {
		for s := range sessions {
			d, known := s.demands[resident]
			if !known {
				continue
			}
			reporting++
			u.active += d.Active
			u.rate += d.Rate
			u.holders = max(u.holders, d.Holders)
			if d.Redundant {
				spare++
			}
		}
	}
	u.spare = reporting > 0 && spare == reporting
	return u
}

func (k *Keeper) usage(model knapweedpulley.ModelID) usage {
	return k.residentUsage(knapweedpulley.Resident{Model: model})
}

// recentlyLoaded reports whether a model was loaded less than minResidency ago.
// The requests that waited for it may not be counted yet.
func (k *Keeper) recentlyLoaded(model knapweedpulley.ModelID, now knapweedpulley.Instant) bool {
	since, known := k.loadedAt[model]
	return known && now.Sub(since) < minResidency
}

// freeMemory returns the engine's memory less that of the models and adapters
// that the engine reports. It also subtracts the model load in progress if the
// engine does not report that model yet.
func (k *Keeper) freeMemory() knapweedpulley.Bytes {
	freeMemory := k.spec.Memory
	loading := k.loading
	for _, m := range k.reading.Models {
		spec := k.spec.Models[m.Model]
		freeMemory -= spec.Size + knapweedpulley.Bytes(len(m.Adapters))*spec.AdapterSize
		if loading != nil && loading.Model == m.Model {
			loading = nil
		}
	}
	if loading != nil {
		freeMemory -= k.spec.Models[loading.Model].Size
	}
	return freeMemory
}

// reserve returns the room to keep for late orders when a model or adapter is loaded next.
func (k *Keeper) reserve(next knapweedpulley.Resident) reservation {
	return k.lateOrders.reserve(k.reading, k.spec, next)
}

// mayUnload reports whether all late orders fit that can be carried out after a model or adapter has
// been unloaded. Unloads count as orders too, and make way for the late ones that follow them.
func (k *Keeper) mayUnload(victim knapweedpulley.Resident) bool {
	after := *k.reading
	after.Models = nil
	spec := k.spec.Models[victim.Model]
	free, adapters := k.freeMemory(), 0
	for _, m := range k.reading.Models {
		kept := len(m.Adapters)
		switch {
		case m.Model != victim.Model:
		case victim.Adapter == "":
			free += spec.Size + knapweedpulley.Bytes(kept)*spec.AdapterSize
			continue
		default:
			m.Adapters = slices.DeleteFunc(slices.Clone(m.Adapters), func(a knapweedpulley.LoadedAdapter) bool { return a.Adapter == victim.Adapter })
			free += knapweedpulley.Bytes(kept-len(m.Adapters)) * spec.AdapterSize
		}
		adapters += len(m.Adapters)
		after.Models = append(after.Models, m)
	}
	late := k.lateOrders.reserveNamed(&after, k.spec, knapweedpulley.Resident{})
	return late == (reservation{}) || (late.memory <= free && adapters+late.slots <= k.spec.AdapterSlots)
}

// nextOrder returns the next order to issue, and false if there is none.
func (k *Keeper) nextOrder() (knapweedpulley.EngineOrder, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.spec == nil || k.endpoint == "" {
		return knapweedpulley.EngineOrder{}, false
	}
	// Adapters come first: an adapter loads within some milliseconds, but the
	// engine accepts none while it loads a model.
	for _, adapters := range []bool{true, false} {
		for _, r := range k.queue {
			if (r.Adapter != "") != adapters {
				continue
			}
			if o, due := k.orderFor(r.Resident); due {
				return o, true
			}
		}
	}
	return knapweedpulley.EngineOrder{}, false
}

// orderFor returns the next order towards loading a model or adapter: the load
// itself, or an unload that frees memory or an adapter slot. It returns false if none can be issued.
func (k *Keeper) orderFor(resident knapweedpulley.Resident) (knapweedpulley.EngineOrder, bool) {
	if k.reading.Busy || k.loading != nil {
		return knapweedpulley.EngineOrder{}, false
	}
	if resident.Adapter != "" && knapweedpulley.Holds(k.reading.Models, knapweedpulley.Resident{Model: resident.Model}) {
		return k.orderForAdapter(resident)
	}
	spec, known := k.spec.Models[resident.Model]
	if !known {
		return knapweedpulley.EngineOrder{}, false
	}
	model := knapweedpulley.Resident{Model: resident.Model}
	reserved := k.reserve(model)
	if k.adapterSlotsShort(reserved) {
		// Any order may be the last one before a late order for an adapter is carried out.
		return k.unloadIdleAdapter()
	}
	if k.freeMemory()-reserved.memory >= spec.Size {
		return k.newOrder(knapweedpulley.OrderLoadModel, model), true
	}
	victim, found := k.evictionCandidate()
	if !found || !k.mayUnload(knapweedpulley.Resident{Model: victim}) {
		return knapweedpulley.EngineOrder{}, false
	}
	return k.newOrder(knapweedpulley.OrderUnloadModel, knapweedpulley.Resident{Model: victim}), true
}

// orderForAdapter returns the order that loads an adapter or, if memory or
// adapter slots are used up, unloads another one.
func (k *Keeper) orderForAdapter(resident knapweedpulley.Resident) (knapweedpulley.EngineOrder, bool) {
	for _, m := range k.reading.Models {
		if m.Model == resident.Model && slices.ContainsFunc(m.Adapters, func(a knapweedpulley.LoadedAdapter) bool { return a.Adapter == resident.Adapter }) {
			// The adapter is already being loaded.
			return knapweedpulley.EngineOrder{}, false
		}
	}
	reserved := k.reserve(resident)
	if k.adapterCount()+reserved.slots < k.spec.AdapterSlots &&
		k.freeMemory()-reserved.memory >= k.spec.Models[resident.Model].AdapterSize {
		return k.newOrder(knapweedpulley.OrderLoadAdapter, resident), true
	}
	return k.unloadIdleAdapter()
}

// unloadIdleAdapter returns the order that unloads the idle adapter with the lowest request
// rate. It returns false if there is none that may be unloaded.
func (k *Keeper) unloadIdleAdapter() (knapweedpulley.EngineOrder, bool) {
	var victim knapweedpulley.Option[knapweedpulley.Resident]
	least := 0.0
	for _, m := range k.reading.Models {
		for _, a := range m.Adapters {
			r := knapweedpulley.Resident{Model: m.Model, Adapter: a.Adapter}
			u := k.residentUsage(r)
			if u.active > 0 || a.State != knapweedpulley.StateLoaded {
				continue
			}
			if _, found := victim.Get(); !found || u.rate < least {
				victim, least = knapweedpulley.Some(r), u.rate
			}
		}
	}
	if r, found := victim.Get(); found && k.mayUnload(r) {
		return k.newOrder(knapweedpulley.OrderUnloadAdapter, r), true
	}
	return knapweedpulley.EngineOrder{}, false
}

// adapterCount returns the number of adapters that the engine holds.
func (k *Keeper) adapterCount() int {
	count := 0
	for _, m := range k.reading.Models {
		count += len(m.Adapters)
	}
	return count
}

// adapterSlotsShort reports whether the room to keep for late orders includes more adapter slots than
// are free. An engine without slots gets no order for an adapter.
func (k *Keeper) adapterSlotsShort(reserved reservation) bool {
	return k.spec.AdapterSlots > 0 && reserved.slots > 0 && k.adapterCount()+reserved.slots > k.spec.AdapterSlots
}

// evictionCandidate returns the idle model to unload first, and false if all are
// in use, recently loaded or requested. Models that enough other endpoints hold
// go first, then those with the lowest request rate per endpoint that holds them.
func (k *Keeper) evictionCandidate() (knapweedpulley.ModelID, bool) {
	now := k.clock.Now()
	var victim knapweedpulley.ModelID
	var least usage
	for _, m := range k.reading.Models {
		u := k.usage(m.Model)
		if u.active > 0 || k.recentlyLoaded(m.Model, now) || k.requested(m.Model) {
			continue
		}
		if victim == "" || evictBefore(u, least) {
			victim, least = m.Model, u
		}
	}
	return victim, victim != ""
}

func (k *Keeper) requested(model knapweedpulley.ModelID) bool {
	for _, r := range k.queue {
		if r.Model == model {
			return true
		}
	}
	return false
}

// evictBefore reports whether a model with usage u is unloaded before one with
// usage v.
func evictBefore(u, v usage) bool {
	if u.spare != v.spare {
		return u.spare
	}
	return u.rate/float64(max(1, u.holders)) < v.rate/float64(max(1, v.holders))
}

func (k *Keeper) newOrder(kind knapweedpulley.OrderKind, resident knapweedpulley.Resident) knapweedpulley.EngineOrder {
	return knapweedpulley.EngineOrder{
		Kind: kind, Resident: resident, Endpoint: k.endpoint, Sequence: k.reading.Sequence,
		Token: k.token,
	}
}
