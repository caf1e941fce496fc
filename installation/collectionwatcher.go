package installation

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/machine"
)

const (
	// watchWait is how long one watch waits for changes. A dead connection is
	// detected only after this time. That has to fit into the 2 s within which a
	// configuration must come into force plus the 3 s allowed after such a fault.
	watchWait = 2 * time.Second
	// endpointWatchInterval is the time between two watches of the endpoints. That
	// collection changes all the time, because each endpoint updates its
	// registration about once per second, and the interval limits the number of
	// calls to the store, since each of them is paid for. A draining endpoint must
	// get no more work after 2 s.
	endpointWatchInterval = 500 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay before another call to a store
	// that fails. The delay doubles with each failure and is jittered.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
)

// collectionWatcher lists the objects of one kind, then watches them, and reports
// their content and changes.
type collectionWatcher struct {
	store knapweedpulley.ObjectStore
	kind  knapweedpulley.Kind
	log   log.Interface
	// onReplace gets the whole content after each listing. onChanges gets the
	// changes after it, all those of one watch together.
	onReplace func(listing knapweedpulley.Listing)
	onChanges func(changes []knapweedpulley.Change)
	// watchInterval is the time between two watches.
	watchInterval time.Duration
	// onStoreLost is called when the store fails, onStoreRegained when it answers again.
	onStoreLost     func()
	onStoreRegained func()
}

// run lists and watches the collection until ctx ends.
func (w *collectionWatcher) run(ctx context.Context) {
	revision, listed := knapweedpulley.Revision(0), false
	retryDelay := minRetryDelay
	failing := false
	for ctx.Err() == nil {
		next, err := w.step(ctx, revision, listed)
		if err == nil {
			revision, listed = next, true
			retryDelay = minRetryDelay
			if failing {
				failing = false
				w.onStoreRegained()
				w.log.WithField("kind", w.kind).WithField("revision", revision).Info("store answers again, watching the collection")
			}
			_ = machine.Pause(ctx, w.watchInterval)
			continue
		}
		if errors.Is(err, knapweedpulley.ErrCompacted) {
			w.log.WithField("kind", w.kind).WithField("revision", revision).Warn("changes were compacted, listing the collection again")
			listed = false
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if !failing {
			failing = true
			w.onStoreLost()
			w.log.WithField("kind", w.kind).WithField("revision", revision).WithError(err).Warn("call to the store failed, retrying")
		}
		_ = machine.Pause(ctx, retryDelay/2+rand.N(retryDelay)) //nolint:gosec // It needs no secrecy.
		retryDelay = min(2*retryDelay, maxRetryDelay)
	}
}

// step lists the collection if it has not been listed yet, otherwise it waits for
// changes after revision. It returns the revision for the next watch.
func (w *collectionWatcher) step(
	ctx context.Context, revision knapweedpulley.Revision, listed bool,
) (knapweedpulley.Revision, error) {
	if !listed {
		l, err := w.store.List(ctx, w.kind)
		if err != nil {
			return 0, err
		}
		w.onReplace(l)
		return l.Revision, nil
	}
	changes, next, err := w.store.Watch(ctx, w.kind, revision, watchWait)
	if err != nil {
		return 0, err
	}
	if len(changes) > 0 {
		w.onChanges(changes)
	}
	return next, nil
}
