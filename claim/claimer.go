package claim

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// bucketSubjectPrefix precedes a bucket's name in the subject that determines its owner.
	bucketSubjectPrefix = "claims/"
	// forwardTimeout bounds a call to the owner of a bucket.
	forwardTimeout = 500 * time.Millisecond
	// attemptForwarded and attemptLocal order the attempts of one request: the local attempt
	// follows the forwarded one and replaces it.
	attemptForwarded = 1
	attemptLocal     = 2
)

// Claimer forwards each claim to the entry process that owns its bucket. If the owner can't be
// reached, it uses the local ledger: the conditional writes of the store prevent two grants.
type Claimer struct {
	ledger     *Ledger
	membership knapweedpulley.Membership
	forwarder  knapweedpulley.ClaimForwarder
}

// NewClaimer returns a claimer that finds owners in membership and reaches them through
// forwarder. It uses ledger for the buckets that this process owns and when an owner is
// unreachable.
func NewClaimer(
	ledger *Ledger, membership knapweedpulley.Membership, forwarder knapweedpulley.ClaimForwarder,
) *Claimer {
	return &Claimer{ledger: ledger, membership: membership, forwarder: forwarder}
}

// owner returns the member that owns the bucket of a claim. It also reports whether there is an
// owner and it is another process, so that the call must be forwarded.
func (c *Claimer) owner(k knapweedpulley.Claim) (knapweedpulley.Member, bool) {
	_, name := claimIDAndBucket(k)
	owner := c.membership.Owner(bucketSubjectPrefix + name)
	return owner, owner.Entry != "" && owner.Entry != c.membership.Self().Entry
}

// withForwardTimeout bounds a forwarded call to forwardTimeout and to half of the time that ctx
// has left, so that the local ledger can still be used afterwards.
func withForwardTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	timeout := forwardTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline)/2)
	}
	return context.WithTimeout(ctx, timeout)
}

// decidedByOwner reports whether err, the error of a forwarded call, shows that the owner decided
// on the call: it succeeded or the owner refused it.
func decidedByOwner(err error) bool {
	var refusal *knapweedpulley.Refusal
	return err == nil || errors.As(err, &refusal)
}

// Claim implements knapweedpulley.Claimer.
func (c *Claimer) Claim(ctx context.Context, k knapweedpulley.Claim) (knapweedpulley.ClaimResult, error) {
	owner, remote := c.owner(k)
	if !remote {
		return c.ledger.Claim(ctx, k)
	}
	forwardCtx, cancel := withForwardTimeout(ctx)
	defer cancel()
	k.Attempt = attemptForwarded
	result, err := c.forwarder.ForwardClaim(forwardCtx, owner, k)
	if decidedByOwner(err) {
		return result, err
	}
	// The owner may have granted the claim, and may release it later because its caller stopped
	// waiting. The higher attempt number makes the local attempt replace the forwarded one, so
	// that such a release doesn't affect it.
	k.Attempt = attemptLocal
	result, err = c.ledger.Claim(ctx, k)
	if err != nil {
		c.ledger.releaseAsync(k)
	}
	return result, err
}

// RecordAnswer implements knapweedpulley.Claimer.
func (c *Claimer) RecordAnswer(ctx context.Context, k knapweedpulley.Claim, a knapweedpulley.Answer) error {
	owner, remote := c.owner(k)
	if !remote {
		return c.ledger.RecordAnswer(ctx, k, a)
	}
	forwardCtx, cancel := withForwardTimeout(ctx)
	defer cancel()
	if err := c.forwarder.ForwardAnswer(forwardCtx, owner, k, a); decidedByOwner(err) {
		return err
	}
	return c.ledger.RecordAnswer(ctx, k, a)
}

// Release implements knapweedpulley.Claimer.
func (c *Claimer) Release(ctx context.Context, k knapweedpulley.Claim) error {
	owner, remote := c.owner(k)
	if !remote {
		return c.ledger.Release(ctx, k)
	}
	forwardCtx, cancel := withForwardTimeout(ctx)
	defer cancel()
	if err := c.forwarder.ForwardRelease(forwardCtx, owner, k); decidedByOwner(err) {
		return err
	}
	return c.ledger.Release(ctx, k)
}
