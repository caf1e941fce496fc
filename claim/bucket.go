package claim

import (
	"context"
	"sync"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/machine"
)

// bucket batches the operations on the claims of one bucket into conditional writes of its head.
// Only the goroutine that executes run accesses the view.
type bucket struct {
	name     string
	store    knapweedpulley.ObjectStore
	settings Settings
	view     *view
	wake     chan struct{}

	mu    sync.Mutex
	queue []*operation
	// stopped is set when the goroutine ends; the queue accepts no operations afterwards.
	stopped bool
}

func newBucket(name string, store knapweedpulley.ObjectStore, settings Settings) *bucket {
	return &bucket{name: name, store: store, settings: settings, view: newView(), wake: make(chan struct{}, 1)}
}

// enqueue adds operations to the queue. It returns false if the bucket has stopped.
func (b *bucket) enqueue(operations ...*operation) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return false
	}
	b.queue = append(b.queue, operations...)
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return true
}

// takeBatch empties the queue and returns its operations. It discards claims whose callers no
// longer wait, and compensating releases beyond maxCompensatingReleases.
func (b *bucket) takeBatch() []*operation {
	b.mu.Lock()
	defer b.mu.Unlock()
	operations := make([]*operation, 0, len(b.queue))
	releases := 0
	for _, o := range b.queue {
		if o.compensating {
			releases++
		}
		dropped := o.compensating && releases > maxCompensatingReleases || o.kind == kindClaim && o.waitEnded.Load()
		if !dropped {
			operations = append(operations, o)
		}
	}
	b.queue = nil
	return operations
}

// stop marks the bucket as stopped if the queue is empty or if force is set, and reports whether
// it did. Operations that are still queued are refused.
func (b *bucket) stop(force bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) > 0 && !force {
		return false
	}
	b.stopped = true
	for _, o := range b.queue {
		o.finish(outcome{err: errStoreUnavailable})
	}
	b.queue = nil
	return true
}

// run writes batches until the bucket has been idle for IdleTimeout or ctx ends.
func (b *bucket) run(ctx context.Context) {
	idle := time.NewTimer(b.settings.IdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-b.wake:
		case <-idle.C:
			if b.stop(false) {
				return
			}
			idle.Reset(b.settings.IdleTimeout)
			continue
		case <-ctx.Done():
			b.stop(true)
			return
		}
		_ = machine.Pause(ctx, b.settings.BatchDelay)
		writeStart := time.Now()
		b.flush(ctx)
		_ = machine.Pause(ctx, b.settings.WriteInterval-b.settings.BatchDelay-time.Since(writeStart))
		idle.Reset(b.settings.IdleTimeout)
	}
}

// flush commits the queued operations in one write. Operations that exceed the size of a batch
// return to the queue.
func (b *bucket) flush(ctx context.Context) {
	operations := b.takeBatch()
	if len(operations) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, b.settings.StoreTimeout)
	defer cancel()
	p, outcomeUnknown, err := b.commit(ctx, operations)
	if err != nil {
		b.failBatch(operations, outcomeUnknown, err)
		return
	}
	for i, o := range operations[:len(p.outcomes)] {
		b.finish(o, p.outcomes[i])
	}
	if remaining := operations[len(p.outcomes):]; len(remaining) > 0 {
		b.enqueue(remaining...)
	}
}

// finish delivers the outcome of an operation. A grant whose caller no longer waits is released.
func (b *bucket) finish(o *operation, result outcome) {
	if o.finish(result) || o.kind != kindClaim {
		return
	}
	if result.result.State == knapweedpulley.ClaimGranted {
		b.enqueue(newCompensatingRelease(o))
	}
}

// failBatch finishes the operations of a batch that was not written successfully. If
// outcomeUnknown is set, the write may have taken effect or may still do so, and the claims of
// the batch are released. Releases are queued again as compensating releases in any case.
func (b *bucket) failBatch(operations []*operation, outcomeUnknown bool, err error) {
	for _, o := range operations {
		switch {
		case o.compensating:
			b.enqueue(o)
			continue
		case o.kind == kindRelease, o.kind == kindClaim && outcomeUnknown:
			b.enqueue(newCompensatingRelease(o))
		}
		o.finish(outcome{err: err})
	}
}
