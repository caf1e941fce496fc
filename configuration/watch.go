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
	// defaultWatchWait is how long the store holds a watch request without changes unless the
	// collection says otherwise. It is short because it bounds the age of the evidence.
	defaultWatchWait = 500 * time.Millisecond
	// relistPeriod is the time after which a watcher lists a whole collection again, to find
	// changes that a watch missed.
	relistPeriod = 5 * time.Minute
)

// watch keeps all tables up to date from the store until ctx ends.
func (c *Configuration) watch(ctx context.Context) {
	var group sync.WaitGroup
	for _, t := range c.tables {
		group.Go(func() { newTableWatcher(c, t).run(ctx) })
	}
	group.Wait()
}

// tableWatcher keeps one table up to date from the store.
type tableWatcher struct {
	*Configuration
	table *Table
	// listed is when the collection was last listed. It is zero before the first request.
	listed knapweedpulley.Instant
	// answeringSince is when the first of the requests was sent that the store has answered without
	// a failure in between. It is zero if the last one failed.
	answeringSince knapweedpulley.Instant
}

func newTableWatcher(c *Configuration, t *Table) *tableWatcher {
	return &tableWatcher{Configuration: c, table: t}
}

// run lists and watches the collection until ctx ends.
func (w *tableWatcher) run(ctx context.Context) {
	failing, compacted := false, false
	defer func() {
		if failing {
			w.failingCollections.Add(-1)
		}
	}()
	for ctx.Err() == nil {
		sent := w.clock.Now()
		list := !w.table.View().Loaded || (w.listed != 0 && sent.Sub(w.listed) > relistPeriod)
		if w.listed == 0 {
			w.listed = sent
		}
		var err error
		if list {
			err = w.list(ctx, sent)
			w.listed = sent
		} else {
			err = w.awaitChanges(ctx, sent)
		}
		if errors.Is(err, knapweedpulley.ErrCompacted) {
			w.log.WithField("collection", string(w.table.kind)).WithField("revision", uint64(w.table.View().Revision)).
				Warn("changes were compacted, listing the collection again")
			err = w.list(ctx, w.clock.Now())
			if compacted && err == nil {
				// A store that discards all changes at once must not be listed without a pause.
				_ = machine.Pause(ctx, heartbeatPeriod)
			}
			compacted = true
		} else {
			compacted = false
		}
		if ctx.Err() != nil {
			return
		}
		if (err != nil) != failing {
			failing = err != nil
			w.storeStateChanged(err)
		}
		if err != nil {
			w.answeringSince = 0
			_ = machine.Pause(ctx, w.sourceInputs().storePause())
		}
	}
}

// storeStateChanged records that requests to the store begin to fail, or that they succeed again.
func (w *tableWatcher) storeStateChanged(err error) {
	entry := w.log.WithField("collection", string(w.table.kind)).WithField("revision", uint64(w.table.View().Revision))
	if err != nil {
		w.failingCollections.Add(1)
		entry.WithError(err).Warn("store request failed, retrying")
		return
	}
	w.failingCollections.Add(-1)
	entry.Info("store answers again, watching the collection")
}

// list reads the whole collection with a request sent at the given time.
func (w *tableWatcher) list(ctx context.Context, sent knapweedpulley.Instant) error {
	l, err := w.objects.List(ctx, w.table.kind)
	if err != nil {
		return err
	}
	before := w.table.View()
	w.table.Replace(w.table.trimObjects(l.Objects), l.Revision, w.evidence(sent))
	after := w.table.View()
	if before.Revision == after.Revision && before.Loaded && before.Digest != after.Digest {
		w.digestMismatches.Add(1)
	}
	return w.recordAnswer(before, l.Revision, sent)
}

// awaitChanges waits for changes with a request sent at the given time. It returns no sooner than
// the next request to the store is due.
func (w *tableWatcher) awaitChanges(ctx context.Context, sent knapweedpulley.Instant) error {
	before := w.table.View()
	wait := w.watchWait(w.table)
	changes, revision, err := w.objects.Watch(ctx, w.table.kind, before.Revision, wait)
	if err != nil {
		return err
	}
	if revision >= before.Revision {
		w.table.Advance(before.Revision, withFullValues(w.table.trimChanges(changes)), revision, w.evidence(sent))
	}
	took := w.clock.Now().Sub(sent)
	rest := max(batchPeriod, w.table.watchInterval-took)
	if len(changes) == 0 {
		rest = max(wait, w.table.watchInterval) - took
	}
	err = w.recordAnswer(before, revision, sent)
	_ = machine.Pause(ctx, rest)
	return err
}

// evidence returns the evidence of an answer to a request that was sent at the given time.
func (w *tableWatcher) evidence(sent knapweedpulley.Instant) Evidence {
	if w.answeringSince == 0 {
		w.answeringSince = sent
	}
	e := Evidence{CompleteAsOf: sent, ContinuousSince: w.answeringSince}
	if !w.table.View().Loaded {
		// Whether the store was down before is unknown.
		e.ContinuousSince = 0
	}
	return e
}

// recordAnswer records that the store answered a request sent at the given time. It returns an
// error if the store is behind the revision that the table had before.
func (w *tableWatcher) recordAnswer(
	before *View, revision knapweedpulley.Revision, sent knapweedpulley.Instant,
) error {
	if now := w.table.View(); now.Digest != before.Digest || !before.Loaded {
		w.changed.broadcast()
	}
	if revision < before.Revision {
		return errors.Newf("store answered with revision %s, older than the known revision %s", revision, before.Revision)
	}
	w.storeEvidence[w.table.kind].Store(int64(sent.Add(staleTolerance(w.watchWait(w.table)))))
	w.refreshed.broadcast()
	return nil
}
