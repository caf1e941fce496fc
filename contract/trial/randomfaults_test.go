package trial_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/knapweedpulley/knapweedpulley/contract/trial"
	"github.com/knapweedpulley/knapweedpulley/membership"
)

// faultInjector causes random faults and records those that have not ended yet.
type faultInjector struct {
	fleet  *trial.Fleet
	random *rand.Rand
	down   [entries]bool
	frozen [entries]bool
	outage bool
}

// step causes or ends one fault at a random entry process.
func (f *faultInjector) step() {
	i := f.random.IntN(entries)
	j := (i + 1) % entries
	switch f.random.IntN(8) {
	case 0:
		f.kill(i)
	case 1, 2:
		f.restore(i)
	case 3:
		if !f.down[i] && !f.frozen[i] {
			f.frozen[i] = true
			f.fleet.Freeze(i)
		}
	case 4:
		f.setOutage(!f.outage)
	case 5:
		f.fleet.SetStoreDisconnected(i, f.random.IntN(2) == 0)
	case 6:
		f.disconnect(i, j, f.random.IntN(2) == 0)
	case 7:
		if !f.outage && !f.down[i] && !f.frozen[i] {
			f.down[i] = true
			_ = f.fleet.Depart(i)
		}
	}
}

func (f *faultInjector) kill(i int) {
	if !f.down[i] && !f.frozen[i] {
		f.down[i] = true
		f.fleet.Kill(i)
	}
}

// restore resumes an entry process that is frozen, and restarts one that is down or was evicted.
func (f *faultInjector) restore(i int) {
	if f.frozen[i] {
		f.frozen[i] = false
		f.fleet.Resume(i)
	}
	select {
	case <-f.fleet.Members(i).Ended():
		f.kill(i)
	default:
	}
	if f.down[i] && !f.outage {
		f.down[i] = false
		f.fleet.Start(i)
	}
}

func (f *faultInjector) setOutage(outage bool) {
	f.outage = outage
	f.fleet.SetStoreOutage(outage)
}

func (f *faultInjector) disconnect(i, j int, disconnect bool) {
	if !f.down[i] && !f.down[j] && !f.frozen[i] && !f.frozen[j] {
		f.fleet.Disconnect(i, j, disconnect)
	}
}

// endAllFaults ends all faults.
func (f *faultInjector) endAllFaults() {
	f.setOutage(false)
	for i := range entries {
		f.restore(i)
		f.fleet.SetStoreDisconnected(i, false)
	}
	for i := range entries {
		f.disconnect(i, (i+1)%entries, false)
	}
}

func TestContractKeptUnderRandomFaults(t *testing.T) {
	const (
		seeds = 12
		steps = 40
	)
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				unreliable := trial.Faults{Delay: time.Millisecond, Jitter: 100 * time.Millisecond, Loss: 0.02, Duplicate: 0.1}
				fleet := newFleet(t, trial.Options{Entries: entries, Seed: seed, Faults: unreliable})
				defer fleet.Close()
				injector := &faultInjector{fleet: fleet, random: rand.New(rand.NewPCG(seed, 3))}
				m := trial.NewMonitor(contract)
				time.Sleep(convergenceTime)
				for range steps {
					injector.step()
					chargeUnderLoad(t, fleet, m, time.Duration(injector.random.Int64N(int64(2*membership.LeaseTime))))
				}
				for range entries {
					injector.endAllFaults()
					time.Sleep(2 * convergenceTime)
				}
				assertWholeHeld(t, fleet)
				assertWithinContract(t, m)
			})
		})
	}
}
