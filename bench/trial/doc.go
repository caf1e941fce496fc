// Package trial measures the policy for models and rates in virtual time: the
// packages model, endpoint and contract decide, over small fakes of the agents
// and the store.
//
// The engines and the weight store are those of the stand-ins, in the same
// process. A fake agent admits requests to its engine's slots in the order of
// their arrival, keeps its memory by a knapweedpulley.EvictionPolicy, and reports
// with a lag. Entry processes reach each other by calls that take a round trip.
// Plain services take no part.
//
// # Usage
//
// Run needs the virtual time of a testing/synctest bubble:
//
//	synctest.Test(t, func(t *testing.T) {
//		result := trial.Run(trial.Iturralde(), trial.Policy(), trial.Plan{Length: time.Hour, Settle: time.Hour, Seed: 1})
//	})
package trial
