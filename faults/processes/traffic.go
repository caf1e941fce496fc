package processes

import (
	"context"
	"sync"
	"time"

	"github.com/knapweedpulley/knapweedpulley/cmd/demo/fleet"
)

// Traffic sends steady traffic for all customers.
type Traffic struct {
	caller *Caller
	fleet  *fleet.Fleet
	stop   chan struct{}
	group  sync.WaitGroup
}

// StartTraffic starts one loop of requests for each customer and kind of request.
// Stop it with Stop.
func StartTraffic(ctx context.Context, f *fleet.Fleet, c *Caller) *Traffic {
	t := &Traffic{caller: c, fleet: f, stop: make(chan struct{})}
	for _, u := range f.Customers {
		for _, send := range []func(context.Context, fleet.Customer, int){
			t.chat, t.stream, t.adapter, t.claimed, t.unclaimed, t.open,
		} {
			t.group.Go(func() { t.loop(ctx, u, send) })
		}
	}
	return t
}

// Stop stops the traffic and waits until the last request has ended.
func (t *Traffic) Stop() {
	close(t.stop)
	t.group.Wait()
}

func (t *Traffic) loop(ctx context.Context, u fleet.Customer, send func(context.Context, fleet.Customer, int)) {
	ticker := time.NewTicker(requestPeriod)
	defer ticker.Stop()
	for i := 0; ; i++ {
		send(ctx, u, i)
		select {
		case <-t.stop:
			return
		case <-ticker.C:
		}
	}
}

func (t *Traffic) entry(i int) fleet.Entry {
	return t.fleet.Entries[i%len(t.fleet.Entries)]
}

func (t *Traffic) model(u fleet.Customer, i int) string {
	return string(u.Template.Models[i/len(t.fleet.Entries)%len(u.Template.Models)].ID)
}

func (t *Traffic) chat(ctx context.Context, u fleet.Customer, i int) {
	t.caller.Chat(ctx, Chat{Customer: u, Entry: t.entry(i), Model: t.model(u, i), Kind: "chat"})
}

func (t *Traffic) stream(ctx context.Context, u fleet.Customer, i int) {
	t.caller.Chat(ctx, Chat{Customer: u, Entry: t.entry(i), Model: t.model(u, i), Stream: true, Kind: "stream"})
}

func (t *Traffic) adapter(ctx context.Context, u fleet.Customer, i int) {
	model := string(u.Template.Adapters[0].ID)
	t.caller.Chat(ctx, Chat{Customer: u, Entry: t.entry(i), Model: model, Kind: "adapter"})
}

// claimed sends the same call with the same idempotency key to each entry. The call
// must run at most once.
func (t *Traffic) claimed(ctx context.Context, u fleet.Customer, i int) {
	marker := t.caller.NewMarker()
	for n := range len(t.fleet.Entries) {
		t.caller.Call(ctx, Call{
			Customer: u, Entry: t.entry(i + n), Route: routeOnce, Once: true, Marker: marker, Idempotency: marker,
			Sends: len(t.fleet.Entries), Kind: "call with id",
		})
	}
}

func (t *Traffic) unclaimed(ctx context.Context, u fleet.Customer, i int) {
	t.caller.Call(ctx, Call{Customer: u, Entry: t.entry(i), Route: routeOnce, Once: true, Kind: "call without id"})
}

func (t *Traffic) open(ctx context.Context, u fleet.Customer, i int) {
	t.caller.Call(ctx, Call{Customer: u, Entry: t.entry(i), Route: routeOpen, Open: true, Kind: "open route"})
}
