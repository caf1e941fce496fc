package agent

import (
	"context"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

// refusalMargin is the time reserved before a deadline so that a refusal arrives in time.
const refusalMargin = 20 * time.Millisecond

// ticket tracks a request from its admission to its end. The lock of admission guards it
// until decided is closed.
type ticket struct {
	request   knapweedpulley.Request
	arrivedAt knapweedpulley.Instant
	deadline  knapweedpulley.Instant
	// decided is closed when the request may run, or when refusal is set.
	decided   chan struct{}
	refusal   *knapweedpulley.Refusal
	startedAt knapweedpulley.Instant
	// engineStart is the engine's start counter when the request began to run.
	engineStart uint64
	// failed is set when the request failed at the engine.
	failed bool
}

func newTicket(r knapweedpulley.Request, now knapweedpulley.Instant) *ticket {
	return &ticket{
		request:   r,
		arrivedAt: now,
		deadline:  now.Add(r.Timeout - min(refusalMargin, r.Timeout/2)),
		decided:   make(chan struct{}),
	}
}

// occupants returns the model and adapter that must be loaded to run the request.
func (t *ticket) occupants() []occupant {
	return requiredOccupants(t.request)
}

func (t *ticket) expired(now knapweedpulley.Instant) bool {
	return !t.deadline.After(now)
}

// refuse ends a ticket that was removed from the queue.
func (t *ticket) refuse(r *knapweedpulley.Refusal) {
	t.refusal = r
	close(t.decided)
}

func refuseExpired(r knapweedpulley.Request) *knapweedpulley.Refusal {
	return knapweedpulley.NewRefusal(knapweedpulley.CodeDeadlineExceeded, knapweedpulley.NotRun,
		"request %s was still waiting in the queue at its deadline", r.ID)
}

// refuseEnded returns the refusal for a request whose context ended while it waited.
func refuseEnded(ctx context.Context, r knapweedpulley.Request) *knapweedpulley.Refusal {
	if ctx.Err() == context.DeadlineExceeded { //nolint:errorlint // The context returns it unwrapped.
		return refuseExpired(r)
	}
	return knapweedpulley.NewRefusal(knapweedpulley.CodeCanceled, knapweedpulley.NotRun,
		"request %s was canceled while it waited", r.ID)
}
