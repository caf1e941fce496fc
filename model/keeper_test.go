package model_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/model"
)

func base(m knapweedpulley.ModelID) knapweedpulley.Resident { return knapweedpulley.Resident{Model: m} }

// visits has a loaded model take requests with a gap and returns the time after
// the last one.
func visits(k *model.Keeper, m knapweedpulley.ModelID, gap time.Duration, count int) time.Duration {
	now := time.Duration(0)
	for range count {
		now += gap
		k.RequestArrived(base(m), at(now))
		k.RequestEnded(base(m), at(now))
	}
	return now
}

func keeper(models ...knapweedpulley.ModelID) *model.Keeper {
	k := model.NewKeeper(80 * knapweedpulley.GiB)
	for _, m := range models {
		k.Loaded(base(m), 20*knapweedpulley.GiB, 5*time.Second, 0)
	}
	return k
}

func assertExpired(t *testing.T, k *model.Keeper, now time.Duration, want ...knapweedpulley.Resident) {
	t.Helper()
	got, next := k.Expired(nil, at(now))
	is := is.New(t)
	is.Equal(got, want)
	is.True(next > 0)
}

func assertVictims(
	t *testing.T, k *model.Keeper, need knapweedpulley.Bytes, held knapweedpulley.Set[knapweedpulley.Resident],
	now time.Duration, want ...knapweedpulley.Resident,
) {
	t.Helper()
	is.New(t).Equal(k.EvictionCandidates(need, held, at(now)), want)
}

func TestExpired(t *testing.T) {
	t.Run("a model that comes back after a known gap is held over it and not for long after", func(t *testing.T) {
		k := keeper("m")
		last := visits(k, "m", 5*time.Minute, 40)
		assertExpired(t, k, last+5*time.Minute)
		assertExpired(t, k, last+20*time.Minute, base("m"))
	})
	t.Run("a model whose gaps are long is given up early", func(t *testing.T) {
		k := keeper("m")
		last := visits(k, "m", 8*time.Hour, 40)
		assertExpired(t, k, last+20*time.Minute, base("m"))
	})
	t.Run("a model that is quick to load is given up before a slow one", func(t *testing.T) {
		k := keeper("slow")
		k.Loaded(base("quick"), 20*knapweedpulley.GiB, 100*time.Millisecond, 0)
		assertExpired(t, k, time.Minute, base("quick"))
	})
	t.Run("a model with a request is never given up", func(t *testing.T) {
		k := keeper("m")
		k.RequestArrived(base("m"), 0)
		assertExpired(t, k, 100*time.Hour)
		k.RequestEnded(base("m"), at(100*time.Hour))
		assertExpired(t, k, 200*time.Hour, base("m"))
	})
}

func TestVictims(t *testing.T) {
	t.Run("the model that is missed least goes", func(t *testing.T) {
		k := keeper("often", "rarely")
		visits(k, "often", time.Minute, 200)
		last := visits(k, "rarely", 100*time.Minute, 2)
		assertVictims(t, k, 10*knapweedpulley.GiB, nil, last, base("rarely"))
	})
	t.Run("running and held models never go, even if memory lacks", func(t *testing.T) {
		k := keeper("running", "held")
		k.RequestArrived(base("running"), 0)
		assertVictims(t, k, knapweedpulley.GiB, knapweedpulley.NewSet(base("held")), time.Hour)
	})
	t.Run("a model stays while its adapter runs", func(t *testing.T) {
		k := keeper("m")
		a := knapweedpulley.Resident{Model: "m", Adapter: "a"}
		k.Loaded(a, knapweedpulley.GiB, time.Millisecond, 0)
		k.RequestArrived(a, 0)
		assertVictims(t, k, knapweedpulley.GiB, nil, time.Hour)
	})
	t.Run("no more than needed goes", func(t *testing.T) {
		k := keeper("m1", "m2", "m3")
		assertVictims(t, k, 30*knapweedpulley.GiB, nil, time.Hour, base("m1"), base("m2"))
	})
}
