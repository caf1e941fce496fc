package configuration

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

// subscription replicates the content of one peer.
type subscription struct {
	configuration *Configuration
	peer          knapweedpulley.Member
	startedAt     knapweedpulley.Instant
	cancel        context.CancelFunc
	done          chan struct{}
	// lastUpdate is the time of the last update. It is zero before the first one.
	lastUpdate atomic.Int64
	// evidence is the oldest evidence that the peer has sent for a collection. It is zero if the
	// peer has sent none for one of them.
	evidence atomic.Int64
	// seen counts the updates that were applied.
	seen atomic.Uint64
	// resyncKinds holds the collections that the peer must send in full.
	resyncKinds atomic.Pointer[knapweedpulley.Set[knapweedpulley.Kind]]

	// The following fields are used only by the goroutine that receives updates.
	remoteClock        clockTranslation
	pending            map[knapweedpulley.Kind][]knapweedpulley.ConfigurationChange
	collectionEvidence map[knapweedpulley.Kind]knapweedpulley.Instant
}

// subscribe starts a subscription to a peer. It ends with ctx, on an error, or when stop is called.
func (c *Configuration) subscribe(ctx context.Context, peer knapweedpulley.Member) *subscription {
	ctx, cancel := context.WithCancel(ctx)
	s := &subscription{
		configuration: c, peer: peer, startedAt: c.clock.Now(), cancel: cancel, done: make(chan struct{}),
		pending:            make(map[knapweedpulley.Kind][]knapweedpulley.ConfigurationChange),
		collectionEvidence: make(map[knapweedpulley.Kind]knapweedpulley.Instant),
	}
	s.resyncKinds.Store(&knapweedpulley.Set[knapweedpulley.Kind]{})
	go func() {
		defer close(s.done)
		defer cancel()
		if err := s.run(ctx); ctx.Err() == nil {
			c.log.WithError(err).WithField("peer", peer.Address).Warn("configuration subscription ended")
		}
	}()
	return s
}

// stop ends the subscription and waits until it has ended.
func (s *subscription) stop() {
	s.cancel()
	<-s.done
}

// ended reports whether the subscription has ended.
func (s *subscription) ended() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// sinceLastUpdate returns the time since the last update, or since the start if there was none.
func (s *subscription) sinceLastUpdate(now knapweedpulley.Instant) time.Duration {
	return now.Sub(max(s.startedAt, knapweedpulley.Instant(s.lastUpdate.Load())))
}

func (s *subscription) run(ctx context.Context) error {
	stream, err := s.configuration.link.Subscribe(ctx, s.peer)
	if err != nil {
		return errors.Wrap(err, "subscribe")
	}
	pinged := make(chan struct{})
	go func() {
		defer close(pinged)
		s.ping(ctx, stream)
	}()
	defer func() {
		s.cancel()
		<-pinged
	}()
	for {
		u, err := stream.Receive()
		if err != nil {
			return errors.Wrap(err, "receive update")
		}
		s.applyUpdate(u)
	}
}

// ping sends a first ping at once and then one per ping period.
func (s *subscription) ping(ctx context.Context, stream knapweedpulley.ConfigurationStream) {
	ticker := time.NewTicker(pingPeriod)
	defer ticker.Stop()
	for {
		if err := stream.Send(s.nextPing()); err != nil {
			s.cancel()
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (s *subscription) nextPing() knapweedpulley.ConfigurationPing {
	p := knapweedpulley.ConfigurationPing{Seen: s.seen.Load(), Sent: s.configuration.clock.Now()}
	resyncKinds := *s.resyncKinds.Load()
	for _, t := range s.configuration.tables {
		if state, ok := t.State(); ok && !resyncKinds.Has(t.kind) {
			p.Have = append(p.Have, state)
		}
	}
	return p
}

// applyUpdate applies an update from the peer.
func (s *subscription) applyUpdate(u knapweedpulley.ConfigurationUpdate) {
	s.remoteClock.observe(u.Echo, u.EchoAt)
	now := s.configuration.clock.Now()
	for _, p := range u.Parts {
		if p.More {
			s.pending[p.Kind] = append(s.pending[p.Kind], p.Changes...)
			continue
		}
		p.Changes = append(s.pending[p.Kind], p.Changes...)
		delete(s.pending, p.Kind)
		if p.CompleteAsOf != 0 {
			p.CompleteAsOf = s.remoteClock.toLocal(p.CompleteAsOf, now)
		}
		if p.ContinuousSince != 0 {
			p.ContinuousSince = s.remoteClock.toLocal(p.ContinuousSince, now)
		}
		s.applyPart(p)
	}
	if s.seen.Add(1) == 1 {
		s.configuration.log.WithField("peer", s.peer.Address).Info("replicating the store from a peer")
	}
	s.lastUpdate.Store(int64(now))
	s.evidence.Store(int64(s.oldestEvidence()))
	s.configuration.refreshed.broadcast()
}

// applyPart applies a complete part. Its evidence must already be translated to the local clock.
func (s *subscription) applyPart(p knapweedpulley.ConfigurationPart) {
	t := s.configuration.table(p.Kind)
	if t == nil {
		return
	}
	before := t.View()
	evidence := Evidence{CompleteAsOf: p.CompleteAsOf, ContinuousSince: p.ContinuousSince}
	applied := true
	if p.Full {
		t.Replace(objectsOf(p.Changes), p.Revision, evidence)
	} else {
		applied = t.Advance(p.From, p.Changes, p.Revision, evidence)
	}
	after := t.View()
	drifted := after.Revision == p.Revision && after.Digest != p.Digest
	if drifted {
		s.configuration.digestMismatches.Add(1)
		s.configuration.log.WithField("collection", string(p.Kind)).
			Warn("configuration digest differs at the same revision, requesting the whole collection")
	}
	s.setResync(p.Kind, !applied || drifted)
	if applied {
		s.collectionEvidence[p.Kind] = p.CompleteAsOf
	}
	if after.Digest != before.Digest || !before.Loaded {
		s.configuration.changed.broadcast()
	}
}

// setResync sets whether the peer must send a collection in full.
func (s *subscription) setResync(kind knapweedpulley.Kind, needed bool) {
	old := *s.resyncKinds.Load()
	if old.Has(kind) == needed {
		return
	}
	next := knapweedpulley.NewSet[knapweedpulley.Kind]()
	for k := range old {
		next.Add(k)
	}
	next.Add(kind)
	if !needed {
		next.Remove(kind)
	}
	s.resyncKinds.Store(&next)
}

// oldestEvidence returns the oldest evidence that the peer has sent for a collection, put off by
// staleTolerance, or zero if it has sent none for one of them.
func (s *subscription) oldestEvidence() knapweedpulley.Instant {
	var oldestEvidence knapweedpulley.Instant
	for i, t := range s.configuration.tables {
		e := s.collectionEvidence[t.kind]
		if e != 0 {
			e = e.Add(staleTolerance(t.watchWait))
		}
		if i == 0 || e < oldestEvidence {
			oldestEvidence = e
		}
	}
	return oldestEvidence
}

func objectsOf(changes []knapweedpulley.ConfigurationChange) []knapweedpulley.Object {
	objects := make([]knapweedpulley.Object, 0, len(changes))
	for _, c := range changes {
		objects = append(objects, c.Object)
	}
	return objects
}
