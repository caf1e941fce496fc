package gateway

import (
	"context"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/installation"
)

// charge is what a customer was charged for a call. The customer is absent if none was.
type charge struct {
	customer knapweedpulley.Option[knapweedpulley.CustomerID]
	tokens   knapweedpulley.Tokens
	// earlierRuns is the number of attempts before the charge in which the call may have run.
	earlierRuns int
}

// chargeCustomer charges the customer of an admission for the call, unless that was done before. What
// another customer was charged is returned first.
func (h *callHandler) chargeCustomer(ctx context.Context, a *installation.Admission) error {
	if a.Customer() == h.charge.customer {
		return nil
	}
	h.returnCharge()
	if a.Account == nil {
		return nil
	}
	tokens := h.price(a.Account)
	if err := h.takeTokens(ctx, a, tokens); err != nil {
		return err
	}
	h.charge = charge{customer: a.Customer(), tokens: tokens, earlierRuns: h.possibleRuns}
	return nil
}

// takeTokens takes the tokens for the call from its customer's contract.
func (h *callHandler) takeTokens(ctx context.Context, a *installation.Admission, tokens knapweedpulley.Tokens) error {
	visit, err := h.RateLimiter.Acquire(ctx, TokenRequest{
		Reservation: knapweedpulley.Reservation{
			Customer: a.Account.Customer, Tokens: tokens, Route: a.Route.ID, Priority: a.Priority,
			MaxWait: h.tokenWait(a), Fingerprint: h.call.Fingerprint,
		},
		Deadline: h.deadline, ChargeWait: a.Route.LatencyTarget / rateWaitDivisor,
		BeginWait: func(ctx context.Context) (context.Context, context.CancelCauseFunc) {
			ctx, cancel := h.waitContext(ctx)
			h.watchAdmission(ctx, cancel, a)
			return ctx, cancel
		},
	})
	if visit.outcome != "" {
		h.queueVisit = visit
		h.Meter.recordQueueVisit(visit)
	}
	return err
}

// loadReserveFactor is the time reserved for a model that has to be loaded, as a multiple of its load time from a
// disk: the engine may have to finish another load first.
const loadReserveFactor = 2

// tokenWait returns how long the call can wait for its tokens: what is left of its objective without the time
// for a load of its model and for the first answer, and no longer than until its deadline.
func (h *callHandler) tokenWait(a *installation.Admission) time.Duration {
	r, now := &a.Route, h.Clock.Now()
	load := loadReserveFactor * h.Placer.MissingLoadTime(a.Service.ID, h.call.Weights())
	wait := max(r.LatencyTarget/rateWaitDivisor, r.LatencyTarget-firstEventReserve-load)
	return max(0, min(h.call.Arrived.Add(wait), h.deadline.Add(-minSendTime)).Sub(now))
}

// price returns the number of tokens that the call costs an account. A contract that doesn't count
// tokens is charged one per call.
func (h *callHandler) price(a *knapweedpulley.Account) knapweedpulley.Tokens {
	switch {
	case !a.CountsTokens:
		return 1
	case h.call.HasTokenCounts:
		return h.call.Prompt + h.call.Completion
	default:
		return a.DefaultCharge
	}
}

// returnCharge forgets the charge, and returns it if the call has not run since it was made.
func (h *callHandler) returnCharge() {
	customer, charged := h.charge.customer.Get()
	if charged && h.possibleRuns == h.charge.earlierRuns {
		h.RateLimiter.Return(customer, h.charge.tokens)
	}
	h.charge = charge{}
}
