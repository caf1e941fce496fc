package trial_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/knapweedpulley/knapweedpulley/contract/trial"
)

const (
	// maxRefusedWithoutFault and maxRefusedAtEntryLoss bound the fraction of the requests within
	// the contract that is refused, without a loss of an entry process and with one.
	maxRefusedWithoutFault = 0.001
	maxRefusedAtEntryLoss  = 0.01
)

func assertFractionRefusedBelow(t *testing.T, s trial.Scenario, limit float64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		o := trial.MeasureRefusals(trial.Divided, s)
		if f := o.Total.Fraction(); f >= limit {
			t.Errorf("fraction %.4f of the requests within the contract refused, want below %.4f", f, limit)
		}
		if o.Excess > 0 {
			t.Errorf("%.1f tokens charged beyond the contract, want 0", o.Excess)
		}
	})
}

func TestRefusals(t *testing.T) {
	limits := map[trial.Fault]float64{
		trial.NoFault:     maxRefusedWithoutFault,
		trial.StoreOutage: maxRefusedWithoutFault,
		trial.KillEntry:   maxRefusedAtEntryLoss,
		trial.VanishEntry: maxRefusedAtEntryLoss,
	}
	for fault, limit := range limits {
		for _, entries := range []int{2, 4} {
			t.Run(fmt.Sprintf("fault %s at %d entries refuses few requests", fault, entries), func(t *testing.T) {
				assertFractionRefusedBelow(t, newSkewedScenario(fault, entries, 0.9), limit)
			})
		}
	}
}

func TestDividedRefusesNoMoreThanFixedPolicies(t *testing.T) {
	for _, fault := range []trial.Fault{trial.NoFault, trial.KillEntry, trial.VanishEntry, trial.StoreOutage} {
		t.Run(string(fault), func(t *testing.T) {
			s := newSkewedScenario(fault, 3, 0.8)
			divided := measureRefusals(t, trial.Divided, s)
			assertNoMoreRefused(t, divided, measureRefusals(t, trial.EvenSplit, s))
			assertNoMoreRefused(t, divided, measureRefusals(t, trial.OneOwner, s))
		})
	}
}

// newSkewedScenario returns a load of four fifths of the rate. Most of it arrives at one entry
// process, and every ten seconds at the next one.
func newSkewedScenario(fault trial.Fault, entries int, busiest float64) trial.Scenario {
	return trial.Scenario{
		Entries: entries, BusiestFraction: busiest, FlipPeriod: 10 * time.Second,
		Load: 0.8, Fault: fault, RunTime: 2 * time.Minute, Seed: 1,
	}
}

func measureRefusals(t *testing.T, p trial.Policy, s trial.Scenario) (o trial.Outcome) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		o = trial.MeasureRefusals(p, s)
		t.Logf("%s: %.3f%% refused, %.2f%% after the fault, %.1f messages per request",
			p, 100*o.Total.Fraction(), 100*o.AfterFault.Fraction(), o.PeerRequests)
	})
	return o
}

func assertNoMoreRefused(t *testing.T, o, than trial.Outcome) {
	t.Helper()
	if o.Total.Refused > than.Total.Refused {
		t.Errorf("%d requests refused, want at most %d", o.Total.Refused, than.Total.Refused)
	}
}
