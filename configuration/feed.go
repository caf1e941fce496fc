package configuration

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/machine"
)

const (
	// maxUpdate is the size of the values in one update, beyond which the rest
	// follows in the next.
	maxUpdate = int(knapweedpulley.MiB)
	// pushGap is the time in which changes are collected into one update.
	pushGap = 20 * time.Millisecond
	// refreshGap is the least time between two updates of evidence only.
	refreshGap = 450 * time.Millisecond
)

// cursor is what a subscriber is known to have.
type cursor struct {
	have map[knapweedpulley.Kind]knapweedpulley.ConfigurationState
	// echo is the time in the last ping, which arrived at echoAt.
	echo   knapweedpulley.Instant
	echoAt knapweedpulley.Instant
	// sent counts the updates that were sent.
	sent uint64
}

// arrival is a ping with the time when it had arrived.
type arrival struct {
	knapweedpulley.ConfigurationPing
	at knapweedpulley.Instant
}

// take notes what a ping tells.
func (c *cursor) take(p arrival) {
	c.echo, c.echoAt = p.Sent, p.at
	if p.Seen < c.sent {
		// The ping was sent before the last update arrived.
		return
	}
	c.have = make(map[knapweedpulley.Kind]knapweedpulley.ConfigurationState, len(p.Have))
	for _, s := range p.Have {
		c.have[s.Kind] = s
	}
}

// behind reports whether the subscriber lacks content of the table.
func (c *cursor) behind(t *Table) bool {
	have, known := c.have[t.kind]
	v := t.View()
	return v.Loaded && (!known || have.Revision < v.Revision || (have.Revision == v.Revision && have.Digest != v.Digest))
}

// part returns what brings the subscriber's collection up to date with the
// table, and false if the table's content is unknown.
func (c *cursor) part(t *Table) (knapweedpulley.ConfigurationPart, bool) {
	evidence := t.Evidence()
	have, known := c.have[t.kind]
	changes, view, kept := t.Since(have.Revision)
	if !view.Loaded {
		return knapweedpulley.ConfigurationPart{}, false
	}
	p := knapweedpulley.ConfigurationPart{
		Kind: t.kind, From: have.Revision, Revision: view.Revision, Digest: view.Digest, CompleteAsOf: evidence,
	}
	drifted := have.Revision == view.Revision && have.Digest != view.Digest
	if p.Changes = changes; !known || !kept || drifted {
		p.From, p.Full = 0, true
		p.Changes = unshortened(difference(nil, view.Objects, view.Revision))
	}
	if !known || have.Revision <= view.Revision {
		c.have[t.kind] = knapweedpulley.ConfigurationState{Kind: t.kind, Revision: view.Revision, Digest: view.Digest}
	}
	return p, true
}

// pack divides parts over updates of bounded size.
func pack(parts []knapweedpulley.ConfigurationPart) [][]knapweedpulley.ConfigurationPart {
	result := [][]knapweedpulley.ConfigurationPart{nil}
	size := 0
	for _, p := range parts {
		rest := p.Changes
		for {
			n := fitting(rest, maxUpdate-size)
			chunk := p
			chunk.Changes, chunk.More = rest[:n], n < len(rest)
			rest = rest[n:]
			last := len(result) - 1
			result[last] = append(result[last], chunk)
			if !chunk.More {
				size += sizeOf(chunk.Changes)
				break
			}
			result = append(result, nil)
			size = 0
		}
	}
	return result
}

// fitting returns how many changes fit into room; a whole update takes at
// least one.
func fitting(changes []knapweedpulley.ConfigurationChange, room int) int {
	size := 0
	for i, c := range changes {
		size += len(c.Value)
		if size > room && (i > 0 || room < maxUpdate) {
			return i
		}
	}
	return len(changes)
}

func sizeOf(changes []knapweedpulley.ConfigurationChange) int {
	size := 0
	for _, c := range changes {
		size += len(c.Value)
	}
	return size
}

// Feed implements knapweedpulley.ConfigurationSource.
func (c *Configuration) Feed(ctx context.Context, s knapweedpulley.ConfigurationSubscriber) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := &feed{configuration: c, subscriber: s, pings: make(chan arrival), failed: make(chan error, 1)}
	go func() { f.failed <- f.receive(ctx) }()
	if err := f.open(ctx); err != nil {
		return err
	}
	for {
		// Whatever changes from here on is sent in the next round.
		changed, refreshed := c.changed.wait(), c.refreshed.wait()
		if err := f.send(); err != nil {
			return err
		}
		_ = machine.Pause(ctx, pushGap)
		if err := f.wait(ctx, changed, refreshed); err != nil {
			return err
		}
	}
}

// feed serves one subscriber.
type feed struct {
	configuration *Configuration
	subscriber    knapweedpulley.ConfigurationSubscriber
	pings         chan arrival
	failed        chan error
	cursor        cursor
	sentAt        knapweedpulley.Instant
}

// receive passes on the pings as they arrive.
func (f *feed) receive(ctx context.Context) error {
	for {
		p, err := f.subscriber.Receive()
		if err != nil {
			return errors.Wrap(err, "receive ping")
		}
		select {
		case f.pings <- arrival{p, f.configuration.clock.Now()}:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// open waits for the first ping.
func (f *feed) open(ctx context.Context) error {
	select {
	case p := <-f.pings:
		f.cursor.take(p)
		return nil
	case err := <-f.failed:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// wait returns when the next update is due: when content has changed, evidence
// was refreshed a while after the last update, the subscriber says that it
// lacks content, or a heartbeat has passed.
func (f *feed) wait(ctx context.Context, changed, refreshed <-chan struct{}) error {
	timer := time.NewTimer(heartbeat)
	defer timer.Stop()
	for {
		select {
		case <-changed:
			return nil
		case <-refreshed:
			refreshed = nil
			rest := refreshGap - f.configuration.clock.Now().Sub(f.sentAt)
			if rest <= 0 {
				return nil
			}
			timer.Reset(rest)
		case p := <-f.pings:
			f.cursor.take(p)
			if f.behind() {
				return nil
			}
		case <-timer.C:
			return nil
		case err := <-f.failed:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (f *feed) behind() bool {
	for _, t := range f.configuration.tables {
		if f.cursor.behind(t) {
			return true
		}
	}
	return false
}

// send brings the subscriber up to date.
func (f *feed) send() error {
	var parts []knapweedpulley.ConfigurationPart
	for _, t := range f.configuration.tables {
		if p, ok := f.cursor.part(t); ok {
			parts = append(parts, p)
		}
	}
	for _, chunk := range pack(parts) {
		u := knapweedpulley.ConfigurationUpdate{Echo: f.cursor.echo, EchoAt: f.cursor.echoAt, Parts: chunk}
		if err := f.subscriber.Send(u); err != nil {
			return errors.Wrap(err, "send update")
		}
		f.cursor.sent++
	}
	f.sentAt = f.configuration.clock.Now()
	return nil
}
