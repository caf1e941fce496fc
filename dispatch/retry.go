package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// retryDelay is the time before the second attempt. Each further attempt
	// waits longer by the same amount.
	retryDelay = 25 * time.Millisecond
	// requestsPerRetry is the number of requests that fund one retry of a request
	// that may have run.
	requestsPerRetry = 10
	// maxSavedRetries is the largest balance of the retry budget, in retries.
	maxSavedRetries = 20
)

// mayRetry reports whether the request can be retried after a refusal. A request
// that did not run can. One that may have run can if it is idempotent, the caller
// has seen no part of an answer, and the retry budget allows it.
func (d *Dispatcher) mayRetry(
	ctx context.Context, r *knapweedpulley.Request, w *relay, refusal *knapweedpulley.Refusal,
) bool {
	if r.Attempt >= maxAttempts || ctx.Err() != nil || timeLeft(ctx) == 0 || !retryable(refusal.Code) {
		return false
	}
	if refusal.Verdict == knapweedpulley.NotRun {
		return true
	}
	return r.Idempotent && !w.started() && d.retries.tryWithdraw()
}

// retryable reports whether another attempt may succeed after a refusal with the
// given code.
func retryable(code knapweedpulley.Code) bool {
	switch code {
	case knapweedpulley.CodeDraining,
		knapweedpulley.CodeEngineFailed,
		knapweedpulley.CodeFenced,
		knapweedpulley.CodeLinkLost,
		knapweedpulley.CodeModelNotFound,
		knapweedpulley.CodeNoEndpoint,
		knapweedpulley.CodeNotPermitted,
		knapweedpulley.CodeNotReady,
		knapweedpulley.CodeOutOfMemory,
		knapweedpulley.CodeOverloaded,
		knapweedpulley.CodeQueueFull,
		knapweedpulley.CodeStale:
		return true
	default:
		return false
	}
}

// retryBudget bounds the retries of requests that may have run to a share of
// all requests, so that retries can't multiply an overload. It is a token bucket
// that each request fills by a fraction of a retry.
type retryBudget struct {
	// balance is counted in 1/requestsPerRetry of a retry.
	balance atomic.Int64
}

// newRetryBudget returns a full budget.
func newRetryBudget() *retryBudget {
	b := &retryBudget{}
	b.balance.Store(maxSavedRetries * requestsPerRetry)
	return b
}

// deposit adds the share of one request, unless the budget is full.
func (b *retryBudget) deposit() {
	for {
		balance := b.balance.Load()
		if balance >= maxSavedRetries*requestsPerRetry || b.balance.CompareAndSwap(balance, balance+1) {
			return
		}
	}
}

// tryWithdraw takes one retry from the budget and reports whether there was one.
func (b *retryBudget) tryWithdraw() bool {
	for {
		balance := b.balance.Load()
		if balance < requestsPerRetry {
			return false
		}
		if b.balance.CompareAndSwap(balance, balance-requestsPerRetry) {
			return true
		}
	}
}
