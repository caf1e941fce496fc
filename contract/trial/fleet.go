package trial

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/contract"
	"github.com/knapweedpulley/knapweedpulley/membership"
)

// registrationTimeout bounds the time in which an entry process registers or departs.
const registrationTimeout = 10 * time.Second

// clock returns the virtual time of the bubble.
type clock struct{}

// Now implements knapweedpulley.Clock.
func (clock) Now() knapweedpulley.Instant {
	return knapweedpulley.Instant(time.Now().UnixNano())
}

// Options configure a fleet.
type Options struct {
	// Entries is the number of entry processes.
	Entries int
	// Seed is the seed of the random faults of the network.
	Seed uint64
	// Faults are the faults of the network. The zero value stands for a healthy network.
	Faults Faults
}

// Fleet is a set of simulated entry processes with their network and store.
type Fleet struct {
	network   *network
	store     *store
	entries   []*Entry
	contracts []knapweedpulley.Contract
}

// Entry is one entry process.
type Entry struct {
	*network
	evidence *evidence
	members  *membership.Members
	limiter  *contract.Limiter
	// ready is closed once the membership and the limiter are set.
	ready    chan struct{}
	cleanups []knapweedpulley.Cleanup
	stop     sync.Once
}

// NewFleet returns a fleet and starts its entry processes.
func NewFleet(o Options) *Fleet {
	if o.Faults == (Faults{}) {
		o.Faults = healthyNetwork
	}
	f := &Fleet{network: newNetwork(o.Seed, o.Faults), store: newStore()}
	f.entries = make([]*Entry, o.Entries)
	for i := range f.entries {
		f.Start(i)
	}
	return f
}

// Start starts or restarts the entry process i. It panics if the process can't register.
func (f *Fleet) Start(i int) {
	e := &Entry{network: f.network, evidence: &evidence{store: f.store}, ready: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	var polls sync.WaitGroup
	polls.Go(func() { e.evidence.run(ctx) })
	e.cleanups = append(e.cleanups, func() {
		cancel()
		polls.Wait()
	})
	self := knapweedpulley.Member{
		Entry:   knapweedpulley.EntryID(fmt.Sprintf("entry-%d", i)),
		Machine: knapweedpulley.MachineID(fmt.Sprintf("machine-%d", i)),
	}
	registering, done := context.WithTimeout(ctx, registrationTimeout)
	defer done()
	members, cleanup, err := membership.Register(registering, membership.Options{
		Clock: clock{}, Evidence: e.evidence, Store: f.store, Link: e, Self: self,
	})
	if err != nil {
		panic("start an entry process: " + err.Error())
	}
	e.members = members
	e.cleanups = append(e.cleanups, cleanup)
	limiter, cleanup := contract.NewLimiter(clock{}, members, e)
	e.limiter = limiter
	e.cleanups = append(e.cleanups, cleanup)
	limiter.SetCustomers(f.contracts)
	close(e.ready)
	f.network.mu.Lock()
	f.network.entries[members.Self().ID()] = e
	f.network.mu.Unlock()
	f.entries[i] = e
}

// id returns the id of the current run of the process. It waits until the id is known.
func (e *Entry) id() knapweedpulley.MemberID {
	<-e.ready
	return e.members.Self().ID()
}

// Limiter returns the rate limiter of the entry process i.
func (f *Fleet) Limiter(i int) *contract.Limiter {
	return f.entries[i].limiter
}

// Members returns the membership of the entry process i.
func (f *Fleet) Members(i int) *membership.Members {
	return f.entries[i].members
}

// SetCustomers sets the contracts at all entry processes.
func (f *Fleet) SetCustomers(contracts []knapweedpulley.Contract) {
	f.contracts = contracts
	for _, e := range f.entries {
		e.limiter.SetCustomers(contracts)
	}
}

// Kill ends the entry process i and releases its port.
func (f *Fleet) Kill(i int) {
	f.end(i, killed)
}

// Vanish ends the entry process i together with its machine.
func (f *Fleet) Vanish(i int) {
	f.end(i, vanished)
}

// end puts the entry process i into a final state and stops its goroutines.
func (f *Fleet) end(i int, s processState) {
	e := f.entries[i]
	f.network.setState(e.id(), s)
	e.close()
}

// Freeze holds back the messages to and from the entry process i, and its requests to the store,
// until Resume.
func (f *Fleet) Freeze(i int) {
	f.network.setState(f.entries[i].id(), frozen)
	f.entries[i].evidence.setDisconnected(true)
}

// Resume ends the effect of Freeze on the entry process i.
func (f *Fleet) Resume(i int) {
	f.entries[i].evidence.setDisconnected(false)
	f.network.setState(f.entries[i].id(), running)
}

// Disconnect disconnects two entry processes, or reconnects them if disconnect is false.
func (f *Fleet) Disconnect(i, j int, disconnect bool) {
	f.network.disconnect(f.entries[i].id().Entry, f.entries[j].id().Entry, disconnect)
}

// SetBlocked blocks or unblocks the requests from the entry process i to j. It doesn't affect
// those from j to i.
func (f *Fleet) SetBlocked(i, j int, blocked bool) {
	f.network.setBlocked(f.entries[i].id().Entry, f.entries[j].id().Entry, blocked)
}

// SetStoreDisconnected disconnects the entry process i from the store, or reconnects it.
func (f *Fleet) SetStoreDisconnected(i int, disconnected bool) {
	f.entries[i].evidence.setDisconnected(disconnected)
}

// SetStoreOutage starts or ends an outage of the store for all entry processes.
func (f *Fleet) SetStoreOutage(down bool) {
	f.store.setDown(down)
}

// Depart makes the entry process i hand over its shares, depart from the membership, and end. If
// a step fails, Depart returns its error, and the process ends all the same.
func (f *Fleet) Depart(i int) error {
	e := f.entries[i]
	ctx, cancel := context.WithTimeout(context.Background(), registrationTimeout)
	defer cancel()
	defer f.end(i, killed)
	if err := e.limiter.Depart(ctx); err != nil {
		return err
	}
	return e.members.Depart(ctx)
}

// SetCustomersAt sets the contracts at the entry process i, and at processes that start later.
func (f *Fleet) SetCustomersAt(i int, contracts []knapweedpulley.Contract) {
	f.contracts = contracts
	f.entries[i].limiter.SetCustomers(contracts)
}

// Held returns the sum of the portions of a contract that are held by entry processes with a
// valid lease.
func (f *Fleet) Held(c knapweedpulley.CustomerID) knapweedpulley.Portion {
	var sum knapweedpulley.Portion
	for _, e := range f.entries {
		if e.members.Valid() {
			sum += e.limiter.Share(c).Held
		}
	}
	return sum
}

// PeerRequests returns the number of requests that the members have sent to each other.
func (f *Fleet) PeerRequests() int {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	return f.network.requests
}

// Close ends all entry processes and waits for the messages in flight.
func (f *Fleet) Close() {
	for i, e := range f.entries {
		f.network.setState(e.id(), vanished)
		f.entries[i].close()
	}
	f.network.inFlight.Wait()
}

func (e *Entry) close() {
	e.stop.Do(func() {
		for i := len(e.cleanups) - 1; i >= 0; i-- {
			e.cleanups[i]()
		}
	})
}
