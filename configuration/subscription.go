package configuration

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

// subscription takes over the content of one peer.
type subscription struct {
	configuration *Configuration
	to            knapweedpulley.Member
	started       knapweedpulley.Instant
	cancel        context.CancelFunc
	done          chan struct{}
	// heard is the time of the last update, zero before the first.
	heard atomic.Int64
	// evidence is the oldest that the peer has for a collection, zero if it
	// lacks any.
	evidence atomic.Int64
	// seen counts the updates that were taken over.
	seen atomic.Uint64
	// mistrusted is set while a collection must be sent whole.
	mistrusted atomic.Pointer[knapweedpulley.Set[knapweedpulley.Kind]]

	// The rest belongs to the goroutine that receives.
	clocks  translation
	pending map[knapweedpulley.Kind][]knapweedpulley.ConfigurationChange
	told    map[knapweedpulley.Kind]knapweedpulley.Instant
}

// subscribe starts a subscription. It ends with ctx, on an error or by stop.
func (c *Configuration) subscribe(ctx context.Context, to knapweedpulley.Member) *subscription {
	ctx, cancel := context.WithCancel(ctx)
	s := &subscription{
		configuration: c, to: to, started: c.clock.Now(), cancel: cancel, done: make(chan struct{}),
		pending: make(map[knapweedpulley.Kind][]knapweedpulley.ConfigurationChange),
		told:    make(map[knapweedpulley.Kind]knapweedpulley.Instant),
	}
	s.mistrusted.Store(&knapweedpulley.Set[knapweedpulley.Kind]{})
	go func() {
		defer close(s.done)
		defer cancel()
		if err := s.run(ctx); ctx.Err() == nil {
			c.log.WithError(err).WithField("peer", to.Address).Warn("configuration subscription ended")
		}
	}()
	return s
}

// stop ends the subscription and waits for its end.
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

// silentFor returns the time since the peer was last heard.
func (s *subscription) silentFor(now knapweedpulley.Instant) time.Duration {
	return now.Sub(max(s.started, knapweedpulley.Instant(s.heard.Load())))
}

func (s *subscription) run(ctx context.Context) error {
	stream, err := s.configuration.link.Subscribe(ctx, s.to)
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
		s.take(u)
	}
}

// ping sends a heartbeat at once and then regularly.
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
	mistrusted := *s.mistrusted.Load()
	for _, t := range s.configuration.tables {
		if state, ok := t.State(); ok && !mistrusted.Has(t.kind) {
			p.Have = append(p.Have, state)
		}
	}
	return p
}

// take takes over an update.
func (s *subscription) take(u knapweedpulley.ConfigurationUpdate) {
	s.clocks.observe(u.Echo, u.EchoAt)
	now := s.configuration.clock.Now()
	for _, p := range u.Parts {
		if p.More {
			s.pending[p.Kind] = append(s.pending[p.Kind], p.Changes...)
			continue
		}
		p.Changes = append(s.pending[p.Kind], p.Changes...)
		delete(s.pending, p.Kind)
		if p.CompleteAsOf != 0 {
			p.CompleteAsOf = s.clocks.local(p.CompleteAsOf, now)
		}
		s.takePart(p)
	}
	s.seen.Add(1)
	s.heard.Store(int64(now))
	s.evidence.Store(int64(s.oldest()))
	s.configuration.refreshed.give()
}

// takePart takes over a whole part whose evidence is on this clock.
func (s *subscription) takePart(p knapweedpulley.ConfigurationPart) {
	t := s.configuration.table(p.Kind)
	if t == nil {
		return
	}
	before := t.View()
	applied := true
	if p.Full {
		t.Replace(objectsOf(p.Changes), p.Revision, p.CompleteAsOf)
	} else {
		applied = t.Advance(p.From, p.Changes, p.Revision, p.CompleteAsOf)
	}
	after := t.View()
	drifted := after.Revision == p.Revision && after.Digest != p.Digest
	if drifted {
		s.configuration.drifts.Add(1)
		s.configuration.log.WithField("collection", string(p.Kind)).Warn("configuration has drifted")
	}
	s.mistrust(p.Kind, !applied || drifted)
	if applied {
		s.told[p.Kind] = p.CompleteAsOf
	}
	if after.Digest != before.Digest || !before.Loaded {
		s.configuration.changed.give()
	}
}

// mistrust says whether a collection must be sent whole.
func (s *subscription) mistrust(kind knapweedpulley.Kind, whole bool) {
	old := *s.mistrusted.Load()
	if old.Has(kind) == whole {
		return
	}
	next := knapweedpulley.NewSet[knapweedpulley.Kind]()
	for k := range old {
		next.Add(k)
	}
	next.Add(kind)
	if !whole {
		next.Remove(kind)
	}
	s.mistrusted.Store(&next)
}

// oldest returns the oldest evidence that the peer told, zero if it told none
// for a collection.
func (s *subscription) oldest() knapweedpulley.Instant {
	var oldest knapweedpulley.Instant
	for i, t := range s.configuration.tables {
		if e := s.told[t.kind]; i == 0 || e < oldest {
			oldest = e
		}
	}
	return oldest
}

func objectsOf(changes []knapweedpulley.ConfigurationChange) []knapweedpulley.Object {
	objects := make([]knapweedpulley.Object, 0, len(changes))
	for _, c := range changes {
		objects = append(objects, c.Object)
	}
	return objects
}
