// Package trial simulates entry processes in virtual time. Tests use it to check that a customer
// stays within its contract under faults of processes, network and store, and to measure how
// many requests within the contract are refused.
//
// Membership and rate limiting are the real code. The store, the network and the clock are
// fakes of the interfaces in the root package.
//
// # Usage
//
// A simulation runs inside a bubble of testing/synctest:
//
//	synctest.Test(t, func(t *testing.T) {
//		fleet := trial.NewFleet(trial.Options{Entries: 3, Seed: 1})
//		defer fleet.Close()
//		fleet.SetCustomers(contracts)
//		fleet.Kill(1)
//	})
package trial
