package gateway

import (
	"context"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/machine"
)

// TokenRequest is the request of a call for the tokens of its customer's contract.
type TokenRequest struct {
	knapweedpulley.Reservation

	// Deadline is that of the call. A caller that is refused by a queue can return before it.
	Deadline knapweedpulley.Instant
	// ChargeWait is how long the call can wait if there is no queue.
	ChargeWait time.Duration
	// BeginWait, if it is set, returns the context of a wait for the tokens. The wait ends with the
	// refusal that is the cause of the context, if there is one.
	BeginWait func(context.Context) (context.Context, context.CancelCauseFunc)
}

// beginWait returns the context of a wait for the tokens.
func (t *TokenRequest) beginWait(ctx context.Context) (context.Context, context.CancelCauseFunc) {
	if t.BeginWait == nil {
		return context.WithCancelCause(ctx)
	}
	return t.BeginWait(ctx)
}

// pause waits for d. It returns a refusal if the wait ends first.
func (t *TokenRequest) pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	ctx, endWait := t.beginWait(ctx)
	defer endWait(nil)
	if machine.Pause(ctx, d) == nil {
		return nil
	}
	return leftWhileWaiting(ctx)
}

// leftWhileWaiting returns the refusal of a call whose wait has ended with ctx: the cause if that is a refusal,
// otherwise the one for a caller that left or a deadline that passed.
func leftWhileWaiting(ctx context.Context) *knapweedpulley.Refusal {
	if refusal := knapweedpulley.RefusalCause(ctx); refusal != nil {
		return refusal
	}
	return knapweedpulley.NewRefusal(knapweedpulley.CodeCanceled, knapweedpulley.NotRun,
		"the caller disconnected while waiting for its rate")
}
