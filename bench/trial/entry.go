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

// crew is the membership of all entry processes. It changes when one dies.
type crew struct {
	mu      sync.Mutex
	view    knapweedpulley.EntryView
	members []knapweedpulley.Member
	dead    knapweedpulley.Set[knapweedpulley.EntryID]
}

func newCrew(members []knapweedpulley.Member) *crew {
	c := &crew{members: members, dead: knapweedpulley.NewSet[knapweedpulley.EntryID]()}
	c.view.Revision = 1
	for _, m := range members {
		c.view.Entries = append(c.view.Entries, knapweedpulley.RegisteredEntry{
			Member: m, State: knapweedpulley.EntryActive, Revision: 1,
		})
	}
	return c
}

// kill marks an entry process as dead; the others notice only by evict.
func (c *crew) kill(id knapweedpulley.EntryID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dead.Add(id)
}

func (c *crew) isDead(id knapweedpulley.EntryID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dead.Has(id)
}

// evict marks a dead member as evicted, and remove takes it out of the view once
// its lease has lapsed.
func (c *crew) evict(id knapweedpulley.EntryID) {
	c.change(id, func(e knapweedpulley.RegisteredEntry) (knapweedpulley.RegisteredEntry, bool) {
		e.State = knapweedpulley.EntryEvicted
		return e, true
	})
}

func (c *crew) remove(id knapweedpulley.EntryID) {
	c.change(id, func(e knapweedpulley.RegisteredEntry) (knapweedpulley.RegisteredEntry, bool) {
		return e, false
	})
}

func (c *crew) change(
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

// seat is the membership of one entry process. It implements
// knapweedpulley.Registry.
type seat struct {
	*crew

	self knapweedpulley.Member
}

// Valid implements knapweedpulley.Lease.
func (s *seat) Valid() bool { return !s.isDead(s.self.Entry) }

// Self implements knapweedpulley.Membership.
func (s *seat) Self() knapweedpulley.Member { return s.self }

// Members implements knapweedpulley.Membership.
func (s *seat) Members() []knapweedpulley.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members
}

// Owner implements knapweedpulley.Membership.
func (s *seat) Owner(subject string) knapweedpulley.Member {
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
func (s *seat) View() knapweedpulley.EntryView {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// entry is an entry process.
type entry struct {
	*seat

	fleet   *endpoint.Fleet
	wakes   *model.LoadMerger
	office  *model.TransferOwner
	router  *model.Router
	limiter knapweedpulley.RateLimiter
	shares  knapweedpulley.ShareService
}

// mail carries calls between entry processes.
type mail struct {
	crew      *crew
	roundTrip time.Duration
	mu        sync.Mutex
	entries   map[knapweedpulley.EntryID]*entry
}

// add makes an entry process known.
func (m *mail) add(e *entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.entries[e.self.Entry] = e
}

// reach takes the time of a call and returns the process that it reached.
func (m *mail) reach(ctx context.Context, to knapweedpulley.Member) (*entry, error) {
	if m.roundTrip > 0 {
		sleep(ctx, m.roundTrip)
	}
	if m.crew.isDead(to.Entry) {
		return nil, errConnection
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.entries[to.Entry]
	if !ok {
		return nil, errConnection
	}
	return e, nil
}

// ForwardLoad implements knapweedpulley.LoadForwarder.
func (m *mail) ForwardLoad(
	ctx context.Context, to knapweedpulley.Member, w knapweedpulley.LoadRequest,
) (knapweedpulley.LoadResponse, error) {
	e, err := m.reach(ctx, to)
	if err != nil {
		return knapweedpulley.LoadResponse{}, err
	}
	answer, err := e.wakes.Join(ctx, w)
	if m.crew.isDead(to.Entry) {
		return knapweedpulley.LoadResponse{}, errConnection
	}
	return answer, err
}

// ForwardAcquire implements knapweedpulley.TransferForwarder.
func (m *mail) ForwardAcquire(
	ctx context.Context, to knapweedpulley.Member, t knapweedpulley.TransferRequest,
) (bool, error) {
	e, err := m.reach(ctx, to)
	if err != nil {
		return false, err
	}
	granted, err := e.office.Acquire(ctx, t)
	if m.crew.isDead(to.Entry) {
		return false, errConnection
	}
	return granted, err
}

// ForwardDone implements knapweedpulley.TransferForwarder.
func (m *mail) ForwardDone(ctx context.Context, to knapweedpulley.Member, t knapweedpulley.TransferRequest) error {
	e, err := m.reach(ctx, to)
	if err != nil {
		return err
	}
	return e.office.Done(ctx, t)
}

// Exchange implements knapweedpulley.ShareLink.
func (m *mail) Exchange(
	ctx context.Context, to knapweedpulley.Member, s knapweedpulley.ShareMessage,
) (knapweedpulley.ShareMessage, error) {
	e, err := m.reach(ctx, to)
	if err != nil {
		return knapweedpulley.ShareMessage{}, err
	}
	return e.shares.HandleShares(s), nil
}
