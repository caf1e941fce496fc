package agent

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

// drainQueueTimeout is how long a draining agent still starts queued requests. It refuses
// the remaining ones, which can then run at another endpoint.
const drainQueueTimeout = 2 * time.Second

// Drain refuses new work and returns when no request is running or queued. It returns an
// error if ctx ends first.
func (a *Agent) Drain(ctx context.Context) error {
	a.StartDrain()
	queueCtx, cancel := context.WithTimeout(ctx, drainQueueTimeout)
	defer cancel()
	if a.admission.awaitIdle(queueCtx) {
		return nil
	}
	a.admission.refuseQueued(refuseDraining(a.settings.Endpoint))
	if !a.admission.awaitIdle(ctx) {
		return errors.Wrap(ctx.Err(), "wait for running requests to end")
	}
	return nil
}

// StartDrain implements knapweedpulley.DrainableAgent. Entries see the endpoint as draining
// and send it no new work; requests in progress continue.
func (a *Agent) StartDrain() {
	a.draining.Store(true)
	a.admission.refuseNew(refuseDraining(a.settings.Endpoint))
}

func refuseDraining(id knapweedpulley.EndpointID) *knapweedpulley.Refusal {
	return knapweedpulley.NewRefusal(knapweedpulley.CodeDraining, knapweedpulley.NotRun, "endpoint %s is draining", id)
}
