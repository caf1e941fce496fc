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

// diskCacheSlots is the number of checkpoints that a machine keeps on its disk.
const diskCacheSlots = 16

// simulation is a deployment that runs under a policy.
type simulation struct {
	deployment Deployment
	column     Column
	catalog    *catalog
	registry   *sharedRegistry
	entries    []*entry
	pace       weights.Pace
	weights    *weights.Store
	store      *permitStore
	mu         sync.Mutex
	servers    map[knapweedpulley.EndpointID]*server
	gone       knapweedpulley.Set[knapweedpulley.EndpointID]
	idleTime   time.Duration
	schedule   *requestSchedule
	cleanups   []knapweedpulley.Cleanup
}

// Run measures a policy. It must be called in a synctest bubble.
func Run(d Deployment, c Column, p Plan) *Result {
	ctx, cancel := context.WithCancel(context.Background())
	list, all := p.arrivals(d)
	w := newSimulation(d, c, all, newRequestSchedule(time.Now().Add(p.Settle), list))
	for i := range d.Servers {
		w.addServer(ctx, i, w.initialCache(i))
	}
	time.Sleep(p.Settle)
	result := newResult()
	if p.Flood {
		result.flooding = knapweedpulley.Some(all[floodingCustomer].Customer)
	}
	var faults sync.WaitGroup
	faults.Go(func() { w.injectFaults(ctx, p) })
	w.replay(list, newGlobalLimiter(all, 1), result)
	cancel()
	faults.Wait()
	w.stop()
	result.IdleHours = w.idleTime.Hours()
	result.Loads = w.weights.Counts().Loads
	result.Permits = w.store.writes
	return result
}

func newSimulation(d Deployment, c Column, all []knapweedpulley.Contract, schedule *requestSchedule) *simulation {
	replicas := maxReplicas
	if c.baseline {
		replicas = d.Servers
	}
	pace := weights.DefaultPace()
	if c.clairvoyant {
		const unlimited = 1 << 20
		pace.LoadsPerSecond, pace.Parallel, pace.ParallelAdapters = unlimited, unlimited, unlimited
	}
	w := &simulation{
		deployment: d, column: c, catalog: newCatalog(d, replicas), schedule: schedule,
		pace:    pace,
		weights: weights.NewStore(pace),
		store:   &permitStore{objects: make(map[string]knapweedpulley.Object)},
		servers: make(map[knapweedpulley.EndpointID]*server),
		gone:    knapweedpulley.NewSet[knapweedpulley.EndpointID](),
	}
	var members []knapweedpulley.Member
	for i := range entryCount {
		members = append(members, knapweedpulley.Member{
			Entry: knapweedpulley.EntryID(fmt.Sprintf("entry-%d", i)), Incarnation: 1, Zone: d.zone(i),
		})
	}
	w.registry = newSharedRegistry(members)
	network := &entryNetwork{
		registry: w.registry, entries: make(map[knapweedpulley.EntryID]*entry), roundTrip: d.RoundTrip,
	}
	if c.clairvoyant {
		network.roundTrip = 0
	}
	for _, x := range members {
		e := w.newEntry(x, network, all)
		network.add(e)
		w.entries = append(w.entries, e)
	}
	return w
}

// newEntry creates an entry process from the packages under test.
func (w *simulation) newEntry(self knapweedpulley.Member, network *entryNetwork, all []knapweedpulley.Contract) *entry {
	e := &entry{
		entryRegistry: &entryRegistry{sharedRegistry: w.registry, self: self},
		fleet:         endpoint.NewFleet(self.Zone, w.deployment.distances()),
	}
	permits := model.NewPermits()
	w.store.readers = append(w.store.readers, permits)
	sources := model.Sources{
		Endpoints: e.fleet, Links: w, Permits: permits, Checkpoints: w.catalog, Clock: virtualClock{}, Entry: self.Entry,
	}
	estimator := model.NewEstimator()
	var policy knapweedpulley.LoadPolicy = model.NewLoadPolicy(e.fleet, w.deployment.distances(), estimator)
	if w.column.baseline {
		policy = leastLoaded{endpoints: e.fleet}
	}
	e.transfers = model.NewTransferOwner(
		virtualClock{}, w.transferLimits(knapweedpulley.TransferModel), w.transferLimits(knapweedpulley.TransferAdapter))
	loader := model.NewLoader(sources, policy, estimator, model.NewTransferRouter(e.entryRegistry, e.transfers, network))
	var cleanup knapweedpulley.Cleanup
	e.loads, cleanup = model.NewLoadMerger(loader, virtualClock{})
	w.cleanups = append(w.cleanups, cleanup)
	e.router = model.NewRouter(e.entryRegistry, e.loads, network, e.fleet, virtualClock{})
	planner := model.NewPlanner(e.fleet, w, permits, w.catalog)
	placer := model.NewPlacer(planner, permits, w.store, w, virtualClock{})
	prefetcher := model.NewPrefetcher(loader)
	if w.column.baseline {
		prefetcher = nil
	}
	_, cleanup = model.NewReconciler(e.entryRegistry, w.catalog, permits, placer, model.NewScaler(loader), prefetcher)
	w.cleanups = append(w.cleanups, cleanup)
	w.addLimiter(e, network, all)
	return e
}

// transferLimits returns the limits on transfers from the weight store. Baselines and
// the policy with full knowledge have none.
func (w *simulation) transferLimits(kind knapweedpulley.TransferKind) model.Limits {
	if w.column.clairvoyant || w.column.baseline {
		const unlimited = 1 << 20
		return model.Limits{Parallel: unlimited, Rate: unlimited}
	}
	return model.DefaultLimits(kind)
}

// addLimiter sets the rate limiter of an entry process.
func (w *simulation) addLimiter(e *entry, network *entryNetwork, all []knapweedpulley.Contract) {
	if w.column.evenSplit {
		e.limiter = newGlobalLimiter(all, 1.0/entryCount)
		return
	}
	limiter, cleanup := contract.NewLimiter(virtualClock{}, e.entryRegistry, network)
	limiter.SetCustomers(all)
	e.limiter, e.shares = limiter, limiter
	w.cleanups = append(w.cleanups, cleanup)
}

// initialCache returns the checkpoints that a server has cached at the start. They
// are spread unevenly: of ten models, two are on no machine, four on the disk of one,
// three on the disks of two, and one is in the memory of one.
func (w *simulation) initialCache(server int) []engine.Cached {
	var list []engine.Cached
	for i, d := range w.catalog.desired {
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

// allOnDisk returns all checkpoints as cached on the disk.
func (w *simulation) allOnDisk() []engine.Cached {
	list := make([]engine.Cached, 0, len(w.catalog.desired))
	for _, d := range w.catalog.desired {
		list = append(list, engine.Cached{Model: d.Model, Tier: knapweedpulley.TierDisk})
	}
	return list
}

func (w *simulation) addServer(ctx context.Context, i int, cached []engine.Cached) {
	var policy knapweedpulley.EvictionPolicy
	switch {
	case w.column.clairvoyant:
		policy = newClairvoyant(w.schedule, waitPrice)
	case w.column.baseline:
		policy = newBaseline(w.column.keepAlive)
	default:
		policy = model.NewEvictionPolicy(engineMemory)
	}
	onDisk := diskCacheSlots
	if w.column.clairvoyant {
		onDisk = w.deployment.Models
		cached = w.allOnDisk()
	}
	id := knapweedpulley.EndpointID(fmt.Sprintf("server-%02d", i))
	v := newServer(id, w.deployment.zone(i), w.weights, cached, onDisk, policy)
	v.onReport = func(s knapweedpulley.EndpointStatus) {
		for _, e := range w.entries {
			e.fleet.Update(s)
		}
	}
	v.onLost = func(id knapweedpulley.EndpointID) {
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
func (w *simulation) Link(id knapweedpulley.EndpointID) (knapweedpulley.EndpointLink, bool) {
	return w.server(id)
}

func (w *simulation) server(id knapweedpulley.EndpointID) (*server, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	v, ok := w.servers[id]
	return v, ok
}

// Gone implements knapweedpulley.DepartureView.
func (w *simulation) Gone(id knapweedpulley.EndpointID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gone.Has(id)
}

func (w *simulation) stop() {
	for _, c := range w.cleanups {
		c()
	}
	for _, v := range w.servers {
		v.stop()
		w.collectIdleTime(v)
	}
}

// collectIdleTime adds the idle time of a server that has ended to the total.
func (w *simulation) collectIdleTime(v *server) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, u := range v.residents {
		v.addIdleTime(u)
	}
	w.idleTime += v.idleTime
	v.idleTime = 0
}

// virtualClock implements knapweedpulley.Clock with the virtual time of the bubble.
type virtualClock struct{}

// Now implements knapweedpulley.Clock.
func (virtualClock) Now() knapweedpulley.Instant { return now() }
