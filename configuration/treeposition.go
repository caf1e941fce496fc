package configuration

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// watchersPerZone is the number of entry processes in a zone that watch the store.
	watchersPerZone = 2
	// fanOut is the number of children of a node in the tree. It bounds what one entry process
	// sends; the added delay of a deeper tree is negligible.
	fanOut = 4
	// fallbacksPerZone is the number of entry processes, ranked directly after the watchers, that
	// the others subscribe to when the watchers have no fresh content.
	fallbacksPerZone = 3
)

// treePosition is the position of an entry process in the distribution tree of its zone.
type treePosition struct {
	// rank is the zero-based rank within the zone. The first watchersPerZone ranks watch the store.
	rank int
	// lone is set if all entry processes of the zone watch the store.
	lone bool
	// candidates are the entry processes to subscribe to, in order of preference.
	candidates []knapweedpulley.Member
}

// watchesStore reports whether the entry process at this position watches the store.
func (p treePosition) watchesStore() bool {
	return p.rank < watchersPerZone
}

// positionOf returns the position of self among the peers. Entry processes that know the same peers
// agree on the tree. Each prefers candidates with a higher rank, so no two of them subscribe to
// each other.
func positionOf(self knapweedpulley.Member, peers []knapweedpulley.Member) treePosition {
	zone, others := rankEntries(self, peers)
	rank := slices.IndexFunc(zone, func(m knapweedpulley.Member) bool { return m.Address == self.Address })
	p := treePosition{rank: rank, lone: len(zone) <= watchersPerZone}
	for _, i := range candidateRanks(rank) {
		if i < len(zone) {
			p.candidates = append(p.candidates, zone[i])
		}
	}
	if p.watchesStore() {
		// If the store turns away this watcher, it may turn away the other one of the zone as well,
		// and the rest of the zone depends on them.
		p.candidates = slices.Concat(others, p.candidates)
		return p
	}
	p.candidates = append(p.candidates, others...)
	return p
}

// rankEntries returns the entry processes of self's zone ordered by rank, and the watchers of the
// other zones.
func rankEntries(self knapweedpulley.Member, peers []knapweedpulley.Member) (zone, others []knapweedpulley.Member) {
	zones := map[knapweedpulley.ZoneID][]knapweedpulley.Member{self.Zone: {self}}
	seen := knapweedpulley.NewSet(self.Address)
	for _, m := range peers {
		if !seen.Has(m.Address) {
			seen.Add(m.Address)
			zones[m.Zone] = append(zones[m.Zone], m)
		}
	}
	for z, members := range zones {
		slices.SortFunc(members, func(a, b knapweedpulley.Member) int {
			return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.Address, b.Address))
		})
		if z != self.Zone {
			others = append(others, members[:min(watchersPerZone, len(members))]...)
		}
	}
	slices.SortFunc(others, func(a, b knapweedpulley.Member) int {
		return cmp.Compare(pairWeight(self, b), pairWeight(self, a))
	})
	return zones[self.Zone], others
}

// candidateRanks returns the ranks to subscribe to in order of preference: the parent and its
// ancestors, the watchers, and then the fallbacks.
func candidateRanks(rank int) []int {
	var ranks []int
	add := func(i int) {
		if i != rank && !slices.Contains(ranks, i) {
			ranks = append(ranks, i)
		}
	}
	for i := rank; i >= watchersPerZone; {
		i = (i - watchersPerZone) / fanOut
		add(i)
	}
	for i := range watchersPerZone {
		add(i)
	}
	for i := watchersPerZone; i < watchersPerZone+fallbacksPerZone; i++ {
		if i < rank || rank < watchersPerZone {
			add(i)
		}
	}
	return ranks
}

func weight(m knapweedpulley.Member) uint64 {
	return xxhash.Sum64String(m.Address)
}

// pairWeight orders the watchers of other zones differently for each entry process, which spreads
// the subscriptions.
func pairWeight(a, b knapweedpulley.Member) uint64 {
	return xxhash.Sum64String(a.Address + " " + b.Address)
}
