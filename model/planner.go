package model

import (
	"cmp"
	"slices"

	"github.com/knapweedpulley/knapweedpulley"
)

// Planner decides which endpoints the permit of a model names. It neither reads from
// the store nor writes to it.
type Planner struct {
	endpoints  knapweedpulley.Endpoints
	departures knapweedpulley.DepartureView
	permits    knapweedpulley.PermitSource
	decisions  knapweedpulley.DesiredModelSource
}

// NewPlanner returns a planner that decides from the given views.
func NewPlanner(
	endpoints knapweedpulley.Endpoints, departures knapweedpulley.DepartureView,
	permits knapweedpulley.PermitSource, decisions knapweedpulley.DesiredModelSource,
) *Planner {
	return &Planner{endpoints: endpoints, departures: departures, permits: permits, decisions: decisions}
}

// Plan returns the permit that should replace current, and whether it differs from it.
// released reports whether a releasing endpoint has certainly released the model. The
// named and the releasing endpoints together never exceed the desired number of
// replicas, unless that number is below the number of endpoints in current.
func (p *Planner) Plan(
	d knapweedpulley.DesiredModel, current knapweedpulley.Permit, released func(knapweedpulley.EndpointID) bool,
) (knapweedpulley.Permit, bool) {
	next := knapweedpulley.Permit{
		Model:     d.Model,
		Replicas:  d.Replicas,
		Endpoints: slices.Clone(current.Endpoints),
		Releasing: slices.Clone(current.Releasing),
		Revision:  current.Revision,
	}
	next.Releasing = slices.DeleteFunc(next.Releasing, func(id knapweedpulley.EndpointID) bool {
		return p.departures.Gone(id) || released(id)
	})
	p.release(&next)
	p.add(&next, d)
	changed := current.Replicas != next.Replicas || !slices.Equal(current.Endpoints, next.Endpoints) ||
		!slices.Equal(current.Releasing, next.Releasing)
	return next, changed
}

// release moves endpoints that are draining or gone, and those in excess of the desired
// number, to the releasing endpoints.
func (p *Planner) release(next *knapweedpulley.Permit) {
	var kept []knapweedpulley.EndpointID
	for _, id := range next.Endpoints {
		s, up := p.endpoints.Status(id)
		if p.departures.Gone(id) || (up && s.Draining) {
			next.Releasing = append(next.Releasing, id)
			continue
		}
		kept = append(kept, id)
	}
	surplus := max(len(kept)-int(next.Replicas), 0)
	if surplus > 0 {
		// Endpoints that hold the model are kept in preference to others.
		slices.SortStableFunc(kept, func(x, y knapweedpulley.EndpointID) int {
			return cmp.Compare(p.retentionRank(next.Model, y), p.retentionRank(next.Model, x))
		})
	}
	next.Releasing = append(next.Releasing, kept[len(kept)-surplus:]...)
	next.Endpoints = kept[:len(kept)-surplus]
	slices.Sort(next.Endpoints)
	slices.Sort(next.Releasing)
}

// retentionRank ranks an endpoint for staying in a permit. Those with the highest ranks
// stay.
func (p *Planner) retentionRank(model knapweedpulley.ModelID, id knapweedpulley.EndpointID) int {
	s, up := p.endpoints.Status(id)
	if !up {
		return 0
	}
	if _, there := stateOf(&s, model); there {
		return rankLoaded
	}
	return rankRemote - int(tierOf(&s, model))
}

const (
	// rankRemote exceeds the highest cache tier, so that the rank of an endpoint that is
	// up is above zero.
	rankRemote = int(knapweedpulley.TierRemote) + 1
	// rankLoaded exceeds the rank of an endpoint that has the model cached.
	rankLoaded = rankRemote + 1
)

// add names further endpoints up to the desired number of replicas.
func (p *Planner) add(next *knapweedpulley.Permit, d knapweedpulley.DesiredModel) {
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
		if s, up := p.endpoints.Status(id); up {
			zones[s.Zone]++
		}
	}
	candidates := p.candidates(d, taken)
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
	// promised is the fraction of the memory that is reserved by permits. It exceeds one
	// if permits name more models than fit.
	promised float64
}

func (p *Planner) candidates(
	d knapweedpulley.DesiredModel, taken knapweedpulley.Set[knapweedpulley.EndpointID],
) []candidate {
	promised := p.promised()
	var list []candidate
	for _, s := range p.endpoints.Current() {
		_, up := p.endpoints.Status(s.Endpoint)
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

// promised returns the memory that all permits together reserve on each endpoint.
func (p *Planner) promised() map[knapweedpulley.EndpointID]knapweedpulley.Bytes {
	sizes := make(map[knapweedpulley.ModelID]knapweedpulley.Bytes)
	for _, d := range p.decisions.DesiredModels() {
		sizes[d.Model] = d.Size
	}
	sums := make(map[knapweedpulley.EndpointID]knapweedpulley.Bytes)
	for _, p := range p.permits.Permits() {
		for _, id := range p.Endpoints {
			sums[id] += sizes[p.Model]
		}
	}
	return sums
}

// bestCandidate returns the index of the best candidate, or -1 if there is none. The
// first replica is placed where the checkpoint is in the fastest tier, the others in the
// zones with the fewest replicas.
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
