package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/machine"
)

// Backends holds what an agent sends requests to: either an engine or plain services.
type Backends struct {
	Engine   knapweedpulley.Engine
	Services map[knapweedpulley.RouteID]knapweedpulley.Backend
	// Eviction decides which idle models and adapters are unloaded; nil keeps all of them.
	Eviction knapweedpulley.EvictionPolicy
}

// Agent runs requests and executes orders at one endpoint. It implements
// knapweedpulley.EndpointAgent.
type Agent struct {
	settings    Settings
	backends    Backends
	clock       knapweedpulley.Clock
	log         log.Interface
	meter       meter
	incarnation knapweedpulley.Incarnation
	startedAt   knapweedpulley.Instant

	admission        *admission
	memory           *machine.MemoryLedger
	orders           *orders
	residencyTracker *residencyTracker
	crashes          crashes
	snapshot         atomic.Pointer[snapshot]
	draining         atomic.Bool
	bodies           *bodyMemory

	// lifetime ends when the agent's clean-up is called.
	lifetime   context.Context
	goroutines sync.WaitGroup

	// readLock holds a value while the engine's state is read, and guards the fields below.
	// It is a channel so that waiting for it can be canceled.
	readLock      chan struct{}
	lastReadStart machine.LogicalTime
	lastReadErr   error
	failedReads   int

	// readDone is closed and replaced after each attempt to read the engine's state.
	readDoneMu sync.Mutex
	readDone   chan struct{}
}

var _ knapweedpulley.EndpointAgent = (*Agent)(nil)

// New returns an agent and starts polling its engine's state. The caller must hold the
// listening port. The clean-up cancels running requests and orders; in a graceful shutdown,
// Drain is called first. New returns an error unless b has either an engine or services.
func New(
	s Settings, b Backends, clock knapweedpulley.Clock, logger log.Interface, scope tally.Scope,
) (*Agent, knapweedpulley.Cleanup, error) {
	s.setDefaults()
	if (b.Engine == nil) == (len(b.Services) == 0) {
		return nil, nil, errors.New("agent needs exactly one of an engine and services")
	}
	lifetime, cancel := context.WithCancel(context.Background())
	a := &Agent{
		settings:    s,
		backends:    b,
		clock:       clock,
		log:         logger.WithField("endpoint", string(s.Endpoint)),
		meter:       newMeter(scope),
		incarnation: knapweedpulley.Incarnation(time.Now().UnixMilli()),
		startedAt:   clock.Now(),
		lifetime:    lifetime,
		readLock:    make(chan struct{}, 1),
		readDone:    make(chan struct{}),
		bodies:      newBodyMemory(machine.MemoryOf(s.MemoryMB)),
	}
	var total knapweedpulley.Bytes
	if s.Engine != nil {
		total = s.Engine.Memory
	}
	a.memory = machine.NewMemoryLedger(total)
	a.admission = newAdmission(clock, s.Queue, a.refuseNotReady)
	a.orders = newOrders(a.incarnation)
	a.residencyTracker = newResidencyTracker(b.Eviction)
	a.snapshot.Store(&snapshot{})
	a.goroutines.Go(a.pollState)
	return a, func() {
		cancel()
		a.admission.refuseQueued(refuseDraining(s.Endpoint))
		a.goroutines.Wait()
	}, nil
}

// Incarnation distinguishes this run of the agent from earlier ones.
func (a *Agent) Incarnation() knapweedpulley.Incarnation {
	return a.incarnation
}

// Run implements knapweedpulley.Backend: it queues the request and runs it, or refuses it
// before its deadline.
func (a *Agent) Run(
	ctx context.Context, r knapweedpulley.Request, w knapweedpulley.AnswerWriter,
) (knapweedpulley.Usage, error) {
	backend, refusal := a.backendFor(r)
	if refusal != nil {
		return knapweedpulley.Usage{}, a.meter.countRefusal(refusal)
	}
	if refusal := a.bodies.reserve(r); refusal != nil {
		return knapweedpulley.Usage{}, a.meter.countRefusal(refusal)
	}
	defer a.bodies.release(r)
	t, refusal := a.admission.admit(r)
	if refusal != nil {
		return knapweedpulley.Usage{}, a.meter.countRefusal(refusal)
	}
	if err := a.admission.wait(ctx, t); err != nil {
		return knapweedpulley.Usage{}, a.meter.countRefusal(err)
	}
	a.meter.recordWait(t.startedAt.Sub(t.arrivedAt))
	defer a.residencyTracker.requestStarted(r, a.clock)()
	return a.run(ctx, backend, t, w)
}

// run runs an admitted request until it ends or its deadline passes.
func (a *Agent) run(
	ctx context.Context, backend knapweedpulley.Backend, t *ticket, w knapweedpulley.AnswerWriter,
) (knapweedpulley.Usage, error) {
	bounded, cancel := context.WithTimeout(ctx, t.deadline.Sub(a.clock.Now()))
	defer cancel()
	stopWatching := context.AfterFunc(a.lifetime, cancel)
	defer stopWatching()
	usage, err := backend.Run(bounded, t.request, w)
	if err == nil {
		a.admission.end(t, usage.Total(), true)
		a.meter.answered.Inc(1)
		return usage, nil
	}
	refusal := knapweedpulley.RefusalOf(err, knapweedpulley.CodeEngineFailed)
	if a.backends.Engine != nil && refusal.Code == knapweedpulley.CodeEngineFailed && bounded.Err() == nil {
		a.detectCrash(bounded, t)
	}
	a.admission.end(t, usage.Total(), false)
	a.log.WithFields(log.Fields{
		"request": string(t.request.ID), "customer": string(t.request.Customer),
		"code": string(refusal.Code), "verdict": refusal.Verdict.String(),
	}).Warn("request failed")
	return usage, a.meter.countRefusal(refusal)
}

func (a *Agent) backendFor(r knapweedpulley.Request) (knapweedpulley.Backend, *knapweedpulley.Refusal) {
	if a.backends.Engine != nil && r.Kind == knapweedpulley.KindChat {
		return a.backends.Engine, nil
	}
	if service, ok := a.backends.Services[r.Route]; ok && r.Kind == knapweedpulley.KindService {
		return service, nil
	}
	return nil, knapweedpulley.NewRefusal(knapweedpulley.CodeRouteNotFound, knapweedpulley.NotRun,
		"endpoint %s does not serve requests of this kind and route", a.settings.Endpoint)
}

// refuseNotReady returns the reason why the engine can't run a request now, or nil.
func (a *Agent) refuseNotReady(r knapweedpulley.Request) *knapweedpulley.Refusal {
	if a.backends.Engine == nil {
		return nil
	}
	current := a.snapshot.Load()
	if !current.known || current.silent {
		return knapweedpulley.NewRefusal(knapweedpulley.CodeNotReady, knapweedpulley.NotRun,
			"the engine of endpoint %s does not answer", a.settings.Endpoint)
	}
	for _, o := range requiredOccupants(r) {
		if !current.usable(o) {
			return knapweedpulley.NewRefusal(knapweedpulley.CodeNotReady, knapweedpulley.NotRun,
				"endpoint %s can't serve model %s %s: it is not loaded or is being unloaded", a.settings.Endpoint, o.Model, o.Adapter)
		}
	}
	return nil
}

// Status implements knapweedpulley.EndpointAgent.
func (a *Agent) Status() knapweedpulley.EndpointStatus {
	s := knapweedpulley.EndpointStatus{
		Endpoint:     a.settings.Endpoint,
		Machine:      a.settings.Machine,
		Zone:         a.settings.Zone,
		Incarnation:  a.incarnation,
		Draining:     a.draining.Load(),
		Engine:       a.snapshot.Load().report(),
		FreeMemory:   a.memory.Free(),
		Queued:       int(a.admission.queuedCount.Load()),
		Running:      int(a.admission.runningCount.Load()),
		QueuedTokens: knapweedpulley.Tokens(a.admission.tokens.Load()),
		Crashes:      a.crashes.list(),
	}
	for _, v := range a.settings.Services {
		s.Routes = append(s.Routes, v.Route)
	}
	if a.backends.Engine == nil {
		s.Engine.Slots = a.settings.Queue.Slots
	}
	return s
}
