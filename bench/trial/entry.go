package trial

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/endpoint"
	"github.com/knapweedpulley/knapweedpulley/model"
)

// sharedRegistry is the membership of all entry processes. It changes when one dies.
type sharedRegistry struct {
	mu      sync.Mutex
	view    knapweedpulley.EntryView
	members []knapweedpulley.Member
	dead    knapweedpulley.Set[knapweedpulley.EntryID]
}

func newSharedRegistry(members []knapweedpulley.Member) *sharedRegistry {
	c := &sharedRegistry{members: members, dead: knapweedpulley.NewSet[knapweedpulley.EntryID]()}
	c.view.Revision = 1
	for _, m := range members {
		c.view.Entries = append(c.view.Entries, knapweedpulley.RegisteredEntry{
			Member: m, State: knapweedpulley.EntryActive, Revision: 1,
		})
	}
	return c
}

// kill marks an entry process as dead. The other members see this only after evict.
func (c *sharedRegistry) kill(id knapweedpulley.EntryID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dead.Add(id)
}

func (c *sharedRegistry) isDead(id knapweedpulley.EntryID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dead.Has(id)
}

// evict marks a dead member as evicted; remove deletes it from the view after its
// lease has expired.
func (c *sharedRegistry) evict(id knapweedpulley.EntryID) {
	c.change(id, func(e knapweedpulley.RegisteredEntry) (knapweedpulley.RegisteredEntry, bool) {
		e.State = knapweedpulley.EntryEvicted
		return e, true
	})
}

func (c *sharedRegistry) remove(id knapweedpulley.EntryID) {
	c.change(id, func(e knapweedpulley.RegisteredEntry) (knapweedpulley.RegisteredEntry, bool) {
		return e, false
	})
}

func (c *sharedRegistry) change(
	id knapweedpulley.EntryID,
	replace func(knapweedpulley.RegisteredEntry) (knapweedpulley.RegisteredEntry, bool),
) {
	c.mu.Lock()
	defer c.mu.Unlock()
	view := knapweedpulley.EntryView{Revision: c.view.Revision + 1}
	var members []knapweedpulley.Member
	for _, e := range c.view.Entries {
		keep := true
		if e.Entry == id {
			e, keep = replace(e)
			e.Revision = view.Revision
		}
		if keep {
			view.Entries = append(view.Entries, e)
		}
		if keep && e.State == knapweedpulley.EntryActive {
			members = append(members, e.Member)
		}
	}
	c.view, c.members = view, members
}

// entryRegistry is the membership as one entry process sees it. It implements
// knapweedpulley.Registry.
type entryRegistry struct {
	*sharedRegistry

	self knapweedpulley.Member
}

// Valid implements knapweedpulley.Lease.
func (s *entryRegistry) Valid() bool { return !s.isDead(s.self.Entry) }

// Self implements knapweedpulley.Membership.
func (s *entryRegistry) Self() knapweedpulley.Member { return s.self }

// Members implements knapweedpulley.Membership.
func (s *entryRegistry) Members() []knapweedpulley.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members
}

// Owner implements knapweedpulley.Membership.
func (s *entryRegistry) Owner(subject string) knapweedpulley.Member {
	members := s.Members()
	names := make([]string, 0, len(members))
	for _, m := range members {
		names = append(names, string(m.Entry))
	}
	owner := rendezvous.New(names, xxhash.Sum64String).Lookup(subject)
	for _, m := range members {
		if string(m.Entry) == owner {
			return m
		}
	}
	return s.self
}

// View implements knapweedpulley.Registry.
func (s *entryRegistry) View() knapweedpulley.EntryView {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// entry is an entry process.
type entry struct {
	*entryRegistry

	fleet     *endpoint.Fleet
	loads     *model.LoadMerger
	transfers *model.TransferOwner
	router    *model.Router
	limiter   knapweedpulley.RateLimiter
	shares    knapweedpulley.ShareService
}

// entryNetwork carries calls between entry processes with a simulated round trip.
type entryNetwork struct {
	registry  *sharedRegistry
	roundTrip time.Duration
	mu        sync.Mutex
	entries   map[knapweedpulley.EntryID]*entry
}

// add makes an entry process reachable.
func (n *entryNetwork) add(e *entry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.entries[e.self.Entry] = e
}

// call waits for the round trip and returns the entry process that it reached.
func (n *entryNetwork) call(ctx context.Context, to knapweedpulley.Member) (*entry, error) {
	if n.roundTrip > 0 {
		sleep(ctx, n.roundTrip)
	}
	if n.registry.isDead(to.Entry) {
		return nil, errConnectionReset
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	e, ok := n.entries[to.Entry]
	if !ok {
		return nil, errConnectionReset
	}
	return e, nil
}

// ForwardLoad implements knapweedpulley.LoadForwarder.
func (n *entryNetwork) ForwardLoad(
	ctx context.Context, to knapweedpulley.Member, w knapweedpulley.LoadRequest,
) (knapweedpulley.LoadResponse, error) {
	e, err := n.call(ctx, to)
	if err != nil {
		return knapweedpulley.LoadResponse{}, err
	}
	answer, err := e.loads.Join(ctx, w)
	if n.registry.isDead(to.Entry) {
		return knapweedpulley.LoadResponse{}, errConnectionReset
	}
	return answer, err
}

// ForwardAcquire implements knapweedpulley.TransferForwarder.
func (n *entryNetwork) ForwardAcquire(
	ctx context.Context, to knapweedpulley.Member, t knapweedpulley.TransferRequest,
) (bool, error) {
	e, err := n.call(ctx, to)
	if err != nil {
		return false, err
	}
	granted, err := e.transfers.Acquire(ctx, t)
	if n.registry.isDead(to.Entry) {
		return false, errConnectionReset
	}
	return granted, err
}

// ForwardDone implements knapweedpulley.TransferForwarder.
func (n *entryNetwork) ForwardDone(ctx context.Context, to knapweedpulley.Member, t knapweedpulley.TransferRequest) error {
	e, err := n.call(ctx, to)
	if err != nil {
		return err
	}
	return e.transfers.Done(ctx, t)
}

// Exchange implements knapweedpulley.ShareLink.
func (n *entryNetwork) Exchange(
	ctx context.Context, to knapweedpulley.Member, s knapweedpulley.ShareMessage,
) (knapweedpulley.ShareMessage, error) {
	e, err := n.call(ctx, to)
	if err != nil {
		return knapweedpulley.ShareMessage{}, err
	}
	return e.shares.HandleShares(s), nil
}
