package configuration

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/machine"
)

const (
	// watchWait is how long the store holds a watch request without changes. It is short because it
	// bounds the age of the evidence.
	watchWait = 500 * time.Millisecond
	// relistPeriod is the time after which a watcher lists a whole collection again, to find
	// changes that a watch missed.
	relistPeriod = 5 * time.Minute
)

// watch keeps all tables up to date from the store until ctx ends.
func (c *Configuration) watch(ctx context.Context) {
	var group sync.WaitGroup
	for _, t := range c.tables {
		group.Go(func() { c.watchTable(ctx, t) })
	}
	group.Wait()
}

func (c *Configuration) watchTable(ctx context.Context, t *Table) {
	var listed knapweedpulley.Instant
	for ctx.Err() == nil {
		sent := c.clock.Now()
		list := !t.View().Loaded || (listed != 0 && sent.Sub(listed) > relistPeriod)
		if listed == 0 {
			listed = sent
		}
		var err error
		if list {
			err = c.list(ctx, t, sent)
			listed = sent
		} else {
			err = c.awaitChanges(ctx, t, sent)
		}
		if errors.Is(err, knapweedpulley.ErrCompacted) {
			err = c.list(ctx, t, c.clock.Now())
		}
		if err != nil && ctx.Err() == nil {
			c.log.WithError(err).WithField("collection", string(t.kind)).Warn("store request failed, retrying after a pause")
			_ = machine.Pause(ctx, c.sourceInputs().storePause())
		}
	}
}

// list reads a whole collection with a request sent at the given time.
func (c *Configuration) list(ctx context.Context, t *Table, sent knapweedpulley.Instant) error {
	l, err := c.objects.List(ctx, t.kind)
	if err != nil {
		return err
	}
	before := t.View()
	t.Replace(t.trimObjects(l.Objects), l.Revision, sent)
	after := t.View()
	if before.Revision == after.Revision && before.Loaded && before.Digest != after.Digest {
		c.digestMismatches.Add(1)
	}
	return c.recordAnswer(t, before, l.Revision, sent)
}

// awaitChanges waits for changes with a request sent at the given time. It returns no sooner than
// the next request to the store is due.
func (c *Configuration) awaitChanges(ctx context.Context, t *Table, sent knapweedpulley.Instant) error {
	before := t.View()
	changes, revision, err := c.objects.Watch(ctx, t.kind, before.Revision, watchWait)
	if err != nil {
		return err
	}
	if revision >= before.Revision {
		t.Advance(before.Revision, withFullValues(t.trimChanges(changes)), revision, sent)
	}
	rest := batchPeriod
	if len(changes) == 0 {
		rest = watchWait - c.clock.Now().Sub(sent)
	}
	err = c.recordAnswer(t, before, revision, sent)
	_ = machine.Pause(ctx, rest)
	return err
}

// recordAnswer records that the store answered a request sent at the given time. It returns an
// error if the store is behind the revision that the table had before.
func (c *Configuration) recordAnswer(
	t *Table, before *View, revision knapweedpulley.Revision, sent knapweedpulley.Instant,
) error {
	if now := t.View(); now.Digest != before.Digest || !before.Loaded {
		c.changed.broadcast()
	}
	if revision < before.Revision {
		return errors.Newf("store answered with revision %s, older than the known revision %s", revision, before.Revision)
	}
	c.storeEvidence[t.kind].Store(int64(sent))
	c.refreshed.broadcast()
	return nil
}
