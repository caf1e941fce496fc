package membership

import (
	"context"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// machineListPeriod is the time between two reads of the list of VMs.
	machineListPeriod = 5 * time.Second
	// maxListLag bounds the time until a newly started VM appears in the list.
	maxListLag = 30 * time.Second
)

// machineHistory holds the VMs of the last listing and of all earlier ones.
type machineHistory struct {
	sequence uint64
	listed   knapweedpulley.Set[knapweedpulley.MachineID]
	// seen contains all machines that were ever listed.
	seen knapweedpulley.Set[knapweedpulley.MachineID]
	// firstRead is when the first listing was read.
	firstRead knapweedpulley.Instant
	known     bool
}

// record records a listing unless it is older than the last one.
func (h *machineHistory) record(l knapweedpulley.MachineListing, now knapweedpulley.Instant) {
	if h.known && l.Sequence < h.sequence {
		return
	}
	if !h.known {
		h.known = true
		h.firstRead = now
		h.seen = knapweedpulley.NewSet[knapweedpulley.MachineID]()
	}
	h.sequence = l.Sequence
	h.listed = knapweedpulley.NewSet[knapweedpulley.MachineID]()
	for _, m := range l.Machines {
		h.listed.Add(m.ID)
		h.seen.Add(m.ID)
	}
}

// vanished reports whether a machine that ran an entry process no longer exists: it was
// listed and no longer is, or it was not listed for longer than maxListLag.
func (h *machineHistory) vanished(id knapweedpulley.MachineID, now knapweedpulley.Instant) bool {
	if !h.known || h.listed.Has(id) {
		return false
	}
	return h.seen.Has(id) || now.Sub(h.firstRead) > maxListLag
}

// watchMachines reads the list of VMs until ctx ends.
func (m *Members) watchMachines(ctx context.Context) {
	if m.Machines == nil {
		return
	}
	ticker := time.NewTicker(machineListPeriod)
	defer ticker.Stop()
	for {
		if l, err := m.Machines.Machines(ctx); err == nil {
			m.mu.Lock()
			m.machineHistory.record(l, m.Clock.Now())
			m.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
