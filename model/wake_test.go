package model_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
)

// burst has each entry wake the model several times at once and returns the
// outcomes.
func burst(t *testing.T, w *world, timeout time.Duration) ([]knapweedpulley.EndpointID, []error) {
	t.Helper()
	var mu sync.Mutex
	var ids []knapweedpulley.EndpointID
	var faults []error
	var group sync.WaitGroup
	for _, m := range w.members {
		e := w.entries[m.Entry]
		if e.down || e.silent {
			continue
		}
		for range 5 {
			group.Go(func() {
				id, err := e.router.LoadModel(t.Context(), knapweedpulley.LoadRequest{Model: "m", Timeout: timeout})
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					faults = append(faults, err)
					return
				}
				ids = append(ids, id)
			})
		}
	}
	group.Wait()
	return ids, faults
}

func assertLoads(t *testing.T, w *world, want int) {
	t.Helper()
	got := 0
	for _, a := range w.agents {
		got += a.loads
	}
	is.New(t).Equal(got, want)
}

func assertOrders(t *testing.T, w *world, want int) {
	t.Helper()
	got := 0
	for _, a := range w.agents {
		got += len(a.orders)
	}
	is.New(t).Equal(got, want)
}

func assertAllWoken(t *testing.T, ids []knapweedpulley.EndpointID, faults []error, want knapweedpulley.EndpointID) {
	t.Helper()
	is := is.New(t)
	is.Equal(len(faults), 0)
	for _, id := range ids {
		is.Equal(id, want)
	}
}

func assertRefused(t *testing.T, err error, code knapweedpulley.Code) {
	t.Helper()
	is := is.New(t)
	var r *knapweedpulley.Refusal
	is.True(errors.As(err, &r))
	is.Equal(r.Code, code)
	is.Equal(r.Verdict, knapweedpulley.NotRun)
}

const bothPermitted = `{"model":"m","replicas":2,"endpoints":["x","y"]}`

func TestWake(t *testing.T) {
	cases := []struct {
		name   string
		orders int
		spoil  func(w *world)
	}{
		{"a burst at three entries is one load", 1, func(*world) {}},
		{"a dead owner is replaced by one other entry", 1, func(w *world) { w.entries["n1"].down = true }},
		{"a frozen owner is replaced by one other entry", 1, func(w *world) { w.entries["n1"].silent = true }},
		{"an owner whose answers are lost causes no second load", 2, func(w *world) { w.entries["n1"].deaf = true }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, cleanup := newWorld(3, agent("x", 4*time.Second))
				defer cleanup()
				w.permit(`{"model":"m","replicas":1,"endpoints":["x"]}`)
				c.spoil(w)
				ids, faults := burst(t, w, 20*time.Second)
				assertAllWoken(t, ids, faults, "x")
				assertLoads(t, w, 1)
				assertOrders(t, w, c.orders)
			})
		})
	}
}

func TestLoad(t *testing.T) {
	run := func(t *testing.T, permit string, agents []*fakeAgent, check func(t *testing.T, w *world)) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			w, cleanup := newWorld(1, agents...)
			defer cleanup()
			w.permit(permit)
			check(t, w)
		})
	}
	t.Run("the endpoint that has the checkpoint cached is chosen", func(t *testing.T) {
		cached := agent("y", time.Second)
		cached.status.Engine.Cached = []knapweedpulley.CachedCheckpoint{{Model: "m", Tier: knapweedpulley.TierDisk}}
		run(t, bothPermitted, []*fakeAgent{agent("x", time.Second), cached}, func(t *testing.T, w *world) {
			ids, faults := burst(t, w, 10*time.Second)
			assertAllWoken(t, ids, faults, "y")
			assertLoads(t, w, 1)
		})
	})
	t.Run("a dead agent is replaced by another one of the permit", func(t *testing.T) {
		dead := agent("x", time.Second)
		dead.dead = true
		run(t, bothPermitted, []*fakeAgent{dead, agent("y", time.Second)}, func(t *testing.T, w *world) {
			ids, faults := burst(t, w, 10*time.Second)
			assertAllWoken(t, ids, faults, "y")
		})
	})
	t.Run("nothing is loaded outside the permit", func(t *testing.T) {
		run(t, `{"model":"m","replicas":1,"endpoints":["gone"]}`, []*fakeAgent{agent("x", time.Second)}, func(t *testing.T, w *world) {
			_, faults := burst(t, w, 10*time.Second)
			assertRefused(t, faults[0], knapweedpulley.CodeDeadlineExceeded)
			assertLoads(t, w, 0)
		})
	})
	t.Run("who can't wait for the load is refused at once and the load goes on", func(t *testing.T) {
		run(t, bothPermitted, []*fakeAgent{agent("x", 2*time.Second), agent("y", 2*time.Second)}, func(t *testing.T, w *world) {
			start := time.Now()
			_, faults := burst(t, w, 500*time.Millisecond)
			assertRefused(t, faults[0], knapweedpulley.CodeOverloaded)
			is := is.New(t)
			is.Equal(time.Since(start), time.Duration(0))
			is.True(knapweedpulley.RefusalOf(faults[0], "").RetryAfter > time.Second)
			time.Sleep(3 * time.Second)
			ids, faults := burst(t, w, 500*time.Millisecond)
			is.Equal(len(ids), 5)
			is.Equal(len(faults), 0)
		})
	})
	t.Run("a load that outlasts the deadline is refused as not run", func(t *testing.T) {
		run(t, bothPermitted, []*fakeAgent{agent("x", time.Hour), agent("y", time.Hour)}, func(t *testing.T, w *world) {
			_, faults := burst(t, w, 3*time.Second)
			assertRefused(t, faults[0], knapweedpulley.CodeDeadlineExceeded)
		})
	})
	t.Run("an adapter is loaded next to its model", func(t *testing.T) {
		run(t, bothPermitted, []*fakeAgent{agent("x", time.Second)}, func(t *testing.T, w *world) {
			id, err := w.entries["n1"].router.LoadModel(t.Context(), knapweedpulley.LoadRequest{
				Model: "m", Adapter: knapweedpulley.Some[knapweedpulley.AdapterID]("a"), Timeout: 10 * time.Second,
			})
			is := is.New(t)
			is.NoErr(err)
			is.Equal(id, knapweedpulley.EndpointID("x"))
			is.Equal(len(w.agents["x"].orders), 2)
			is.Equal(w.agents["x"].orders[1].Adapter, knapweedpulley.AdapterID("a"))
		})
	})
}
