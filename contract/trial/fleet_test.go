package trial_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/contract/trial"
	"github.com/knapweedpulley/knapweedpulley/membership"
)

const customer = knapweedpulley.CustomerID("iturralde")

// entries is the number of entry processes of a fleet.
const entries = 3

var contract = knapweedpulley.Contract{Customer: customer, Rate: 1000, Burst: 6000}

// convergenceTime is enough for the members to find each other and to complete a recount.
const convergenceTime = 10 * time.Second

func newFleet(t *testing.T, o trial.Options) *trial.Fleet {
	t.Helper()
	fleet := trial.NewFleet(o)
	fleet.SetCustomers([]knapweedpulley.Contract{contract})
	return fleet
}

// chargeUnderLoad requests five times the contract's rate for the given time, at random entry
// processes, and checks the sum of the shares after each charge.
func chargeUnderLoad(t *testing.T, fleet *trial.Fleet, m *trial.Monitor, d time.Duration) {
	t.Helper()
	random := rand.New(rand.NewPCG(7, 7))
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(random.Int64N(int64(40 * time.Millisecond))))
		if _, err := fleet.Limiter(random.IntN(entries)).Charge(customer, 100); err == nil {
			m.Record(100)
		}
		assertHeldAtMostWhole(t, fleet)
	}
}

func assertHeldAtMostWhole(t *testing.T, fleet *trial.Fleet) {
	t.Helper()
	if held := fleet.Held(customer); held > knapweedpulley.WholePortion {
		t.Fatalf("shares of members with a valid lease add up to %f of the contract, want at most all of it", held.Of(1))
	}
}

func assertWholeHeld(t *testing.T, fleet *trial.Fleet) {
	t.Helper()
	if held := fleet.Held(customer); held != knapweedpulley.WholePortion {
		t.Errorf("shares of members with a valid lease add up to %f of the contract, want all of it", held.Of(1))
	}
}

func assertWithinContract(t *testing.T, m *trial.Monitor) {
	t.Helper()
	is := is.New(t)
	is.True(m.TotalCharged() > 0) // something was charged
	is.Equal(m.Excess(), 0.0)     // nothing was charged beyond the contract
}

func TestFleet(t *testing.T) {
	unreliable := trial.Faults{Delay: time.Millisecond, Jitter: 300 * time.Millisecond, Loss: 0.1, Duplicate: 0.2}
	run := func(name string, faults trial.Faults, f func(t *testing.T, fleet *trial.Fleet, m *trial.Monitor)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newFleet(t, trial.Options{Entries: entries, Seed: 1, Faults: faults})
				defer fleet.Close()
				m := trial.NewMonitor(contract)
				time.Sleep(convergenceTime)
				assertWholeHeld(t, fleet)
				f(t, fleet, m)
				assertWithinContract(t, m)
			})
		})
	}
	run("healthy members hold the whole contract", trial.Faults{},
		func(t *testing.T, fleet *trial.Fleet, m *trial.Monitor) {
			chargeUnderLoad(t, fleet, m, 10*time.Second)
			assertWholeHeld(t, fleet)
		})
	run("lost, delayed and duplicated messages keep the contract", unreliable,
		func(t *testing.T, fleet *trial.Fleet, m *trial.Monitor) {
			chargeUnderLoad(t, fleet, m, time.Minute)
		})
	run("the share of a killed member is reclaimed", trial.Faults{},
		func(t *testing.T, fleet *trial.Fleet, m *trial.Monitor) {
			fleet.Kill(0)
			chargeUnderLoad(t, fleet, m, convergenceTime)
			assertWholeHeld(t, fleet)
		})
	run("the share of a killed member that runs no recounts is reclaimed", trial.Faults{},
		func(t *testing.T, fleet *trial.Fleet, m *trial.Monitor) {
			fleet.Kill(2)
			chargeUnderLoad(t, fleet, m, convergenceTime)
			assertWholeHeld(t, fleet)
		})
	run("the share of a vanished member is reclaimed", trial.Faults{},
		func(t *testing.T, fleet *trial.Fleet, m *trial.Monitor) {
			fleet.Vanish(0)
			chargeUnderLoad(t, fleet, m, convergenceTime)
			assertWholeHeld(t, fleet)
		})
	run("a restarted member keeps the contract", unreliable,
		func(t *testing.T, fleet *trial.Fleet, m *trial.Monitor) {
			fleet.Kill(1)
			fleet.Start(1)
			chargeUnderLoad(t, fleet, m, 2*convergenceTime)
		})
	run("the share of a frozen member is reclaimed", trial.Faults{},
		func(t *testing.T, fleet *trial.Fleet, m *trial.Monitor) {
			fleet.Freeze(0)
			chargeUnderLoad(t, fleet, m, convergenceTime)
			assertWholeHeld(t, fleet)
			fleet.Resume(0)
			chargeUnderLoad(t, fleet, m, convergenceTime)
			assertWholeHeld(t, fleet)
		})
	run("members hold the whole contract in a store outage", trial.Faults{},
		func(t *testing.T, fleet *trial.Fleet, m *trial.Monitor) {
			fleet.SetStoreOutage(true)
			chargeUnderLoad(t, fleet, m, time.Minute)
			assertWholeHeld(t, fleet)
		})
	run("two disconnected members keep the contract in a store outage", trial.Faults{},
		func(t *testing.T, fleet *trial.Fleet, m *trial.Monitor) {
			fleet.SetStoreOutage(true)
			fleet.Disconnect(0, 1, true)
			chargeUnderLoad(t, fleet, m, time.Minute)
			fleet.Disconnect(0, 1, false)
			fleet.SetStoreOutage(false)
			chargeUnderLoad(t, fleet, m, convergenceTime)
			assertWholeHeld(t, fleet)
		})
	run("an isolated member loses its lease and its share is reclaimed", trial.Faults{},
		func(t *testing.T, fleet *trial.Fleet, m *trial.Monitor) {
			setIsolated(fleet, true)
			time.Sleep(membership.LeaseTime + time.Millisecond)
			is.New(t).True(!fleet.Members(0).Valid()) // the lease has lapsed
			chargeUnderLoad(t, fleet, m, convergenceTime)
			assertWholeHeld(t, fleet)
			setIsolated(fleet, false)
			chargeUnderLoad(t, fleet, m, convergenceTime)
			assertWholeHeld(t, fleet)
		})
	run("the share of an evicted member is reclaimed after its lease", trial.Faults{},
		func(t *testing.T, fleet *trial.Fleet, m *trial.Monitor) {
			setIsolated(fleet, true)
			fleet.SetStoreDisconnected(0, false)
			chargeUnderLoad(t, fleet, m, membership.LeaseTime)
			fleet.SetStoreDisconnected(0, true)
			is.New(t).True(fleet.Members(0).Valid()) // its lease is valid for up to LeaseTime more
			chargeUnderLoad(t, fleet, m, convergenceTime)
			assertWholeHeld(t, fleet)
		})
	run("a member without the store keeps its lease", trial.Faults{},
		func(t *testing.T, fleet *trial.Fleet, m *trial.Monitor) {
			fleet.SetStoreDisconnected(0, true)
			chargeUnderLoad(t, fleet, m, convergenceTime)
			is.New(t).True(fleet.Members(0).Valid()) // the other members relay their evidence
		})
	run("a lease lasts until the members that confirm it learn of the eviction", trial.Faults{},
		func(t *testing.T, fleet *trial.Fleet, m *trial.Monitor) {
			fleet.Disconnect(0, 2, true)
			fleet.SetBlocked(1, 0, true)
			fleet.SetStoreDisconnected(0, true)
			fleet.SetStoreDisconnected(1, true)
			chargeUnderLoad(t, fleet, m, convergenceTime)
			is.New(t).True(fleet.Members(0).Valid()) // member 1 confirms the lease
			fleet.SetStoreDisconnected(1, false)
			chargeUnderLoad(t, fleet, m, convergenceTime)
			is.New(t).True(!fleet.Members(0).Valid()) // no member confirms the lease
		})
	run("a new member gets no lease before the others know of it", trial.Faults{},
		func(t *testing.T, fleet *trial.Fleet, m *trial.Monitor) {
			fleet.Kill(1)
			fleet.Kill(2)
			chargeUnderLoad(t, fleet, m, convergenceTime)
			fleet.SetStoreDisconnected(0, true)
			fleet.Start(1)
			fleet.Disconnect(0, 1, true)
			chargeUnderLoad(t, fleet, m, convergenceTime)
			is.New(t).True(fleet.Members(0).Valid())  // by its own view, it is alone in an outage
			is.New(t).True(!fleet.Members(1).Valid()) // member 0 doesn't know of it
		})
	run("an isolated member loses its lease in a store outage", trial.Faults{},
		func(t *testing.T, fleet *trial.Fleet, m *trial.Monitor) {
			fleet.SetStoreOutage(true)
			setIsolated(fleet, true)
			chargeUnderLoad(t, fleet, m, convergenceTime)
			is.New(t).True(!fleet.Members(0).Valid()) // no majority confirms the lease
			is.New(t).True(fleet.Members(1).Valid())  // a majority confirms the lease
		})
	run("the share of a departing member is handed over", trial.Faults{},
		func(t *testing.T, fleet *trial.Fleet, m *trial.Monitor) {
			is.New(t).NoErr(fleet.Depart(0))
			assertWholeHeld(t, fleet)
			chargeUnderLoad(t, fleet, m, convergenceTime)
			assertWholeHeld(t, fleet)
		})
	run("members that have all restarted hold the whole contract", trial.Faults{},
		func(t *testing.T, fleet *trial.Fleet, m *trial.Monitor) {
			chargeUnderLoad(t, fleet, m, convergenceTime)
			for i := range entries {
				fleet.Kill(i)
			}
			for i := range entries {
				fleet.Start(i)
			}
			chargeUnderLoad(t, fleet, m, convergenceTime)
			assertWholeHeld(t, fleet)
		})
	run("members that are frozen and killed by turns keep the contract", unreliable,
		func(t *testing.T, fleet *trial.Fleet, m *trial.Monitor) {
			for i := range entries {
				next := (i + 1) % entries
				fleet.Freeze(i)
				chargeUnderLoad(t, fleet, m, 2*time.Second)
				fleet.Kill(next)
				chargeUnderLoad(t, fleet, m, 2*time.Second)
				fleet.Resume(i)
				fleet.Start(next)
				chargeUnderLoad(t, fleet, m, convergenceTime)
			}
		})
}

// setIsolated disconnects the first entry process from the store and all other processes, or
// reconnects it.
func setIsolated(fleet *trial.Fleet, isolated bool) {
	fleet.SetStoreDisconnected(0, isolated)
	for j := 1; j < entries; j++ {
		fleet.Disconnect(0, j, isolated)
	}
}

func TestContractChange(t *testing.T) {
	smaller := knapweedpulley.Contract{Customer: customer, Rate: 300, Burst: 500}
	run := func(name string, before, after knapweedpulley.Contract) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := trial.NewFleet(trial.Options{Entries: entries, Seed: 1})
				defer fleet.Close()
				fleet.SetCustomers([]knapweedpulley.Contract{before})
				time.Sleep(convergenceTime)
				// Until all members know of the change, charges may reach the larger contract.
				duringChange := trial.NewMonitor(contract)
				for i := range entries {
					fleet.SetCustomersAt(i, []knapweedpulley.Contract{after})
					chargeUnderLoad(t, fleet, duringChange, time.Second)
				}
				assertWithinContract(t, duringChange)
				afterChange := trial.NewMonitor(after)
				chargeUnderLoad(t, fleet, afterChange, convergenceTime)
				assertWithinContract(t, afterChange)
			})
		})
	}
	run("a lowered contract is enforced once all members know of it", contract, smaller)
	run("a raised contract is not exceeded while members learn of it", smaller, contract)
}
