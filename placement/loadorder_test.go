package placement

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
)

// countFirst returns with how many of 1,000 gateways model m, which has three times as many requests as
// n, is loaded before n.
func countFirst(t *testing.T, gateways int64) int {
	t.Helper()
	m, n := knapweedpulley.Resident{Model: "m"}, knapweedpulley.Resident{Model: "n"}
	first := 0
	synctest.Test(t, func(*testing.T) {
		d, cleanup := NewDemand()
		defer cleanup()
		for range 3 {
			d.RecordArrival(m, 0)
		}
		d.RecordArrival(n, 0)
		time.Sleep(ratePeriod + time.Millisecond)
		for i := range 1000 {
			p := &Placer{demand: d, self: knapweedpulley.Member{Entry: knapweedpulley.EntryID(fmt.Sprintf("front-%d", i))}}
			p.gateways.Store(gateways)
			if p.loadOrder(m) < p.loadOrder(n) {
				first++
			}
		}
	})
	return first
}

func TestLoadOrder(t *testing.T) {
	t.Run("a single gateway begins with what has most requests", func(t *testing.T) {
		is.New(t).Equal(countFirst(t, 1), 1000)
	})
	// If all began with the same model, their parts of the weight store's rate would be spent on it.
	t.Run("several gateways begin with different models, in proportion to their requests", func(t *testing.T) {
		first := countFirst(t, 27)
		is.New(t).True(first > 700 && first < 800)
	})
}
