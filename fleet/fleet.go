// Package fleet tracks the endpoints of an installation as one gateway sees them,
// and chooses an endpoint for each request: the one with the earliest expected
// answer, by the load that keepers and answers report, recent failures and zones.
//
// The path of a request reads an immutable index behind an atomic pointer, and
// counters in the endpoints. The index is rebuilt when a registration or a set of
// loaded models changes.
//
// Requests to endpoints that are cold are bounded by package warmup, for services that
// have a limit.
//
// # Usage
//
//	f := fleet.New(clock, zone)
//	f.Update(endpoints)
//	if request, begun := f.Begin(fleet.Requirements{Service: "llm", Weights: weights}); begun {
//		defer request.End(fleet.Answered)
//	}
package fleet

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/pace"
)

// index is an immutable snapshot of the fleet.
type index struct {
	byID     map[knapweedpulley.EndpointID]*Endpoint
	services map[knapweedpulley.ServiceID][]*Endpoint
	holders  map[knapweedpulley.ServiceID]map[knapweedpulley.Resident][]*Endpoint
	// evacuated holds the services all of whose endpoints that aren't departing are in evacuated zones.
	evacuated knapweedpulley.Set[knapweedpulley.ServiceID]
	// changed is closed when the index is replaced.
	changed chan struct{}
}

// Fleet is the set of endpoints.
type Fleet struct {
	clock knapweedpulley.Clock
	zone  knapweedpulley.ZoneID
	index atomic.Pointer[index]
	// runningAt is when the process last recorded that it is running, zero if no endpoint can be cold.
	runningAt atomic.Int64
	// mu is held to replace the index. It guards departures and warmUps.
	mu         sync.Mutex
	departures departures
	warmUps    warmUps
	paceGroups atomic.Pointer[paceGroups]
	paceReport atomic.Pointer[func(pace.Change)]
}

// New returns an empty fleet, seen from a zone.
func New(clock knapweedpulley.Clock, zone knapweedpulley.ZoneID) *Fleet {
	f := &Fleet{clock: clock, zone: zone, departures: make(departures), warmUps: newWarmUps()}
	f.index.Store(buildIndex(nil))
	return f
}

// Update replaces the registered endpoints. The registration of a crashed endpoint
// remains for some seconds beside that of the endpoint that started at its address
// afterwards; only the later one is used.
func (f *Fleet) Update(list []knapweedpulley.RegisteredEndpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	starts := make(map[string]uint64, len(list))
	for _, r := range list {
		starts[r.Address] = max(starts[r.Address], r.Start)
	}
	last := f.index.Load()
	next := make(map[knapweedpulley.EndpointID]*Endpoint, len(list))
	for _, r := range list {
		if r.Start < starts[r.Address] {
			continue
		}
		e, known := last.byID[r.ID]
		if !known || e.Registration().Start != r.Start {
			e = newEndpoint(r.ID, f.clock, f.warmUps.of(last.byID, r.ID))
			e.leaving.Store(f.departures.has(r.ID, r.Start))
		}
		f.warmUps.register(last.byID[r.ID], e, r, f.clock.Now())
		e.registration.Store(&r)
		next[r.ID] = e
	}
	f.warmUps.retain(last.byID, next, f.clock.Now())
	f.updatePace(next)
	f.replace(last, next)
}

// ApplyReport stores a keeper's report on an endpoint.
func (f *Fleet) ApplyReport(e *Endpoint, r knapweedpulley.EngineReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before, unreachable := e.Models(), e.Unreachable()
	e.setReport(r)
	e.warmUp.ReportStart(r.Start, f.clock.Now())
	if unreachable || !knapweedpulley.SameModels(before, e.Models()) {
		last := f.index.Load()
		f.replace(last, last.byID)
	}
}

// MarkUnreachable excludes an endpoint that refuses connections until its keeper
// has read it again or some time has passed. The last endpoint of a service is never
// excluded.
func (f *Fleet) MarkUnreachable(e *Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := f.index.Load()
	if e.Unreachable() || len(last.services[e.Registration().Service]) < 2 {
		return
	}
	e.unreachableUntil.Store(int64(f.clock.Now().Add(unreachableTime)))
	f.replace(last, last.byID)
	time.AfterFunc(unreachableTime+time.Millisecond, f.rebuild)
}

// MarkLeaving excludes an endpoint that has said that it is leaving, until it registers with a later
// start. It reports whether that is news. Unlike [Fleet.MarkUnreachable], it excludes the last
// endpoint of a service as well.
func (f *Fleet) MarkLeaving(e *Endpoint) bool {
	if e.leaving.Load() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !e.leaving.CompareAndSwap(false, true) {
		return false
	}
	f.departures.add(e.id, e.Registration().Start, f.clock.Now())
	last := f.index.Load()
	f.replace(last, last.byID)
	return true
}

// rebuild builds the index again from the present state of the endpoints.
func (f *Fleet) rebuild() {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := f.index.Load()
	f.replace(last, last.byID)
}

func (f *Fleet) replace(last *index, byID map[knapweedpulley.EndpointID]*Endpoint) {
	f.index.Store(buildIndex(byID))
	close(last.changed)
}

// Changed returns a channel that is closed at the next change of the registrations
// or of the loaded models.
func (f *Fleet) Changed() <-chan struct{} {
	return f.index.Load().changed
}

// Endpoints returns all endpoints.
func (f *Fleet) Endpoints() map[knapweedpulley.EndpointID]*Endpoint {
	return f.index.Load().byID
}

// Service returns the endpoints of a service that take new work, ordered by id.
// The slice is shared and must not be changed.
func (f *Fleet) Service(id knapweedpulley.ServiceID) []*Endpoint {
	return f.index.Load().services[id]
}

// Holders returns the endpoints of a service that hold a model, and an adapter
// if one is named. The slice is shared and must not be changed.
func (f *Fleet) Holders(id knapweedpulley.ServiceID, w knapweedpulley.Resident) []*Endpoint {
	return f.index.Load().holders[id][w]
}

func buildIndex(byID map[knapweedpulley.EndpointID]*Endpoint) *index {
	x := &index{
		byID:      byID,
		services:  make(map[knapweedpulley.ServiceID][]*Endpoint),
		holders:   make(map[knapweedpulley.ServiceID]map[knapweedpulley.Resident][]*Endpoint),
		evacuated: make(knapweedpulley.Set[knapweedpulley.ServiceID]),
		changed:   make(chan struct{}),
	}
	outside := make(knapweedpulley.Set[knapweedpulley.ServiceID])
	ordered := slices.SortedFunc(maps.Values(byID), func(a, b *Endpoint) int { return cmp.Compare(a.id, b.id) })
	for _, e := range ordered {
		entry := e.Registration()
		if e.Departing() {
			continue
		}
		if entry.Evacuated {
			x.evacuated.Add(entry.Service)
			continue
		}
		outside.Add(entry.Service)
		if e.Unreachable() {
			continue
		}
		x.services[entry.Service] = append(x.services[entry.Service], e)
		x.addHolder(entry.Service, e)
	}
	for id := range outside {
		x.evacuated.Remove(id)
	}
	return x
}

func (x *index) addHolder(service knapweedpulley.ServiceID, e *Endpoint) {
	byWeights, known := x.holders[service]
	if !known {
		byWeights = make(map[knapweedpulley.Resident][]*Endpoint)
		x.holders[service] = byWeights
	}
	for _, m := range e.Models() {
		if m.State != knapweedpulley.StateLoaded {
			continue
		}
		base := knapweedpulley.Resident{Model: m.Model}
		byWeights[base] = append(byWeights[base], e)
		for _, a := range m.Adapters {
			if a.State == knapweedpulley.StateLoaded {
				w := knapweedpulley.Resident{Model: m.Model, Adapter: a.Adapter}
				byWeights[w] = append(byWeights[w], e)
			}
		}
	}
}
