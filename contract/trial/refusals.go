package trial

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

// Policy is a way to enforce a customer's contract over several entry processes.
type Policy string

// Policies that can be compared.
const (
	// Divided is the policy of package contract.
	Divided Policy = "divided"
	// EvenSplit gives each entry process the same fixed part of the contract.
	EvenSplit Policy = "evenSplit"
	// OneOwner lets one entry process decide on all charges.
	OneOwner Policy = "oneOwner"
)

// Fault is the fault that occurs half-way through a scenario.
type Fault string

// Faults of a scenario.
const (
	NoFault Fault = "none"
	// KillEntry ends the process of the busiest entry.
	KillEntry Fault = "kill"
	// VanishEntry removes the machine of the busiest entry.
	VanishEntry Fault = "vanish"
	// StoreOutage makes the store unavailable for the rest of the scenario.
	StoreOutage Fault = "outage"
)

const (
	// warmUpTime is the time before the load, in which the members find each other and their
	// shares fill up.
	warmUpTime = 20 * time.Second
	// faultWindow is the time after a fault whose requests are also counted separately.
	faultWindow = 10 * time.Second
	// takeoverTime is the time until an evicted process has certainly ended. EvenSplit and
	// OneOwner can't replace a lost process any sooner.
	takeoverTime = 7 * time.Second
	// scenarioRate and scenarioBurst are the contract of the customer.
	scenarioRate  = 10000
	scenarioBurst = 40000
	// meanCharge is the mean of the exponentially distributed charges, and maxCharge their
	// maximum, in tokens.
	meanCharge = 500
	maxCharge  = 5000
)

// Scenario is a load of one customer on a fleet.
type Scenario struct {
	Entries int
	// BusiestFraction is the fraction of the requests that arrives at the busiest entry
	// process. The other processes receive equal parts of the rest.
	BusiestFraction float64
	// FlipPeriod is the time after which another entry process becomes the busiest. Zero means
	// never.
	FlipPeriod time.Duration
	// Load is the offered load as a fraction of the contract's rate.
	Load    float64
	Fault   Fault
	RunTime time.Duration
	Seed    uint64
}

// RequestCount counts the requests that a single bucket for the whole contract allows, and those
// of them that were refused.
type RequestCount struct {
	Allowed int
	Refused int
}

// Fraction returns the fraction of the requests that was refused.
func (c RequestCount) Fraction() float64 {
	if c.Allowed == 0 {
		return 0
	}
	return float64(c.Refused) / float64(c.Allowed)
}

// Outcome is the result of a scenario.
type Outcome struct {
	Total RequestCount
	// AfterFault counts the requests in the ten seconds after the fault.
	AfterFault RequestCount
	// Excess is the largest number of tokens charged beyond the contract in any window.
	Excess float64
	// PeerRequests is the number of requests between the members for each request of the
	// customer.
	PeerRequests float64
}

// chargeFunc reports whether an entry process allows a charge.
type chargeFunc func(entry int, n knapweedpulley.Tokens) bool

// MeasureRefusals runs a scenario under a policy. It must be called inside a bubble of
// testing/synctest.
func MeasureRefusals(p Policy, s Scenario) Outcome {
	c := knapweedpulley.Contract{Customer: "iturralde", Rate: scenarioRate, Burst: scenarioBurst}
	fleet := NewFleet(Options{Entries: s.Entries, Seed: s.Seed})
	defer fleet.Close()
	fleet.SetCustomers([]knapweedpulley.Contract{c})
	r := &scenarioRun{Scenario: s, reference: NewMonitor(c), actual: NewMonitor(c)}
	r.charge = r.chargeFunc(p, fleet, c)
	time.Sleep(warmUpTime)
	before := fleet.PeerRequests()
	r.sendRequests(fleet)
	r.requests.Wait()
	r.outcome.PeerRequests = float64(fleet.PeerRequests()-before) / float64(r.outcome.Total.Allowed)
	r.outcome.Excess = r.actual.Excess()
	return r.outcome
}

// scenarioRun is a scenario in progress.
type scenarioRun struct {
	Scenario
	charge chargeFunc
	// reference decides which requests the contract allows, and actual records those that the
	// policy allows.
	reference *Monitor
	actual    *Monitor
	requests  sync.WaitGroup
	// faultTime is the time of the fault. It is zero before the fault.
	faultTime time.Time
	// lostEntry is the entry process that the fault ends.
	lostEntry int

	mu      sync.Mutex
	outcome Outcome
}

// chargeFunc returns the function that decides on charges under a policy.
func (r *scenarioRun) chargeFunc(p Policy, fleet *Fleet, c knapweedpulley.Contract) chargeFunc {
	switch p {
	case EvenSplit:
		return r.newEvenSplit(c)
	case OneOwner:
		return r.newOneOwner(c)
	default:
		return func(entry int, n knapweedpulley.Tokens) bool {
			_, err := fleet.Limiter(entry).Charge(c.Customer, n)
			return err == nil
		}
	}
}

// newEvenSplit divides the contract evenly among the entry processes. takeoverTime after a
// process is lost, its part is divided among the others.
func (r *scenarioRun) newEvenSplit(c knapweedpulley.Contract) chargeFunc {
	parts := make([]*Monitor, r.Entries)
	for i := range parts {
		parts[i] = NewMonitor(evenPart(c, r.Entries))
	}
	redistributed := false
	return func(entry int, n knapweedpulley.Tokens) bool {
		r.mu.Lock()
		if r.entryLost() && time.Since(r.faultTime) > takeoverTime && !redistributed {
			redistributed = true
			for _, m := range parts {
				m.raiseContract(evenPart(c, r.Entries-1))
			}
		}
		r.mu.Unlock()
		return parts[entry].Allow(n)
	}
}

// evenPart returns one of n equal parts of a contract.
func evenPart(c knapweedpulley.Contract, n int) knapweedpulley.Contract {
	c.Rate /= knapweedpulley.TokensPerSecond(n)
	c.Burst /= knapweedpulley.Tokens(n)
	return c
}

// newOneOwner lets the busiest entry process decide on all charges. If that process is lost, all
// charges are refused for takeoverTime, and then the next owner starts with an empty bucket.
func (r *scenarioRun) newOneOwner(c knapweedpulley.Contract) chargeFunc {
	owner := NewMonitor(c)
	replaced := false
	return func(_ int, n knapweedpulley.Tokens) bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.entryLost() && !replaced {
			if time.Since(r.faultTime) < takeoverTime {
				return false
			}
			replaced = true
			owner = NewMonitor(c)
			owner.level = 0
		}
		return owner.Allow(n)
	}
}

// entryLost reports whether the fault has ended an entry process.
func (r *scenarioRun) entryLost() bool {
	return !r.faultTime.IsZero() && r.Fault != StoreOutage
}

// sendRequests sends the requests of the scenario and injects the fault half-way.
func (r *scenarioRun) sendRequests(fleet *Fleet) {
	random := rand.New(rand.NewPCG(r.Seed, 1)) //nolint:gosec // Trials must be repeatable.
	start := time.Now()
	meanInterval := float64(time.Second) * meanCharge / (r.Load * scenarioRate)
	for time.Since(start) < r.RunTime {
		time.Sleep(time.Duration(random.ExpFloat64() * meanInterval))
		if r.Fault != NoFault && r.faultTime.IsZero() && time.Since(start) > (r.RunTime+r.FlipPeriod)/2 {
			r.injectFault(fleet, r.busiest(start))
		}
		entry := r.pickEntry(random, r.busiest(start))
		n := knapweedpulley.Tokens(min(maxCharge, 1+random.ExpFloat64()*meanCharge))
		r.requests.Go(func() { r.request(entry, n) })
	}
}

// busiest returns the entry process that is now the busiest.
func (r *scenarioRun) busiest(start time.Time) int {
	if r.FlipPeriod == 0 {
		return 0
	}
	return int(time.Since(start)/r.FlipPeriod) % r.Entries
}

// pickEntry chooses the entry process of a request. Like a load balancer, it skips a lost one.
func (r *scenarioRun) pickEntry(random *rand.Rand, busiest int) int {
	for {
		entry := busiest
		if random.Float64() >= r.BusiestFraction {
			entry = (busiest + 1 + random.IntN(r.Entries-1)) % r.Entries
		}
		if !r.entryLost() || entry != r.lostEntry {
			return entry
		}
		busiest = (r.lostEntry + 1) % r.Entries
	}
}

// injectFault causes the scenario's fault.
func (r *scenarioRun) injectFault(fleet *Fleet, busiest int) {
	switch r.Fault {
	case KillEntry:
		fleet.Kill(busiest)
	case VanishEntry:
		fleet.Vanish(busiest)
	case StoreOutage:
		fleet.SetStoreOutage(true)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lostEntry = busiest
	r.faultTime = time.Now()
}

// request charges n tokens at an entry process, if the contract allows it, and counts the result.
func (r *scenarioRun) request(entry int, n knapweedpulley.Tokens) {
	if !r.reference.Allow(n) {
		return
	}
	r.mu.Lock()
	afterFault := !r.faultTime.IsZero() && time.Since(r.faultTime) < faultWindow
	r.mu.Unlock()
	refused := !r.charge(entry, n)
	if !refused {
		r.actual.Record(n)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcome.Total.add(refused)
	if afterFault {
		r.outcome.AfterFault.add(refused)
	}
}

// add counts a request that the contract allows.
func (c *RequestCount) add(refused bool) {
	c.Allowed++
	if refused {
		c.Refused++
	}
}
