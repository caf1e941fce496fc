package faults

import (
	"fmt"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// withdrawalLimit bounds how long a withdrawn key may keep working.
	withdrawalLimit = 5 * time.Second
	// configurationLimit bounds how long an accepted change may take to be in force.
	configurationLimit = 5 * time.Second
)

// Invariant is a column of the matrix.
type Invariant struct {
	Name string
	// Check returns a description of each violation, and the number of
	// observations that the invariant applied to.
	Check func(Observations) (violations []string, checked int)
}

// Invariants returns the columns in the order in which they are printed.
func Invariants() []Invariant {
	return []Invariant{
		{"replicas as decided", ReplicasAsDecided{}.Check},
		{"memory kept", MemoryKept{}.Check},
		{"served or refused in time", EndedInTime{}.Check},
		{"runs for its customer", RunsForItsCustomer{}.Check},
		{"no key at endpoints", NoKeyAtEndpoints{}.Check},
		{"withdrawn key stops", WithdrawnKeyStops{}.Check},
		{"rate and burst kept", RateKept{}.Check},
		{"whole own answer", WholeOwnAnswer{}.Check},
		{"not run is true", NotRunIsTrue{}.Check},
		{"at most once", AtMostOnce{}.Check},
		{"leaving gets no work", LeavingGetsNoWork{}.Check},
		{"shutdown cuts nothing", ShutdownCutsNothing{}.Check},
		{"configuration in force", ConfigurationInForce{}.Check},
	}
}

// checkEach applies violation to each observation and returns the descriptions and
// the number of observations. An empty description means no violation.
func checkEach[T any](observations []T, violation func(T) string) ([]string, int) {
	var violations []string
	for _, o := range observations {
		if text := violation(o); text != "" {
			violations = append(violations, text)
		}
	}
	return violations, len(observations)
}

// ReplicasAsDecided checks that endpoints hold only models that they have a permit for.
type ReplicasAsDecided struct{}

// Check implements Invariant.Check.
func (ReplicasAsDecided) Check(o Observations) ([]string, int) {
	return checkEach(o.Replicas, func(r Replica) string {
		if r.Permitted {
			return ""
		}
		return fmt.Sprintf("%s holds %s without a permit", r.Endpoint, r.Model)
	})
}

// MemoryKept checks that the memory of an endpoint is never overcommitted.
type MemoryKept struct{}

// Check implements Invariant.Check.
func (MemoryKept) Check(o Observations) ([]string, int) {
	return checkEach(o.Memories, func(m Memory) string {
		if m.Peak <= m.Total {
			return ""
		}
		return fmt.Sprintf("%s took %s of %s", m.Endpoint, m.Peak, m.Total)
	})
}

// EndedInTime checks that each request is served or refused within its timeout.
type EndedInTime struct{}

// Check implements Invariant.Check.
func (EndedInTime) Check(o Observations) ([]string, int) {
	return checkEach(o.Waits, func(w Wait) string {
		if w.Ended && w.Took <= w.Timeout {
			return ""
		}
		return fmt.Sprintf("request %s of %s ended %t after %s", w.Request, w.Timeout, w.Ended, w.Took)
	})
}

// RunsForItsCustomer checks that a request runs only for the customer whose key
// it carried.
type RunsForItsCustomer struct{}

// Check implements Invariant.Check.
func (RunsForItsCustomer) Check(o Observations) ([]string, int) {
	return checkEach(o.Owners, func(w Owner) string {
		if w.Sent == w.Ran {
			return ""
		}
		return fmt.Sprintf("request %s of %s ran for %s", w.Request, w.Sent, w.Ran)
	})
}

// NoKeyAtEndpoints checks that no endpoint sees a caller's key.
type NoKeyAtEndpoints struct{}

// Check implements Invariant.Check.
func (NoKeyAtEndpoints) Check(o Observations) ([]string, int) {
	return checkEach(o.Exposures, func(e Exposure) string {
		if !e.KeySeen {
			return ""
		}
		return fmt.Sprintf("%s saw a key", e.Endpoint)
	})
}

// WithdrawnKeyStops checks that a withdrawn key stops working within withdrawalLimit.
type WithdrawnKeyStops struct{}

// Check implements Invariant.Check.
func (WithdrawnKeyStops) Check(o Observations) ([]string, int) {
	return checkEach(o.Withdrawals, func(w Withdrawal) string {
		if w.Worked <= withdrawalLimit {
			return ""
		}
		return fmt.Sprintf("key %s worked for %s", w.Key, w.Worked)
	})
}

// RateKept checks that no customer gets more tokens than its rate and burst allow.
type RateKept struct{}

// Check implements Invariant.Check.
func (RateKept) Check(o Observations) ([]string, int) {
	return checkEach(o.Rates, func(r Rate) string {
		if r.Got <= r.Allowed {
			return ""
		}
		return fmt.Sprintf("%s got %d of %d tokens", r.Customer, r.Got, r.Allowed)
	})
}

// WholeOwnAnswer checks that a caller gets the complete answer to its own request.
type WholeOwnAnswer struct{}

// Check implements Invariant.Check.
func (WholeOwnAnswer) Check(o Observations) ([]string, int) {
	return checkEach(o.Answers, func(a Answer) string {
		if a.Whole {
			return ""
		}
		return fmt.Sprintf("request %s was answered in part or with another answer", a.Request)
	})
}

// NotRunIsTrue checks that no back end ran a request that was refused as
// not run.
type NotRunIsTrue struct{}

// Check implements Invariant.Check.
func (NotRunIsTrue) Check(o Observations) ([]string, int) {
	return checkEach(o.Refusals, func(r Refusal) string {
		if r.Verdict != knapweedpulley.NotRun || r.Runs == 0 {
			return ""
		}
		return fmt.Sprintf("request %s ran %d times and was refused as not run", r.Request, r.Runs)
	})
}

// AtMostOnce checks that a request that must not be repeated runs at most once.
type AtMostOnce struct{}

// Check implements Invariant.Check.
func (AtMostOnce) Check(o Observations) ([]string, int) {
	return checkEach(o.Repeats, func(r Repeat) string {
		if r.Runs <= 1 {
			return ""
		}
		return fmt.Sprintf("request %s ran %d times", r.Request, r.Runs)
	})
}

// LeavingGetsNoWork checks that a draining endpoint starts no request after the
// grace period of a few seconds.
type LeavingGetsNoWork struct{}

// Check implements Invariant.Check.
func (LeavingGetsNoWork) Check(o Observations) ([]string, int) {
	return checkEach(o.Departures, func(d Departure) string {
		if d.Begun == 0 {
			return ""
		}
		return fmt.Sprintf("%s began %d requests while it was leaving", d.Endpoint, d.Begun)
	})
}

// ShutdownCutsNothing checks that a graceful shutdown interrupts no running request.
type ShutdownCutsNothing struct{}

// Check implements Invariant.Check.
func (ShutdownCutsNothing) Check(o Observations) ([]string, int) {
	return checkEach(o.Shutdowns, func(s Shutdown) string {
		if s.Cut == 0 {
			return ""
		}
		return fmt.Sprintf("the shutdown of %s cut %d requests", s.Endpoint, s.Cut)
	})
}

// ConfigurationInForce checks that an accepted configuration is in force
// everywhere within configurationLimit and never reverts.
type ConfigurationInForce struct{}

// Check implements Invariant.Check.
func (ConfigurationInForce) Check(o Observations) ([]string, int) {
	return checkEach(o.Configurations, func(c Configuration) string {
		if !c.Reverted && c.InForce <= configurationLimit {
			return ""
		}
		return fmt.Sprintf("%s in force after %s, reverted %t", c.Name, c.InForce, c.Reverted)
	})
}
