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

// errNoList says that the list of VMs was not read yet.
var errNoList = errors.New("the list of VMs was not read yet")

const (
	// machinesPeriod is the time between two reads of the list of VMs.
	machinesPeriod = time.Second
	// leasePeriod is the time between two checks whether keyed requests may go
	// on.
	leasePeriod = 500 * time.Millisecond
)

// follow keeps the configuration and the list of VMs known here.
func (e *Entry) follow(ctx context.Context) {
	e.fleet = endpoint.NewFleet(e.settings.Zone, zone.NewDistances(e.settings.Distances))
	e.gone = endpoint.NewDepartures(e.clock)
	var cleanup knapweedpulley.Cleanup
	e.configuration, cleanup = configuration.New(configuration.Options{
		Self:      e.self,
		Clock:     e.clock,
		Objects:   e.objects,
		Peers:     e.view,
		Link:      link.NewConfigurationClient(e.calls),
		Directory: e.directory,
		Log:       e.log,
		Collections: []configuration.Collection{
			{Kind: knapweedpulley.KindCustomers, Apply: e.applyCustomers, Trim: customer.TrimRecord},
			{Kind: knapweedpulley.KindPermits, Apply: e.applyPermits},
			{Kind: knapweedpulley.KindEntries, Apply: func([]knapweedpulley.Change) {}},
		},
	})
	e.defers(cleanup)
	e.running.Go(func() { e.followMachines(ctx) })
	e.running.Go(func() { e.watchCallers(ctx) })
}

// applyCustomers puts changed customers in force.
func (e *Entry) applyCustomers(changes []knapweedpulley.Change) {
	if err := e.directory.Apply(changes...); err != nil {
		e.log.WithError(err).Error("customer not applied")
	}
	snapshot := e.directory.Current()
	e.templates.apply(snapshot)
	e.setContracts()
	e.callers.endWithdrawn(snapshot)
}

// setContracts hands the rates in force to the ledger, once there is one.
func (e *Entry) setContracts() {
	ledger := e.ledger.Load()
	if ledger == nil {
		return
	}
	customers := e.directory.Current().Customers()
	contracts := make([]knapweedpulley.Contract, 0, len(customers))
	for _, c := range customers {
		contracts = append(contracts, knapweedpulley.Contract{Customer: c.ID, Rate: c.Rate, Burst: c.Burst})
	}
	ledger.SetCustomers(contracts)
}

// applyPermits puts changed permits in force.
func (e *Entry) applyPermits(changes []knapweedpulley.Change) {
	if err := e.permits.Apply(changes); err != nil {
		e.log.WithError(err).Error("permit not applied")
	}
}

// followMachines keeps links to the listed agents, once there is a table of
// links.
func (e *Entry) followMachines(ctx context.Context) {
	for ctx.Err() == nil {
		listing, err := e.machines.Machines(ctx)
		e.view.update(listing, err)
		if err == nil {
			e.gone.UpdateMachines(listing)
			e.fleet.SetLeaving(leaving(listing.Machines))
			if links := e.links.Load(); links != nil {
				links.Sync(listing.Machines)
			}
		} else if ctx.Err() == nil {
			e.log.WithError(err).Warn("list of VMs not read")
		}
		_ = machine.Pause(ctx, machinesPeriod)
	}
}

func leaving(machines []knapweedpulley.Machine) knapweedpulley.Set[knapweedpulley.MachineID] {
	set := knapweedpulley.NewSet[knapweedpulley.MachineID]()
	for _, m := range machines {
		if m.Leaving {
			set.Add(m.ID)
		}
	}
	return set
}

// watchCallers ends keyed requests while the entry can't know which keys are
// withdrawn.
func (e *Entry) watchCallers(ctx context.Context) {
	for ctx.Err() == nil {
		_ = machine.Pause(ctx, leasePeriod)
		if e.joined.Load() && !e.members.Valid() {
			e.callers.endKeyed()
		}
	}
}

// machineView is the last list of VMs that was read. It implements
// knapweedpulley.MachineList, so that one reader serves all parts, and
// knapweedpulley.PeerList, so that a process can find the others while the store
// is down.
type machineView struct {
	last atomic.Pointer[machineReading]
}

// machineReading is the outcome of one reading of the list.
type machineReading struct {
	listing knapweedpulley.MachineListing
	peers   []knapweedpulley.Member
	err     error
}

// update takes over a reading. After a failed one the peers stay known.
func (v *machineView) update(listing knapweedpulley.MachineListing, err error) {
	next := &machineReading{listing: listing, peers: v.Peers(), err: err}
	if err == nil {
		next.peers = entriesOf(listing.Machines)
	}
	v.last.Store(next)
}

// Machines implements knapweedpulley.MachineList.
func (v *machineView) Machines(context.Context) (knapweedpulley.MachineListing, error) {
	last := v.last.Load()
	if last == nil {
		return knapweedpulley.MachineListing{}, errNoList
	}
	return last.listing, last.err
}

// Peers implements knapweedpulley.PeerList.
func (v *machineView) Peers() []knapweedpulley.Member {
	if last := v.last.Load(); last != nil {
		return last.peers
	}
	return nil
}

// entriesOf returns the entries among the VMs.
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
