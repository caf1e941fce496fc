// Package keeper gives the orders to one model engine.
//
// A keeper runs beside its engine and is the only process that orders it. Every
// order holds only at the sequence number at which the engine was read, so that
// an order that is carried out late, or was decided on an old state, does
// nothing. Gateways ask for models and tell how they use those that are loaded;
// the keeper loads what they ask for, in turn, and unloads what they use least.
//
// # Usage
//
//	k, cleanup := keeper.New(engine, clock, log)
//	defer cleanup()
//	link.RegisterKeeper(server, k)
package keeper

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// busyPeriod and idlePeriod are the times between two readings of the
	// engine while there is something to load, and otherwise. Reading is free
	// on the engine's own machine.
	busyPeriod = 40 * time.Millisecond
	idlePeriod = 250 * time.Millisecond
	// reportPeriod is the longest time between two reports to a few gateways.
	reportPeriod = 500 * time.Millisecond
	// readTimeout bounds one reading, orderTimeout one order: both go to the
	// machine itself.
	readTimeout  = 500 * time.Millisecond
	orderTimeout = 300 * time.Millisecond
	// settle is the time after a load in which the requests that waited for it
	// arrive, and in which it is not unloaded.
	settle = 500 * time.Millisecond
)

// wish is a model or adapter that a gateway asked for.
type wish struct {
	knapweedpulley.ResidentWake
	until knapweedpulley.Instant
}

// Keeper implements knapweedpulley.EngineKeeper.
type Keeper struct {
	engine knapweedpulley.OrderedEngine
	clock  knapweedpulley.Clock
	log    log.Interface
	wake   chan struct{}

	mu       sync.Mutex
	sessions knapweedpulley.Set[*session]
	endpoint knapweedpulley.EndpointID
	spec     *knapweedpulley.EngineSpec
	wishes   []wish
	reading  *knapweedpulley.EngineReading
	// loading is the load that was ordered last, until the engine is idle.
	loading *load
	// loaded tells when models were first seen as loaded.
	loaded map[knapweedpulley.ModelID]knapweedpulley.Instant
}

// load is a load under way.
type load struct {
	knapweedpulley.Resident
	tier  knapweedpulley.CacheTier
	began knapweedpulley.Instant
	takes time.Duration
}

// New starts to keep an engine. The clean-up ends it.
func New(
	engine knapweedpulley.OrderedEngine, clock knapweedpulley.Clock, log log.Interface,
) (*Keeper, knapweedpulley.Cleanup) {
	k := &Keeper{
		engine: engine, clock: clock, log: log,
		wake:     make(chan struct{}, 1),
		sessions: make(knapweedpulley.Set[*session]),
		loaded:   make(map[knapweedpulley.ModelID]knapweedpulley.Instant),
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { k.run(ctx) })
	return k, func() {
		cancel()
		running.Wait()
	}
}

func (k *Keeper) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	failing := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
		case <-timer.C:
		}
		err := k.turn(ctx)
		if (err != nil) != failing {
			failing = err != nil
			if failing {
				k.log.WithError(err).Warn("engine doesn't answer")
			} else {
				k.log.Info("engine answers")
			}
		}
		timer.Reset(k.period())
	}
}

func (k *Keeper) period() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.wishes) > 0 || k.loading != nil {
		return busyPeriod
	}
	return idlePeriod
}

// turn reads the engine, gives the orders that are due and tells the gateways.
func (k *Keeper) turn(ctx context.Context) error {
	if err := k.read(ctx); err != nil {
		return err
	}
	for range maxOrders {
		o, due := k.next()
		if !due || !k.place(ctx, o) {
			break
		}
		if err := k.read(ctx); err != nil {
			return err
		}
	}
	k.publish()
	return nil
}

// maxOrders bounds the orders of one turn: an engine takes up to four adapters
// at once.
const maxOrders = 4

// read takes over the engine's present state.
func (k *Keeper) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	r, err := k.engine.Read(ctx)
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	if k.reading != nil && r.Start != k.reading.Start {
		k.log.WithField("start", r.Start).Info("engine was started anew")
		k.loading = nil
		clear(k.loaded)
	}
	k.reading = &r
	if k.loading != nil && !r.Busy && now.Sub(k.loading.began) > busyPeriod {
		k.log.WithField("model", k.loading.Model).WithField("took", now.Sub(k.loading.began).String()).
			WithField("loaded", knapweedpulley.Holds(r.Models, k.loading.Resident)).Info("load ended")
		k.loading = nil
	}
	k.noteLoaded(now)
	k.dropWishes(now)
	return nil
}

func (k *Keeper) noteLoaded(now knapweedpulley.Instant) {
	held := make(knapweedpulley.Set[knapweedpulley.ModelID], len(k.reading.Models))
	for _, m := range k.reading.Models {
		held.Add(m.Model)
		if _, known := k.loaded[m.Model]; !known {
			k.loaded[m.Model] = now
		}
	}
	for m := range k.loaded {
		if !held.Has(m) {
			delete(k.loaded, m)
		}
	}
}

// dropWishes forgets what is loaded or of no use any more.
func (k *Keeper) dropWishes(now knapweedpulley.Instant) {
	kept := k.wishes[:0]
	for _, w := range k.wishes {
		if now.After(w.until) {
			k.log.WithField("model", w.Model).WithField("adapter", w.Adapter).Info("load came too late")
			continue
		}
		if !knapweedpulley.Holds(k.reading.Models, w.Resident) {
			kept = append(kept, w)
		}
	}
	k.wishes = kept
}

// place gives an order, and tells whether the engine took it.
func (k *Keeper) place(ctx context.Context, o knapweedpulley.EngineOrder) bool {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	began := k.clock.Now()
	outcome, err := k.engine.Place(ctx, o)
	k.mu.Lock()
	defer k.mu.Unlock()
	entry := k.log.WithField("order", o.Kind).WithField("model", o.Model).WithField("adapter", o.Adapter).
		WithField("sequence", o.Sequence).WithField("outcome", outcome.String())
	if err != nil {
		entry.WithError(err).Warn("order has no answer")
	} else {
		entry.Info("order given")
	}
	if o.Kind == knapweedpulley.OrderLoadModel &&
		(outcome == knapweedpulley.OrderAccepted || outcome == knapweedpulley.OrderUnknown) {
		tier := k.reading.Tier(o.Model)
		k.loading = &load{
			Resident: o.Resident, tier: tier, began: began, takes: k.spec.Models[o.Model].LoadTime(tier),
		}
	}
	return outcome == knapweedpulley.OrderAccepted || outcome == knapweedpulley.OrderHolds
}
