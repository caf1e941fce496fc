package trial

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// tries bounds the attempts of a request.
	tries = 4
	// retryPause is the time before another attempt.
	retryPause = 50 * time.Millisecond
)

// play sends the requests and waits for their ends.
func (w *world) play(list []arrival, reference *wholeLimiter, result *Result) {
	start := time.Now()
	var group sync.WaitGroup
	for i := range list {
		a := &list[i]
		if d := a.at - time.Since(start); d > 0 {
			time.Sleep(d)
		}
		group.Go(func() { w.request(i, a, reference, result) })
	}
	group.Wait()
}

// request is the life of one request.
func (w *world) request(number int, a *arrival, reference *wholeLimiter, result *Result) {
	o := outcome{arrival: a}
	start := time.Now()
	free, err := reference.Charge(a.customer, a.charge())
	o.within = err == nil
	e := w.entry(a.entry)
	receipt, err := e.limiter.Charge(a.customer, a.charge())
	if err != nil {
		o.err = err
		if o.within {
			reference.Settle(free, a.prompt+a.answer)
		}
		result.record(o)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	o.err = w.attempts(ctx, e, number, &o)
	o.took = time.Since(start)
	used := a.prompt + a.answer
	if o.err != nil {
		used = 0
	}
	e.limiter.Settle(receipt, used)
	if o.within {
		reference.Settle(free, a.prompt+a.answer)
	}
	result.record(o)
}

// entry returns an entry process as the balancer chooses it.
func (w *world) entry(preferred int) *entry {
	for i := range w.entries {
		e := w.entries[(preferred+i)%len(w.entries)]
		if e.Valid() {
			return e
		}
	}
	return w.entries[0]
}

// attempts tries the request until it is answered or may not be tried again.
func (w *world) attempts(ctx context.Context, e *entry, number int, o *outcome) error {
	r := &knapweedpulley.Request{
		ID: knapweedpulley.RequestID(fmt.Sprint("request-", number)), Kind: knapweedpulley.KindChat,
		Customer: o.arrival.customer, Model: o.arrival.model, Adapter: o.arrival.adapter,
	}
	avoid := knapweedpulley.NewSet[knapweedpulley.EndpointID]()
	var err error
	for range tries {
		var id knapweedpulley.EndpointID
		if id, err = w.place(ctx, e, r, avoid, o); err != nil {
			return err
		}
		v, ok := w.server(id)
		if !ok {
			err = errConnection
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

// place finds an endpoint, and has the model loaded if there is none.
func (w *world) place(
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
	left, _ := ctx.Deadline()
	id, err := e.router.LoadModel(ctx, knapweedpulley.LoadRequest{
		Model: r.Model, Adapter: r.Adapter, Customer: r.Customer, Zone: e.self.Zone, Timeout: time.Until(left),
	})
	if !warm {
		o.cold = knapweedpulley.Some(time.Since(start) + o.cold.Or(0))
	}
	if err != nil {
		return "", err
	}
	e.fleet.Assign(r, id)
	return id, nil
}
