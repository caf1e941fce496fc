package gateway

import (
	"context"

	"github.com/apex/log"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/fleet"
)

// leaveEvacuated prepares the choice of another endpoint than e, whose zone was evacuated after e was
// chosen. It waits until the index without e is in force, unless changed is nil. It refuses a call that
// may run nowhere else.
func (h *callHandler) leaveEvacuated(ctx context.Context, e *fleet.Endpoint, changed <-chan struct{}) error {
	if h.hasRunOut() {
		h.recordDenial(ctx, "endpoint")
		return knapweedpulley.NewRefusal(knapweedpulley.CodeEvacuated, knapweedpulley.MayHaveRun,
			"endpoint %s, to which the request would return, is in an evacuated availability zone", e.ID())
	}
	h.Meter.recordRedirect()
	if changed == nil {
		return nil
	}
	select {
	case <-changed:
	case <-ctx.Done():
	}
	return nil
}

// EvacuationReporter reports the requests of one gateway that still run in evacuated zones, so that
// operators see when a zone is empty.
type EvacuationReporter struct {
	fleet *fleet.Fleet
	meter *Meter
	log   log.Interface
	// empty says of each evacuated zone whether it was logged as empty.
	empty map[knapweedpulley.ZoneID]bool
}

// NewEvacuationReporter returns a reporter of the requests to the endpoints of a fleet.
func NewEvacuationReporter(fleet *fleet.Fleet, meter *Meter, log log.Interface) *EvacuationReporter {
	return &EvacuationReporter{fleet: fleet, meter: meter, log: log, empty: make(map[knapweedpulley.ZoneID]bool)}
}

// Report records the present numbers, and logs each zone once when it is empty. Calls must not overlap.
func (r *EvacuationReporter) Report() {
	counts := r.fleet.EvacuatedRequests()
	for zone, n := range counts {
		r.meter.recordEvacuatedRequests(zone, n)
		if n == 0 && !r.empty[zone] {
			r.log.WithField("zone", zone).Info("evacuated availability zone has no requests of this gateway any more")
		}
		r.empty[zone] = r.empty[zone] || n == 0
	}
	for zone := range r.empty {
		if _, evacuated := counts[zone]; !evacuated {
			delete(r.empty, zone)
			r.meter.recordEvacuatedRequests(zone, 0)
		}
	}
}
