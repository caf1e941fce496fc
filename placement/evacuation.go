package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/fleet"
)

const (
	// minReplacedRate is the rate of requests per second over all gateways from which on a model that
	// only evacuated engines hold is loaded elsewhere before its next request. A model with fewer is
	// loaded when a request arrives: its load would take the weight store's rate from others.
	minReplacedRate = 0.1
	// withdrawn is the lifetime in the message that withdraws a load request.
	withdrawn = time.Duration(0)
)

// withdrawFromEvacuated forgets the pending loads in evacuated zones.
func (p *Placer) withdrawFromEvacuated() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for t, load := range p.pendingLoads {
		if load.endpoint.Evacuated() {
			p.forget(t, load)
		}
	}
}

// forget removes a pending load. If its endpoint is in an evacuated zone, it withdraws the load request,
// which the keeper may have queued. An engine that has begun the load goes on with it. The caller holds
// mu.
func (p *Placer) forget(t loadTarget, load *pendingLoad) {
	delete(p.pendingLoads, t)
	if !load.endpoint.Evacuated() {
		return
	}
	if s := p.visit(load.endpoint); s != nil {
		select {
		case s.loadRequests <- knapweedpulley.ResidentLoadRequest{Resident: t.weights, Expires: withdrawn}:
		default:
		}
	}
}

// replacement is a load of a model or adapter that only evacuated engines hold.
type replacement struct {
	loadTarget
	priority int
	// order is lower for what is loaded earlier among equal priorities.
	order float64
}

// replaceEvacuated requests loads in other zones of the models and adapters that have requests and that
// only evacuated engines hold, the most urgent first.
func (p *Placer) replaceEvacuated() {
	list := p.replacements()
	slices.SortFunc(list, func(a, b replacement) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.order, b.order))
	})
	for _, r := range list {
		if p.requestedByOthers(r.loadTarget) {
			continue
		}
		until := p.clock.Now().Add(requestLifetime)
		p.requestLoad(r.loadTarget, LoadRequest{
			Service: r.service, Weights: r.weights, Priority: r.priority, TargetTime: until, Deadline: until,
		}, math.MaxInt64)
	}
}

// replacements returns what only evacuated engines hold, as far as it has requests.
func (p *Placer) replacements() []replacement {
	var list []replacement
	seen := make(knapweedpulley.Set[loadTarget])
	for _, e := range p.fleet.Endpoints() {
		service := e.Registration().Service
		if !e.Evacuated() || p.engineSpec(service) == nil {
			continue
		}
		for _, w := range loadedResidents(e) {
			t := loadTarget{service: service, weights: w}
			if seen.Has(t) || !p.needsReplacement(t) {
				continue
			}
			seen.Add(t)
			list = append(list, replacement{loadTarget: t, priority: p.demand.Priority(w), order: p.loadOrder(w)})
		}
	}
	return list
}

// loadedResidents returns the models and adapters that an engine holds.
func loadedResidents(e *fleet.Endpoint) []knapweedpulley.Resident {
	var list []knapweedpulley.Resident
	for _, m := range e.Models() {
		if m.State != knapweedpulley.StateLoaded {
			continue
		}
		list = append(list, knapweedpulley.Resident{Model: m.Model})
		for _, a := range m.Adapters {
			if a.State == knapweedpulley.StateLoaded {
				list = append(list, knapweedpulley.Resident{Model: m.Model, Adapter: a.Adapter})
			}
		}
	}
	return list
}

// needsReplacement reports whether a target has requests and is held by no engine that takes them. An
// adapter is loaded after its model.
func (p *Placer) needsReplacement(t loadTarget) bool {
	if p.demand.Rate(t.weights)*float64(max(1, p.gateways.Load())) < minReplacedRate || len(p.fleet.Holders(t.service, t.weights)) > 0 {
		return false
	}
	return t.weights.Adapter == "" || len(p.fleet.Holders(t.service, knapweedpulley.Resident{Model: t.weights.Model})) > 0
}

// loadOrder returns the order in which a gateway loads targets of equal priority: the one with the most
// requests first. Several gateways draw their orders, each target with a chance in proportion to its
// rate. Otherwise all of them would spend their parts of the weight store's rate on the same target.
func (p *Placer) loadOrder(w knapweedpulley.Resident) float64 {
	mean := 1 / p.demand.Rate(w)
	if p.gateways.Load() <= 1 {
		return mean
	}
	hash := xxhash.Sum64String(string(p.self.Entry) + "\x00" + string(w.Model) + "\x00" + string(w.Adapter))
	return -math.Log((float64(hash>>11)+1)/(1<<53)) * mean
}

// requestedByOthers reports whether the load of a target was requested from an engine, and not by this
// gateway. Who requests it repeats the request until it is loaded.
func (p *Placer) requestedByOthers(t loadTarget) bool {
	p.mu.Lock()
	_, own := p.pendingLoads[t]
	p.mu.Unlock()
	if own {
		return false
	}
	return slices.ContainsFunc(p.fleet.Service(t.service), func(e *fleet.Endpoint) bool {
		r, age, fresh := e.Report()
		if !fresh {
			return false
		}
		_, loading := remainingLoadTime(r, age, t.weights)
		return loading || slices.Contains(r.Queue, t.weights)
	})
}
