// Package placement decides for a gateway on which engines models and adapters are loaded, and
// requests the loads from the keepers of these engines.
//
// Each gateway decides on its own, from the requests that it receives and the reports of the
// keepers. Gateways that are connected to the same keepers mostly agree, because ties are broken
// by rendezvous hashing. When they disagree, a model is loaded on one more engine than necessary.
// Only the keeper gives orders to its engine, and it makes the final decision. In a large fleet a
// gateway stays connected only to the keepers of one cell of engines. It visits the keepers of
// other engines while it has requests there, for example if only their machines have a copy of a
// model.
//
// # Usage
//
//	placer, cleanup := placement.NewPlacer(placement.Options{…})
//	defer cleanup()
//	err := placer.Await(ctx, placement.LoadRequest{Service: service, Weights: weights, …})
package placement

import (
	"context"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/fleet"
)

// Options holds the dependencies and settings of a placer.
type Options struct {
	Fleet  *fleet.Fleet
	Demand *Demand
	Link   knapweedpulley.KeeperLink
	// Exchanger is asked whether an engine still listens when its keeper has become silent.
	Exchanger knapweedpulley.Exchanger
	Clock     knapweedpulley.Clock
	Log       log.Interface
	// Port is the port of the keepers; it is the same on all machines.
	Port int
	// RemoteLoads is the number of concurrent loads from the weight store that still run at full
	// speed.
	RemoteLoads int
	// Gateways is the number of gateways to assume until SetGatewayCount is called.
	Gateways int
	// Permission is what the gateway's part of the rate of loads depends on, nil if on nothing.
	Permission knapweedpulley.Permission
	// Self is the gateway to which the placer belongs.
	Self knapweedpulley.Member
}

// Placer places models and adapters on engines for one gateway.
type Placer struct {
	fleet       *fleet.Fleet
	demand      *Demand
	link        knapweedpulley.KeeperLink
	exchanger   knapweedpulley.Exchanger
	clock       knapweedpulley.Clock
	log         log.Interface
	port        int
	self        knapweedpulley.Member
	remoteLoads int
	gateways    atomic.Int64
	loadLimiter *loadLimiter
	engineSpecs atomic.Pointer[map[knapweedpulley.ServiceID]*knapweedpulley.EngineSpec]

	mu           sync.Mutex
	pendingLoads map[loadTarget]*pendingLoad
	sessions     map[knapweedpulley.EndpointID]*keeperSession
	cellSelector *cellSelector
	visits       *visits
	// runSession runs a session in the background until the placer is closed.
	runSession func(*keeperSession)
	closed     bool
}

// NewPlacer returns a placer and connects to the keepers. The clean-up closes the streams to them.
func NewPlacer(o Options) (*Placer, knapweedpulley.Cleanup) {
	p := &Placer{
		fleet: o.Fleet, demand: o.Demand, link: o.Link, exchanger: o.Exchanger, clock: o.Clock, log: o.Log,
		port: o.Port, self: o.Self,
		remoteLoads: o.RemoteLoads, loadLimiter: newLoadLimiter(o.Gateways, o.Permission),
		pendingLoads: make(map[loadTarget]*pendingLoad),
		sessions:     make(map[knapweedpulley.EndpointID]*keeperSession),
		cellSelector: newCellSelector(o.Self), visits: newVisits(),
	}
	p.gateways.Store(int64(o.Gateways))
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	p.runSession = func(s *keeperSession) {
		sessionCtx, cancel := context.WithCancel(ctx)
		s.cancel = cancel
		running.Go(func() { s.run(sessionCtx) })
	}
	running.Go(func() { p.maintainSessions(ctx) })
	return p, func() {
		p.mu.Lock()
		p.closed = true
		p.mu.Unlock()
		cancel()
		running.Wait()
	}
}

// Configure applies the services of the configuration in force.
func (p *Placer) Configure(services map[knapweedpulley.ServiceID]knapweedpulley.Service) {
	engineSpecs := make(map[knapweedpulley.ServiceID]*knapweedpulley.EngineSpec)
	last := p.engineSpecs.Load()
	for id, s := range services {
		spec, has := s.Engine.Get()
		if !has {
			continue
		}
		engineSpecs[id] = &spec
		if last != nil && (*last)[id] != nil && reflect.DeepEqual(spec, *(*last)[id]) {
			// An unchanged spec keeps its address, so that it is not sent to the keepers again.
			engineSpecs[id] = (*last)[id]
		}
	}
	p.engineSpecs.Store(&engineSpecs)
	p.loadLimiter.configure(engineSpecs)
}

// SetGatewayCount sets the number of gateways that share the callers and the rate of loads.
func (p *Placer) SetGatewayCount(gateways int) {
	p.gateways.Store(int64(gateways))
	p.loadLimiter.setGatewayCount(gateways)
}

// Electors returns the engines whose keepers decide which gateways there are. All gateways that know
// the same engines agree on them.
func (p *Placer) Electors() []*fleet.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cellSelector.electors(p.engines(p.fleet.Endpoints()))
}

// engineSpec returns the engine spec of a service, or nil if it has none.
func (p *Placer) engineSpec(id knapweedpulley.ServiceID) *knapweedpulley.EngineSpec {
	engineSpecs := p.engineSpecs.Load()
	if engineSpecs == nil {
		return nil
	}
	return (*engineSpecs)[id]
}

// maintainSessions keeps a session with the keeper of each selected engine until ctx ends.
func (p *Placer) maintainSessions(ctx context.Context) {
	ticker := time.NewTicker(notePeriod)
	defer ticker.Stop()
	for {
		changed := p.fleet.Changed()
		p.updateSessions()
		p.withdrawFromEvacuated()
		p.replaceEvacuated()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

// updateSessions ends the sessions of engines that are gone or no longer selected, triggers notes
// in the others and starts the missing ones.
func (p *Placer) updateSessions() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	endpoints := p.fleet.Endpoints()
	engines := p.engines(endpoints)
	cell := p.cellSelector.selectEngines(engines)
	p.visits.update(p.clock.Now(), engines, cell)
	for id, s := range p.sessions {
		stays := cell.Has(id)
		if s.visiting {
			stays = p.visits.has(id)
		}
		if endpoints[id] != s.endpoint || !stays {
			s.cancel()
			delete(p.sessions, id)
		}
	}
	for _, s := range p.sessions {
		s.triggerNote()
	}
	for _, e := range engines {
		if p.sessions[e.ID()] == nil && (cell.Has(e.ID()) || p.visits.has(e.ID())) {
			p.openSession(e, !cell.Has(e.ID()))
		}
	}
	p.demand.RemoveEndpoints(func(id knapweedpulley.EndpointID) bool { return endpoints[id] == nil })
}

// openSession starts a session with the keeper of an engine. The caller holds mu.
func (p *Placer) openSession(e *fleet.Endpoint, visiting bool) *keeperSession {
	s := &keeperSession{
		placer: p, endpoint: e, visiting: visiting, openedAt: p.clock.Now(),
		loadRequests: make(chan knapweedpulley.ResidentLoadRequest, maxQueuedRequests), noteDue: make(chan struct{}, 1),
	}
	p.sessions[e.ID()] = s
	p.runSession(s)
	return s
}

// visit returns the session with the keeper of an engine. If there is none, the engine is outside
// the cell and a visit begins. It returns nil if there are too many visits. The caller holds mu.
func (p *Placer) visit(e *fleet.Endpoint) *keeperSession {
	s := p.sessions[e.ID()]
	if s != nil && !s.visiting {
		return s
	}
	if p.closed || !p.visits.extend(e.ID(), p.clock.Now()) {
		return nil
	}
	if s == nil {
		s = p.openSession(e, true)
	}
	return s
}

// engines returns the endpoints of the services that have model engines.
func (p *Placer) engines(endpoints map[knapweedpulley.EndpointID]*fleet.Endpoint) []*fleet.Endpoint {
	engines := make([]*fleet.Endpoint, 0, len(endpoints))
	for _, e := range endpoints {
		if p.engineSpec(e.Registration().Service) != nil {
			engines = append(engines, e)
		}
	}
	return engines
}
