package membership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

// Options is what a membership is built on.
type Options struct {
	Clock    knapweedpulley.Clock
	Evidence knapweedpulley.ConfigurationView
	Store    knapweedpulley.ObjectStore
	// Machines tells which VMs are gone; it may be nil.
	Machines knapweedpulley.MachineList
	Link     knapweedpulley.HeartbeatLink
	// Self is the own process, without its incarnation.
	Self knapweedpulley.Member
}

// Members is an entry process's view of all of them, and its lease. It
// implements [knapweedpulley.Registry] and [knapweedpulley.HeartbeatService].
type Members struct {
	Options
	// registered is the revision of the own object.
	registered knapweedpulley.Revision
	snapshot   atomic.Pointer[snapshot]
	// inForce is set once enough others know of the registration.
	inForce atomic.Bool
	// confirmed and relayed are the instants until which other members support
	// the lease.
	confirmed atomic.Int64
	relayed   atomic.Int64
	ended     chan struct{}
	end       sync.Once

	mu        sync.Mutex
	answers   map[knapweedpulley.MemberID]answer
	contacts  map[knapweedpulley.MemberID]*contact
	evictions map[knapweedpulley.MemberID]*eviction
	vms       machines
}

// Register registers the own process and starts to exchange heartbeats. The
// process may act once enough others know of it. The clean-up ends the lease.
func Register(ctx context.Context, o Options) (*Members, knapweedpulley.Cleanup, error) {
	r, err := register(ctx, o.Store, o.Self)
	if err != nil {
		return nil, nil, err
	}
	o.Self = r.Member
	m := &Members{
		Options:    o,
		registered: r.Revision,
		ended:      make(chan struct{}),
		answers:    make(map[knapweedpulley.MemberID]answer),
		contacts:   make(map[knapweedpulley.MemberID]*contact),
		evictions:  make(map[knapweedpulley.MemberID]*eviction),
	}
	m.snapshot.Store(&snapshot{active: []knapweedpulley.Member{r.Member}})
	running, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { m.run(running) })
	done.Go(func() { m.watchMachines(running) })
	return m, func() {
		m.finish()
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

// Ended is closed when the process may never act again under its incarnation.
func (m *Members) Ended() <-chan struct{} {
	return m.ended
}

// Valid implements knapweedpulley.Lease. The age is read before the view, so
// that it never belongs to a later one.
func (m *Members) Valid() bool {
	age := m.Evidence.Age()
	if !m.current().named || !m.inForce.Load() || m.over() {
		return false
	}
	if age <= LeaseTime {
		return true
	}
	now := int64(m.Clock.Now())
	return now <= m.relayed.Load() || now <= m.confirmed.Load()
}

// Depart ends the lease and removes the own object. What the process held must
// have been handed over before.
func (m *Members) Depart(ctx context.Context) error {
	m.finish()
	_, err := m.Store.Delete(ctx, knapweedpulley.KindEntries, string(m.Options.Self.Entry), m.registered)
	return err
}

// current returns the snapshot of the evidence's view.
func (m *Members) current() *snapshot {
	s := m.snapshot.Load()
	view := m.Evidence.Entries()
	if view.Revision <= s.view.Revision || view.Revision < m.registered {
		return s
	}
	next := newSnapshot(view, m.Options.Self.ID())
	for !m.snapshot.CompareAndSwap(s, next) {
		s = m.snapshot.Load()
		if s.view.Revision >= view.Revision {
			return s
		}
	}
	if !next.named {
		m.finish()
	}
	return next
}

func (m *Members) finish() {
	m.end.Do(func() { close(m.ended) })
}

func (m *Members) over() bool {
	select {
	case <-m.ended:
		return true
	default:
		return false
	}
}

// age returns the age of the best evidence, the own or that of another member.
func (m *Members) age(now knapweedpulley.Instant) time.Duration {
	relayed := now.Sub(knapweedpulley.Instant(m.relayed.Load()).Add(-LeaseTime))
	return min(m.Evidence.Age(), relayed)
}
