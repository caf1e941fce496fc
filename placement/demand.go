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
	// ratePeriod is the time between two updates of the rates of arrivals.
	ratePeriod = time.Second
	// rateHalfLife is the time in which an old rate loses half of its weight:
	// busy models change about every ten seconds.
	rateHalfLife = 8 * time.Second
)

// use is how a gateway uses one model or adapter.
type use struct {
	arrivals atomic.Int64
	// rate is the bits of a float, requests a second.
	rate atomic.Uint64
}

// place is a model or an adapter at an endpoint.
type place struct {
	endpoint knapweedpulley.EndpointID
	knapweedpulley.Resident
}

// Demand counts a gateway's requests by model and adapter.
type Demand struct {
	uses   sync.Map // knapweedpulley.Resident to *use
	active sync.Map // place to *atomic.Int64
}

// NewDemand starts to count. The clean-up ends it.
func NewDemand() (*Demand, knapweedpulley.Cleanup) {
	d := &Demand{}
	return d, machine.Every(ratePeriod, d.age)
}

// Arrive counts a request for a model, and for an adapter if one is named.
func (d *Demand) Arrive(w knapweedpulley.Resident) {
	d.use(knapweedpulley.Resident{Model: w.Model}).arrivals.Add(1)
	if w.Adapter != "" {
		d.use(w).arrivals.Add(1)
	}
}

// Enter counts a request at an endpoint until the returned function is called.
func (d *Demand) Enter(e knapweedpulley.EndpointID, w knapweedpulley.Resident) func() {
	base := d.counter(place{e, knapweedpulley.Resident{Model: w.Model}})
	base.Add(1)
	if w.Adapter == "" {
		return func() { base.Add(-1) }
	}
	whole := d.counter(place{e, w})
	whole.Add(1)
	return func() {
		base.Add(-1)
		whole.Add(-1)
	}
}

// Active returns the number of requests for a model or adapter at an endpoint.
func (d *Demand) Active(e knapweedpulley.EndpointID, w knapweedpulley.Resident) int {
	if n, known := d.active.Load(place{e, w}); known {
		return int(n.(*atomic.Int64).Load())
	}
	return 0
}

// Rate returns the requests a second for a model or adapter.
func (d *Demand) Rate(w knapweedpulley.Resident) float64 {
	if u, known := d.uses.Load(w); known {
		return math.Float64frombits(u.(*use).rate.Load())
	}
	return 0
}

func (d *Demand) use(w knapweedpulley.Resident) *use {
	if u, known := d.uses.Load(w); known {
		return u.(*use)
	}
	u, _ := d.uses.LoadOrStore(w, &use{})
	return u.(*use)
}

func (d *Demand) counter(p place) *atomic.Int64 {
	if n, known := d.active.Load(p); known {
		return n.(*atomic.Int64)
	}
	n, _ := d.active.LoadOrStore(p, &atomic.Int64{})
	return n.(*atomic.Int64)
}

// age brings the rates up to date.
func (d *Demand) age() {
	keep := math.Exp2(-float64(ratePeriod) / float64(rateHalfLife))
	d.uses.Range(func(_, value any) bool {
		u := value.(*use)
		rate := math.Float64frombits(u.rate.Load())
		now := float64(u.arrivals.Swap(0)) / ratePeriod.Seconds()
		u.rate.Store(math.Float64bits(keep*rate + (1-keep)*now))
		return true
	})
}

// Forget drops the counts of endpoints that are gone.
func (d *Demand) Forget(gone func(knapweedpulley.EndpointID) bool) {
	d.active.Range(func(key, _ any) bool {
		if gone(key.(place).endpoint) {
			d.active.Delete(key)
		}
		return true
	})
}
