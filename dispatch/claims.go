package dispatch

import (
	"context"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

// recordTimeout bounds the time for settling a claim after the request has ended.
const recordTimeout = 5 * time.Second

// runWithClaim runs a request. It runs it under a claim if the request is not
// idempotent and carries an idempotency key, so that the caller may repeat it.
func (d *Dispatcher) runWithClaim(
	ctx context.Context, r *knapweedpulley.Request, w knapweedpulley.AnswerWriter,
) (knapweedpulley.Usage, error) {
	d.retries.deposit()
	key, present := r.Idempotency.Get()
	if !present || r.Idempotent {
		return d.run(ctx, r, &relay{caller: w})
	}
	claim := knapweedpulley.Claim{
		Customer:    r.Customer,
		Route:       r.Route,
		Key:         key,
		Request:     r.ID,
		Fingerprint: r.Fingerprint,
	}
	result, err := d.Claimer.Claim(ctx, claim)
	if err != nil {
		return knapweedpulley.Usage{}, err
	}
	if result.State != knapweedpulley.ClaimGranted {
		return knapweedpulley.Usage{}, answerRepeat(result, w)
	}
	recorder := &relay{caller: w, recording: true}
	usage, err := d.run(ctx, r, recorder)
	d.settleClaim(ctx, claim, recorder, err)
	return usage, err
}

// settleClaim releases the claim of a request that did not run and records the
// answer of one that succeeded. The request has ended by then, so the caller's
// context does not bound it.
func (d *Dispatcher) settleClaim(ctx context.Context, claim knapweedpulley.Claim, recorder *relay, err error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	switch {
	case err != nil && knapweedpulley.VerdictOf(err) == knapweedpulley.NotRun:
		d.logUnsettledClaim(claim, d.Claimer.Release(ctx, claim))
	case err == nil:
		if answer, ok := recorder.answer(); ok {
			d.logUnsettledClaim(claim, d.Claimer.RecordAnswer(ctx, claim, answer))
		}
	}
}

// logUnsettledClaim logs the error of settling a claim, if there is one. A repeat
// of the request is then refused though it could be answered or run.
func (d *Dispatcher) logUnsettledClaim(claim knapweedpulley.Claim, err error) {
	if err != nil {
		d.Log.WithField("request", claim.Request).WithError(err).Warn("claim not settled; a repeat of the request is refused")
	}
}

// answerRepeat answers a request whose idempotency key was claimed before: it
// writes the recorded answer again or returns a refusal.
func answerRepeat(result knapweedpulley.ClaimResult, w knapweedpulley.AnswerWriter) error {
	if refusal := result.Refusal(); refusal != nil {
		return refusal
	}
	return replayAnswer(result.Answer, w)
}

func replayAnswer(a knapweedpulley.Answer, w knapweedpulley.AnswerWriter) error {
	err := w.WriteHead(a.Head)
	if err == nil {
		_, err = w.Write(a.Body)
	}
	if err != nil {
		return knapweedpulley.NewRefusal(knapweedpulley.CodeCanceled, knapweedpulley.MayHaveRun,
			"the caller disconnected: %v", err)
	}
	return nil
}
