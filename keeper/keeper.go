// Package keeper decides which models and adapters one model engine loads and
// unloads.
//
// A keeper runs on the machine of its engine and is the only process that sends
// it orders. It is a reconciler: it reads the engine's state at an interval,
// compares it with the load requests of the gateways, and issues the next order.
// Gateways connect over streams. They send load requests and, for each loaded
// model, the active requests and the request rate. The keeper serves load
// requests for adapters before those for models, then by priority, then in the
// order of arrival. To free memory it unloads idle models with the lowest
// demand.
//
// Each order carries the sequence number of the state that it was decided on.
// The engine refuses an order with another number. Its numbers start anew when it
// restarts, so an order that arrives late may then fit again. The keeper keeps
// room for such orders until they can't be carried out any more.
//
// # Usage
//
//	k, cleanup := keeper.New(engine, clock, log, keeper.Terms{
//		Token: keeper.MachineToken("side-1"), OrderLateness: 13 * time.Second,
//	})
//	defer cleanup()
//	link.RegisterKeeper(server, k)
package keeper

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// activePollInterval is the time between two reads of the engine while a
	// load is queued or in progress, idlePollInterval at other times. Reads stay
	// on the machine and cost nothing.
	activePollInterval = 40 * time.Millisecond
	idlePollInterval   = 250 * time.Millisecond
	// maxReportInterval is the longest time between two reports to a gateway
	// while few gateways are connected.
	maxReportInterval = 500 * time.Millisecond
	// readTimeout bounds one read of the engine, orderTimeout one order. Both
	// calls stay on the machine.
	readTimeout  = 500 * time.Millisecond
	orderTimeout = 300 * time.Millisecond
	// minResidency is the time for which a model stays loaded after a load: the
	// requests that waited for it arrive in this time.
	minResidency = 500 * time.Millisecond
	// maxReadingAge is the age up to which the last reading of an engine that has become
	// silent is still reported.
	maxReadingAge = 3 * time.Second
)

// errEngineSilent marks the error of a read that the engine has not answered in time.
var errEngineSilent = errors.New("the engine is silent")

// Terms are what the orders of a keeper are given under.
type Terms struct {
	// Token fences all orders of the keepers of one machine.
	Token knapweedpulley.FencingToken
	// OrderLateness is the time for which an order that got no answer can still be
	// carried out.
	OrderLateness time.Duration
}

// machineTokenBase is above the tokens of keepers that took the engine's start in
// milliseconds for it.
const machineTokenBase = 1 << 48

// MachineToken returns the token of a machine's keepers. It never rises, so that no
// late order has a lower token than an order that the engine got before.
func MachineToken(machine string) knapweedpulley.FencingToken {
	h := fnv.New32a()
	_, _ = h.Write([]byte(machine))
	return machineTokenBase + knapweedpulley.FencingToken(h.Sum32())
}

// loadRequest is a queued request of one or more gateways to load a model or an
// adapter.
type loadRequest struct {
	knapweedpulley.ResidentLoadRequest
	expiresAt knapweedpulley.Instant
}

// Keeper implements knapweedpulley.EngineKeeper.
type Keeper struct {
	engine  knapweedpulley.EngineClient
	clock   knapweedpulley.Clock
	log     log.Interface
	token   knapweedpulley.FencingToken
	trigger chan struct{}

	mu       sync.Mutex
	sessions knapweedpulley.Set[*session]
	// lostSessions are the sessions whose stream ended less than gatewayTimeout after the
	// last note. Their demands still count, as their gateways may be reconnecting.
	lostSessions knapweedpulley.Set[*session]
	// listings are the gateways that the reports list. A gateway stays listed though its stream has
	// ended, because it relies on that until its term ends.
	listings  map[knapweedpulley.EntryID]listing
	startedAt knapweedpulley.Instant
	endpoint  knapweedpulley.EndpointID
	// spec is the engine's configuration as a gateway sent it last, nil before.
	spec *knapweedpulley.EngineSpec
	// queue holds the open load requests, by priority and then in the order of
	// arrival.
	queue []loadRequest
	// reading is the engine's state as of the last read at readAt, nil before.
	reading *knapweedpulley.EngineSnapshot
	readAt  knapweedpulley.Instant
	// loading is the last model load that was ordered. It is nil once the engine
	// is idle again.
	loading *activeLoad
	// loadedAt holds the times at which the loaded models were first reported by
	// the engine.
	loadedAt map[knapweedpulley.ModelID]knapweedpulley.Instant
	// lateOrders are the orders without a known outcome.
	lateOrders *lateOrders
}

// activeLoad is a model load in progress.
type activeLoad struct {
	knapweedpulley.Resident
	tier      knapweedpulley.CacheTier
	startedAt knapweedpulley.Instant
	// expected is the usual duration of such a load.
	expected time.Duration
}

// New starts a keeper for an engine. The clean-up stops it and returns once its
// goroutine has ended.
func New(
	engine knapweedpulley.EngineClient, clock knapweedpulley.Clock, log log.Interface, terms Terms,
) (*Keeper, knapweedpulley.Cleanup) {
	k := &Keeper{
		engine: engine, clock: clock, log: log, token: terms.Token,
		trigger:  make(chan struct{}, 1),
		sessions: make(knapweedpulley.Set[*session]), lostSessions: make(knapweedpulley.Set[*session]),
		loadedAt:   make(map[knapweedpulley.ModelID]knapweedpulley.Instant),
		lateOrders: newLateOrders(log, terms.OrderLateness),
		listings:   make(map[knapweedpulley.EntryID]listing), startedAt: clock.Now(),
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
		case <-k.trigger:
		case <-timer.C:
		}
		err := k.reconcile(ctx)
		if (err != nil) != failing {
			failing = err != nil
			if failing {
				k.log.WithError(err).Warn("cannot read engine state; no orders are issued until a read succeeds")
			} else {
				k.log.Info("engine state read again; orders resume")
			}
		}
		timer.Reset(k.pollInterval())
	}
}

func (k *Keeper) pollInterval() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.queue) > 0 || k.loading != nil {
		return activePollInterval
	}
	return idlePollInterval
}

// reconcile makes one pass: it reads the engine, issues the orders that are due
// and sends reports to the gateways.
func (k *Keeper) reconcile(ctx context.Context) error {
	err := k.issueDueOrders(ctx)
	if err == nil || (errors.Is(err, errEngineSilent) && k.hasRecentReading()) {
		k.publish()
	}
	return err
}

// issueDueOrders issues the orders that are due, each on a new reading of the engine.
func (k *Keeper) issueDueOrders(ctx context.Context) error {
	if err := k.refresh(ctx); err != nil {
		return err
	}
	for range maxOrdersPerPass {
		o, due := k.nextOrder()
		if !due || !k.issueOrder(ctx, o) {
			break
		}
		if err := k.refresh(ctx); err != nil {
			return err
		}
	}
	return nil
}

// hasRecentReading reports whether the last reading is still reported if the engine is
// silent.
func (k *Keeper) hasRecentReading() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.reading != nil && k.clock.Now().Sub(k.readAt) < maxReadingAge
}

// maxOrdersPerPass bounds the orders of one reconcile pass: an engine takes up
// to four adapters at once.
const maxOrdersPerPass = 4

// refresh reads the engine's state, and updates the active load, the load times
// and the queue from it.
func (k *Keeper) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	r, err := k.engine.Read(ctx)
	if err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			err = errors.Mark(err, errEngineSilent)
		}
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	if k.reading != nil && r.Start != k.reading.Start {
		k.log.WithField("start", r.Start).Info("engine restarted; load in progress and load times discarded")
		k.loading = nil
		clear(k.loadedAt)
	}
	k.reading, k.readAt = &r, now
	k.lateOrders.observe(&r, now)
	if k.loading != nil && !r.Busy && now.Sub(k.loading.startedAt) > activePollInterval {
		k.log.WithField("model", k.loading.Model).WithField("took", now.Sub(k.loading.startedAt).String()).
			WithField("loaded", knapweedpulley.Holds(r.Models, k.loading.Resident)).Info("load ended")
		k.loading = nil
	}
	k.updateLoadTimes(now)
	k.pruneQueue(now)
	k.pruneLostSessions(now)
	k.pruneListings(now)
	return nil
}

func (k *Keeper) updateLoadTimes(now knapweedpulley.Instant) {
	held := make(knapweedpulley.Set[knapweedpulley.ModelID], len(k.reading.Models))
	for _, m := range k.reading.Models {
		held.Add(m.Model)
		if _, known := k.loadedAt[m.Model]; !known {
			k.loadedAt[m.Model] = now
		}
	}
	for m := range k.loadedAt {
		if !held.Has(m) {
			delete(k.loadedAt, m)
		}
	}
}

// pruneQueue removes the load requests that are fulfilled or have expired.
func (k *Keeper) pruneQueue(now knapweedpulley.Instant) {
	kept := k.queue[:0]
	for _, r := range k.queue {
		if now.After(r.expiresAt) {
			k.log.WithField("model", r.Model).WithField("adapter", r.Adapter).Info("load request expired; removed from the queue")
			continue
		}
		if !knapweedpulley.Holds(k.reading.Models, r.Resident) {
			kept = append(kept, r)
		}
	}
	k.queue = kept
}

// issueOrder sends an order to the engine and reports whether the order was
// accepted or its goal already holds. A model load whose outcome is unknown
// counts as in progress.
func (k *Keeper) issueOrder(ctx context.Context, order knapweedpulley.EngineOrder) bool {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	startedAt := k.clock.Now()
	outcome, err := k.engine.Place(ctx, order)
	k.mu.Lock()
	defer k.mu.Unlock()
	entry := k.log.WithField("order", order.Kind).WithField("model", order.Model).WithField("adapter", order.Adapter).
		WithField("sequence", order.Sequence).WithField("outcome", outcome.String())
	if err != nil {
		entry.WithError(err).Warn("order not confirmed; waiting for the next read of the engine")
	} else {
		entry.Info("order given")
	}
	switch outcome {
	case knapweedpulley.OrderUnknown:
		k.lateOrders.add(order, k.reading.Start, k.clock.Now())
	case knapweedpulley.OrderAccepted:
		k.lateOrders.identify(k.reading.Start, order.Endpoint)
	case knapweedpulley.OrderHolds, knapweedpulley.OrderRefused:
	}
	if order.Kind == knapweedpulley.OrderLoadModel &&
		(outcome == knapweedpulley.OrderAccepted || outcome == knapweedpulley.OrderUnknown) {
		tier := k.reading.Tier(order.Model)
		k.loading = &activeLoad{
			Resident: order.Resident, tier: tier, startedAt: startedAt, expected: k.spec.Models[order.Model].LoadTime(tier),
		}
	}
	return outcome == knapweedpulley.OrderAccepted || outcome == knapweedpulley.OrderHolds
}
