package trial

import (
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// fixedKeepAlive is the usual fixed keep-alive time.
	fixedKeepAlive = 10 * time.Minute
	// waitPrice is how many accelerator seconds the policy with full knowledge
	// spends to save one second of a request's waiting time.
	waitPrice = 60
)

// Column is a policy to measure; its results form a column of the table.
type Column struct {
	Name string
	// keepAlive is the fixed keep-alive of a baseline; zero means no unloading.
	keepAlive time.Duration
	// baseline columns may load a model on any endpoint, evict the least recently
	// used model and choose the least loaded endpoint.
	baseline bool
	// evenSplit columns divide rates evenly among the entry processes.
	evenSplit bool
	// clairvoyant columns know all arrivals, have all checkpoints on each disk
	// and a weight store without limits, and decide without delay.
	clairvoyant bool
}

// Policy returns the column of the production policy.
func Policy() Column { return Column{Name: "policy"} }

// KeepAlive returns the column of a fixed keep-alive of ten minutes.
func KeepAlive() Column { return Column{Name: "keepAlive", baseline: true, keepAlive: fixedKeepAlive} }

// NeverUnload returns the column of a policy that unloads models only to make room.
func NeverUnload() Column { return Column{Name: "neverUnload", baseline: true} }

// EvenSplit returns the column of the production policy with rates divided evenly.
func EvenSplit() Column { return Column{Name: "evenSplit", evenSplit: true} }

// LowerBound returns the column of the policy with full knowledge of the arrivals.
func LowerBound() Column { return Column{Name: "lowerBound", clairvoyant: true} }

// Plan gives the length, the seed and the faults of a trial.
type Plan struct {
	Length time.Duration
	// Settle is the time before the first request, in which permits are written
	// and burst allowances fill up.
	Settle time.Duration
	Seed   uint64
	// Flood makes one customer send five times its rate in the middle third.
	Flood bool
	// Faults kills agents during loads, slows the weight store and reclaims VMs.
	Faults bool
	// EntryDies kills an entry process halfway.
	EntryDies bool
}

const (
	// floodFactor is the flooding customer's load as a multiple of its rate.
	floodFactor = 5
	// floodingCustomer is the index of the customer that floods.
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
