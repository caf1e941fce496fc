package dispatch

import (
	"context"

	"github.com/knapweedpulley/knapweedpulley"
)

// readmit returns a refusal if the configuration in force doesn't admit the request.
func (d *Dispatcher) readmit(r *knapweedpulley.Request) error {
	_, err := d.Admission.Readmit(r)
	return err
}

// whileAdmitted runs a wait of the request. It ends the context of the wait, and returns the refusal, when a
// configuration comes into force that doesn't admit the request.
func (d *Dispatcher) whileAdmitted(ctx context.Context, r *knapweedpulley.Request, wait func(context.Context) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	d.watchAdmission(ctx, cancel, r)
	err := wait(ctx)
	if refusal := knapweedpulley.RefusalCause(ctx); err != nil && refusal != nil {
		return refusal
	}
	return err
}

// watchAdmission cancels a wait of the request, with the refusal as the cause, when a configuration comes
// into force that doesn't admit it.
func (d *Dispatcher) watchAdmission(ctx context.Context, cancel context.CancelCauseFunc, r *knapweedpulley.Request) {
	go func() {
		for {
			replaced, err := d.Admission.Readmit(r)
			if err != nil {
				cancel(err)
				return
			}
			select {
			case <-replaced:
			case <-ctx.Done():
				return
			}
		}
	}()
}
