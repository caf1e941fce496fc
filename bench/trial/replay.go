package trial

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// maxAttempts bounds the attempts of a request.
	maxAttempts = 4
	// retryPause is the pause before the next attempt.
	retryPause = 50 * time.Millisecond
)

// replay sends the requests at their arrival times and waits until all have ended.
func (w *simulation) replay(list []arrival, reference *globalLimiter, result *Result) {
	start := time.Now()
	var group sync.WaitGroup
	for i := range list {
		a := &list[i]
		if d := a.at - time.Since(start); d > 0 {
			time.Sleep(d)
		}
		group.Go(func() { w.runRequest(i, a, reference, result) })
	}
	group.Wait()
}

// runRequest charges a request, runs its attempts and records the outcome.
func (w *simulation) runRequest(number int, a *arrival, reference *globalLimiter, result *Result) {
	o := outcome{arrival: a}
	start := time.Now()
	referenceReceipt, err := reference.Charge(a.customer, a.maxTokens())
	o.withinRate = err == nil
	e := w.chooseEntry(a.entry)
	receipt, err := e.limiter.Charge(a.customer, a.maxTokens())
	if err != nil {
		o.err = err
		if o.withinRate {
			reference.Settle(referenceReceipt, a.prompt+a.answer)
		}
		result.record(o)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	o.err = w.runAttempts(ctx, e, number, &o)
	o.took = time.Since(start)
	used := a.prompt + a.answer
	if o.err != nil {
		used = 0
	}
	e.limiter.Settle(receipt, used)
	if o.withinRate {
		reference.Settle(referenceReceipt, a.prompt+a.answer)
	}
	result.record(o)
}

// chooseEntry returns the preferred entry process, as a load balancer would, or the
// next one that is alive.
func (w *simulation) chooseEntry(preferred int) *entry {
	for i := range w.entries {
		e := w.entries[(preferred+i)%len(w.entries)]
		if e.Valid() {
			return e
		}
	}
	return w.entries[0]
}

// runAttempts tries a request until it is answered or must not be tried again.
func (w *simulation) runAttempts(ctx context.Context, e *entry, number int, o *outcome) error {
	r := &knapweedpulley.Request{
		ID: knapweedpulley.RequestID(fmt.Sprint("request-", number)), Kind: knapweedpulley.KindChat,
		Customer: o.arrival.customer, Model: o.arrival.model, Adapter: o.arrival.adapter,
	}
	avoid := knapweedpulley.NewSet[knapweedpulley.EndpointID]()
	var err error
	for range maxAttempts {
		var id knapweedpulley.EndpointID
		if id, err = w.chooseEndpoint(ctx, e, r, avoid, o); err != nil {
			return err
		}
		v, ok := w.server(id)
		if !ok {
			err = errConnectionReset
		} else {
			err = v.serve(ctx, o.arrival)
		}
		e.fleet.Done(r, id)
		if err == nil || ctx.Err() != nil {
			return err
		}
		avoid.Add(id)
		sleep(ctx, retryPause)
	}
	return err
}

// chooseEndpoint returns an endpoint for a request and loads the model if none holds it.
func (w *simulation) chooseEndpoint(
	ctx context.Context, e *entry, r *knapweedpulley.Request, avoid knapweedpulley.Set[knapweedpulley.EndpointID],
	o *outcome,
) (knapweedpulley.EndpointID, error) {
	if id, ok := e.fleet.Choose(r, avoid); ok {
		return id, nil
	}
	base := *r
	base.Adapter = knapweedpulley.None[knapweedpulley.AdapterID]()
	holder, warm := e.fleet.Choose(&base, avoid)
	if warm {
		e.fleet.Done(&base, holder)
	}
	start := time.Now()
	deadline, _ := ctx.Deadline()
	id, err := e.router.LoadModel(ctx, knapweedpulley.LoadRequest{
		Model: r.Model, Adapter: r.Adapter, Customer: r.Customer, Zone: e.self.Zone, Timeout: time.Until(deadline),
	})
	if !warm {
		o.coldStart = knapweedpulley.Some(time.Since(start) + o.coldStart.Or(0))
	}
	if err != nil {
		return "", err
	}
	e.fleet.Assign(r, id)
	return id, nil
}
