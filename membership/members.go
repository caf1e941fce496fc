package membership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

// Options holds the dependencies of a membership.
type Options struct {
	Clock    knapweedpulley.Clock
	Evidence knapweedpulley.ConfigurationView
	Store    knapweedpulley.ObjectStore
	// Machines lists the VMs, to detect those that no longer exist; it may be nil.
	Machines knapweedpulley.MachineList
	Link     knapweedpulley.HeartbeatLink
	// Self describes this process; its incarnation is zero.
	Self knapweedpulley.Member
}

// Members is an entry process's view of all entry processes, and its lease. It implements
// [knapweedpulley.Registry] and [knapweedpulley.HeartbeatService].
type Members struct {
	Options
	// ownRevision is the revision at which this process's object was written.
	ownRevision knapweedpulley.Revision
	snapshot    atomic.Pointer[snapshot]
	// inForce is set once enough other processes know of the registration.
	inForce atomic.Bool
	// confirmed and relayed are the instants until which other members support the
	// lease, by their confirmations and by their evidence.
	confirmed atomic.Int64
	relayed   atomic.Int64
	ended     chan struct{}
	end       sync.Once

	mu             sync.Mutex
	answers        map[knapweedpulley.MemberID]answer
	contacts       map[knapweedpulley.MemberID]*contact
	evictions      map[knapweedpulley.MemberID]*eviction
	machineHistory machineHistory
}

// Register registers this process and starts to exchange heartbeats. The process may act
// once enough others know of the registration. The clean-up ends the lease and stops the
// heartbeats. The error says why the registration failed by the time that ctx ended.
func Register(ctx context.Context, o Options) (*Members, knapweedpulley.Cleanup, error) {
	r, err := register(ctx, o.Store, o.Self)
	if err != nil {
		return nil, nil, err
	}
	o.Self = r.Member
	m := &Members{
		Options:     o,
		ownRevision: r.Revision,
		ended:       make(chan struct{}),
		answers:     make(map[knapweedpulley.MemberID]answer),
		contacts:    make(map[knapweedpulley.MemberID]*contact),
		evictions:   make(map[knapweedpulley.MemberID]*eviction),
	}
	m.snapshot.Store(&snapshot{active: []knapweedpulley.Member{r.Member}})
	running, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { m.run(running) })
	done.Go(func() { m.watchMachines(running) })
	return m, func() {
		m.markEnded()
		cancel()
		done.Wait()
	}, nil
}

// Self implements knapweedpulley.Membership.
func (m *Members) Self() knapweedpulley.Member {
	return m.Options.Self
}

// Members implements knapweedpulley.Membership.
func (m *Members) Members() []knapweedpulley.Member {
	return m.current().active
}

// Owner implements knapweedpulley.Membership.
func (m *Members) Owner(subject string) knapweedpulley.Member {
	if owner, ok := m.current().owner(subject); ok {
		return owner
	}
	return m.Options.Self
}

// View implements knapweedpulley.Registry.
func (m *Members) View() knapweedpulley.EntryView {
	return m.current().view
}

// Ended returns a channel that is closed when the process may never act again under its
// incarnation.
func (m *Members) Ended() <-chan struct{} {
	return m.ended
}

// Valid implements knapweedpulley.Lease. It reads the age before the view, so that the age
// never belongs to a later view than the one that is checked.
func (m *Members) Valid() bool {
	age := m.Evidence.Age()
	if !m.current().selfActive || !m.inForce.Load() || m.hasEnded() {
		return false
	}
	if age <= LeaseTime {
		return true
	}
	now := int64(m.Clock.Now())
	return now <= m.relayed.Load() || now <= m.confirmed.Load()
}

// Depart ends the lease and removes this process's object from the store. The process must
// have handed over what it held before. The error is that of the store.
func (m *Members) Depart(ctx context.Context) error {
	m.markEnded()
	_, err := m.Store.Delete(ctx, knapweedpulley.KindEntries, string(m.Options.Self.Entry), m.ownRevision)
	return err
}

// current returns the snapshot of the latest view in the evidence.
func (m *Members) current() *snapshot {
	s := m.snapshot.Load()
	view := m.Evidence.Entries()
	if view.Revision <= s.view.Revision || view.Revision < m.ownRevision {
		return s
	}
	next := newSnapshot(view, m.Options.Self.ID())
	for !m.snapshot.CompareAndSwap(s, next) {
		s = m.snapshot.Load()
		if s.view.Revision >= view.Revision {
			return s
		}
	}
	if !next.selfActive {
		m.markEnded()
	}
	return next
}

func (m *Members) markEnded() {
	m.end.Do(func() { close(m.ended) })
}

func (m *Members) hasEnded() bool {
	select {
	case <-m.ended:
		return true
	default:
		return false
	}
}

// age returns the age of the freshest evidence, this process's or another member's.
func (m *Members) age(now knapweedpulley.Instant) time.Duration {
	relayed := now.Sub(knapweedpulley.Instant(m.relayed.Load()).Add(-LeaseTime))
	return min(m.Evidence.Age(), relayed)
}
