package configuration

import (
	"context"
	"slices"
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
	// answeringSince is the end of the last failure of the store that the watcher knows of. Without one,
	// it is the time of the evidence with which the watch began. It is zero while the store fails.
	answeringSince knapweedpulley.Instant
	// lastFailed is set if the last request failed. The next one doesn't wait for changes, so that it
	// tells at once whether the store answers.
	lastFailed bool
	// connectionLost is when a connection to the store last delivered no answer.
	connectionLost knapweedpulley.Instant
	// failing is set while the store fails, compacted if the last request met compacted changes.
	failing, compacted bool
}

// newTableWatcher returns a watcher of a table. It continues the evidence of the table, because nothing
// shows that the store has failed since: the peers may be silent for a reason of their own.
func newTableWatcher(c *Configuration, t *Table) *tableWatcher {
	return &tableWatcher{Configuration: c, table: t, answeringSince: t.Evidence().CompleteAsOf}
}

// run lists and watches the collection until ctx ends.
func (w *tableWatcher) run(ctx context.Context) {
	defer func() {
		if w.failing {
			w.failingCollections.Add(-1)
		}
	}()
	for ctx.Err() == nil {
		sent := w.clock.Now()
		err := w.request(ctx, sent)
		if ctx.Err() != nil {
			return
		}
		switch {
		case err == nil:
			w.setFailing(nil)
		case errors.Is(err, knapweedpulley.ErrConnectionLost) && !w.lastFailed:
			w.connectionFailed(ctx, err)
		default:
			w.setFailing(err)
			w.answeringSince = 0
			w.pauseSince(ctx, sent)
		}
		w.lastFailed = err != nil
	}
}

// request lists the collection or waits for its changes, with a request sent at the given time.
func (w *tableWatcher) request(ctx context.Context, sent knapweedpulley.Instant) error {
	list := !w.table.View().Loaded || (w.listed != 0 && sent.Sub(w.listed) > relistPeriod)
	if w.listed == 0 {
		w.listed = sent
	}
	if list {
		w.listed = sent
		w.compacted = false
		return w.list(ctx, sent)
	}
	err := w.awaitChanges(ctx, sent)
	if !errors.Is(err, knapweedpulley.ErrCompacted) {
		w.compacted = false
		return err
	}
	w.log.WithField("collection", string(w.table.kind)).WithField("revision", w.table.View().Revision.String()).
		Warn("changes were compacted, listing the collection again")
	err = w.list(ctx, w.clock.Now())
	if w.compacted && err == nil {
		// A store that discards all changes at once must not be listed without a pause.
		_ = machine.Pause(ctx, heartbeatPeriod)
	}
	w.compacted = true
	return err
}

// connectionFailed handles an established connection that delivered no answer. It may have stopped
// delivering data, or the store may have cut the watch off, so the next request tells whether the
// store answers. It is due at once unless another connection was lost just before.
func (w *tableWatcher) connectionFailed(ctx context.Context, err error) {
	w.log.WithField("collection", string(w.table.kind)).WithField("revision", w.table.View().Revision.String()).
		WithError(err).Warn("connection to the store delivered no answer, checking whether the store answers another")
	if w.connectionLost != 0 {
		w.pauseSince(ctx, w.connectionLost)
	}
	w.connectionLost = w.clock.Now()
}

// pauseSince pauses until the pause after a failed request to the store has passed since an instant.
func (w *tableWatcher) pauseSince(ctx context.Context, since knapweedpulley.Instant) {
	rest := w.sourceInputs().storePause() - w.clock.Now().Sub(since)
	_ = machine.Pause(ctx, max(batchPeriod, rest))
}

// setFailing records whether requests to the store fail.
func (w *tableWatcher) setFailing(err error) {
	if w.failing == (err != nil) {
		return
	}
	w.failing = err != nil
	w.storeStateChanged(err)
}

// storeStateChanged records that requests to the store begin to fail, or that they succeed again.
func (w *tableWatcher) storeStateChanged(err error) {
	entry := w.log.WithField("collection", string(w.table.kind)).WithField("revision", w.table.View().Revision.String())
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
	if before.Loaded && l.Revision.Epoch() > before.Revision.Epoch() {
		w.log.WithField("collection", string(w.table.kind)).WithField("revision", l.Revision.String()).
			WithField("known", before.Revision.String()).Warn("store has come back from an older copy")
		w.answeringSince = sent
	}
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
	if w.lastFailed {
		wait = 0
	}
	changes, revision, err := w.objects.Watch(ctx, w.table.kind, before.Revision, wait)
	if err != nil {
		return err
	}
	if revision >= before.Revision {
		w.table.Advance(before.Revision, withFullValues(w.table.trimChanges(changes)), revision, w.evidence(sent))
	}
	err = w.recordAnswer(before, revision, sent)
	_ = machine.Pause(ctx, w.pauseAfter(changes, wait, w.clock.Now().Sub(sent)))
	return err
}

// pauseAfter returns the pause after a watch with the given wait that took a time and returned changes.
// An object that was removed may be back at once, so the interval doesn't apply after a removal.
func (w *tableWatcher) pauseAfter(changes []knapweedpulley.Change, wait, took time.Duration) time.Duration {
	removed := func(c knapweedpulley.Change) bool { return c.Deleted }
	switch {
	case len(changes) == 0:
		return max(wait, w.table.watchInterval) - took
	case slices.ContainsFunc(changes, removed):
		return batchPeriod
	default:
		return max(batchPeriod, w.table.watchInterval-took)
	}
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
