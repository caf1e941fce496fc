package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/machine"
)

const (
	// maxChargeWait bounds the time for which a request waits until its charge
	// succeeds.
	maxChargeWait = 2 * time.Second
	// chargeWaitDivisor bounds the same wait to a quarter of the time that is left
	// until the deadline.
	chargeWaitDivisor = 4
	// minChargePause is the minimum time between two attempts to charge.
	minChargePause = 20 * time.Millisecond
)

// charge charges the request to its customer's rate, and waits for a short time
// if the charge may soon succeed. A customer within its rate can lack tokens at
// this entry for a moment while its shares move between the entries.
func (d *Dispatcher) charge(ctx context.Context, r *knapweedpulley.Request) (knapweedpulley.Receipt, error) {
	giveUpAt := time.Now().Add(min(maxChargeWait, timeLeft(ctx)/chargeWaitDivisor))
	for {
		receipt, err := d.Limiter.Charge(r.Customer, r.Charge)
		if err == nil {
			return receipt, nil
		}
		refusal := knapweedpulley.RefusalOf(err, knapweedpulley.CodeRateExceeded)
		wait := max(refusal.RetryAfter, minChargePause)
		final := refusal.Code != knapweedpulley.CodeRateExceeded || refusal.RetryAfter == 0
		if final || time.Now().Add(wait).After(giveUpAt) {
			return receipt, refusal
		}
		err = d.whileAdmitted(ctx, r, func(ctx context.Context) error { return machine.Pause(ctx, wait) })
		var notAdmitted *knapweedpulley.Refusal
		switch {
		case errors.As(err, &notAdmitted):
			return receipt, notAdmitted
		case err != nil:
			return receipt, refusal
		}
	}
}
