package placement

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/machine"
)

const (
	// ratePeriod is the time between two updates of the arrival rates.
	ratePeriod = time.Second
	// rateHalfLife is the time in which the weight of past arrivals halves. It matches the pace at
	// which the set of busy models changes, about every ten seconds.
	rateHalfLife = 8 * time.Second
)

// usage counts a gateway's requests for one model or adapter.
type usage struct {
	// arrivals counts the requests since the last update of the rate.
	arrivals atomic.Int64
	// rate is the arrival rate in requests per second, as the bits of a float64.
	rate atomic.Uint64
	// earliest is the most urgent priority of these arrivals, and priority that of the last period
	// with arrivals.
	earliest atomic.Int64
	priority atomic.Int64
}

func newUsage() *usage {
	u := &usage{}
	u.earliest.Store(math.MaxInt64)
	return u
}

// recordArrival counts the arrival of a request with a priority.
func (u *usage) recordArrival(priority int64) {
	for last := u.earliest.Load(); priority < last; last = u.earliest.Load() {
		if u.earliest.CompareAndSwap(last, priority) {
			break
		}
	}
	u.arrivals.Add(1)
}

// update folds the arrivals since the last update into the rate, whose past part is weighted by keep.
func (u *usage) update(keep float64) {
	rate := math.Float64frombits(u.rate.Load())
	now := float64(u.arrivals.Swap(0)) / ratePeriod.Seconds()
	u.rate.Store(math.Float64bits(keep*rate + (1-keep)*now))
	if p := u.earliest.Swap(math.MaxInt64); p != math.MaxInt64 {
		u.priority.Store(p)
	}
}

// activeKey identifies a model or an adapter at an endpoint.
type activeKey struct {
	endpoint knapweedpulley.EndpointID
	knapweedpulley.Resident
}

// Demand tracks how many requests a gateway receives and runs, by model and adapter.
type Demand struct {
	usages sync.Map // knapweedpulley.Resident to *usage
	active sync.Map // activeKey to *atomic.Int64
}

// NewDemand returns a demand without requests and starts to update its rates. The clean-up stops
// the updates.
func NewDemand() (*Demand, knapweedpulley.Cleanup) {
	d := &Demand{}
	return d, machine.Every(ratePeriod, d.updateRates)
}

// RecordArrival counts the arrival of a request for a model, and for an adapter if one is named. A
// priority of zero is the most urgent.
func (d *Demand) RecordArrival(w knapweedpulley.Resident, priority int) {
	d.usage(knapweedpulley.Resident{Model: w.Model}).recordArrival(int64(priority))
	if w.Adapter != "" {
		d.usage(w).recordArrival(int64(priority))
	}
}

// BeginRequest counts a request as active at an endpoint until the returned function is called.
func (d *Demand) BeginRequest(e knapweedpulley.EndpointID, w knapweedpulley.Resident) func() {
	base := d.activeCounter(activeKey{e, knapweedpulley.Resident{Model: w.Model}})
	base.Add(1)
	if w.Adapter == "" {
		return func() { base.Add(-1) }
	}
	whole := d.activeCounter(activeKey{e, w})
	whole.Add(1)
	return func() {
		base.Add(-1)
		whole.Add(-1)
	}
}

// Active returns the number of active requests for a model or adapter at an endpoint.
func (d *Demand) Active(e knapweedpulley.EndpointID, w knapweedpulley.Resident) int {
	if n, known := d.active.Load(activeKey{e, w}); known {
		return int(n.(*atomic.Int64).Load())
	}
	return 0
}

// Priority returns the most urgent priority of the last requests for a model or adapter.
func (d *Demand) Priority(w knapweedpulley.Resident) int {
	if u, known := d.usages.Load(w); known {
		return int(u.(*usage).priority.Load())
	}
	return 0
}

// Rate returns the arrival rate for a model or adapter, in requests per second.
func (d *Demand) Rate(w knapweedpulley.Resident) float64 {
	if u, known := d.usages.Load(w); known {
		return math.Float64frombits(u.(*usage).rate.Load())
	}
	return 0
}

func (d *Demand) usage(w knapweedpulley.Resident) *usage {
	if u, known := d.usages.Load(w); known {
		return u.(*usage)
	}
	u, _ := d.usages.LoadOrStore(w, newUsage())
	return u.(*usage)
}

func (d *Demand) activeCounter(key activeKey) *atomic.Int64 {
	if n, known := d.active.Load(key); known {
		return n.(*atomic.Int64)
	}
	n, _ := d.active.LoadOrStore(key, &atomic.Int64{})
	return n.(*atomic.Int64)
}

// updateRates folds the arrivals since the last update into the exponentially weighted rates.
func (d *Demand) updateRates() {
	keep := math.Exp2(-float64(ratePeriod) / float64(rateHalfLife))
	d.usages.Range(func(_, value any) bool {
		value.(*usage).update(keep)
		return true
	})
}

// RemoveEndpoints removes the counts of active requests at the endpoints for which gone returns
// true.
func (d *Demand) RemoveEndpoints(gone func(knapweedpulley.EndpointID) bool) {
	d.active.Range(func(key, _ any) bool {
		if gone(key.(activeKey).endpoint) {
			d.active.Delete(key)
		}
		return true
	})
}
