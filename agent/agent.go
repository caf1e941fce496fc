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

// Backends is what stands beside an agent: an engine or plain services.
type Backends struct {
	Engine   knapweedpulley.Engine
	Services map[knapweedpulley.RouteID]knapweedpulley.Backend
	// Idle decides what leaves the engine's memory; nil keeps all.
	Idle knapweedpulley.EvictionPolicy
}

// Agent runs requests and carries out orders at one endpoint. It implements
// knapweedpulley.EndpointAgent.
type Agent struct {
	settings    Settings
	backends    Backends
	clock       knapweedpulley.Clock
	log         log.Interface
	meter       meter
	incarnation knapweedpulley.Incarnation
	born        knapweedpulley.Instant

	admission *admission
	memory    *machine.MemoryLedger
	orders    *orders
	residents *residents
	crashes   crashes
	table     atomic.Pointer[table]
	draining  atomic.Bool

	// life ends when the agent is cleaned up.
	life context.Context
	work sync.WaitGroup

	// reading holds a value while the engine's state is read, and guards the
	// fields below. It is a channel so that a wait for it can end early.
	reading   chan struct{}
	lastBegan machine.LogicalTime
	lastErr   error
	failures  int

	// observed is closed and replaced after each reading.
	observedMu sync.Mutex
	observed   chan struct{}
}

var _ knapweedpulley.EndpointAgent = (*Agent)(nil)

// New returns an agent that begins to read its engine's state. The caller must
// hold the listening port. The clean-up ends all that runs; Drain comes first
// in a graceful shutdown.
func New(
	s Settings, b Backends, clock knapweedpulley.Clock, logger log.Interface, scope tally.Scope,
) (*Agent, knapweedpulley.Cleanup, error) {
	s.setDefaults()
	if (b.Engine == nil) == (len(b.Services) == 0) {
		return nil, nil, errors.New("an agent needs either an engine or services")
	}
	life, end := context.WithCancel(context.Background())
	a := &Agent{
		settings:    s,
		backends:    b,
		clock:       clock,
		log:         logger.WithField("endpoint", string(s.Endpoint)),
		meter:       newMeter(scope),
		incarnation: knapweedpulley.Incarnation(time.Now().UnixMilli()),
		born:        clock.Now(),
		life:        life,
		reading:     make(chan struct{}, 1),
		observed:    make(chan struct{}),
	}
	var total knapweedpulley.Bytes
	if s.Engine != nil {
		total = s.Engine.Memory
	}
	a.memory = machine.NewMemoryLedger(total)
	a.admission = newAdmission(clock, s.Queue, a.refuseNotReady)
	a.orders = newOrders(a.incarnation)
	a.residents = newResidents(b.Idle)
	a.table.Store(&table{})
	a.work.Go(a.watch)
	return a, func() {
		end()
		a.admission.flush(refuseDraining(s.Endpoint))
		a.work.Wait()
	}, nil
}

// Incarnation tells this run of the agent from earlier ones.
func (a *Agent) Incarnation() knapweedpulley.Incarnation {
	return a.incarnation
}

// Run implements knapweedpulley.Backend: it waits for the request's turn and
// runs it, or refuses it before its deadline.
func (a *Agent) Run(
	ctx context.Context, r knapweedpulley.Request, w knapweedpulley.AnswerWriter,
) (knapweedpulley.Usage, error) {
	backend, refusal := a.backendFor(r)
	if refusal != nil {
		return knapweedpulley.Usage{}, a.meter.refused(refusal)
	}
	t, refusal := a.admission.admit(r)
	if refusal != nil {
		return knapweedpulley.Usage{}, a.meter.refused(refusal)
	}
	if err := a.admission.wait(ctx, t); err != nil {
		return knapweedpulley.Usage{}, a.meter.refused(err)
	}
	a.meter.waited(t.began.Sub(t.arrived))
	defer a.residents.arrived(r, a.clock)()
	return a.run(ctx, backend, t, w)
}

// run runs an admitted request until its deadline.
func (a *Agent) run(
	ctx context.Context, backend knapweedpulley.Backend, t *ticket, w knapweedpulley.AnswerWriter,
) (knapweedpulley.Usage, error) {
	bounded, cancel := context.WithTimeout(ctx, t.deadline.Sub(a.clock.Now()))
	defer cancel()
	stop := context.AfterFunc(a.life, cancel)
	defer stop()
	usage, err := backend.Run(bounded, t.request, w)
	if err == nil {
		a.admission.end(t, usage.Total(), true)
		a.meter.answered.Inc(1)
		return usage, nil
	}
	refusal := knapweedpulley.RefusalOf(err, knapweedpulley.CodeEngineFailed)
	if a.backends.Engine != nil && refusal.Code == knapweedpulley.CodeEngineFailed && bounded.Err() == nil {
		a.judgeFailure(bounded, t)
	}
	a.admission.end(t, usage.Total(), false)
	a.log.WithFields(log.Fields{
		"request": string(t.request.ID), "customer": string(t.request.Customer),
		"code": string(refusal.Code), "verdict": refusal.Verdict.String(),
	}).Warn("request failed")
	return usage, a.meter.refused(refusal)
}

func (a *Agent) backendFor(r knapweedpulley.Request) (knapweedpulley.Backend, *knapweedpulley.Refusal) {
	if a.backends.Engine != nil && r.Kind == knapweedpulley.KindChat {
		return a.backends.Engine, nil
	}
	if service, ok := a.backends.Services[r.Route]; ok && r.Kind == knapweedpulley.KindService {
		return service, nil
	}
	return nil, knapweedpulley.NewRefusal(knapweedpulley.CodeRouteNotFound, knapweedpulley.NotRun,
		"endpoint %s does not serve the request", a.settings.Endpoint)
}

// refuseNotReady returns why the engine can't run a request now, or nil.
func (a *Agent) refuseNotReady(r knapweedpulley.Request) *knapweedpulley.Refusal {
	if a.backends.Engine == nil {
		return nil
	}
	t := a.table.Load()
	if !t.known || t.silent {
		return knapweedpulley.NewRefusal(knapweedpulley.CodeNotReady, knapweedpulley.NotRun,
			"the engine of endpoint %s does not answer", a.settings.Endpoint)
	}
	for _, o := range needs(r) {
		if !t.usable(o) {
			return knapweedpulley.NewRefusal(knapweedpulley.CodeNotReady, knapweedpulley.NotRun,
				"endpoint %s does not hold model %s %s", a.settings.Endpoint, o.Model, o.Adapter)
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
		Engine:       a.table.Load().report(),
		FreeMemory:   a.memory.Free(),
		Queued:       int(a.admission.queued.Load()),
		Running:      int(a.admission.runs.Load()),
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
