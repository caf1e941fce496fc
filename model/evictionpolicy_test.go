package model_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/model"
)

func baseModel(m knapweedpulley.ModelID) knapweedpulley.Resident {
	return knapweedpulley.Resident{Model: m}
}

// sendRequests sends count requests, each gap after the previous one, to a loaded model
// and returns the time of the last one.
func sendRequests(k *model.EvictionPolicy, m knapweedpulley.ModelID, gap time.Duration, count int) time.Duration {
	now := time.Duration(0)
	for range count {
		now += gap
		k.RequestArrived(baseModel(m), at(now))
		k.RequestEnded(baseModel(m), at(now))
	}
	return now
}

func newLoadedPolicy(models ...knapweedpulley.ModelID) *model.EvictionPolicy {
	k := model.NewEvictionPolicy(80 * knapweedpulley.GiB)
	for _, m := range models {
		k.Loaded(baseModel(m), 20*knapweedpulley.GiB, 5*time.Second, 0)
	}
	return k
}

func assertExpired(t *testing.T, k *model.EvictionPolicy, now time.Duration, want ...knapweedpulley.Resident) {
	t.Helper()
	got, next := k.Expired(nil, at(now))
	is := is.New(t)
	is.Equal(got, want)
	is.True(next > 0)
}

func assertCandidates(
	t *testing.T, k *model.EvictionPolicy, need knapweedpulley.Bytes, held knapweedpulley.Set[knapweedpulley.Resident],
	now time.Duration, want ...knapweedpulley.Resident,
) {
	t.Helper()
	is.New(t).Equal(k.EvictionCandidates(need, held, at(now)), want)
}

func TestExpired(t *testing.T) {
	t.Run("a model with regular gaps is held over a gap and expires soon after", func(t *testing.T) {
		k := newLoadedPolicy("m")
		last := sendRequests(k, "m", 5*time.Minute, 40)
		assertExpired(t, k, last+5*time.Minute)
		assertExpired(t, k, last+20*time.Minute, baseModel("m"))
	})
	t.Run("a model with long gaps expires early", func(t *testing.T) {
		k := newLoadedPolicy("m")
		last := sendRequests(k, "m", 8*time.Hour, 40)
		assertExpired(t, k, last+20*time.Minute, baseModel("m"))
	})
	t.Run("a model that loads quickly expires before one that loads slowly", func(t *testing.T) {
		k := newLoadedPolicy("slow")
		k.Loaded(baseModel("quick"), 20*knapweedpulley.GiB, 100*time.Millisecond, 0)
		assertExpired(t, k, time.Minute, baseModel("quick"))
	})
	t.Run("a model with a running request never expires", func(t *testing.T) {
		k := newLoadedPolicy("m")
		k.RequestArrived(baseModel("m"), 0)
		assertExpired(t, k, 100*time.Hour)
		k.RequestEnded(baseModel("m"), at(100*time.Hour))
		assertExpired(t, k, 200*time.Hour, baseModel("m"))
	})
}

func TestEvictionCandidates(t *testing.T) {
	t.Run("the model with the least expected cost of a miss is evicted", func(t *testing.T) {
		k := newLoadedPolicy("often", "rarely")
		sendRequests(k, "often", time.Minute, 200)
		last := sendRequests(k, "rarely", 100*time.Minute, 2)
		assertCandidates(t, k, 10*knapweedpulley.GiB, nil, last, baseModel("rarely"))
	})
	t.Run("running and held models are not evicted, even if memory is short", func(t *testing.T) {
		k := newLoadedPolicy("running", "held")
		k.RequestArrived(baseModel("running"), 0)
		assertCandidates(t, k, knapweedpulley.GiB, knapweedpulley.NewSet(baseModel("held")), time.Hour)
	})
	t.Run("a model is not evicted while its adapter runs", func(t *testing.T) {
		k := newLoadedPolicy("m")
		a := knapweedpulley.Resident{Model: "m", Adapter: "a"}
		k.Loaded(a, knapweedpulley.GiB, time.Millisecond, 0)
		k.RequestArrived(a, 0)
		assertCandidates(t, k, knapweedpulley.GiB, nil, time.Hour)
	})
	t.Run("no more than needed is evicted", func(t *testing.T) {
		k := newLoadedPolicy("m1", "m2", "m3")
		assertCandidates(t, k, 30*knapweedpulley.GiB, nil, time.Hour, baseModel("m1"), baseModel("m2"))
	})
}
