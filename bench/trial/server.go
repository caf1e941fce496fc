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
	// reportPeriod is the time between an agent's reports of its load.
	reportPeriod = 2 * time.Second
	// unloadTime is the time to free a model's memory.
	unloadTime = 20 * time.Millisecond
)

var errConnection = errors.New("connection reset")

// use is what a server counts for a resident.
type use struct {
	size    knapweedpulley.Bytes
	running int
	// reserved counts the orders that are under way.
	reserved int
	loaded   bool
	since    time.Time
}

// server is an engine with a fake agent.
type server struct {
	id     knapweedpulley.EndpointID
	zone   knapweedpulley.ZoneID
	engine *engine.Engine
	keeper knapweedpulley.EvictionPolicy
	report func(s knapweedpulley.EndpointStatus)
	lost   func(id knapweedpulley.EndpointID)
	slots  chan struct{}
	mu     sync.Mutex
	uses   map[knapweedpulley.Resident]*use
	free   knapweedpulley.Bytes
	idle   time.Duration
	active int
	// life ends when the agent dies; a later one begins when it is back.
	life     context.Context //nolint:containedctx // It bounds what others wait for.
	end      context.CancelFunc
	draining bool
	cleanups []knapweedpulley.Cleanup
	running  sync.WaitGroup
}

// newServer starts a server. Its caches hold the given checkpoints, and at most
// onDisk on the disk.
func newServer(
	id knapweedpulley.EndpointID, zone knapweedpulley.ZoneID, store *weights.Store, cached []engine.Cached, onDisk int,
	keeper knapweedpulley.EvictionPolicy,
) *server {
	s := engine.DefaultSettings()
	s.Memory = memory
	s.Slots = slots
	s.Cached = cached
	s.CachedOnDisk = onDisk
	s.UnloadTime = settings.Duration(unloadTime)
	v := &server{
		id: id, zone: zone, keeper: keeper, free: memory, slots: make(chan struct{}, slots),
		uses: make(map[knapweedpulley.Resident]*use),
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
	v.life, v.end = context.WithCancel(context.Background())
	return v
}

// start begins to report and to look for idle models.
func (v *server) start(ctx context.Context) {
	v.push()
	v.running.Go(func() {
		for ctx.Err() == nil {
			sleep(ctx, reportPeriod)
			v.push()
		}
	})
	v.running.Go(func() {
		next := time.Second
		for ctx.Err() == nil {
			sleep(ctx, next)
			next = v.expire(ctx)
		}
	})
}

func (v *server) stop() {
	v.end()
	v.running.Wait()
	for _, c := range v.cleanups {
		c()
	}
}

// Run implements knapweedpulley.Backend; requests go through serve.
func (v *server) Run(
	context.Context, knapweedpulley.Request, knapweedpulley.AnswerWriter,
) (knapweedpulley.Usage, error) {
	return knapweedpulley.Usage{}, errConnection
}

// Status implements knapweedpulley.EndpointLink.
func (v *server) Status() (knapweedpulley.EndpointStatus, bool) {
	return v.status(), true
}

// Order implements knapweedpulley.EndpointLink.
func (v *server) Order(ctx context.Context, o knapweedpulley.Order) error {
	v.mu.Lock()
	life := v.life
	v.mu.Unlock()
	if life.Err() != nil {
		return errConnection
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(life, cancel)()
	id := knapweedpulley.Resident{Model: o.Model, Adapter: o.Adapter}
	var err error
	switch o.Kind {
	case knapweedpulley.OrderUnloadModel, knapweedpulley.OrderUnloadAdapter:
		err = v.unload(ctx, id)
	default:
		err = v.load(ctx, id, o.Size)
	}
	if life.Err() != nil {
		return errConnection
	}
	return err
}

// load makes room, if needed, and loads a resident. A load that was begun goes
// on if the caller gives up.
func (v *server) load(ctx context.Context, id knapweedpulley.Resident, size knapweedpulley.Bytes) error {
	u, known, err := v.reserve(ctx, id, size)
	if err != nil {
		return err
	}
	v.mu.Lock()
	life := v.life
	v.mu.Unlock()
	done := make(chan error, 1)
	v.running.Go(func() {
		defer v.release(id)
		done <- v.transfer(life, id, u, known)
	})
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// transfer has the engine load a resident, or joins a load that was begun.
func (v *server) transfer(life context.Context, id knapweedpulley.Resident, u *use, known bool) error {
	kind := knapweedpulley.OrderLoadModel
	if id.Adapter != "" {
		kind = knapweedpulley.OrderLoadAdapter
	}
	start := time.Now()
	loading := time.AfterFunc(time.Millisecond, v.push)
	defer loading.Stop()
	err := v.engine.Order(life, engine.Order{Kind: kind, Model: id.Model, Adapter: id.Adapter, Size: u.size})
	if known {
		return err
	}
	if life.Err() != nil {
		// The next agent waits for what the engine goes on with.
		err = v.engine.Order(context.Background(), engine.Order{
			Kind: kind, Model: id.Model, Adapter: id.Adapter, Size: u.size,
		})
	}
	v.mu.Lock()
	if err != nil {
		delete(v.uses, id)
		v.free += u.size
		v.mu.Unlock()
		return err
	}
	u.loaded = true
	u.since = time.Now()
	v.mu.Unlock()
	v.keeper.Loaded(id, u.size, time.Since(start), now())
	v.push()
	return nil
}

// reserve takes the memory for a resident and reports whether it had been taken
// before.
func (v *server) reserve(
	ctx context.Context, id knapweedpulley.Resident, size knapweedpulley.Bytes,
) (*use, bool, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if u, ok := v.uses[id]; ok {
		u.reserved++
		return u, true, nil
	}
	if v.free < size {
		victims := v.keeper.EvictionCandidates(size-v.free, v.held(), now())
		for _, x := range victims {
			freed := v.drop(x)
			v.mu.Unlock()
			v.push()
			_ = v.engine.Order(ctx, unloadOrder(x))
			v.mu.Lock()
			v.free += freed
		}
	}
	if v.free < size {
		return nil, false, knapweedpulley.NewRefusal(
			knapweedpulley.CodeOutOfMemory, knapweedpulley.NotRun, "%s has no memory for %s", v.id, id.Model)
	}
	v.free -= size
	u := &use{size: size, reserved: 1}
	v.uses[id] = u
	return u, false, nil
}

func (v *server) release(id knapweedpulley.Resident) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if u, ok := v.uses[id]; ok {
		u.reserved--
	}
}

// held returns what must not be unloaded. The caller holds the lock.
func (v *server) held() knapweedpulley.Set[knapweedpulley.Resident] {
	held := knapweedpulley.NewSet[knapweedpulley.Resident]()
	for id, u := range v.uses {
		if u.reserved > 0 || u.running > 0 || !u.loaded {
			held.Add(id)
			held.Add(knapweedpulley.Resident{Model: id.Model})
		}
	}
	return held
}

// unload frees a resident that no request uses.
func (v *server) unload(ctx context.Context, id knapweedpulley.Resident) error {
	v.mu.Lock()
	_, ok := v.uses[id]
	if ok && v.held().Has(id) {
		v.mu.Unlock()
		return knapweedpulley.NewRefusal(
			knapweedpulley.CodeConflict, knapweedpulley.NotRun, "%s is in use on %s", id.Model, v.id)
	}
	if !ok {
		v.mu.Unlock()
		return nil
	}
	freed := v.drop(id)
	v.mu.Unlock()
	v.push()
	err := v.engine.Order(ctx, unloadOrder(id))
	v.mu.Lock()
	v.free += freed
	v.mu.Unlock()
	v.push()
	return err
}

// drop forgets a resident, a model with its adapters, and returns the memory
// that is free once the engine has unloaded it. The caller holds the lock.
func (v *server) drop(id knapweedpulley.Resident) knapweedpulley.Bytes {
	var freed knapweedpulley.Bytes
	for x, u := range v.uses {
		if x == id || (id.Adapter == "" && x.Model == id.Model) {
			v.countIdle(u)
			freed += u.size
			delete(v.uses, x)
		}
	}
	v.keeper.Unloaded(id, now())
	return freed
}

// countIdle adds the time since which a resident was idle, by its part of the
// memory. The caller holds the lock.
func (v *server) countIdle(u *use) {
	if u.loaded && u.running == 0 {
		share := float64(u.size) / float64(memory)
		v.idle += time.Duration(share * float64(time.Since(u.since)))
	}
	u.since = time.Now()
}

// expire unloads what the policy gives up, and returns when to ask again.
func (v *server) expire(ctx context.Context) time.Duration {
	v.mu.Lock()
	held := v.held()
	v.mu.Unlock()
	list, next := v.keeper.Expired(held, now())
	for _, id := range list {
		_ = v.unload(ctx, id)
	}
	return next
}

// kill makes the agent and its loads end; revive brings the agent back.
func (v *server) kill() {
	v.mu.Lock()
	v.end()
	v.mu.Unlock()
	v.lost(v.id)
}

func (v *server) revive() {
	v.mu.Lock()
	v.life, v.end = context.WithCancel(context.Background())
	v.mu.Unlock()
	v.push()
}

// drain makes the agent ask for no new work.
func (v *server) drain() {
	v.mu.Lock()
	v.draining = true
	v.mu.Unlock()
	v.push()
}

// push sends a report to the entries.
func (v *server) push() {
	v.mu.Lock()
	dead := v.life.Err() != nil
	v.mu.Unlock()
	if !dead {
		v.report(v.status())
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
