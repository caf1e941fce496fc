package endpoint

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/knapweedpulley/knapweedpulley"
)

// unlimitedSlots is the capacity of an endpoint that reports no number of slots.
const unlimitedSlots = 1 << 20

// capability is what a request requires and an endpoint offers: a model, an
// adapter on a model, or a route.
type capability struct {
	model   knapweedpulley.ModelID
	adapter knapweedpulley.AdapterID
	route   knapweedpulley.RouteID
}

// requiredCapability returns the capability that a request requires.
func requiredCapability(r *knapweedpulley.Request) capability {
	if r.Kind == knapweedpulley.KindService {
		return capability{route: r.Route}
	}
	return capability{model: r.Model, adapter: r.Adapter.Or("")}
}

// offeredCapabilities lists the capabilities that an endpoint offers to new
// requests: none while it drains.
func offeredCapabilities(s *knapweedpulley.EndpointStatus) []capability {
	if s.Draining {
		return nil
	}
	var list []capability
	for _, r := range s.Routes {
		list = append(list, capability{route: r})
	}
	for _, m := range s.Engine.Models {
		if m.State != knapweedpulley.StateLoaded {
			continue
		}
		list = append(list, capability{model: m.Model})
		for _, a := range m.Adapters {
			if a.State == knapweedpulley.StateLoaded {
				list = append(list, capability{model: m.Model, adapter: a.Adapter})
			}
		}
	}
	return list
}

// report is an agent's report, with the number of this entry's requests that were
// in flight at the endpoint when it arrived.
type report struct {
	status   knapweedpulley.EndpointStatus
	inFlight int64
}

// estimatedLoad returns the number of reported requests, corrected by those that
// the entry has sent and seen end since the report. inFlight is the entry's
// present number of requests at the endpoint.
func (r *report) estimatedLoad(inFlight int64) int64 {
	reported := int64(r.status.Running + r.status.Queued)
	return max(inFlight, reported+inFlight-r.inFlight, 0)
}

// capacity returns the number of requests that the endpoint runs at once.
func (r *report) capacity() int64 {
	if r.status.Engine.Slots <= 0 {
		return unlimitedSlots
	}
	return int64(r.status.Engine.Slots)
}

// node is the state of one endpoint. Requests read it without a lock while reports
// arrive.
type node struct {
	id       knapweedpulley.EndpointID
	zone     knapweedpulley.ZoneID
	position uint64
	report   atomic.Pointer[report]
	inFlight atomic.Int64
	// leaving is set once the platform has announced that it will remove the
	// machine.
	leaving atomic.Bool
	// offered lists the capabilities under which the node is indexed. It is
	// guarded by the lock of the fleet.
	offered []capability
}

func newNode(s *knapweedpulley.EndpointStatus) *node {
	return &node{id: s.Endpoint, zone: s.Zone, position: xxhash.Sum64String(string(s.Endpoint))}
}

// estimatedLoad returns the estimated number of requests at the endpoint.
func (n *node) estimatedLoad() int64 {
	return n.report.Load().estimatedLoad(n.inFlight.Load())
}

// hasFreeSlot reports whether a further request would run immediately.
func (n *node) hasFreeSlot() bool {
	r := n.report.Load()
	return r.estimatedLoad(n.inFlight.Load()) < r.capacity()
}

// lessLoaded reports whether n is less loaded than m in relation to its capacity.
func (n *node) lessLoaded(m *node) bool {
	r, s := n.report.Load(), m.report.Load()
	return r.estimatedLoad(n.inFlight.Load())*s.capacity() < s.estimatedLoad(m.inFlight.Load())*r.capacity()
}

// withinAffinityMargin reports whether the load of n exceeds that of m by no more
// than 1/affinityMarginDivisor of the capacity of n, or by one request if that is
// less than one.
func (n *node) withinAffinityMargin(m *node) bool {
	return n.estimatedLoad() <= m.estimatedLoad()+max(1, n.report.Load().capacity()/affinityMarginDivisor)
}
