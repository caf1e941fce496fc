package link

import (
	"sync"
	"sync/atomic"

	"github.com/knapweedpulley/knapweedpulley"
)

// Table holds an entry's links to the agents on the platform's list of VMs. It
// implements knapweedpulley.EndpointLinks.
type Table struct {
	settings EndpointSettings
	// byEndpoint is a read-only map that is replaced as a whole, so that requests
	// read it without a lock.
	byEndpoint atomic.Pointer[map[knapweedpulley.EndpointID]*Endpoint]

	mu        sync.Mutex
	byAddress map[string]*openLink
	closed    bool
}

// openLink is a link and the clean-up that closes it.
type openLink struct {
	endpoint *Endpoint
	cleanup  knapweedpulley.Cleanup
}

// NewTable returns a table without links. The links are opened with the given
// settings, apart from the address, which the table sets for each link. The
// clean-up closes all links.
func NewTable(s EndpointSettings) (*Table, knapweedpulley.Cleanup) {
	t := &Table{settings: s, byAddress: make(map[string]*openLink)}
	t.byEndpoint.Store(&map[knapweedpulley.EndpointID]*Endpoint{})
	return t, t.close
}

// Link implements knapweedpulley.EndpointLinks.
func (t *Table) Link(id knapweedpulley.EndpointID) (knapweedpulley.EndpointLink, bool) {
	e, ok := (*t.byEndpoint.Load())[id]
	if !ok {
		return nil, false
	}
	return e, true
}

// Address returns the address of the agent of an endpoint.
func (t *Table) Address(id knapweedpulley.EndpointID) (string, bool) {
	e, ok := (*t.byEndpoint.Load())[id]
	if !ok {
		return "", false
	}
	return e.address, true
}

// Sync opens links to the agents in machines and closes the other links. The
// platform's list is updated with a delay, so a link that is connected is kept even
// if its VM is not in machines.
func (t *Table) Sync(machines []knapweedpulley.Machine) {
	listed := knapweedpulley.NewSet[string]()
	for _, m := range machines {
		if m.Role == knapweedpulley.RoleAgent {
			listed.Add(m.Address)
		}
	}
	for _, removed := range t.reconcile(listed) {
		removed.cleanup()
	}
}

// reconcile opens the links that are missing and returns the links to be closed.
func (t *Table) reconcile(listed knapweedpulley.Set[string]) []*openLink {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil
	}
	var removed []*openLink
	for address, l := range t.byAddress {
		if _, connected := l.endpoint.Status(); !listed.Has(address) && !connected {
			delete(t.byAddress, address)
			removed = append(removed, l)
		}
	}
	for address := range listed {
		if _, ok := t.byAddress[address]; !ok {
			t.byAddress[address] = t.open(address)
		}
	}
	return removed
}

func (t *Table) open(address string) *openLink {
	s := t.settings
	s.Address = address
	l := &openLink{}
	l.endpoint, l.cleanup = newEndpoint(s, t)
	return l
}

// register records e as the link to the endpoint that sent its status over it.
func (t *Table) register(e *Endpoint, id knapweedpulley.EndpointID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := *t.byEndpoint.Load()
	if old[id] == e {
		return
	}
	links := make(map[knapweedpulley.EndpointID]*Endpoint, len(old)+1)
	for k, v := range old {
		links[k] = v
	}
	links[id] = e
	t.byEndpoint.Store(&links)
}

func (t *Table) close() {
	t.mu.Lock()
	t.closed = true
	links := t.byAddress
	t.byAddress = nil
	t.mu.Unlock()
	for _, l := range links {
		l.cleanup()
	}
}
