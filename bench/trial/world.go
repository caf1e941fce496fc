package trial

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/contract"
	"github.com/knapweedpulley/knapweedpulley/endpoint"
	"github.com/knapweedpulley/knapweedpulley/model"
	"github.com/knapweedpulley/knapweedpulley/standin/engine"
	"github.com/knapweedpulley/knapweedpulley/standin/weights"
)

// diskSlots is the number of checkpoints that a machine keeps on its disk.
const diskSlots = 16

// world is a deployment under a policy.
type world struct {
	deployment Deployment
	column     Column
	catalog    *catalog
	crew       *crew
	entries    []*entry
	pace       weights.Pace
	weights    *weights.Store
	store      *permitStore
	mu         sync.Mutex
	servers    map[knapweedpulley.EndpointID]*server
	gone       knapweedpulley.Set[knapweedpulley.EndpointID]
	idle       time.Duration
	future     *future
	cleanups   []knapweedpulley.Cleanup
}

// Run measures a policy. It must be called in a synctest bubble.
func Run(d Deployment, c Column, p Plan) *Result {
	ctx, cancel := context.WithCancel(context.Background())
	list, all := p.arrivals(d)
	w := newWorld(d, c, all, newFuture(time.Now().Add(p.Settle), list))
	for i := range d.Servers {
		w.addServer(ctx, i, w.cachedAt(i))
	}
	time.Sleep(p.Settle)
	result := newResult()
	if p.Flood {
		result.flooding = knapweedpulley.Some(all[flooder].Customer)
	}
	var faults sync.WaitGroup
	faults.Go(func() { w.inject(ctx, p) })
	w.play(list, newWholeLimiter(all, 1), result)
	cancel()
	faults.Wait()
	w.stop()
	result.IdleHours = w.idle.Hours()
	result.Loads = w.weights.Counts().Loads
	result.Permits = w.store.writes
	return result
}

func newWorld(d Deployment, c Column, all []knapweedpulley.Contract, f *future) *world {
	allowed := replicas
	if c.baseline {
		allowed = d.Servers
	}
	pace := weights.DefaultPace()
	if c.clairvoyant {
		const unlimited = 1 << 20
		pace.LoadsPerSecond, pace.Parallel, pace.ParallelAdapters = unlimited, unlimited, unlimited
	}
	w := &world{
		deployment: d, column: c, catalog: newCatalog(d, allowed), future: f,
		pace:    pace,
		weights: weights.NewStore(pace),
		store:   &permitStore{objects: make(map[string]knapweedpulley.Object)},
		servers: make(map[knapweedpulley.EndpointID]*server),
		gone:    knapweedpulley.NewSet[knapweedpulley.EndpointID](),
	}
	var members []knapweedpulley.Member
	for i := range entries {
		members = append(members, knapweedpulley.Member{
			Entry: knapweedpulley.EntryID(fmt.Sprintf("entry-%d", i)), Incarnation: 1, Zone: d.zone(i),
		})
	}
	w.crew = newCrew(members)
	m := &mail{crew: w.crew, entries: make(map[knapweedpulley.EntryID]*entry), roundTrip: d.RoundTrip}
	if c.clairvoyant {
		m.roundTrip = 0
	}
	for _, x := range members {
		e := w.newEntry(x, m, all)
		m.add(e)
		w.entries = append(w.entries, e)
	}
	return w
}

// newEntry builds an entry process of the parts under test.
func (w *world) newEntry(self knapweedpulley.Member, m *mail, all []knapweedpulley.Contract) *entry {
	e := &entry{
		seat:  &seat{crew: w.crew, self: self},
		fleet: endpoint.NewFleet(self.Zone, w.deployment.distances()),
	}
	permits := model.NewPermits()
	w.store.readers = append(w.store.readers, permits)
	sources := model.Sources{
		Endpoints: e.fleet, Links: w, Permits: permits, Checkpoints: w.catalog, Clock: clock{}, Entry: self.Entry,
	}
	pace := model.NewEstimator()
	var policy knapweedpulley.LoadPolicy = model.NewLoadPolicy(e.fleet, w.deployment.distances(), pace)
	if w.column.baseline {
		policy = leastLoaded{endpoints: e.fleet}
	}
	e.office = model.NewTransferOwner(clock{}, w.limits(knapweedpulley.TransferModel), w.limits(knapweedpulley.TransferAdapter))
	loader := model.NewLoader(sources, policy, pace, model.NewTransferRouter(e.seat, e.office, m))
	var cleanup knapweedpulley.Cleanup
	e.wakes, cleanup = model.NewLoadMerger(loader, clock{})
	w.cleanups = append(w.cleanups, cleanup)
	e.router = model.NewRouter(e.seat, e.wakes, m, e.fleet, clock{})
	planner := model.NewPlanner(e.fleet, w, permits, w.catalog)
	placer := model.NewPlacer(planner, permits, w.store, w, clock{})
	stager := model.NewPrefetcher(loader)
	if w.column.baseline {
		stager = nil
	}
	_, cleanup = model.NewReconciler(e.seat, w.catalog, permits, placer, model.NewScaler(loader), stager)
	w.cleanups = append(w.cleanups, cleanup)
	w.limit(e, m, all)
	return e
}

// limits returns the limits of the ration, none for a policy with full
// knowledge.
func (w *world) limits(kind knapweedpulley.TransferKind) model.Limits {
	if w.column.clairvoyant || w.column.baseline {
		const unlimited = 1 << 20
		return model.Limits{Parallel: unlimited, Rate: unlimited}
	}
	return model.DefaultLimits(kind)
}

// limit gives an entry its limiter.
func (w *world) limit(e *entry, m *mail, all []knapweedpulley.Contract) {
	if w.column.evenSplit {
		e.limiter = newWholeLimiter(all, 1.0/entries)
		return
	}
	ledger, cleanup := contract.NewLimiter(clock{}, e.seat, m)
	ledger.SetCustomers(all)
	e.limiter, e.shares = ledger, ledger
	w.cleanups = append(w.cleanups, cleanup)
}

// cachedAt returns what a server has cached at the start, unevenly: of ten
// models two are on no machine, four on the disk of one, three on the disks of
// two, and one is in the memory of one.
func (w *world) cachedAt(server int) []engine.Cached {
	var list []engine.Cached
	for i, d := range w.catalog.decisions {
		tier := knapweedpulley.TierDisk
		copies := 1
		switch i % 10 {
		case 2, 7:
			copies = 0
		case 3, 5, 8:
			copies = 2
		case 4:
			tier = knapweedpulley.TierMemory
		}
		for c := range copies {
			if (i*7+c*5)%w.deployment.Servers == server {
				list = append(list, engine.Cached{Model: d.Model, Tier: tier})
				break
			}
		}
	}
	return list
}

// allCached returns all checkpoints, on the disk.
func (w *world) allCached() []engine.Cached {
	list := make([]engine.Cached, 0, len(w.catalog.decisions))
	for _, d := range w.catalog.decisions {
		list = append(list, engine.Cached{Model: d.Model, Tier: knapweedpulley.TierDisk})
	}
	return list
}

func (w *world) addServer(ctx context.Context, i int, cached []engine.Cached) {
	var keeper knapweedpulley.EvictionPolicy
	switch {
	case w.column.clairvoyant:
		keeper = newClairvoyant(w.future, waitPrice)
	case w.column.baseline:
		keeper = newBaseline(w.column.keep)
	default:
		keeper = model.NewEvictionPolicy(memory)
	}
	onDisk := diskSlots
	if w.column.clairvoyant {
		onDisk = w.deployment.Models
		cached = w.allCached()
	}
	id := knapweedpulley.EndpointID(fmt.Sprintf("server-%02d", i))
	v := newServer(id, w.deployment.zone(i), w.weights, cached, onDisk, keeper)
	v.report = func(s knapweedpulley.EndpointStatus) {
		for _, e := range w.entries {
			e.fleet.Update(s)
		}
	}
	v.lost = func(id knapweedpulley.EndpointID) {
		for _, e := range w.entries {
			e.fleet.Remove(id)
		}
	}
	w.mu.Lock()
	w.servers[id] = v
	w.mu.Unlock()
	v.start(ctx)
}

// Link implements knapweedpulley.EndpointLinks.
func (w *world) Link(id knapweedpulley.EndpointID) (knapweedpulley.EndpointLink, bool) {
	return w.server(id)
}

func (w *world) server(id knapweedpulley.EndpointID) (*server, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	v, ok := w.servers[id]
	return v, ok
}

// Gone implements knapweedpulley.DepartureView.
func (w *world) Gone(id knapweedpulley.EndpointID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gone.Has(id)
}

func (w *world) stop() {
	for _, c := range w.cleanups {
		c()
	}
	for _, v := range w.servers {
		v.stop()
		w.countIdle(v)
	}
}

// countIdle adds up what a server that has ended counted.
func (w *world) countIdle(v *server) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, u := range v.uses {
		v.countIdle(u)
	}
	w.idle += v.idle
	v.idle = 0
}

// clock implements knapweedpulley.Clock by the bubble's time.
type clock struct{}

// Now implements knapweedpulley.Clock.
func (clock) Now() knapweedpulley.Instant { return now() }
