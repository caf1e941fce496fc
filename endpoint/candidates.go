package endpoint

import (
	"math/bits"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// affinityMarginDivisor bounds how far the load of an endpoint may exceed that
	// of another one while it is preferred for its prefix cache: by one part in
	// affinityMarginDivisor of its slots.
	affinityMarginDivisor = 4
	// sampledPairs is the number of pairs of endpoints that are sampled in a zone
	// before the next zone is tried.
	sampledPairs = 2
	// secondChoiceFactor is multiplied with the ring position of a prefix to get the
	// position of its second choice.
	secondChoiceFactor = 0x9e3779b97f4a7c15
	// lcgMultiplier and lcgIncrement are the constants of the linear congruential
	// generator that samples endpoints.
	lcgMultiplier = 6364136223846793005
	lcgIncrement  = 1442695040888963407
)

// ring is an immutable hash ring: a list of endpoints ordered by the hashes of
// their ids.
type ring []*node

// with returns a copy that contains n.
func (r ring) with(n *node) ring {
	i := r.indexAt(n.position)
	return slices.Insert(slices.Clone(r), i, n)
}

// without returns a copy that doesn't contain n.
func (r ring) without(n *node) ring {
	return slices.DeleteFunc(slices.Clone(r), func(m *node) bool { return m == n })
}

// indexAt returns the index of the first endpoint at or after a position, which
// may be the length of the ring.
func (r ring) indexAt(position uint64) int {
	return sort.Search(len(r), func(i int) bool { return r[i].position >= position })
}

// firstAt returns the first endpoint at or after a position that isn't avoided, or
// nil if all are.
func (r ring) firstAt(position uint64, avoid knapweedpulley.Set[knapweedpulley.EndpointID]) *node {
	return r.firstFrom(r.indexAt(position), avoid)
}

// sampleIndex maps a random number uniformly to an index.
func (r ring) sampleIndex(random uint64) int {
	high, _ := bits.Mul64(random, uint64(len(r)))
	return int(high)
}

// firstFrom returns the first endpoint at or after an index that isn't avoided, or
// nil if all are. It wraps around.
func (r ring) firstFrom(index int, avoid knapweedpulley.Set[knapweedpulley.EndpointID]) *node {
	steps := min(len(r), len(avoid)+1)
	for i := range steps {
		n := r[(index+i)%len(r)]
		if !avoid.Has(n.id) {
			return n
		}
	}
	return nil
}

// pick returns the least loaded of a few sampled endpoints, or nil if all are
// avoided. A request with a prefix goes to the endpoint that its prefix maps to,
// which may have the prefix cached, unless that one has no free slot or exceeds the
// load of the prefix's second choice by more than the affinity margin. random seeds
// the sampling.
func (r ring) pick(
	prefix knapweedpulley.Fingerprint, random uint64, avoid knapweedpulley.Set[knapweedpulley.EndpointID],
) *node {
	if len(r) == 0 {
		return nil
	}
	var best *node
	if prefix != 0 {
		primary := r.firstAt(uint64(prefix), avoid)
		secondary := r.firstAt(uint64(prefix)*secondChoiceFactor, avoid)
		if primary == nil || (primary.hasFreeSlot() && primary.withinAffinityMargin(secondary)) {
			return primary
		}
		best = lessLoaded(primary, secondary)
	}
	for range sampledPairs {
		random = random*lcgMultiplier + lcgIncrement
		best = lessLoaded(best, r.firstFrom(r.sampleIndex(random), avoid))
		random = random*lcgMultiplier + lcgIncrement
		best = lessLoaded(best, r.firstFrom(r.sampleIndex(random), avoid))
		if best == nil || best.hasFreeSlot() {
			return best
		}
	}
	return best
}

// lessLoaded returns the less loaded of two endpoints; either may be nil.
func lessLoaded(n, m *node) *node {
	if n == nil || (m != nil && m.lessLoaded(n)) {
		return m
	}
	return n
}

// zoneGroup is the candidates in one zone.
type zoneGroup struct {
	zone knapweedpulley.ZoneID
	ring ring
}

// candidates is the immutable set of endpoints that offer one capability, grouped
// by zone, nearest first.
type candidates struct {
	zones []zoneGroup
	all   ring
}

// pick samples the zones, nearest first, and returns the first endpoint with a
// free slot, or the least loaded of the sampled endpoints if none has one. It
// returns nil if all are avoided.
func (c *candidates) pick(
	r *knapweedpulley.Request, avoid knapweedpulley.Set[knapweedpulley.EndpointID],
) *node {
	if r.Isolated {
		// All entry processes choose the same endpoint for the same content.
		return c.all.firstAt(uint64(r.Fingerprint), avoid)
	}
	var best *node
	random := xxhash.Sum64String(string(r.ID))
	for i := range c.zones {
		n := c.zones[i].ring.pick(r.Prefix, random, avoid)
		if n != nil && n.hasFreeSlot() {
			return n
		}
		best = lessLoaded(best, n)
	}
	return best
}

// with returns a copy that contains n; compare orders the zones.
func (c *candidates) with(n *node, compare func(a, b knapweedpulley.ZoneID) int) *candidates {
	if c == nil {
		c = &candidates{}
	}
	copied := &candidates{zones: slices.Clone(c.zones), all: c.all.with(n)}
	i, found := slices.BinarySearchFunc(copied.zones, n.zone, func(g zoneGroup, z knapweedpulley.ZoneID) int {
		return compare(g.zone, z)
	})
	if !found {
		copied.zones = slices.Insert(copied.zones, i, zoneGroup{zone: n.zone})
	}
	copied.zones[i].ring = copied.zones[i].ring.with(n)
	return copied
}

// without returns a copy that doesn't contain n, or nil if it would be empty.
func (c *candidates) without(n *node) *candidates {
	if c == nil {
		return nil
	}
	copied := &candidates{zones: slices.Clone(c.zones), all: c.all.without(n)}
	if len(copied.all) == 0 {
		return nil
	}
	for i, g := range copied.zones {
		if g.zone == n.zone {
			copied.zones[i].ring = g.ring.without(n)
		}
	}
	copied.zones = slices.DeleteFunc(copied.zones, func(g zoneGroup) bool { return len(g.ring) == 0 })
	return copied
}
