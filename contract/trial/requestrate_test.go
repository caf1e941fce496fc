package trial_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley/contract/trial"
)

// maxRequestsToMember is the number of requests per second from one member to another: two
// heartbeats and two share messages.
const maxRequestsToMember = 4

func TestRequestRate(t *testing.T) {
	for _, n := range []int{2, 8, 16} {
		t.Run(fmt.Sprintf("%d entries send only heartbeats and share messages", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rate := trial.RequestRate(n)
				t.Logf("%.1f requests per second", rate)
				is.New(t).True(rate <= maxRequestsToMember*float64(n-1)) // nothing else is sent
			})
		})
	}
}

// TestPullRate floods three entry processes with charges, and guards against pulls whose number
// grows with the flood. A charge takes the tokens that the contract yields in a tenth of a
// second. The whole contract yields at least one charge between two pulls that yield too few
// tokens, and also between two pulls that yield enough.
func TestPullRate(t *testing.T) {
	const (
		charges          = 10000
		pause            = 2 * time.Millisecond
		chargesPerSecond = 10
		others           = entries - 1
		maxRate          = others * (maxRequestsToMember + 2*chargesPerSecond)
	)
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, trial.Options{Entries: entries, Seed: 1})
		defer fleet.Close()
		time.Sleep(convergenceTime)
		before := fleet.PeerRequests()
		for i := range charges {
			time.Sleep(pause)
			_, _ = fleet.Limiter(i%entries).Charge(customer, 100)
		}
		seconds := (charges * pause).Seconds()
		rate := float64(fleet.PeerRequests()-before) / entries / seconds
		t.Logf("%.1f requests per second", rate)
		is.New(t).True(rate <= maxRate) // pulls don't grow with the flood
	})
}
