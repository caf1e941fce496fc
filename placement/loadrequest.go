package placement

import (
	"context"
	"math"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/fleet"
)

const (
	// maxQueuedRequests bounds the load requests that wait to be sent to one keeper.
	maxQueuedRequests = 64
	// recheckPeriod is the time between two checks of a pending load.
	recheckPeriod = 100 * time.Millisecond
	// acceptanceTimeout is the time within which a keeper's report shows a load request that was
	// sent to it.
	acceptanceTimeout = 400 * time.Millisecond
	// maxLoadSilence is the age of the last report up to which a load that it contains is
	// assumed to go on. It covers a silence of the keeper and the time to reconnect.
	maxLoadSilence = 4 * time.Second
	// busyEngineWait is the typical time until one of the models of an engine becomes idle when
	// all are in use: half the duration of a long answer.
	busyEngineWait = 1500 * time.Millisecond
	// requestLifetime is how long a keeper keeps a load request that is not repeated, because its
	// callers may no longer be waiting. requestRepeatPeriod is the time after which it is
	// repeated while they are.
	requestLifetime     = 1500 * time.Millisecond
	requestRepeatPeriod = 600 * time.Millisecond
	// maxUnplaceableWait is how long a request waits while no endpoint can load what it needs. It
	// is less than an eighth of the slower latency objectives.
	maxUnplaceableWait = 300 * time.Millisecond
	// callerReturnMargin is the time that a load request stays valid beyond the retry time that a
	// refused caller was given.
	callerReturnMargin = 500 * time.Millisecond
	// latePriorityOffset is added to the priority of a load request whose objective has passed,
	// so that it ranks behind all those that can still meet theirs.
	latePriorityOffset = 10
	// evictionTime is the time that an unload before a load takes.
	evictionTime = 150 * time.Millisecond
	// scaleOutLoad is the number of requests at the least busy holder of a model from which on
	// loading the model on one more engine is worthwhile. With about ten concurrent requests,
	// the prompts that an engine reads between decoding steps make streams pause for longer
	// than callers accept.
	scaleOutLoad = 9
	// scaleOutLoadRatio is the least ratio of that load to the mean load of the service's
	// endpoints for which it is worthwhile. If all endpoints are equally busy, one more holder
	// takes up memory and speeds nothing up.
	scaleOutLoadRatio = 1.5
	// loadPenalty is added to the estimated load time of an endpoint for each request that it
	// has.
	loadPenalty = 40 * time.Millisecond
	// adapterLoadTime is the time that the load of an adapter takes, including its order.
	adapterLoadTime = 50 * time.Millisecond
)

// loadTarget is a model or adapter that is to be loaded for a service.
type loadTarget struct {
	service knapweedpulley.ServiceID
	weights knapweedpulley.Resident
}

// pendingLoad is a load that was requested from the keeper of an endpoint.
type pendingLoad struct {
	endpoint *fleet.Endpoint
	// sentAt is when the load request was last queued for sending.
	sentAt knapweedpulley.Instant
	// expectedAt is when the load was expected to end when it was requested.
	expectedAt knapweedpulley.Instant
	// extendedAt is when the load was last extended for refused callers that will retry.
	extendedAt knapweedpulley.Instant
	// fromWeightStore is set if the weights come from the weight store.
	fromWeightStore bool
}

// LoadRequest describes the weights that a caller's request needs and how long it can wait for
// them.
type LoadRequest struct {
	Service knapweedpulley.ServiceID
	Weights knapweedpulley.Resident
	// Priority ranks load requests; zero is the most urgent.
	Priority int
	// TargetTime is when the latency objective of the request ends.
	TargetTime knapweedpulley.Instant
	// Deadline is when the request stops waiting.
	Deadline knapweedpulley.Instant
	// EventGapTarget is the objective for the time between two events, zero if there is none.
	EventGapTarget time.Duration
}

// Await requests a load if necessary and returns nil once an endpoint holds the weights. The error
// is a *knapweedpulley.Refusal; it comes as soon as it is clear that they can't be loaded in time.
func (p *Placer) Await(ctx context.Context, r LoadRequest) error {
	t := loadTarget{service: r.Service, weights: r.Weights}
	timer := time.NewTimer(recheckPeriod)
	defer timer.Stop()
	placeableAt := p.clock.Now()
	for {
		changed := p.fleet.Changed()
		if len(p.fleet.Holders(r.Service, r.Weights)) > 0 {
			return nil
		}
		if err := p.fleet.CheckEvacuation(r.Service); err != nil {
			return err
		}
		left := r.Deadline.Sub(p.clock.Now())
		if left <= 0 {
			return knapweedpulley.NewRefusal(knapweedpulley.CodeDeadlineExceeded, knapweedpulley.NotRun,
				"model %s was not loaded in time", r.Weights.Model)
		}
		eta, possible := p.requestLoad(t, r, math.MaxInt64)
		if possible && eta > left {
			p.extendLoad(t, r, eta)
			return knapweedpulley.NewRefusal(knapweedpulley.CodeOverloaded, knapweedpulley.NotRun,
				"loading model %s takes %s", r.Weights.Model, eta).WithRetryAfter(eta)
		}
		if possible {
			placeableAt = p.clock.Now()
		}
		if p.clock.Now().Sub(placeableAt) > maxUnplaceableWait {
			return knapweedpulley.NewRefusal(knapweedpulley.CodeOverloaded, knapweedpulley.NotRun,
				"no endpoint can currently load model %s", r.Weights.Model).WithRetryAfter(busyEngineWait)
		}
		timer.Reset(recheckPeriod)
		select {
		case <-ctx.Done():
			return knapweedpulley.NewRefusal(knapweedpulley.CodeCanceled, knapweedpulley.NotRun,
				"the caller disconnected while model %s was being loaded", r.Weights.Model)
		case <-changed:
		case <-timer.C:
		}
	}
}

// ScaleOut requests a load on one more endpoint if those that hold the weights are busy, or are
// expected to miss the objective for pauses that another one would keep. load is the number of
// requests at the best of them.
func (p *Placer) ScaleOut(r LoadRequest, load int) {
	busy := load >= scaleOutLoad && float64(load) >= scaleOutLoadRatio*p.meanLoad(r.Service)
	if !busy && !p.fleet.PauseObjectiveMissed(fleet.Requirements{
		Service: r.Service, Weights: r.Weights, EventGapTarget: r.EventGapTarget,
	}) {
		return
	}
	p.requestLoad(loadTarget{service: r.Service, weights: r.Weights}, r, math.MaxInt64)
}

// LoadWithin requests a load on one more endpoint if that is expected to take less than a time, after
// which one of those that hold the weights takes requests. It returns the expected time, and false if no
// endpoint can load the weights in that time.
func (p *Placer) LoadWithin(r LoadRequest, d time.Duration) (time.Duration, bool) {
	return p.requestLoad(loadTarget{service: r.Service, weights: r.Weights}, r, d)
}

// MissingLoadTime returns how long the load of a model from a machine's disk takes. It is zero if an endpoint
// holds the weights, or if the model is unknown.
func (p *Placer) MissingLoadTime(service knapweedpulley.ServiceID, w knapweedpulley.Resident) time.Duration {
	spec := p.engineSpec(service)
	if spec == nil || w.Model == "" || len(p.fleet.Holders(service, w)) > 0 {
		return 0
	}
	return spec.Models[w.Model].DiskLoadTime
}

// meanLoad returns the mean number of requests at the endpoints of a service.
func (p *Placer) meanLoad(id knapweedpulley.ServiceID) float64 {
	endpoints := p.fleet.Service(id)
	total := 0
	for _, e := range endpoints {
		total += e.Load()
	}
	return float64(total) / float64(max(1, len(endpoints)))
}

// requestLoad requests a target from the keeper of the best endpoint, unless a load is already
// pending. It returns the estimated time until the target is loaded, and false if no endpoint can
// load it in less than a time.
func (p *Placer) requestLoad(t loadTarget, r LoadRequest, within time.Duration) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if last, pending := p.pendingLoads[t]; pending {
		if eta, inProgress := p.remainingTime(t, last); inProgress {
			if p.clock.Now().Sub(last.sentAt) > requestRepeatPeriod {
				p.sendRequest(last, t, r)
			}
			return eta, eta < within
		}
		p.forget(t, last)
	}
	e, eta, tier, found := p.chooseEndpoint(t)
	if !found || eta >= within {
		return 0, false
	}
	if tier == knapweedpulley.TierRemote && (p.countRemoteLoads(t.service) >= p.remoteLoadLimit(t.service) || !p.loadLimiter.allow(t.service)) {
		return eta, true
	}
	pending := &pendingLoad{
		endpoint: e, fromWeightStore: tier == knapweedpulley.TierRemote, expectedAt: p.clock.Now().Add(eta),
	}
	if !p.sendRequest(pending, t, r) {
		return 0, false
	}
	p.pendingLoads[t] = pending
	p.log.WithField("model", t.weights.Model).WithField("adapter", t.weights.Adapter).
		WithField("endpoint", e.ID()).WithField("tier", tier.Name()).WithField("expected", eta.String()).Info("load asked for")
	return eta, true
}

// extendLoad requests that a keeper continue a load until a refused caller retries, eta from now.
func (p *Placer) extendLoad(t loadTarget, r LoadRequest, eta time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if load, pending := p.pendingLoads[t]; pending && p.clock.Now().Sub(load.extendedAt) > requestRepeatPeriod {
		r.Deadline = p.clock.Now().Add(eta + callerReturnMargin)
		if p.sendRequestFor(load, t, r, eta+callerReturnMargin) {
			load.extendedAt = load.sentAt
		}
	}
}

// sendRequest sends a load request to the keeper of the pending load's endpoint, valid for
// requestLifetime at most. It reports whether the request was queued.
func (p *Placer) sendRequest(load *pendingLoad, t loadTarget, r LoadRequest) bool {
	return p.sendRequestFor(load, t, r, requestLifetime)
}

// sendRequestFor does the same with the given lifetime.
func (p *Placer) sendRequestFor(load *pendingLoad, t loadTarget, r LoadRequest, lifetime time.Duration) bool {
	s := p.visit(load.endpoint)
	if s == nil {
		return false
	}
	now := p.clock.Now()
	message := knapweedpulley.ResidentLoadRequest{
		Resident: t.weights, Priority: r.Priority, Expires: min(lifetime, r.Deadline.Sub(now)),
	}
	if message.Expires == withdrawn {
		message.Expires--
	}
	if now.After(r.TargetTime) {
		message.Priority += latePriorityOffset
	}
	select {
	case s.loadRequests <- message:
		load.sentAt = now
		return true
	default:
		return false
	}
}

// remainingTime returns the estimated time until a pending load ends, and false if its endpoint no
// longer works on it.
func (p *Placer) remainingTime(t loadTarget, load *pendingLoad) (time.Duration, bool) {
	if p.fleet.Endpoints()[load.endpoint.ID()] != load.endpoint || load.endpoint.Departing() {
		return 0, false
	}
	r, age, fresh := load.endpoint.Report()
	switch {
	case fresh:
	case p.awaitsFirstReport(load.endpoint):
		return max(0, load.expectedAt.Sub(p.clock.Now())), true
	case r == nil || age >= maxLoadSilence || load.endpoint.Unreachable():
		return 0, false
	}
	spec := p.engineSpec(t.service)
	if spec == nil {
		return 0, false
	}
	if left, loading := remainingLoadTime(r, age, t.weights); loading {
		return left, true
	}
	if !fresh {
		return 0, false
	}
	for _, q := range r.Queue {
		if q == t.weights {
			return backlogTime(r, age, spec), true
		}
	}
	if p.clock.Now().Sub(load.sentAt) < acceptanceTimeout {
		return backlogTime(r, age, spec) + spec.Models[t.weights.Model].LoadTime(r.Tier(t.weights.Model)), true
	}
	return 0, false
}

// remainingLoadTime returns the time until an engine has loaded a target, or the model that the
// target needs first, and false if the engine loads neither.
func remainingLoadTime(
	r *knapweedpulley.EngineReport, age time.Duration, w knapweedpulley.Resident,
) (time.Duration, bool) {
	for _, l := range r.Loading {
		if l.Resident == w || (l.Adapter == "" && l.Model == w.Model) {
			return max(0, l.Remaining-age), true
		}
	}
	return 0, false
}

// chooseEndpoint returns the endpoint that would finish loading a target first, with the estimated
// time and the tier from which it loads. It returns false if no endpoint can load the target.
func (p *Placer) chooseEndpoint(t loadTarget) (*fleet.Endpoint, time.Duration, knapweedpulley.CacheTier, bool) {
	spec := p.engineSpec(t.service)
	if spec == nil {
		return nil, 0, 0, false
	}
	model, known := spec.Models[t.weights.Model]
	if !known {
		return nil, 0, 0, false
	}
	var best *fleet.Endpoint
	var bestTime time.Duration
	var bestTier knapweedpulley.CacheTier
	var bestRank uint64
	now := p.clock.Now()
	for _, e := range p.fleet.Service(t.service) {
		if e.Avoided() || knapweedpulley.Holds(e.Models(), t.weights) {
			continue
		}
		d, tier, fits := p.estimate(e, spec, model, t.weights)
		if !fits {
			continue
		}
		if cost, paced := p.fleet.PaceLoadCost(e, loadPenalty); paced {
			d += cost
		} else {
			d += time.Duration(e.Load()) * loadPenalty
		}
		// A cold endpoint bears few requests although it has the weights.
		d = max(d, e.WarmAt(now).Sub(now))
		rank := fleet.Rank(string(t.weights.Model)+"/"+string(t.weights.Adapter), e.ID())
		if best == nil || d < bestTime || (d == bestTime && rank > bestRank) {
			best, bestTime, bestTier, bestRank = e, d, tier, rank
		}
	}
	return best, bestTime, bestTier, best != nil
}

// estimate returns the time until an engine would have loaded a target and the tier from which it
// loads, and false if the engine can't be asked or has no room. The caller holds mu.
func (p *Placer) estimate(
	e *fleet.Endpoint, spec *knapweedpulley.EngineSpec, model knapweedpulley.ModelSpec, w knapweedpulley.Resident,
) (time.Duration, knapweedpulley.CacheTier, bool) {
	if r, age, fresh := e.Report(); fresh {
		return estimateLoadTime(r, age, spec, model, w)
	}
	if p.sessions[e.ID()] != nil && !p.awaitsFirstReport(e) {
		return 0, 0, false
	}
	return estimateFromRegistration(e.Registration(), spec, model, w)
}

// awaitsFirstReport reports whether the session with the keeper of an engine was opened so
// recently that its first report may still be on its way. The caller holds mu.
func (p *Placer) awaitsFirstReport(e *fleet.Endpoint) bool {
	s := p.sessions[e.ID()]
	return s != nil && p.clock.Now().Sub(s.openedAt) < acceptanceTimeout
}

// estimateLoadTime returns the time until an engine would have loaded a target and the tier from
// which it loads, and false if it has no room.
func estimateLoadTime(
	r *knapweedpulley.EngineReport, age time.Duration, spec *knapweedpulley.EngineSpec,
	model knapweedpulley.ModelSpec, w knapweedpulley.Resident,
) (time.Duration, knapweedpulley.CacheTier, bool) {
	if w.Adapter != "" && knapweedpulley.Holds(r.Models, knapweedpulley.Resident{Model: w.Model}) {
		d := adapterLoadTime + time.Duration(r.Running)*time.Millisecond
		for _, l := range r.Loading {
			// An engine accepts no adapter while it loads a model.
			d += max(0, l.Remaining-age)
		}
		return d, knapweedpulley.TierMemory, true
	}
	tier := r.Tier(w.Model)
	d := backlogTime(r, age, spec) + model.LoadTime(tier)
	switch {
	case r.Free+r.Evictable < model.Size:
		if tier == knapweedpulley.TierRemote {
			return 0, 0, false
		}
		d += busyEngineWait
	case r.Free >= model.Size:
	case r.Free+r.Redundant >= model.Size:
		d += evictionTime
	default:
		// No other endpoint holds the model that is evicted, so it may have to be reloaded.
		d += evictionTime + model.DiskLoadTime/2
	}
	return d, tier, true
}

// backlogTime returns the time until an engine has finished its current load and the queued loads
// of models.
func backlogTime(r *knapweedpulley.EngineReport, age time.Duration, spec *knapweedpulley.EngineSpec) time.Duration {
	var d time.Duration
	for _, l := range r.Loading {
		d = max(d, l.Remaining-age)
	}
	for _, q := range r.Queue {
		if q.Adapter == "" {
			d += spec.Models[q.Model].LoadTime(r.Tier(q.Model)) + evictionTime
		}
	}
	return max(0, d)
}

// remoteLoadLimit returns the number of concurrent loads from the weight store that the gateway
// allows at the engines that report to it: their share of remoteLoads, but at least one.
func (p *Placer) remoteLoadLimit(service knapweedpulley.ServiceID) int {
	endpoints := p.fleet.Service(service)
	reporting := 0
	for _, e := range endpoints {
		if _, _, fresh := e.Report(); fresh {
			reporting++
		}
	}
	return max(1, (p.remoteLoads*reporting+len(endpoints)/2)/max(1, len(endpoints)))
}

// countRemoteLoads returns the number of loads from the weight store that are in progress at the
// endpoints of a service or were requested by this gateway within acceptanceTimeout.
func (p *Placer) countRemoteLoads(service knapweedpulley.ServiceID) int {
	n := 0
	for _, e := range p.fleet.Service(service) {
		r, _, fresh := e.Report()
		if !fresh {
			continue
		}
		for _, l := range r.Loading {
			if l.Tier == knapweedpulley.TierRemote {
				n++
			}
		}
	}
	for _, load := range p.pendingLoads {
		if load.fromWeightStore && p.clock.Now().Sub(load.sentAt) < acceptanceTimeout {
			n++
		}
	}
	return n
}
