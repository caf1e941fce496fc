// Package trial measures the policy for models and rates in virtual time. The
// decisions are made by the packages model, endpoint and contract, which run on
// small fakes of the agents and the store.
//
// The engines and the weight store are those of the stand-ins and run in the same
// process. A fake agent admits requests to its engine's slots in the order of
// their arrival, manages its memory with a knapweedpulley.EvictionPolicy, and
// reports with a lag. Calls between entry processes take a round trip. Plain
// services aren't simulated.
//
// # Usage
//
// Run needs the virtual time of a testing/synctest bubble:
//
//	synctest.Test(t, func(t *testing.T) {
//		result := trial.Run(trial.Iturralde(), trial.Policy(), trial.Plan{Length: time.Hour, Settle: time.Hour, Seed: 1})
//	})
package trial
