package model

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

// transferSubject, followed by the kind, is the subject whose owner limits the transfers
// of that kind.
const transferSubject = "weightStore/"

// TransferOwner implements knapweedpulley.TransferLimiter at the entry process that owns
// the transfers, for the requests of all entry processes.
type TransferOwner struct {
	clock  knapweedpulley.Clock
	mu     sync.Mutex
	queues map[knapweedpulley.TransferKind]*TransferQueue
	// changed is closed and replaced when a transfer is done.
	changed chan struct{}
}

// NewTransferOwner returns an owner that enforces the given limits.
func NewTransferOwner(clock knapweedpulley.Clock, models, adapters Limits) *TransferOwner {
	return &TransferOwner{
		clock: clock,
		queues: map[knapweedpulley.TransferKind]*TransferQueue{
			knapweedpulley.TransferModel:   NewTransferQueue(models),
			knapweedpulley.TransferAdapter: NewTransferQueue(adapters),
		},
		changed: make(chan struct{}),
	}
}

// Acquire implements knapweedpulley.TransferLimiter.
func (o *TransferOwner) Acquire(ctx context.Context, t knapweedpulley.TransferRequest) (bool, error) {
	end := o.clock.Now().Add(min(longPollTimeout, t.Timeout))
	for {
		granted, wait, changed, err := o.tryAcquire(t, end)
		if granted || err != nil || wait <= 0 {
			return granted, err
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-changed:
		case <-ctx.Done():
			timer.Stop()
			return false, nil
		}
		timer.Stop()
	}
}

// tryAcquire requests a transfer once. Without a grant it returns the time until the next
// attempt, at most until end, and a channel that is closed if the caller should try again
// earlier.
func (o *TransferOwner) tryAcquire(
	t knapweedpulley.TransferRequest, end knapweedpulley.Instant,
) (bool, time.Duration, <-chan struct{}, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r, ok := o.queues[t.Kind]
	if !ok {
		return false, 0, nil, knapweedpulley.NewRefusal(
			knapweedpulley.CodeInvalidRequest, knapweedpulley.NotRun, "unknown kind of transfer %q; allowed: model, adapter",
			t.Kind)
	}
	now := o.clock.Now()
	t.Timeout = max(t.Timeout, 0)
	granted, err := r.Acquire(t, now)
	wait := end.Sub(now)
	if next, limited := r.RateDelay(now); limited {
		wait = min(wait, next)
	}
	return granted, wait, o.changed, err
}

// Done implements knapweedpulley.TransferLimiter.
func (o *TransferOwner) Done(_ context.Context, t knapweedpulley.TransferRequest) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r, ok := o.queues[t.Kind]; ok {
		r.Done(t, o.clock.Now())
	}
	close(o.changed)
	o.changed = make(chan struct{})
	return nil
}

// TransferRouter implements knapweedpulley.TransferLimiter. It forwards requests to the
// entry process that owns the transfers, or to the next one if the owner doesn't answer.
type TransferRouter struct {
	membership knapweedpulley.Membership
	local      knapweedpulley.TransferLimiter
	forwarder  knapweedpulley.TransferForwarder
}

// NewTransferRouter returns a router; local limits the transfers that this entry
// process owns.
func NewTransferRouter(
	membership knapweedpulley.Membership, local knapweedpulley.TransferLimiter,
	forwarder knapweedpulley.TransferForwarder,
) *TransferRouter {
	return &TransferRouter{membership: membership, local: local, forwarder: forwarder}
}

// Acquire implements knapweedpulley.TransferLimiter.
func (r *TransferRouter) Acquire(ctx context.Context, t knapweedpulley.TransferRequest) (bool, error) {
	unresponsive := knapweedpulley.NewSet[knapweedpulley.EntryID]()
	for ctx.Err() == nil {
		owner := ownerOf(r.membership, transferSubject+string(t.Kind), unresponsive)
		if owner.Entry == r.membership.Self().Entry {
			return r.local.Acquire(ctx, t)
		}
		granted, err := r.forwardAcquire(ctx, owner, t)
		var refusal *knapweedpulley.Refusal
		if err == nil || errors.As(err, &refusal) {
			return granted, err
		}
		unresponsive.Add(owner.Entry)
	}
	return false, nil
}

func (r *TransferRouter) forwardAcquire(
	ctx context.Context, owner knapweedpulley.Member, t knapweedpulley.TransferRequest,
) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return r.forwarder.ForwardAcquire(ctx, owner, t)
}

// Done implements knapweedpulley.TransferLimiter.
func (r *TransferRouter) Done(ctx context.Context, t knapweedpulley.TransferRequest) error {
	owner := r.membership.Owner(transferSubject + string(t.Kind))
	if owner.Entry == r.membership.Self().Entry {
		return r.local.Done(ctx, t)
	}
	return r.forwarder.ForwardDone(ctx, owner, t)
}
