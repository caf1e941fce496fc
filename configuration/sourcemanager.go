package configuration

import (
	"context"
	"sync"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

// decisionPeriod is the time between two choices of the source of the content.
const decisionPeriod = 250 * time.Millisecond

// sourceManager starts and stops the watch of the store and the subscriptions to peers, so that
// they match the chosen source.
type sourceManager struct {
	configuration *Configuration
	selector      *sourceSelector
	// current is the subscription in use. next replaces it as soon as its first update arrives.
	current, next *subscription
	// stopWatch ends the watch of the store. It is nil if there is none.
	stopWatch context.CancelFunc
	watching  sync.WaitGroup
}

func newSourceManager(c *Configuration) *sourceManager {
	return &sourceManager{configuration: c, selector: newSourceSelector()}
}

// run chooses the source once per decision period until ctx ends.
func (m *sourceManager) run(ctx context.Context) {
	ticker := time.NewTicker(decisionPeriod)
	defer ticker.Stop()
	defer m.stop()
	for {
		m.recordProgress()
		inputs := m.configuration.sourceInputs()
		m.configuration.lone.Store(inputs.position.lone)
		m.updateWatch(ctx, inputs)
		if inputs.subscribe() {
			m.updateSubscriptions(ctx, inputs)
		} else {
			m.drop(&m.current)
			m.drop(&m.next)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// recordProgress copies the evidence and the last update times of the subscriptions to the
// configuration.
func (m *sourceManager) recordProgress() {
	for _, s := range []*subscription{m.current, m.next} {
		if s == nil {
			continue
		}
		storeMax(&m.configuration.lastPeerUpdate, s.lastUpdate.Load())
		storeMax(&m.configuration.peerEvidence, s.evidence.Load())
	}
}

func (m *sourceManager) updateWatch(ctx context.Context, inputs sourceInputs) {
	switch wanted := inputs.watchStore(); {
	case wanted && m.stopWatch == nil:
		ctx, cancel := context.WithCancel(ctx)
		m.stopWatch = cancel
		m.configuration.watching.Store(true)
		m.configuration.log.WithField("rank", inputs.position.rank).WithField("peers", len(inputs.position.candidates)).
			WithField("peerEvidenceAge", inputs.since(inputs.peerEvidence).String()).Info("starting to watch the store")
		m.watching.Go(func() { m.configuration.watch(ctx) })
	case !wanted && m.stopWatch != nil:
		m.endWatch()
	}
}

func (m *sourceManager) endWatch() {
	if m.stopWatch != nil {
		m.stopWatch()
		m.watching.Wait()
		m.stopWatch = nil
		m.configuration.watching.Store(false)
		m.configuration.log.Info("no longer watching the store")
	}
}

// updateSubscriptions starts, replaces and stops subscriptions.
func (m *sourceManager) updateSubscriptions(ctx context.Context, inputs sourceInputs) {
	if m.next != nil && m.next.lastUpdate.Load() != 0 {
		m.drop(&m.current)
		m.current, m.next = m.next, nil
	}
	if m.next != nil && m.failed(m.next, inputs.now) {
		m.drop(&m.next)
	}
	if m.current != nil && (m.failed(m.current, inputs.now) || m.stale(m.current, inputs.now)) {
		m.drop(&m.current)
	}
	wanted, ok := m.selector.choose(inputs.position.candidates, inputs.now)
	switch {
	case !ok:
	case m.current == nil && m.next != nil:
		m.current, m.next = m.next, nil
	case m.current == nil:
		m.current = m.configuration.subscribe(ctx, wanted)
	case m.current.peer != wanted && m.next == nil:
		m.next = m.configuration.subscribe(ctx, wanted)
	}
}

// failed reports whether a subscription has ended or receives no updates. If so, it excludes the
// peer.
func (m *sourceManager) failed(s *subscription, now knapweedpulley.Instant) bool {
	if !s.ended() && s.sinceLastUpdate(now) <= silenceTimeout {
		return false
	}
	m.selector.exclude(s.peer, now.Add(exclusionTime), true)
	return true
}

// stale reports whether the peer of a subscription still has no fresh evidence after
// freshnessTimeout. If so, it excludes the peer.
func (m *sourceManager) stale(s *subscription, now knapweedpulley.Instant) bool {
	if now.Sub(s.startedAt) < freshnessTimeout || now.Sub(knapweedpulley.Instant(s.evidence.Load())) <= staleAfter {
		return false
	}
	m.selector.exclude(s.peer, now.Add(exclusionTime), false)
	return true
}

func (m *sourceManager) drop(s **subscription) {
	if *s != nil {
		(*s).stop()
		*s = nil
	}
}

func (m *sourceManager) stop() {
	m.drop(&m.current)
	m.drop(&m.next)
	m.endWatch()
}
