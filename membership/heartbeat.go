package membership

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// heartbeatTimeout bounds the wait for the answer to a heartbeat.
	heartbeatTimeout = 400 * time.Millisecond
	// noListenerThreshold is the number of consecutive attempts that must find no listener
	// before the process is considered ended.
	noListenerThreshold = 2
)

// contact records how a member has responded to heartbeats.
type contact struct {
	// lastHeard is when the last answered heartbeat was sent or, before the first
	// answer, when the member was first seen.
	lastHeard knapweedpulley.Instant
	// refused counts the consecutive attempts that found no listener.
	refused int
}

// run sends heartbeats until ctx ends.
func (m *Members) run(ctx context.Context) {
	ticker := time.NewTicker(heartbeatPeriod)
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		m.tick(ctx, &calls)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// tick updates the lease from the answers so far, sends a heartbeat to each other member
// and advances the evictions that are due.
func (m *Members) tick(ctx context.Context, calls *sync.WaitGroup) {
	if m.hasEnded() {
		return
	}
	s := m.current()
	h := m.heartbeat()
	m.updateLease(s)
	for _, e := range s.view.Entries {
		if e.ID() != h.From {
			calls.Go(func() { m.sendHeartbeat(ctx, e.Member, h) })
		}
	}
	for _, e := range m.dueEvictions(s) {
		calls.Go(func() { m.advanceEviction(ctx, e) })
	}
}

// heartbeat returns the heartbeat that describes this process.
func (m *Members) heartbeat() knapweedpulley.Heartbeat {
	s := m.current()
	now := m.Clock.Now()
	h := knapweedpulley.Heartbeat{
		From:    m.Options.Self.ID(),
		View:    s.view.Revision,
		Age:     m.age(now),
		InForce: m.inForce.Load(),
		Digest:  m.Evidence.Digest(),
	}
	for _, e := range s.evicted() {
		h.Evicted = append(h.Evicted, e.ID())
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range s.active {
		if c, ok := m.contacts[a.ID()]; ok && c.isSilent(now) {
			h.Silent = append(h.Silent, a.ID())
		}
	}
	return h
}

// isSilent reports whether the member hasn't answered for longer than the lease time.
func (c *contact) isSilent(now knapweedpulley.Instant) bool {
	return now.Sub(c.lastHeard) > LeaseTime
}

// hasNoListener reports whether the member's process has certainly ended, because nothing
// listens on its port.
func (c *contact) hasNoListener() bool {
	return c.refused >= noListenerThreshold
}

// sendHeartbeat sends one heartbeat and records the answer.
func (m *Members) sendHeartbeat(ctx context.Context, to knapweedpulley.Member, h knapweedpulley.Heartbeat) {
	call, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sent := m.Clock.Now()
	reply, err := m.Link.Heartbeat(call, to, h)
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ok := m.contacts[to.ID()]
	if !ok {
		return
	}
	switch {
	case errors.Is(err, knapweedpulley.ErrNoListener):
		c.refused++
	case err != nil:
	case reply.From == to.ID():
		c.refused = 0
		c.lastHeard = max(c.lastHeard, sent)
		if m.answers[to.ID()].sent <= sent {
			m.answers[to.ID()] = answer{sent: sent, heartbeat: reply}
		}
	}
}

// HandleHeartbeat implements knapweedpulley.HeartbeatService.
func (m *Members) HandleHeartbeat(h knapweedpulley.Heartbeat) knapweedpulley.Heartbeat {
	if slices.Contains(h.Evicted, m.Options.Self.ID()) {
		m.markEnded()
	}
	return m.heartbeat()
}

// updateLease derives from the answers whether the registration is in force, and until when
// other members support the lease.
func (m *Members) updateLease(s *snapshot) {
	own := m.heartbeat()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.syncContacts(s)
	if !m.inForce.Load() && s.selfActive && m.isWidelyKnown(s, m.ownRevision, own.From) {
		m.inForce.Store(true)
	}
	for _, a := range m.answers {
		if slices.Contains(a.heartbeat.Evicted, own.From) {
			m.markEnded()
		}
		if until, ok := relayedUntil(own, a); ok && int64(until) > m.relayed.Load() {
			m.relayed.Store(int64(until))
		}
	}
	until, ok := confirmedUntil(own.From, s.active, m.answers)
	if !ok || own.Age <= staleAfter {
		until = 0
	}
	m.confirmed.Store(int64(until))
}

// syncContacts adds contacts for newly registered processes, and removes the state of those
// that are no longer registered.
func (m *Members) syncContacts(s *snapshot) {
	now := m.Clock.Now()
	known := knapweedpulley.NewSet[knapweedpulley.MemberID]()
	for _, e := range s.view.Entries {
		known.Add(e.ID())
		if _, ok := m.contacts[e.ID()]; !ok && e.ID() != m.Options.Self.ID() {
			m.contacts[e.ID()] = &contact{lastHeard: now}
		}
	}
	for id := range m.contacts {
		if !known.Has(id) {
			delete(m.contacts, id)
			delete(m.answers, id)
			delete(m.evictions, id)
		}
	}
}

// isWidelyKnown reports whether so many processes know of a change to the collection that
// every majority includes one of them, whether or not the processes that are not yet in
// force are counted. The process that the change is about doesn't count.
func (m *Members) isWidelyKnown(s *snapshot, change knapweedpulley.Revision, about knapweedpulley.MemberID) bool {
	var all, inForceTotal, acks, inForceAcks int
	if about != m.Options.Self.ID() {
		all++
		inForceTotal++
	}
	for _, e := range s.view.Entries {
		if e.ID() == about {
			continue
		}
		a := m.answers[e.ID()]
		inForce := a.sent == 0 || a.heartbeat.InForce
		acked := a.sent != 0 && a.heartbeat.View >= change
		if e.ID() == m.Options.Self.ID() {
			inForce = m.inForce.Load()
			acked = s.view.Revision >= change
		}
		all++
		if acked {
			acks++
		}
		if inForce {
			inForceTotal++
		}
		if inForce && acked {
			inForceAcks++
		}
	}
	return acks >= Blocking(all) && inForceAcks >= Blocking(inForceTotal)
}
