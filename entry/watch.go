package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/configuration"
	"github.com/knapweedpulley/knapweedpulley/customer"
	"github.com/knapweedpulley/knapweedpulley/endpoint"
	"github.com/knapweedpulley/knapweedpulley/link"
	"github.com/knapweedpulley/knapweedpulley/machine"
	"github.com/knapweedpulley/knapweedpulley/zone"
)

// errMachineListUnread is returned until the list of VMs was read.
var errMachineListUnread = errors.New("the list of VMs has not been read yet")

const (
	// machineListPeriod is the time between two reads of the list of VMs.
	machineListPeriod = time.Second
	// leaseCheckPeriod is the time between two checks whether the lease is valid.
	leaseCheckPeriod = 500 * time.Millisecond
)

// startWatching starts to follow the configuration, the list of VMs and the lease.
func (e *Entry) startWatching(ctx context.Context) {
	e.fleet = endpoint.NewFleet(e.settings.Zone, zone.NewDistances(e.settings.Distances))
	e.departures = endpoint.NewDepartures(e.clock)
	// The subscriptions have connections of their own, because they close those that have stopped
	// delivering data.
	feeds, closeFeeds := link.NewConnections(e.certificates.ClientCredentials())
	e.addCleanup(closeFeeds)
	var cleanup knapweedpulley.Cleanup
	e.configuration, cleanup = configuration.New(configuration.Options{
		Self:      e.self,
		Clock:     e.clock,
		Objects:   e.objects,
		Peers:     e.machineList,
		Link:      link.NewConfigurationClient(feeds),
		Directory: e.directory,
		Log:       e.log,
		Collections: []configuration.Collection{
			{Kind: knapweedpulley.KindCustomers, Apply: e.applyCustomers, Trim: customer.TrimRecord},
			{Kind: knapweedpulley.KindPermits, Apply: e.applyPermits},
			{Kind: knapweedpulley.KindEntries, Apply: func([]knapweedpulley.Change) {}},
		},
	})
	e.addCleanup(cleanup)
	e.background.Go(func() { e.watchMachines(ctx) })
	e.background.Go(func() { e.watchLease(ctx) })
}

// applyCustomers applies changed customers to the directory and to all that depends
// on it.
func (e *Entry) applyCustomers(changes []knapweedpulley.Change) {
	if err := e.directory.Apply(changes...); err != nil {
		e.log.WithError(err).Error("invalid customers skipped; their previous versions stay in force")
	}
	snapshot := e.directory.Current()
	e.catalog.apply(snapshot)
	e.setContracts()
	e.requests.cancelWithdrawn(snapshot)
}

// setContracts sets the rates in force at the rate limiter, once there is one.
func (e *Entry) setContracts() {
	limiter := e.limiter.Load()
	if limiter == nil {
		return
	}
	customers := e.directory.Current().Customers()
	contracts := make([]knapweedpulley.Contract, 0, len(customers))
	for _, c := range customers {
		contracts = append(contracts, knapweedpulley.Contract{Customer: c.ID, Rate: c.Rate, Burst: c.Burst})
	}
	limiter.SetCustomers(contracts)
}

// applyPermits applies changed permits.
func (e *Entry) applyPermits(changes []knapweedpulley.Change) {
	if err := e.permits.Apply(changes); err != nil {
		e.log.WithError(err).Error("invalid permits skipped")
	}
}

// watchMachines reads the list of VMs periodically, and connects to the listed agents
// once there is a table of links.
func (e *Entry) watchMachines(ctx context.Context) {
	for ctx.Err() == nil {
		listing, err := e.machines.Machines(ctx)
		e.machineList.update(listing, err)
		if err == nil {
			e.departures.UpdateMachines(listing)
			e.fleet.SetLeaving(leavingMachines(listing.Machines))
			if links := e.links.Load(); links != nil {
				links.Sync(listing.Machines)
			}
		} else if ctx.Err() == nil {
			e.log.WithError(err).Warn("list of VMs not read; the links and peers of the previous list stay in use")
		}
		_ = machine.Pause(ctx, machineListPeriod)
	}
}

func leavingMachines(machines []knapweedpulley.Machine) knapweedpulley.Set[knapweedpulley.MachineID] {
	set := knapweedpulley.NewSet[knapweedpulley.MachineID]()
	for _, m := range machines {
		if m.Leaving {
			set.Add(m.ID)
		}
	}
	return set
}

// watchLease cancels requests with a key while the lease is invalid, because the
// entry can't know then which keys are withdrawn.
func (e *Entry) watchLease(ctx context.Context) {
	for ctx.Err() == nil {
		_ = machine.Pause(ctx, leaseCheckPeriod)
		if e.joined.Load() && !e.members.Valid() {
			e.requests.cancelKeyed()
		}
	}
}

// machineListCache caches the last list of VMs. It implements
// knapweedpulley.MachineList, so that all components share one reader, and
// knapweedpulley.PeerList, so that a process finds the other entries while the
// store is down.
type machineListCache struct {
	last atomic.Pointer[machineListResult]
}

// machineListResult is the result of one read of the list.
type machineListResult struct {
	listing knapweedpulley.MachineListing
	peers   []knapweedpulley.Member
	err     error
}

// update stores the result of a read. A failed read keeps the peers of the previous
// one.
func (c *machineListCache) update(listing knapweedpulley.MachineListing, err error) {
	next := &machineListResult{listing: listing, peers: c.Peers(), err: err}
	if err == nil {
		next.peers = entriesOf(listing.Machines)
	}
	c.last.Store(next)
}

// Machines implements knapweedpulley.MachineList.
func (c *machineListCache) Machines(context.Context) (knapweedpulley.MachineListing, error) {
	last := c.last.Load()
	if last == nil {
		return knapweedpulley.MachineListing{}, errMachineListUnread
	}
	return last.listing, last.err
}

// Peers implements knapweedpulley.PeerList.
func (c *machineListCache) Peers() []knapweedpulley.Member {
	if last := c.last.Load(); last != nil {
		return last.peers
	}
	return nil
}

// entriesOf returns the VMs on which entry processes run, as members.
func entriesOf(machines []knapweedpulley.Machine) []knapweedpulley.Member {
	var members []knapweedpulley.Member
	for _, m := range machines {
		if m.Role == knapweedpulley.RoleEntry {
			members = append(members, knapweedpulley.Member{
				Entry:   knapweedpulley.EntryID(m.ID),
				Machine: m.ID,
				Zone:    m.Zone,
				Address: m.Address,
			})
		}
	}
	return members
}
