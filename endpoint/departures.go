package endpoint

import (
	"sync"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// leaseGrace is the time after which a machine that is missing from the
	// platform's list has ended. Until then a process on it may act on a lease.
	leaseGrace = 3 * time.Second
	// unknownGrace is the time after which an endpoint that no agent has reported
	// counts as gone. It runs while the endpoints of all listed machines are known,
	// so that none of the machines can be that of the endpoint.
	unknownGrace = time.Minute
)

// Departures implements knapweedpulley.DepartureView. The platform's list lags
// both when machines start and when they end. A machine that was never listed may
// be running, so a machine has ended only if it was listed and is no longer.
type Departures struct {
	clock knapweedpulley.Clock
	mu    sync.Mutex
	// machines holds the machine of each endpoint that an agent ever reported.
	machines map[knapweedpulley.EndpointID]knapweedpulley.MachineID
	listed   knapweedpulley.Set[knapweedpulley.MachineID]
	// missing holds the instant since which a machine that was listed is absent
	// from the list.
	missing  map[knapweedpulley.MachineID]knapweedpulley.Instant
	sequence uint64
	// allKnownSince is the instant since which an agent on each listed machine has
	// reported its endpoint. It is absent while one has not.
	allKnownSince knapweedpulley.Option[knapweedpulley.Instant]
}

// NewDepartures returns a view without any list or report.
func NewDepartures(clock knapweedpulley.Clock) *Departures {
	return &Departures{
		clock:    clock,
		machines: make(map[knapweedpulley.EndpointID]knapweedpulley.MachineID),
		listed:   knapweedpulley.NewSet[knapweedpulley.MachineID](),
		missing:  make(map[knapweedpulley.MachineID]knapweedpulley.Instant),
	}
}

// UpdateEndpoint records the machine on which an endpoint runs.
func (d *Departures) UpdateEndpoint(s knapweedpulley.EndpointStatus) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.machines[s.Endpoint] == s.Machine {
		return
	}
	d.machines[s.Endpoint] = s.Machine
	d.updateAllKnown()
}

// UpdateMachines applies the platform's list of machines. A list that is older than
// the last one is ignored.
func (d *Departures) UpdateMachines(l knapweedpulley.MachineListing) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l.Sequence < d.sequence {
		return
	}
	d.sequence = l.Sequence
	now := d.clock.Now()
	listed := knapweedpulley.NewSet[knapweedpulley.MachineID]()
	for _, m := range l.Machines {
		if m.Role == knapweedpulley.RoleAgent {
			listed.Add(m.ID)
			delete(d.missing, m.ID)
		}
	}
	for m := range d.listed {
		if !listed.Has(m) {
			d.missing[m] = now
		}
	}
	d.listed = listed
	d.updateAllKnown()
}

// Gone implements knapweedpulley.DepartureView.
func (d *Departures) Gone(e knapweedpulley.EndpointID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if m, ok := d.machines[e]; ok {
		since, missing := d.missing[m]
		return missing && now.Sub(since) > leaseGrace
	}
	since, ok := d.allKnownSince.Get()
	return ok && now.Sub(since) > unknownGrace
}

// updateAllKnown sets or clears allKnownSince from the list and the reports.
func (d *Departures) updateAllKnown() {
	known := knapweedpulley.NewSet[knapweedpulley.MachineID]()
	for _, m := range d.machines {
		known.Add(m)
	}
	for m := range d.listed {
		if !known.Has(m) {
			d.allKnownSince = knapweedpulley.None[knapweedpulley.Instant]()
			return
		}
	}
	if _, ok := d.allKnownSince.Get(); !ok && len(d.listed) > 0 {
		d.allKnownSince = knapweedpulley.Some(d.clock.Now())
	}
}
