package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/fleet"
)

const (
	// cellSize is the largest number of engines that form a single cell. Fleets of about forty
	// engines were served well as one cell, and each keeper to which a gateway is connected costs
	// it a connection and about one message per second in each direction.
	cellSize = 64
	// cellShrinkRatio is the hysteresis for removing a cell: the number of engines must fall to
	// this fraction of the capacity of the remaining cells. Thus engines that restart don't
	// change the assignment of engines to cells.
	cellShrinkRatio = 0.75
	// registrarCount is the number of registrars: keepers to which every gateway connects in a
	// fleet of several cells, so that the list of gateways in their reports is complete. There
	// are several because registrars can fail like other keepers.
	registrarCount = 3
)

// cellSelector divides the engines of a fleet into cells, so that a gateway connects to a limited
// number of keepers: to all in a small fleet, otherwise to those of one cell in its own zone. Only
// the gateways of a cell place models on its engines. They know the other engines from the
// registered endpoints, and send requests there that no engine of their cell can serve.
type cellSelector struct {
	self knapweedpulley.Member
	// fleetCells is the number of cells of the whole fleet, zoneCells that of the gateway's zone.
	fleetCells uint64
	zoneCells  uint64
}

func newCellSelector(self knapweedpulley.Member) *cellSelector {
	return &cellSelector{self: self, fleetCells: 1, zoneCells: 1}
}

// selectEngines returns the engines to whose keepers the gateway connects. If its zone has no
// engines that take requests, the cells are formed from all that do.
func (c *cellSelector) selectEngines(engines []*fleet.Endpoint) knapweedpulley.Set[knapweedpulley.EndpointID] {
	chosen := make(knapweedpulley.Set[knapweedpulley.EndpointID], min(len(engines), cellSize))
	c.fleetCells = cellCount(len(engines), c.fleetCells)
	if c.fleetCells == 1 {
		for _, e := range engines {
			chosen.Add(e.ID())
		}
		return chosen
	}
	nearby := c.nearby(engines)
	c.zoneCells = cellCount(len(nearby), c.zoneCells)
	ownCell := xxhash.Sum64String(string(c.self.Entry)) % c.zoneCells
	for _, e := range nearby {
		if xxhash.Sum64String(string(e.ID()))%c.zoneCells == ownCell {
			chosen.Add(e.ID())
		}
	}
	for _, r := range selectRegistrars(engines) {
		chosen.Add(r.id)
	}
	return chosen
}

// nearby returns the engines from which the cells of the gateway are formed. A gateway whose own zone
// is evacuated places models in the others.
func (c *cellSelector) nearby(engines []*fleet.Endpoint) []*fleet.Endpoint {
	inUse := slices.DeleteFunc(slices.Clone(engines), (*fleet.Endpoint).Evacuated)
	if len(inUse) == 0 {
		inUse = engines
	}
	nearby := slices.DeleteFunc(slices.Clone(inUse), func(e *fleet.Endpoint) bool { return e.Registration().Zone != c.self.Zone })
	if len(nearby) == 0 {
		return inUse
	}
	return nearby
}

// electors returns the engines to whose keepers every gateway connects.
func (c *cellSelector) electors(engines []*fleet.Endpoint) []*fleet.Endpoint {
	if c.fleetCells == 1 {
		return engines
	}
	var list []*fleet.Endpoint
	for _, r := range selectRegistrars(engines) {
		i := slices.IndexFunc(engines, func(e *fleet.Endpoint) bool { return e.ID() == r.id })
		list = append(list, engines[i])
	}
	return list
}

// cellCount returns the number of cells for a number of engines, given the previous number of
// cells.
func cellCount(engines int, previous uint64) uint64 {
	n := uint64(max(1, engines+cellSize-1)) / cellSize
	if n < previous && float64(engines) > cellShrinkRatio*float64((previous-1)*cellSize) {
		return previous
	}
	return max(1, n)
}

// registrar is an engine with its rank in the order by which registrars are selected.
type registrar struct {
	id   knapweedpulley.EndpointID
	rank uint64
}

// selectRegistrars returns the engines that rank first in an order on which all gateways agree.
func selectRegistrars(engines []*fleet.Endpoint) []registrar {
	first := make([]registrar, 0, registrarCount+1)
	for _, e := range engines {
		r := registrar{id: e.ID(), rank: fleet.Rank("registrar", e.ID())}
		at, _ := slices.BinarySearchFunc(first, r, func(a, b registrar) int { return cmp.Compare(b.rank, a.rank) })
		first = slices.Insert(first, at, r)
		first = first[:min(len(first), registrarCount)]
	}
	return first
}
