package claim

import (
	"context"
	"math"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

var (
	// errNotHeld refuses an answer to a claim that the request doesn't hold.
	errNotHeld = knapweedpulley.NewRefusal(
		knapweedpulley.CodeConflict, knapweedpulley.MayHaveRun, "the claim is not held by this request")
	// errSuperseded refuses an attempt whose claim was released or replaced by a later attempt of
	// the same request.
	errSuperseded = knapweedpulley.NewRefusal(
		knapweedpulley.CodeConflict, knapweedpulley.NotRun,
		"the claim was released or replaced by a later attempt of the same request")
	// errBucketFull refuses a change that makes an object of the bucket larger than maxDocumentSize.
	errBucketFull = knapweedpulley.NewRefusal(
		knapweedpulley.CodeOverloaded, knapweedpulley.NotRun, "the store object of the claim's bucket is full")
	// errStoreUnavailable refuses an operation that was not written before the time-out or the shutdown.
	errStoreUnavailable = knapweedpulley.NewRefusal(
		knapweedpulley.CodeStoreUnavailable, knapweedpulley.NotRun,
		"the claim could not be written to the platform's store")
)

// operationKind is the kind of an operation on a claim.
type operationKind int

const (
	kindClaim operationKind = iota + 1
	kindAnswered
	kindRelease
)

// operation is a queued change of one claim.
type operation struct {
	kind   operationKind
	claim  knapweedpulley.Claim
	id     claimID
	answer *storedAnswer
	// compensating is set for the release of a claim whose caller received a refusal although the
	// write of the claim may have taken effect or may still do so.
	compensating bool
	// waitEnded is set when the bucket delivers the outcome or the caller stops waiting, whichever
	// happens first.
	waitEnded atomic.Bool
	outcome   chan outcome
}

func newOperation(kind operationKind, c knapweedpulley.Claim, id claimID) *operation {
	return &operation{kind: kind, claim: c, id: id, outcome: make(chan outcome, 1)}
}

// newCompensatingRelease returns a release without a waiting caller. For a claim, it releases the
// attempt of the claim and those before it. For a release that failed, it releases all attempts of
// the request.
func newCompensatingRelease(o *operation) *operation {
	release := newOperation(kindRelease, o.claim, o.id)
	if o.kind == kindRelease && !o.compensating {
		release.claim.Attempt = math.MaxUint32
	}
	release.compensating = true
	release.waitEnded.Store(true)
	return release
}

func (o *operation) newRecord(s state) record {
	return record{
		ID: o.id, Request: o.claim.Request, Fingerprint: o.claim.Fingerprint, Attempt: o.claim.Attempt, State: s,
	}
}

// finish delivers the outcome and reports whether the caller was still waiting.
func (o *operation) finish(result outcome) bool {
	if !o.waitEnded.CompareAndSwap(false, true) {
		return false
	}
	o.outcome <- result
	return true
}

// wait returns the outcome of the operation, or a refusal if ctx ends first.
func (o *operation) wait(ctx context.Context) outcome {
	select {
	case result := <-o.outcome:
		return result
	case <-ctx.Done():
	}
	if !o.waitEnded.CompareAndSwap(false, true) {
		return <-o.outcome
	}
	code := knapweedpulley.CodeCanceled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		code = knapweedpulley.CodeDeadlineExceeded
	}
	return outcome{err: knapweedpulley.NewRefusal(code, knapweedpulley.NotRun, "no claim was granted in time")}
}
