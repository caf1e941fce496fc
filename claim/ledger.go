package claim

import (
	"context"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

// Ledger grants claims by conditional writes to the store. It implements knapweedpulley.Claimer
// for the claims whose bucket its process owns and for those that other processes forward to it.
// Its decisions are correct for any claim, but only the ledger of a bucket's owner batches the
// writes of the bucket efficiently.
type Ledger struct {
	store    knapweedpulley.ObjectStore
	settings Settings
	ctx      context.Context
	workers  sync.WaitGroup

	mu      sync.Mutex
	buckets map[string]*bucket
}

// NewLedger returns a ledger that keeps its records in store. The clean-up refuses the waiting
// operations and waits until the goroutines of the buckets have ended.
func NewLedger(store knapweedpulley.ObjectStore, settings Settings) (*Ledger, knapweedpulley.Cleanup) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Ledger{store: store, settings: settings, ctx: ctx, buckets: make(map[string]*bucket)}
	return l, func() {
		cancel()
		l.workers.Wait()
	}
}

// enqueue adds an operation to the queue of the named bucket, and starts the bucket if it isn't
// running.
func (l *Ledger) enqueue(o *operation, name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b, ok := l.buckets[name]; ok && b.enqueue(o) {
		return
	}
	if l.ctx.Err() != nil {
		o.finish(outcome{err: errStoreUnavailable})
		return
	}
	b := newBucket(name, l.store, l.settings)
	b.enqueue(o)
	l.buckets[name] = b
	l.workers.Go(func() {
		b.run(l.ctx)
		l.removeBucket(b)
	})
}

func (l *Ledger) removeBucket(b *bucket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.buckets[b.name] == b {
		delete(l.buckets, b.name)
	}
}

// Claim implements knapweedpulley.Claimer.
func (l *Ledger) Claim(ctx context.Context, c knapweedpulley.Claim) (knapweedpulley.ClaimResult, error) {
	id, name := claimIDAndBucket(c)
	o := newOperation(kindClaim, c, id)
	l.enqueue(o, name)
	result := o.wait(ctx)
	if result.err != nil || result.archive == "" {
		return result.result, result.err
	}
	stored, err := l.archivedAnswer(ctx, result.archive, id)
	if err != nil {
		return knapweedpulley.ClaimResult{}, knapweedpulley.NewRefusal(knapweedpulley.CodeStoreUnavailable,
			knapweedpulley.MayHaveRun, "the request was answered before; its answer can't be read: %v", err)
	}
	result.result.Answer = stored.toAnswer()
	return result.result, nil
}

// archivedAnswer reads the answer of a claim from an archive.
func (l *Ledger) archivedAnswer(ctx context.Context, archive string, id claimID) (*storedAnswer, error) {
	o, err := l.store.Get(ctx, knapweedpulley.KindClaims, archive)
	if err != nil {
		return nil, err
	}
	d, err := parseDocument(o.Value)
	if err != nil {
		return nil, err
	}
	i := slices.IndexFunc(d.Records, func(r record) bool { return r.ID == id })
	if i < 0 {
		return nil, errors.Newf("archive %s has no record of the claim", archive)
	}
	return d.Records[i].Answer, nil
}

// RecordAnswer implements knapweedpulley.Claimer. For an answer larger than MaxAnswerSize it records
// that the request was answered, but doesn't keep the answer.
func (l *Ledger) RecordAnswer(ctx context.Context, c knapweedpulley.Claim, a knapweedpulley.Answer) error {
	id, name := claimIDAndBucket(c)
	o := newOperation(kindAnswered, c, id)
	o.answer = newStoredAnswer(a, l.settings.MaxAnswerSize)
	l.enqueue(o, name)
	return o.wait(ctx).err
}

// Release implements knapweedpulley.Claimer.
func (l *Ledger) Release(ctx context.Context, c knapweedpulley.Claim) error {
	id, name := claimIDAndBucket(c)
	o := newOperation(kindRelease, c, id)
	l.enqueue(o, name)
	return o.wait(ctx).err
}

// releaseAsync queues the release of a claim that may have been granted and returns at once.
func (l *Ledger) releaseAsync(c knapweedpulley.Claim) {
	id, name := claimIDAndBucket(c)
	l.enqueue(newCompensatingRelease(newOperation(kindClaim, c, id)), name)
}
