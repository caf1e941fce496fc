package placement

import (
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/fleet"
)

const (
	// visitLinger is how long a gateway stays connected to the keeper of an engine outside its
	// cell after the last load request or active request there.
	visitLinger = 5 * time.Second
	// maxVisits bounds the number of these connections.
	maxVisits = 48
	// visitCost is added to the estimated load time of an engine outside the cell: the time to
	// connect to its keeper, and the backlog that is unknown before the first report.
	visitCost = 300 * time.Millisecond
)

// visits are the engines outside the cell of a gateway to whose keepers it connects for as long as
// it has requests there. A rare model may be cached on a single machine of the whole fleet, while
// permanent connections to all keepers would cost each process too much in a large fleet.
type visits struct {
	until map[knapweedpulley.EndpointID]knapweedpulley.Instant
}

func newVisits() *visits {
	return &visits{until: make(map[knapweedpulley.EndpointID]knapweedpulley.Instant)}
}

// extend begins or prolongs a visit. It returns false if there are too many others.
func (v *visits) extend(id knapweedpulley.EndpointID, now knapweedpulley.Instant) bool {
	if _, known := v.until[id]; !known && len(v.until) >= maxVisits {
		return false
	}
	v.until[id] = now.Add(visitLinger)
	return true
}

// has reports whether an engine is being visited.
func (v *visits) has(id knapweedpulley.EndpointID) bool {
	_, known := v.until[id]
	return known
}

// update prolongs the visits to engines with active requests, begins missing ones, and ends those
// that are over or whose engine is now in the cell.
func (v *visits) update(
	now knapweedpulley.Instant, engines []*fleet.Endpoint, cell knapweedpulley.Set[knapweedpulley.EndpointID],
) {
	for _, e := range engines {
		if e.Active() > 0 && !cell.Has(e.ID()) {
			v.extend(e.ID(), now)
		}
	}
	for id, until := range v.until {
		if cell.Has(id) || now.After(until) {
			delete(v.until, id)
		}
	}
}

// estimateFromRegistration returns the time until an engine whose keeper has sent no report would
// have loaded a target, and the tier from which it loads. It returns false if the engine has no
// copy: loads from the weight store are left to the cell of the engine.
func estimateFromRegistration(
	r *knapweedpulley.RegisteredEndpoint, spec *knapweedpulley.EngineSpec,
	model knapweedpulley.ModelSpec, w knapweedpulley.Resident,
) (time.Duration, knapweedpulley.CacheTier, bool) {
	if w.Adapter != "" && knapweedpulley.Holds(r.Models, knapweedpulley.Resident{Model: w.Model}) {
		return visitCost + adapterLoadTime, knapweedpulley.TierMemory, true
	}
	tier := knapweedpulley.FastestTier(r.Cached, w.Model)
	if tier == knapweedpulley.TierRemote {
		return 0, tier, false
	}
	free := spec.Memory
	for _, m := range r.Models {
		free -= spec.Models[m.Model].Size
	}
	d := visitCost + model.LoadTime(tier)
	if free < model.Size {
		d += evictionTime + model.DiskLoadTime/2
	}
	return d, tier, true
}
