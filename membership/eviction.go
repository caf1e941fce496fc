package membership

import (
	"context"
	"slices"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

// tieDelay is the additional time, beyond LeaseTime, for which the half of the members
// without the first member waits before it evicts the other half.
const tieDelay = 2 * time.Second

// rankDelay is the additional time that each member waits before a step compared with
// the previous member, so that they don't all write at once.
const rankDelay = time.Second

// eviction is the state of a process's eviction as seen by this process.
type eviction struct {
	// revision is the revision of the object that the state belongs to.
	revision knapweedpulley.Revision
	// readySince is since when the next step can be taken; zero if it can't.
	readySince knapweedpulley.Instant
	// leaseExpiry is when the lease has certainly expired; zero until enough others
	// have acknowledged the mark.
	leaseExpiry knapweedpulley.Instant
	// writing is set while a write to the store is in progress.
	writing bool
}

// dueEvictions returns the processes whose eviction this process should advance by a step. If
// two processes do so at once, the conditional write of only one succeeds.
func (m *Members) dueEvictions(s *snapshot) []knapweedpulley.RegisteredEntry {
	if m.Evidence.Age() > staleAfter || !s.selfActive {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	delay := rankDelay * time.Duration(m.rank(s, now))
	var list []knapweedpulley.RegisteredEntry
	for _, e := range s.view.Entries {
		if e.ID() == m.Options.Self.ID() {
			continue
		}
		v := m.eviction(e)
		switch {
		case !m.isStepReady(s, e, now):
			v.readySince = 0
		case v.readySince == 0:
			v.readySince = now
		}
		if v.readySince != 0 && now.Sub(v.readySince) >= delay && !v.writing {
			v.writing = true
			list = append(list, e)
		}
	}
	return list
}

// rank returns the number of responsive members that precede this one.
func (m *Members) rank(s *snapshot, now knapweedpulley.Instant) int {
	rank := 0
	for _, a := range s.active {
		if a.ID() == m.Options.Self.ID() {
			return rank
		}
		if m.isResponsive(a.ID(), now) {
			rank++
		}
	}
	return rank
}

// isResponsive reports whether another member has answered within the lease time.
func (m *Members) isResponsive(id knapweedpulley.MemberID, now knapweedpulley.Instant) bool {
	c, ok := m.contacts[id]
	return ok && !c.isSilent(now) && !c.hasNoListener()
}

// isStepReady reports whether the next step of an eviction can be taken: to mark a silent
// process, or to remove one that has ended or whose lease has expired.
func (m *Members) isStepReady(s *snapshot, e knapweedpulley.RegisteredEntry, now knapweedpulley.Instant) bool {
	if m.hasProcessEnded(e) {
		return true
	}
	if e.State == knapweedpulley.EntryActive {
		return m.mayEvict(s, now) && m.isSilentToAll(e.ID(), now)
	}
	v := m.eviction(e)
	if v.leaseExpiry == 0 && m.isWidelyKnown(s, e.Revision, e.ID()) {
		v.leaseExpiry = now.Add(LeaseTime + maxClockDrift)
	}
	return v.leaseExpiry != 0 && now.After(v.leaseExpiry)
}

// mayEvict reports whether the responsive members may evict the others. Only the larger of
// two groups that can't reach each other may evict, so that they don't evict each other.
// Of two halves, the one with the first member evicts immediately; the other waits until
// it would have received the news of its own eviction.
func (m *Members) mayEvict(s *snapshot, now knapweedpulley.Instant) bool {
	heard := 0
	hasFirst := false
	waitedOut := true
	for i, a := range s.active {
		if a.ID() == m.Options.Self.ID() || m.isResponsive(a.ID(), now) {
			heard++
			hasFirst = hasFirst || i == 0
		} else if c, ok := m.contacts[a.ID()]; ok && now.Sub(c.lastHeard) <= LeaseTime+tieDelay {
			waitedOut = false
		}
	}
	if 2*heard == len(s.active) {
		return hasFirst || waitedOut
	}
	return 2*heard > len(s.active)
}

// hasProcessEnded reports whether a process has certainly ended: nothing listens on its
// port, or it is silent and its machine has vanished from the list of VMs.
func (m *Members) hasProcessEnded(e knapweedpulley.RegisteredEntry) bool {
	if c, ok := m.contacts[e.ID()]; ok && c.hasNoListener() {
		return true
	}
	return m.isSilent(e.ID()) && m.machineHistory.vanished(e.Machine, m.Clock.Now())
}

func (m *Members) isSilent(id knapweedpulley.MemberID) bool {
	c, ok := m.contacts[id]
	return ok && c.isSilent(m.Clock.Now())
}

// isSilentToAll reports whether the given process is silent to this one and to every member
// that has answered this one within the lease time.
func (m *Members) isSilentToAll(id knapweedpulley.MemberID, now knapweedpulley.Instant) bool {
	c, ok := m.contacts[id]
	if !ok || !c.isSilent(now) {
		return false
	}
	for other, a := range m.answers {
		if other == id || now.Sub(a.sent) > LeaseTime {
			continue
		}
		if !slices.Contains(a.heartbeat.Silent, id) {
			return false
		}
	}
	return true
}

func (m *Members) eviction(e knapweedpulley.RegisteredEntry) *eviction {
	v, ok := m.evictions[e.ID()]
	if !ok || v.revision != e.Revision {
		v = &eviction{revision: e.Revision}
		m.evictions[e.ID()] = v
	}
	return v
}

// advanceEviction marks a process as evicted, or removes its object if it has ended or
// is already marked. A failed write is retried at a later tick, based on the state at that
// time.
func (m *Members) advanceEviction(ctx context.Context, e knapweedpulley.RegisteredEntry) {
	call, cancel := context.WithTimeout(ctx, LeaseTime)
	defer cancel()
	m.mu.Lock()
	over := m.hasProcessEnded(e) || e.State == knapweedpulley.EntryEvicted
	m.mu.Unlock()
	if over {
		_, _ = m.Store.Delete(call, knapweedpulley.KindEntries, string(e.Entry), e.Revision)
	} else if value, err := encodeEntry(e.Member, knapweedpulley.EntryEvicted); err == nil {
		_, _ = m.Store.Put(call, knapweedpulley.KindEntries, string(e.Entry), value, e.Revision)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.eviction(e).writing = false
}
