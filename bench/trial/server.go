package trial

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/settings"
	"github.com/knapweedpulley/knapweedpulley/standin/engine"
	"github.com/knapweedpulley/knapweedpulley/standin/weights"
)

const (
	// reportPeriod is the time between an agent's status reports.
	reportPeriod = 2 * time.Second
	// unloadTime is the time that an engine takes to free a model's memory.
	unloadTime = 20 * time.Millisecond
)

var errConnectionReset = errors.New("connection reset")

// residentState is what a server records about a resident.
type residentState struct {
	size    knapweedpulley.Bytes
	running int
	// reserved counts the orders in progress.
	reserved int
	loaded   bool
	since    time.Time
}

// server is an engine with a fake agent.
type server struct {
	id             knapweedpulley.EndpointID
	zone           knapweedpulley.ZoneID
	engine         *engine.Engine
	evictionPolicy knapweedpulley.EvictionPolicy
	onReport       func(s knapweedpulley.EndpointStatus)
	onLost         func(id knapweedpulley.EndpointID)
	slots          chan struct{}
	mu             sync.Mutex
	residents      map[knapweedpulley.Resident]*residentState
	freeMemory     knapweedpulley.Bytes
	idleTime       time.Duration
	activeRequests int
	// lifetime ends when the agent dies; restart begins a new one.
	lifetime    context.Context //nolint:containedctx // It bounds what others wait for.
	endLifetime context.CancelFunc
	draining    bool
	cleanups    []knapweedpulley.Cleanup
	running     sync.WaitGroup
}

// newServer creates a server. Its caches hold the given checkpoints, with at most
// onDisk of them on the disk.
func newServer(
	id knapweedpulley.EndpointID, zone knapweedpulley.ZoneID, store *weights.Store, cached []engine.Cached, onDisk int,
	evictionPolicy knapweedpulley.EvictionPolicy,
) *server {
	s := engine.DefaultSettings()
	s.Memory = engineMemory
	s.Slots = engineSlots
	s.Cached = cached
	s.CachedOnDisk = onDisk
	s.UnloadTime = settings.Duration(unloadTime)
	v := &server{
		id: id, zone: zone, evictionPolicy: evictionPolicy, freeMemory: engineMemory, slots: make(chan struct{}, engineSlots),
		residents: make(map[knapweedpulley.Resident]*residentState),
	}
	fetch := func(ctx context.Context, _ string, size knapweedpulley.Bytes) error {
		if size == 0 {
			return store.LoadAdapter(ctx)
		}
		return store.Load(ctx, size)
	}
	var cleanup knapweedpulley.Cleanup
	v.engine, cleanup = engine.NewEngine(s, fetch)
	v.cleanups = append(v.cleanups, cleanup)
	v.lifetime, v.endLifetime = context.WithCancel(context.Background())
	return v
}

// start sends reports and unloads expired models until ctx ends.
func (v *server) start(ctx context.Context) {
	v.sendReport()
	v.running.Go(func() {
		for ctx.Err() == nil {
			sleep(ctx, reportPeriod)
			v.sendReport()
		}
	})
	v.running.Go(func() {
		next := time.Second
		for ctx.Err() == nil {
			sleep(ctx, next)
			next = v.unloadExpired(ctx)
		}
	})
}

func (v *server) stop() {
	v.endLifetime()
	v.running.Wait()
	for _, c := range v.cleanups {
		c()
	}
}

// Run implements knapweedpulley.Backend; requests go through serve.
func (v *server) Run(
	context.Context, knapweedpulley.Request, knapweedpulley.AnswerWriter,
) (knapweedpulley.Usage, error) {
	return knapweedpulley.Usage{}, errConnectionReset
}

// Status implements knapweedpulley.EndpointLink.
func (v *server) Status() (knapweedpulley.EndpointStatus, bool) {
	return v.status(), true
}

// Order implements knapweedpulley.EndpointLink.
func (v *server) Order(ctx context.Context, o knapweedpulley.Order) error {
	v.mu.Lock()
	lifetime := v.lifetime
	v.mu.Unlock()
	if lifetime.Err() != nil {
		return errConnectionReset
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(lifetime, cancel)()
	id := knapweedpulley.Resident{Model: o.Model, Adapter: o.Adapter}
	var err error
	switch o.Kind {
	case knapweedpulley.OrderUnloadModel, knapweedpulley.OrderUnloadAdapter:
		err = v.unload(ctx, id)
	default:
		err = v.load(ctx, id, o.Size)
	}
	if lifetime.Err() != nil {
		return errConnectionReset
	}
	return err
}

// load evicts other residents if memory is short and loads a resident. A load in
// progress continues if the caller gives up.
func (v *server) load(ctx context.Context, id knapweedpulley.Resident, size knapweedpulley.Bytes) error {
	u, existed, err := v.reserve(ctx, id, size)
	if err != nil {
		return err
	}
	v.mu.Lock()
	lifetime := v.lifetime
	v.mu.Unlock()
	done := make(chan error, 1)
	v.running.Go(func() {
		defer v.release(id)
		done <- v.transfer(lifetime, id, u, existed)
	})
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// transfer makes the engine load a resident, or joins a load in progress.
func (v *server) transfer(lifetime context.Context, id knapweedpulley.Resident, u *residentState, existed bool) error {
	kind := knapweedpulley.OrderLoadModel
	if id.Adapter != "" {
		kind = knapweedpulley.OrderLoadAdapter
	}
	start := time.Now()
	loading := time.AfterFunc(time.Millisecond, v.sendReport)
	defer loading.Stop()
	err := v.engine.Order(lifetime, engine.Order{Kind: kind, Model: id.Model, Adapter: id.Adapter, Size: u.size})
	if existed {
		return err
	}
	if lifetime.Err() != nil {
		// The engine continues the load, and the next agent waits for its end.
		err = v.engine.Order(context.Background(), engine.Order{
			Kind: kind, Model: id.Model, Adapter: id.Adapter, Size: u.size,
		})
	}
	v.mu.Lock()
	if err != nil {
		delete(v.residents, id)
		v.freeMemory += u.size
		v.mu.Unlock()
		return err
	}
	u.loaded = true
	u.since = time.Now()
	v.mu.Unlock()
	v.evictionPolicy.Loaded(id, u.size, time.Since(start), now())
	v.sendReport()
	return nil
}

// reserve allocates the memory for a resident and reports whether it was allocated
// already.
func (v *server) reserve(
	ctx context.Context, id knapweedpulley.Resident, size knapweedpulley.Bytes,
) (*residentState, bool, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if u, ok := v.residents[id]; ok {
		u.reserved++
		return u, true, nil
	}
	if v.freeMemory < size {
		candidates := v.evictionPolicy.EvictionCandidates(size-v.freeMemory, v.held(), now())
		for _, x := range candidates {
			freed := v.removeResident(x)
			v.mu.Unlock()
			v.sendReport()
			_ = v.engine.Order(ctx, unloadOrder(x))
			v.mu.Lock()
			v.freeMemory += freed
		}
	}
	if v.freeMemory < size {
		return nil, false, knapweedpulley.NewRefusal(
			knapweedpulley.CodeOutOfMemory, knapweedpulley.NotRun, "%s has too little free memory for %s", v.id, id.Model)
	}
	v.freeMemory -= size
	u := &residentState{size: size, reserved: 1}
	v.residents[id] = u
	return u, false, nil
}

func (v *server) release(id knapweedpulley.Resident) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if u, ok := v.residents[id]; ok {
		u.reserved--
	}
}

// held returns the residents that must not be unloaded. The caller holds the lock.
func (v *server) held() knapweedpulley.Set[knapweedpulley.Resident] {
	held := knapweedpulley.NewSet[knapweedpulley.Resident]()
	for id, u := range v.residents {
		if u.reserved > 0 || u.running > 0 || !u.loaded {
			held.Add(id)
			held.Add(knapweedpulley.Resident{Model: id.Model})
		}
	}
	return held
}

// unload unloads a resident, and refuses if the resident is in use.
func (v *server) unload(ctx context.Context, id knapweedpulley.Resident) error {
	v.mu.Lock()
	_, ok := v.residents[id]
	if ok && v.held().Has(id) {
		v.mu.Unlock()
		return knapweedpulley.NewRefusal(
			knapweedpulley.CodeConflict, knapweedpulley.NotRun, "%s is in use on %s", id.Model, v.id)
	}
	if !ok {
		v.mu.Unlock()
		return nil
	}
	freed := v.removeResident(id)
	v.mu.Unlock()
	v.sendReport()
	err := v.engine.Order(ctx, unloadOrder(id))
	v.mu.Lock()
	v.freeMemory += freed
	v.mu.Unlock()
	v.sendReport()
	return err
}

// removeResident removes a resident, and for a model its adapters too, and returns the
// memory that is free once the engine has unloaded it. The caller holds the lock.
func (v *server) removeResident(id knapweedpulley.Resident) knapweedpulley.Bytes {
	var freed knapweedpulley.Bytes
	for x, u := range v.residents {
		if x == id || (id.Adapter == "" && x.Model == id.Model) {
			v.addIdleTime(u)
			freed += u.size
			delete(v.residents, x)
		}
	}
	v.evictionPolicy.Unloaded(id, now())
	return freed
}

// addIdleTime adds the time for which a resident has been idle, weighted by its
// fraction of the memory. The caller holds the lock.
func (v *server) addIdleTime(u *residentState) {
	if u.loaded && u.running == 0 {
		share := float64(u.size) / float64(engineMemory)
		v.idleTime += time.Duration(share * float64(time.Since(u.since)))
	}
	u.since = time.Now()
}

// unloadExpired unloads the residents that have expired under the eviction policy, and
// returns the time until the next check.
func (v *server) unloadExpired(ctx context.Context) time.Duration {
	v.mu.Lock()
	held := v.held()
	v.mu.Unlock()
	list, next := v.evictionPolicy.Expired(held, now())
	for _, id := range list {
		_ = v.unload(ctx, id)
	}
	return next
}

// kill ends the agent and its loads; restart starts the agent again.
func (v *server) kill() {
	v.mu.Lock()
	v.endLifetime()
	v.mu.Unlock()
	v.onLost(v.id)
}

func (v *server) restart() {
	v.mu.Lock()
	v.lifetime, v.endLifetime = context.WithCancel(context.Background())
	v.mu.Unlock()
	v.sendReport()
}

// drain makes the agent report that it is draining, so that it gets no new work.
func (v *server) drain() {
	v.mu.Lock()
	v.draining = true
	v.mu.Unlock()
	v.sendReport()
}

// sendReport sends a status report to the entry processes unless the agent is dead.
func (v *server) sendReport() {
	v.mu.Lock()
	dead := v.lifetime.Err() != nil
	v.mu.Unlock()
	if !dead {
		v.onReport(v.status())
	}
}

func unloadOrder(id knapweedpulley.Resident) engine.Order {
	kind := knapweedpulley.OrderUnloadModel
	if id.Adapter != "" {
		kind = knapweedpulley.OrderUnloadAdapter
	}
	return engine.Order{Kind: kind, Model: id.Model, Adapter: id.Adapter}
}

func now() knapweedpulley.Instant {
	return knapweedpulley.Instant(time.Now().UnixNano())
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
