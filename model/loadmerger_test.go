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

// loadConcurrently sends several concurrent load requests to each reachable entry and
// returns the outcomes.
func loadConcurrently(t *testing.T, w *testCluster, timeout time.Duration) ([]knapweedpulley.EndpointID, []error) {
	t.Helper()
	var mu sync.Mutex
	var ids []knapweedpulley.EndpointID
	var faults []error
	var group sync.WaitGroup
	for _, m := range w.members {
		e := w.entries[m.Entry]
		if e.down || e.unresponsive {
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

func assertLoads(t *testing.T, w *testCluster, want int) {
	t.Helper()
	got := 0
	for _, a := range w.agents {
		got += a.loads
	}
	is.New(t).Equal(got, want)
}

func assertOrders(t *testing.T, w *testCluster, want int) {
	t.Helper()
	got := 0
	for _, a := range w.agents {
		got += len(a.orders)
	}
	is.New(t).Equal(got, want)
}

func assertAllLoadedAt(t *testing.T, ids []knapweedpulley.EndpointID, faults []error, want knapweedpulley.EndpointID) {
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

const permitXAndY = `{"model":"m","replicas":2,"endpoints":["x","y"]}`

func TestMergedLoads(t *testing.T) {
	cases := []struct {
		name   string
		orders int
		spoil  func(w *testCluster)
	}{
		{"concurrent requests at three entries cause one load", 1, func(*testCluster) {}},
		{"an owner that is down is replaced by one other entry", 1, func(w *testCluster) { w.entries["n1"].down = true }},
		{"an unresponsive owner is replaced by one other entry", 1, func(w *testCluster) { w.entries["n1"].unresponsive = true }},
		{"an owner whose answers are lost causes no second load", 2, func(w *testCluster) { w.entries["n1"].losesAnswers = true }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, cleanup := newTestCluster(3, newFakeAgent("x", 4*time.Second))
				defer cleanup()
				w.applyPermit(`{"model":"m","replicas":1,"endpoints":["x"]}`)
				c.spoil(w)
				ids, faults := loadConcurrently(t, w, 20*time.Second)
				assertAllLoadedAt(t, ids, faults, "x")
				assertLoads(t, w, 1)
				assertOrders(t, w, c.orders)
			})
		})
	}
}

func TestLoad(t *testing.T) {
	run := func(t *testing.T, permit string, agents []*fakeAgent, check func(t *testing.T, w *testCluster)) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			w, cleanup := newTestCluster(1, agents...)
			defer cleanup()
			w.applyPermit(permit)
			check(t, w)
		})
	}
	t.Run("the endpoint that has the checkpoint cached is chosen", func(t *testing.T) {
		cached := newFakeAgent("y", time.Second)
		cached.status.Engine.Cached = []knapweedpulley.CachedCheckpoint{{Model: "m", Tier: knapweedpulley.TierDisk}}
		run(t, permitXAndY, []*fakeAgent{newFakeAgent("x", time.Second), cached}, func(t *testing.T, w *testCluster) {
			ids, faults := loadConcurrently(t, w, 10*time.Second)
			assertAllLoadedAt(t, ids, faults, "y")
			assertLoads(t, w, 1)
		})
	})
	t.Run("an unreachable agent is replaced by another one of the permit", func(t *testing.T) {
		dead := newFakeAgent("x", time.Second)
		dead.unreachable = true
		run(t, permitXAndY, []*fakeAgent{dead, newFakeAgent("y", time.Second)}, func(t *testing.T, w *testCluster) {
			ids, faults := loadConcurrently(t, w, 10*time.Second)
			assertAllLoadedAt(t, ids, faults, "y")
		})
	})
	t.Run("nothing is loaded outside the permit", func(t *testing.T) {
		run(t, `{"model":"m","replicas":1,"endpoints":["gone"]}`, []*fakeAgent{newFakeAgent("x", time.Second)}, func(t *testing.T, w *testCluster) {
			_, faults := loadConcurrently(t, w, 10*time.Second)
			assertRefused(t, faults[0], knapweedpulley.CodeDeadlineExceeded)
			assertLoads(t, w, 0)
		})
	})
	t.Run("a request that can't wait for the load is refused at once and the load continues", func(t *testing.T) {
		run(t, permitXAndY, []*fakeAgent{newFakeAgent("x", 2*time.Second), newFakeAgent("y", 2*time.Second)}, func(t *testing.T, w *testCluster) {
			start := time.Now()
			_, faults := loadConcurrently(t, w, 500*time.Millisecond)
			assertRefused(t, faults[0], knapweedpulley.CodeOverloaded)
			is := is.New(t)
			is.Equal(time.Since(start), time.Duration(0))
			is.True(knapweedpulley.RefusalOf(faults[0], "").RetryAfter > time.Second)
			time.Sleep(3 * time.Second)
			ids, faults := loadConcurrently(t, w, 500*time.Millisecond)
			is.Equal(len(ids), 5)
			is.Equal(len(faults), 0)
		})
	})
	t.Run("a load that outlasts the deadline is refused as not run", func(t *testing.T) {
		run(t, permitXAndY, []*fakeAgent{newFakeAgent("x", time.Hour), newFakeAgent("y", time.Hour)}, func(t *testing.T, w *testCluster) {
			_, faults := loadConcurrently(t, w, 3*time.Second)
			assertRefused(t, faults[0], knapweedpulley.CodeDeadlineExceeded)
		})
	})
	t.Run("an adapter is loaded on the endpoint of its model", func(t *testing.T) {
		run(t, permitXAndY, []*fakeAgent{newFakeAgent("x", time.Second)}, func(t *testing.T, w *testCluster) {
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
