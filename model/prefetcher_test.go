package model_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/model"
)

func kindsOf(a *fakeAgent) []knapweedpulley.OrderKind {
	var kinds []knapweedpulley.OrderKind
	for _, o := range a.orders {
		kinds = append(kinds, o.Kind)
	}
	return kinds
}

func assertKinds(t *testing.T, a *fakeAgent, want ...knapweedpulley.OrderKind) {
	t.Helper()
	is.New(t).Equal(kindsOf(a), want)
}

func TestPrefetcher(t *testing.T) {
	inWorld := func(t *testing.T, agents []*fakeAgent, check func(t *testing.T, s *model.Prefetcher)) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			w, cleanup := newTestCluster(1, agents...)
			defer cleanup()
			w.applyPermit(permitXAndY)
			check(t, model.NewPrefetcher(w.entries["n1"].loader))
		})
	}
	t.Run("a checkpoint that no machine has cached is loaded once and unloaded", func(t *testing.T) {
		a := newFakeAgent("x", time.Second)
		inWorld(t, []*fakeAgent{a}, func(t *testing.T, s *model.Prefetcher) {
			is.New(t).NoErr(s.Step(t.Context(), "m"))
			is.New(t).NoErr(s.Step(t.Context(), "m"))
			assertKinds(t, a, knapweedpulley.OrderLoadModel, knapweedpulley.OrderUnloadModel)
		})
	})
	t.Run("a checkpoint that one machine has cached is not prefetched", func(t *testing.T) {
		a, b := newFakeAgent("x", time.Second), newFakeAgent("y", time.Second)
		b.status.Engine.Cached = []knapweedpulley.CachedCheckpoint{{Model: "m", Tier: knapweedpulley.TierDisk}}
		inWorld(t, []*fakeAgent{a, b}, func(t *testing.T, s *model.Prefetcher) {
			is.New(t).True(!s.Due("m"))
		})
	})
	t.Run("nothing is prefetched where memory is short", func(t *testing.T) {
		a := newFakeAgent("x", time.Second)
		a.status.FreeMemory = 20 * knapweedpulley.GiB
		inWorld(t, []*fakeAgent{a}, func(t *testing.T, s *model.Prefetcher) {
			is.New(t).True(!s.Due("m"))
		})
	})
}

func TestScaler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x, y := newFakeAgent("x", time.Second), newFakeAgent("y", time.Second)
		w, cleanup := newTestCluster(1, x, y)
		defer cleanup()
		w.applyPermit(permitXAndY)
		e := w.entries["n1"]
		scaler := model.NewScaler(e.loader)
		ids, faults := loadConcurrently(t, w, 10*time.Second)
		assertAllLoadedAt(t, ids, faults, "x")
		step := func() { is.New(t).NoErr(scaler.Step(t.Context(), "m")) }
		step()
		assertLoads(t, w, 1) // The holder has free slots.
		x.status.Running = 4
		e.fleet.Update(x.status)
		step()
		assertLoads(t, w, 2) // All slots were in use.
		x.status.Running = 0
		e.fleet.Update(x.status)
		step()
		time.Sleep(20 * time.Second)
		step()
		assertKinds(t, x, knapweedpulley.OrderLoadModel) // The surplus is too recent.
		time.Sleep(20 * time.Second)
		step()
		assertKinds(t, x, knapweedpulley.OrderLoadModel, knapweedpulley.OrderUnloadModel)
	})
}

func TestBackgroundTransfers(t *testing.T) {
	q := model.NewTransferQueue(model.Limits{Parallel: 2, Rate: 1000})
	background := newTransferRequest("a", 0, time.Minute)
	background.Background = true
	assertGranted(t, q, 0, newTransferRequest("a", 1, time.Minute), true)
	t.Run("they wait while another transfer runs", func(t *testing.T) {
		assertGranted(t, q, time.Second, background, false)
	})
	t.Run("they are granted when no other transfer runs", func(t *testing.T) {
		q.Done(newTransferRequest("a", 1, 0), at(2*time.Second))
		assertGranted(t, q, 2*time.Second, background, true)
	})
	t.Run("they don't block other transfers", func(t *testing.T) {
		assertGranted(t, q, 3*time.Second, newTransferRequest("b", 1, time.Minute), true)
	})
}
