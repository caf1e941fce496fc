package trial

import (
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// fixedKeepAlive is the keep-alive of the usual policy.
	fixedKeepAlive = 10 * time.Minute
	// waitPrice is how many seconds of an accelerator a second is worth that a
	// request doesn't wait, to a policy with full knowledge.
	waitPrice = 60
)

// Column is a policy to measure.
type Column struct {
	Name string
	// keepAlive is the fixed keepAlive-alive of a baseline.
	keepAlive time.Duration
	// baseline columns use all endpoints, evict the least recently used and
	// choose the least loaded.
	baseline bool
	// evenSplit columns divide rates evenly.
	evenSplit bool
	// clairvoyant columns know all arrivals, have all checkpoints on each disk
	// and a weight store without limits, and decide in no time.
	clairvoyant bool
}

// Policy returns the column of the code as it is.
func Policy() Column { return Column{Name: "policy"} }

// KeepAlive returns the column of a fixed keep-alive of ten minutes.
func KeepAlive() Column { return Column{Name: "keepAlive", baseline: true, keepAlive: fixedKeepAlive} }

// NeverUnload returns the column of a policy that only evicts.
func NeverUnload() Column { return Column{Name: "neverUnload", baseline: true} }

// EvenSplit returns the column of the policy with rates divided evenly.
func EvenSplit() Column { return Column{Name: "evenSplit", evenSplit: true} }

// LowerBound returns the column with full knowledge of the arrivals.
func LowerBound() Column { return Column{Name: "lowerBound", clairvoyant: true} }

// Plan is what happens in a trial.
type Plan struct {
	Length time.Duration
	// Settle is the time for permits to be written and for bursts to fill up
	// before requests arrive.
	Settle time.Duration
	Seed   uint64
	// Flood has one customer send five times its rate in the middle third.
	Flood bool
	// Faults kills agents during loads, slows the weight store and reclaims a
	// VM.
	Faults bool
	// EntryDies kills an entry process halfway.
	EntryDies bool
}

const (
	// floodFactor is how many times its rate the flooding customer sends.
	floodFactor = 5
	// floodingCustomer is the customer that floods.
	floodingCustomer = 1
)

// arrivals returns the requests of a plan and the customers' contracts.
func (p Plan) arrivals(d Deployment) ([]arrival, []knapweedpulley.Contract) {
	list := generateArrivals(d, p.Length, p.Seed)
	all := contracts(list, p.Length)
	if p.Flood {
		list = addFlood(list, all[floodingCustomer], floodFactor, p.Length/3, 2*p.Length/3, p.Seed)
	}
	return list, all
}
