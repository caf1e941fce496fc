package endpoint

import (
	"slices"
	"strings"
	"sync"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/zone"
)

// Fleet is one entry process's view of the endpoints. It implements
// knapweedpulley.EndpointSelector and knapweedpulley.Endpoints.
type Fleet struct {
	zone      knapweedpulley.ZoneID
	distances *zone.Distances
	nodes     *nodes
	index     *index
	// mu is held while nodes or index are changed. Choosing an endpoint takes no
	// lock.
	mu sync.Mutex
}

// NewFleet returns an empty fleet as seen from a zone.
func NewFleet(from knapweedpulley.ZoneID, distances *zone.Distances) *Fleet {
	return &Fleet{zone: from, distances: distances, nodes: newNodes(), index: newIndex()}
}

// Update applies an agent's report. A report of an earlier incarnation of the
// agent than the known one is ignored.
func (f *Fleet) Update(status knapweedpulley.EndpointStatus) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes.find(status.Endpoint)
	if n != nil && n.report.Load().status.Incarnation > status.Incarnation {
		return
	}
	if n == nil || n.zone != status.Zone {
		f.remove(n)
		n = newNode(&status)
		n.report.Store(&report{status: status})
		f.nodes.put(n.id, n)
	}
	n.report.Store(&report{status: status, inFlight: n.inFlight.Load()})
	f.reindex(n)
}

// Remove removes an endpoint whose agent can't be reached.
func (f *Fleet) Remove(id knapweedpulley.EndpointID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.remove(f.nodes.find(id))
}

// SetLeaving replaces the set of machines that the platform has announced to
// remove. Their endpoints get no new requests.
func (f *Fleet) SetLeaving(machines knapweedpulley.Set[knapweedpulley.MachineID]) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes.each(func(n *node) {
		n.leaving.Store(machines.Has(n.report.Load().status.Machine))
		f.reindex(n)
	})
}

// Current returns the last reports of all endpoints, ordered by id.
func (f *Fleet) Current() []knapweedpulley.EndpointStatus {
	var list []knapweedpulley.EndpointStatus
	f.nodes.each(func(n *node) { list = append(list, n.report.Load().status) })
	slices.SortFunc(list, func(a, b knapweedpulley.EndpointStatus) int {
		return strings.Compare(string(a.Endpoint), string(b.Endpoint))
	})
	return list
}

// Choose implements knapweedpulley.EndpointSelector.
func (f *Fleet) Choose(
	r *knapweedpulley.Request, avoid knapweedpulley.Set[knapweedpulley.EndpointID],
) (knapweedpulley.EndpointID, bool) {
	c := f.index.find(requiredCapability(r))
	if c == nil {
		return "", false
	}
	n := c.pick(r, avoid)
	if n == nil {
		return "", false
	}
	n.inFlight.Add(1)
	return n.id, true
}

// Assign implements knapweedpulley.EndpointSelector.
func (f *Fleet) Assign(_ *knapweedpulley.Request, endpoint knapweedpulley.EndpointID) {
	if n := f.nodes.find(endpoint); n != nil {
		n.inFlight.Add(1)
	}
}

// Done implements knapweedpulley.EndpointSelector.
func (f *Fleet) Done(_ *knapweedpulley.Request, endpoint knapweedpulley.EndpointID) {
	n := f.nodes.find(endpoint)
	if n == nil {
		return
	}
	// The count of an endpoint that was removed and added again started at zero,
	// and must not become negative.
	for {
		inFlight := n.inFlight.Load()
		if inFlight <= 0 || n.inFlight.CompareAndSwap(inFlight, inFlight-1) {
			return
		}
	}
}

// Holders implements knapweedpulley.Endpoints.
func (f *Fleet) Holders(
	list []knapweedpulley.EndpointStatus,
	model knapweedpulley.ModelID, adapter knapweedpulley.Option[knapweedpulley.AdapterID],
) []knapweedpulley.EndpointStatus {
	c := f.index.find(capability{model: model, adapter: adapter.Or("")})
	if c == nil {
		return list
	}
	for _, g := range c.zones {
		for _, n := range g.ring {
			list = append(list, n.report.Load().status)
		}
	}
	return list
}

// Status implements knapweedpulley.Endpoints.
func (f *Fleet) Status(id knapweedpulley.EndpointID) (knapweedpulley.EndpointStatus, bool) {
	n := f.nodes.find(id)
	if n == nil || n.leaving.Load() {
		return knapweedpulley.EndpointStatus{}, false
	}
	return n.report.Load().status, true
}

// Load implements knapweedpulley.Endpoints.
func (f *Fleet) Load(id knapweedpulley.EndpointID) int {
	n := f.nodes.find(id)
	if n == nil {
		return 0
	}
	return int(n.estimatedLoad())
}

// remove removes n, which may be nil, from nodes and index.
func (f *Fleet) remove(n *node) {
	if n == nil {
		return
	}
	f.nodes.put(n.id, nil)
	f.setCapabilities(n, nil)
}

// reindex updates the index from the last report of n. A leaving node is not
// indexed.
func (f *Fleet) reindex(n *node) {
	if n.leaving.Load() {
		f.setCapabilities(n, nil)
		return
	}
	f.setCapabilities(n, offeredCapabilities(&n.report.Load().status))
}

// setCapabilities replaces the capabilities under which n is indexed.
func (f *Fleet) setCapabilities(n *node, list []capability) {
	if slices.Equal(n.offered, list) {
		return
	}
	previous := knapweedpulley.NewSet(n.offered...)
	current := knapweedpulley.NewSet(list...)
	for c := range previous {
		if !current.Has(c) {
			f.index.put(c, f.index.find(c).without(n))
		}
	}
	for c := range current {
		if !previous.Has(c) {
			f.index.put(c, f.index.find(c).with(n, f.compareZones))
		}
	}
	n.offered = list
}

// compareZones orders zones by their distance from the fleet's zone.
func (f *Fleet) compareZones(a, b knapweedpulley.ZoneID) int {
	return f.distances.Compare(f.zone, a, b)
}
