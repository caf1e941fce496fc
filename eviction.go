package knapweedpulley

import "time"

// Resident is a model, or an adapter on it, that can occupy an engine's memory.
type Resident struct {
	Model ModelID
	// Adapter is empty for the model itself.
	Adapter AdapterID
}

// EvictionPolicy decides which idle models and adapters are evicted from the memory of
// one endpoint. The agent that sends orders to the engine calls its methods. A
// request for an adapter counts for the adapter and for its model.
type EvictionPolicy interface {
	// Loaded records that a resident was loaded and how long that took.
	Loaded(r Resident, size Bytes, took time.Duration, now Instant)
	// Unloaded records that a resident was removed from the memory. A model is
	// removed together with all its adapters.
	Unloaded(r Resident, now Instant)
	// RequestArrived records that a request has arrived.
	RequestArrived(r Resident, now Instant)
	// RequestEnded records that a request has ended.
	RequestEnded(r Resident, now Instant)
	// Expired returns the residents to unload now, apart from those in held, and
	// the time after which to call it again.
	Expired(held Set[Resident], now Instant) ([]Resident, time.Duration)
	// EvictionCandidates returns idle residents, apart from those in held, whose
	// memory adds up to at least need, or none if there is less.
	EvictionCandidates(need Bytes, held Set[Resident], now Instant) []Resident
}
