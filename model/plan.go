package model

import (
	"cmp"
	"slices"

	"github.com/knapweedpulley/knapweedpulley"
)

// Planner decides which endpoints the permit of a model names. It neither reads
// the store nor writes to it.
type Planner struct {
	endpoints  knapweedpulley.Endpoints
	departures knapweedpulley.DepartureView
	permits    knapweedpulley.PermitSource
	decisions  knapweedpulley.DesiredModelSource
}

// NewPlanner returns a planner.
func NewPlanner(
	endpoints knapweedpulley.Endpoints, departures knapweedpulley.DepartureView,
	permits knapweedpulley.PermitSource, decisions knapweedpulley.DesiredModelSource,
) *Planner {
	return &Planner{endpoints: endpoints, departures: departures, permits: permits, decisions: decisions}
}

// Plan returns the permit that should follow p and whether it differs from p.
// Released tells which of the releasing endpoints have surely released the
// model. Endpoints that are named and that are releasing together are never
// more than decided, unless fewer are decided than p names.
func (a *Planner) Plan(
	d knapweedpulley.DesiredModel, p knapweedpulley.Permit, released func(knapweedpulley.EndpointID) bool,
) (knapweedpulley.Permit, bool) {
	next := knapweedpulley.Permit{
		Model:     d.Model,
		Replicas:  d.Replicas,
		Endpoints: slices.Clone(p.Endpoints),
		Releasing: slices.Clone(p.Releasing),
		Revision:  p.Revision,
	}
	next.Releasing = slices.DeleteFunc(next.Releasing, func(id knapweedpulley.EndpointID) bool {
		return a.departures.Gone(id) || released(id)
	})
	a.release(&next)
	a.add(&next, d)
	changed := p.Replicas != next.Replicas || !slices.Equal(p.Endpoints, next.Endpoints) ||
		!slices.Equal(p.Releasing, next.Releasing)
	return next, changed
}

// release moves endpoints that are leaving or gone, and those that are too many,
// to the releasing ones.
func (a *Planner) release(next *knapweedpulley.Permit) {
	var kept []knapweedpulley.EndpointID
	for _, id := range next.Endpoints {
		s, up := a.endpoints.Status(id)
		if a.departures.Gone(id) || (up && s.Draining) {
			next.Releasing = append(next.Releasing, id)
			continue
		}
		kept = append(kept, id)
	}
	surplus := max(len(kept)-int(next.Replicas), 0)
	if surplus > 0 {
		// Those that hold the model stay before those that don't.
		slices.SortStableFunc(kept, func(x, y knapweedpulley.EndpointID) int {
			return cmp.Compare(a.worth(next.Model, y), a.worth(next.Model, x))
		})
	}
	next.Releasing = append(next.Releasing, kept[len(kept)-surplus:]...)
	next.Endpoints = kept[:len(kept)-surplus]
	slices.Sort(next.Endpoints)
	slices.Sort(next.Releasing)
}

// worth tells how much an endpoint is worth keeping in a permit.
func (a *Planner) worth(model knapweedpulley.ModelID, id knapweedpulley.EndpointID) int {
	s, up := a.endpoints.Status(id)
	if !up {
		return 0
	}
	if _, there := stateOf(&s, model); there {
		return worthLoaded
	}
	return worthRemote - int(tierOf(&s, model))
}

const (
	// worthRemote exceeds the highest tier of caches.
	worthRemote = int(knapweedpulley.TierRemote) + 1
	// worthLoaded exceeds the worth of an endpoint that has the model cached.
	worthLoaded = worthRemote + 1
)

// add names further endpoints up to the decided number.
func (a *Planner) add(next *knapweedpulley.Permit, d knapweedpulley.DesiredModel) {
	missing := int(next.Replicas) - len(next.Endpoints) - len(next.Releasing)
	if missing <= 0 {
		return
	}
	taken := knapweedpulley.NewSet(next.Endpoints...)
	for _, id := range next.Releasing {
		taken.Add(id)
	}
	zones := make(map[knapweedpulley.ZoneID]int)
	for _, id := range next.Endpoints {
		if s, up := a.endpoints.Status(id); up {
			zones[s.Zone]++
		}
	}
	candidates := a.candidates(d, taken)
	for range missing {
		i := bestCandidate(candidates, zones)
		if i < 0 {
			break
		}
		next.Endpoints = append(next.Endpoints, candidates[i].id)
		zones[candidates[i].zone]++
		candidates = slices.Delete(candidates, i, i+1)
	}
	slices.Sort(next.Endpoints)
}

// candidate is an endpoint that a permit may name.
type candidate struct {
	id   knapweedpulley.EndpointID
	zone knapweedpulley.ZoneID
	tier knapweedpulley.CacheTier
	// promised is the part of the memory that permits promise to models.
	promised float64
}

func (a *Planner) candidates(
	d knapweedpulley.DesiredModel, taken knapweedpulley.Set[knapweedpulley.EndpointID],
) []candidate {
	promised := a.promised()
	var list []candidate
	for _, s := range a.endpoints.Current() {
		_, up := a.endpoints.Status(s.Endpoint)
		if !up || s.Draining || taken.Has(s.Endpoint) || s.Engine.Memory < d.Size || s.Engine.Memory == 0 {
			continue
		}
		list = append(list, candidate{
			id: s.Endpoint, zone: s.Zone, tier: tierOf(&s, d.Model),
			promised: float64(promised[s.Endpoint]) / float64(s.Engine.Memory),
		})
	}
	return list
}

// promised returns the memory that all permits promise on each endpoint.
func (a *Planner) promised() map[knapweedpulley.EndpointID]knapweedpulley.Bytes {
	sizes := make(map[knapweedpulley.ModelID]knapweedpulley.Bytes)
	for _, d := range a.decisions.DesiredModels() {
		sizes[d.Model] = d.Size
	}
	sums := make(map[knapweedpulley.EndpointID]knapweedpulley.Bytes)
	for _, p := range a.permits.Permits() {
		for _, id := range p.Endpoints {
			sums[id] += sizes[p.Model]
		}
	}
	return sums
}

// bestCandidate returns the index of the best candidate, or -1. The first
// replica goes where the checkpoint is nearest; the others go to the zones with
// the fewest replicas.
func bestCandidate(list []candidate, zones map[knapweedpulley.ZoneID]int) int {
	best := -1
	for i, c := range list {
		if best < 0 || compareCandidates(c, list[best], zones) < 0 {
			best = i
		}
	}
	return best
}

func compareCandidates(a, b candidate, zones map[knapweedpulley.ZoneID]int) int {
	first := 0
	if len(zones) == 0 {
		first = cmp.Compare(a.tier, b.tier)
	}
	return cmp.Or(
		first,
		cmp.Compare(zones[a.zone], zones[b.zone]),
		cmp.Compare(a.tier, b.tier),
		cmp.Compare(a.promised, b.promised),
		cmp.Compare(a.id, b.id),
	)
}
