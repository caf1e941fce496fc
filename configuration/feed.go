package configuration

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/machine"
)

const (
	// maxUpdateBytes bounds the total size of the values in one update. The rest follows in the
	// next update.
	maxUpdateBytes = int(knapweedpulley.MiB)
	// batchPeriod is the time during which changes are collected into one update.
	batchPeriod = 20 * time.Millisecond
	// minRefreshPeriod is the minimum time between two updates that only advance the evidence.
	minRefreshPeriod = 450 * time.Millisecond
)

// errEnded means that the process stops.
var errEnded = errors.New("the configuration is no longer replicated")

// cursor is the state of a subscriber as far as the feed knows it.
type cursor struct {
	have map[knapweedpulley.Kind]knapweedpulley.ConfigurationState
	// echo is the send time in the last ping, which arrived at echoAt.
	echo   knapweedpulley.Instant
	echoAt knapweedpulley.Instant
	// sent counts the updates that were sent to the subscriber.
	sent uint64
}

// receivedPing is a ping with the time at which it arrived.
type receivedPing struct {
	knapweedpulley.ConfigurationPing
	at knapweedpulley.Instant
}

// applyPing updates the cursor from a ping.
func (c *cursor) applyPing(p receivedPing) {
	c.echo, c.echoAt = p.Sent, p.at
	if p.Seen < c.sent {
		// The ping predates the arrival of the last update, so its states are outdated.
		return
	}
	c.have = make(map[knapweedpulley.Kind]knapweedpulley.ConfigurationState, len(p.Have))
	for _, s := range p.Have {
		c.have[s.Kind] = s
	}
}

// behind reports whether the subscriber lacks content of a table.
func (c *cursor) behind(t *Table) bool {
	have, known := c.have[t.kind]
	v := t.View()
	return v.Loaded && (!known || have.Revision < v.Revision || (have.Revision == v.Revision && have.Digest != v.Digest))
}

// part returns the changes that bring the subscriber's collection up to date with a table, and
// false if the table's content is unknown.
func (c *cursor) part(t *Table) (knapweedpulley.ConfigurationPart, bool) {
	// The content must be read after the evidence for it, and the end of the last outage after the
	// content: the subscriber must learn of an outage no later than of the changes after it.
	completeAsOf := t.Evidence().CompleteAsOf
	have, known := c.have[t.kind]
	changes, view, kept := t.Since(have.Revision)
	if !view.Loaded {
		return knapweedpulley.ConfigurationPart{}, false
	}
	p := knapweedpulley.ConfigurationPart{
		Kind: t.kind, From: have.Revision, Revision: view.Revision, Digest: view.Digest,
		CompleteAsOf: completeAsOf, ContinuousSince: t.Evidence().ContinuousSince,
	}
	drifted := have.Revision == view.Revision && have.Digest != view.Digest
	if p.Changes = changes; !known || !kept || drifted {
		p.From, p.Full = 0, true
		p.Changes = withFullValues(difference(nil, view.Objects, view.Revision))
	}
	if !known || have.Revision <= view.Revision {
		c.have[t.kind] = knapweedpulley.ConfigurationState{Kind: t.kind, Revision: view.Revision, Digest: view.Digest}
	}
	return p, true
}

// pack splits parts into updates of bounded size.
func pack(parts []knapweedpulley.ConfigurationPart) [][]knapweedpulley.ConfigurationPart {
	result := [][]knapweedpulley.ConfigurationPart{nil}
	size := 0
	for _, p := range parts {
		rest := p.Changes
		for {
			n := countFitting(rest, maxUpdateBytes-size)
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

// countFitting returns how many changes fit into room. An empty update takes at least one change,
// however large it is.
func countFitting(changes []knapweedpulley.ConfigurationChange, room int) int {
	size := 0
	for i, c := range changes {
		size += len(c.Value)
		if size > room && (i > 0 || room < maxUpdateBytes) {
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
	f := &feed{configuration: c, subscriber: s, pings: make(chan receivedPing), receiveErr: make(chan error, 1)}
	go func() { f.receiveErr <- f.receive(ctx) }()
	if err := f.awaitFirstPing(ctx); err != nil {
		return err
	}
	for {
		// Changes from here on are sent in the next iteration.
		changed, refreshed := c.changed.wait(), c.refreshed.wait()
		if err := f.send(); err != nil {
			return err
		}
		_ = machine.Pause(ctx, batchPeriod)
		if err := f.awaitUpdateDue(ctx, changed, refreshed); err != nil {
			return err
		}
	}
}

// feed sends updates to one subscriber.
type feed struct {
	configuration *Configuration
	subscriber    knapweedpulley.ConfigurationSubscriber
	pings         chan receivedPing
	receiveErr    chan error
	cursor        cursor
	sentAt        knapweedpulley.Instant
}

// receive forwards pings to f.pings as they arrive.
func (f *feed) receive(ctx context.Context) error {
	for {
		p, err := f.subscriber.Receive()
		if err != nil {
			return errors.Wrap(err, "receive ping")
		}
		select {
		case f.pings <- receivedPing{p, f.configuration.clock.Now()}:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// awaitFirstPing waits for the first ping and applies it to the cursor.
func (f *feed) awaitFirstPing(ctx context.Context) error {
	select {
	case p := <-f.pings:
		f.cursor.applyPing(p)
		return nil
	case err := <-f.receiveErr:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// awaitUpdateDue returns when the next update is due: when content has changed, when evidence has
// advanced and minRefreshPeriod has passed since the last update, when a ping shows that the
// subscriber lacks content, or after a heartbeat period.
func (f *feed) awaitUpdateDue(ctx context.Context, changed, refreshed <-chan struct{}) error {
	timer := time.NewTimer(heartbeatPeriod)
	defer timer.Stop()
	for {
		select {
		case <-changed:
			return nil
		case <-refreshed:
			refreshed = nil
			rest := minRefreshPeriod - f.configuration.clock.Now().Sub(f.sentAt)
			if rest <= 0 {
				return nil
			}
			timer.Reset(rest)
		case p := <-f.pings:
			f.cursor.applyPing(p)
			if f.behind() {
				return nil
			}
		case <-timer.C:
			return nil
		case err := <-f.receiveErr:
			return err
		case <-f.configuration.ended:
			return errEnded
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

// send sends the updates that bring the subscriber up to date.
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
