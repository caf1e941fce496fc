package machine

import (
	"sync"
	"sync/atomic"

	"github.com/knapweedpulley/knapweedpulley"
)

// Occupant is a model, or an adapter on top of one, that occupies memory.
type Occupant = knapweedpulley.Resident

// Occupancy is the memory that an occupant was observed to take.
type Occupancy struct {
	Occupant
	Size knapweedpulley.Bytes
}

// LogicalTime is the logical clock of a ledger. It orders readings of an engine's
// state and changes of the ledger.
type LogicalTime uint64

// reservation is the memory that is reserved for one occupant.
type reservation struct {
	size knapweedpulley.Bytes
	// pending is set while an order may still take effect.
	pending bool
	// settledAt is the time at which the last order had certainly ended.
	settledAt LogicalTime
}

// MemoryLedger is the ledger of an endpoint's accelerator memory. Memory is reserved
// before a load is ordered and free again only when the engine's state, read
// after the end of all orders, no longer shows the occupant.
type MemoryLedger struct {
	mu       sync.Mutex
	total    knapweedpulley.Bytes
	now      LogicalTime
	reserved map[Occupant]*reservation
	free     atomic.Int64
}

// NewMemoryLedger returns an empty ledger of a total.
func NewMemoryLedger(total knapweedpulley.Bytes) *MemoryLedger {
	m := &MemoryLedger{total: total, reserved: make(map[Occupant]*reservation)}
	m.free.Store(int64(total))
	return m
}

// Free returns the memory that is not reserved. It is negative if the engine holds
// more than the total.
func (m *MemoryLedger) Free() knapweedpulley.Bytes {
	return knapweedpulley.Bytes(m.free.Load())
}

// BeginReading returns the time of a reading of the engine's state that begins now.
func (m *MemoryLedger) BeginReading() LogicalTime {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now++
	return m.now
}

// Reserve reserves memory for an occupant whose load is about to be ordered, and
// reports whether there is enough.
func (m *MemoryLedger) Reserve(o Occupant, size knapweedpulley.Bytes) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	var previous knapweedpulley.Bytes
	r, known := m.reserved[o]
	if known {
		previous = r.size
	}
	if size-previous > m.Free() {
		return false
	}
	if !known {
		r = &reservation{}
		m.reserved[o] = r
	}
	r.size = max(r.size, size)
	r.pending = true
	m.updateFree()
	return true
}

// Settle records that no order for the occupant can take effect any more. Its memory
// is free once a later reading does not show it.
func (m *MemoryLedger) Settle(o Occupant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r, known := m.reserved[o]; known {
		m.now++
		r.pending = false
		r.settledAt = m.now
	}
}

// Observe applies a reading of the engine's state that began at the given time.
func (m *MemoryLedger) Observe(began LogicalTime, total knapweedpulley.Bytes, seen []Occupancy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.total = total
	present := make(knapweedpulley.Set[Occupant], len(seen))
	for _, s := range seen {
		present.Add(s.Occupant)
		m.observe(began, s)
	}
	for o, r := range m.reserved {
		if !present.Has(o) && !r.pending && began > r.settledAt {
			delete(m.reserved, o)
		}
	}
	m.updateFree()
}

// observe reserves the memory of an occupant that a reading shows, whoever ordered
// it. A reading reduces a size that was expected to be larger only when no order is
// pending.
func (m *MemoryLedger) observe(began LogicalTime, s Occupancy) {
	r, known := m.reserved[s.Occupant]
	if !known {
		m.reserved[s.Occupant] = &reservation{size: s.Size}
		return
	}
	if r.pending || began <= r.settledAt {
		r.size = max(r.size, s.Size)
		return
	}
	r.size = s.Size
}

// updateFree recomputes the free memory.
func (m *MemoryLedger) updateFree() {
	free := m.total
	for _, r := range m.reserved {
		free -= r.size
	}
	m.free.Store(int64(free))
}
