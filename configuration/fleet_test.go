package configuration_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/configuration"
	"github.com/knapweedpulley/knapweedpulley/customer"
	"github.com/knapweedpulley/knapweedpulley/model"
	"github.com/knapweedpulley/knapweedpulley/store/fake"
)

const (
	modelID = knapweedpulley.ModelID("gas-mixes")
	// maxApplyTime is the time within which a change must be in force at all entry processes.
	maxApplyTime = 5 * time.Second
	// storeTimeout is the default timeout of a call to the store.
	storeTimeout = 2 * time.Second
	// settleTime is a time after which a fleet has built its distribution tree.
	settleTime = 10 * time.Second
)

var errDisconnected = errors.New("disconnected")

// clock is a boot-time clock in virtual time. Its offset differs between machines.
type clock struct{ offset time.Duration }

func (c clock) Now() knapweedpulley.Instant {
	return knapweedpulley.Instant(time.Now().UnixNano()).Add(c.offset)
}

// entry is an entry process of a fleet.
type entry struct {
	*configuration.Configuration
	fleet   *fleet
	member  knapweedpulley.Member
	store   *fake.Access
	permits *model.Permits
	// offset is that of the clock of its machine.
	offset time.Duration
	stop   func()
	// silent is set while the links of the entry drop all messages in both directions.
	silent          atomic.Bool
	highestRevision knapweedpulley.Revision
}

// fleet is a set of entry processes with in-memory links.
type fleet struct {
	t       *testing.T
	objects *fake.Store
	mu      sync.Mutex
	entries map[string]*entry
	members []knapweedpulley.Member
}

// newFleet starts size entries in each of the given number of zones.
func newFleet(t *testing.T, zones, size int) *fleet {
	t.Helper()
	f := &fleet{t: t, objects: fake.New(), entries: make(map[string]*entry)}
	for z := range zones {
		for i := range size {
			f.members = append(f.members, knapweedpulley.Member{
				Entry:   knapweedpulley.EntryID(fmt.Sprintf("entry-%d-%d", z, i)),
				Zone:    knapweedpulley.ZoneID(fmt.Sprintf("zone-%d", z)),
				Address: fmt.Sprintf("10.0.%d.%d:7000", z, i),
			})
		}
	}
	for _, m := range f.members {
		f.start(m)
	}
	return f
}

// collections returns the collections that an entry process replicates.
func collections(permits *model.Permits) []configuration.Collection {
	ignore := func([]knapweedpulley.Change) {}
	return []configuration.Collection{
		{Kind: knapweedpulley.KindCustomers, Apply: ignore},
		{Kind: knapweedpulley.KindPermits, Apply: func(changes []knapweedpulley.Change) { _ = permits.Apply(changes) }},
		{Kind: knapweedpulley.KindEntries, Apply: ignore},
	}
}

func (f *fleet) Peers() []knapweedpulley.Member {
	return f.members
}

// start starts the entry process of a member, or restarts it after kill.
func (f *fleet) start(m knapweedpulley.Member) *entry {
	e := &entry{fleet: f, member: m, store: fake.NewAccess(f.objects, storeTimeout), permits: model.NewPermits()}
	e.offset = time.Duration(len(m.Address)+int(m.Address[len(m.Address)-6])) * time.Hour
	e.Configuration, e.stop = configuration.New(configuration.Options{
		Self: m, Clock: clock{e.offset}, Objects: e.store, Peers: f, Link: entryLink{e},
		Collections: collections(e.permits), Directory: customer.NewDirectory(),
		Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries[m.Address] = e
	return e
}

func (f *fleet) entry(address string) (*entry, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.entries[address]
	return e, ok
}

// kill stops the entry process of a member.
func (f *fleet) kill(m knapweedpulley.Member) {
	e, _ := f.entry(m.Address)
	f.mu.Lock()
	delete(f.entries, m.Address)
	f.mu.Unlock()
	e.stop()
}

func (f *fleet) stop() {
	for _, m := range f.members {
		if _, ok := f.entry(m.Address); ok {
			f.kill(m)
		}
	}
}

// put writes a permit with the given number of replicas to the store.
func (f *fleet) put(replicas knapweedpulley.Replicas) {
	f.t.Helper()
	is := is.New(f.t)
	o, err := f.objects.Get(f.t.Context(), knapweedpulley.KindPermits, string(modelID))
	is.True(err == nil || errors.Is(err, knapweedpulley.ErrObjectNotFound))
	value, err := json.Marshal(knapweedpulley.Permit{Model: modelID, Replicas: replicas})
	is.NoErr(err)
	_, err = f.objects.Put(f.t.Context(), knapweedpulley.KindPermits, string(modelID), value, o.Revision)
	is.NoErr(err)
}

// Subscribe implements knapweedpulley.ConfigurationLink.
func (e *entry) Subscribe(
	ctx context.Context, to knapweedpulley.Member,
) (knapweedpulley.ConfigurationStream, error) {
	source, ok := e.fleet.entry(to.Address)
	if !ok {
		return nil, errDisconnected
	}
	p := &pipe{
		ctx: ctx, ends: [2]*entry{e, source},
		pings:   make(chan knapweedpulley.ConfigurationPing),
		updates: make(chan knapweedpulley.ConfigurationUpdate),
	}
	go func() { _ = source.Feed(ctx, sourceEnd{p}) }()
	return p, nil
}

// entryLink is the link of an entry process to the others.
type entryLink struct{ *entry }

// Await implements knapweedpulley.ConfigurationLink.
func (l entryLink) Await(
	ctx context.Context, to knapweedpulley.Member, kind knapweedpulley.Kind, revision knapweedpulley.Revision,
) (knapweedpulley.ConfigurationReport, error) {
	e, ok := l.fleet.entry(to.Address)
	if !ok {
		return knapweedpulley.ConfigurationReport{}, errDisconnected
	}
	return e.Await(ctx, kind, revision)
}

// pipe is the subscriber's end of an in-memory subscription.
type pipe struct {
	ctx     context.Context
	ends    [2]*entry
	pings   chan knapweedpulley.ConfigurationPing
	updates chan knapweedpulley.ConfigurationUpdate
}

func (p *pipe) silent() bool {
	return p.ends[0].silent.Load() || p.ends[1].silent.Load()
}

func (p *pipe) Send(ping knapweedpulley.ConfigurationPing) error {
	if p.silent() {
		return nil
	}
	select {
	case p.pings <- ping:
		return nil
	case <-p.ctx.Done():
		return p.ctx.Err()
	}
}

func (p *pipe) Receive() (knapweedpulley.ConfigurationUpdate, error) {
	select {
	case u := <-p.updates:
		return u, nil
	case <-p.ctx.Done():
		return knapweedpulley.ConfigurationUpdate{}, p.ctx.Err()
	}
}

// sourceEnd is the source's end of a pipe.
type sourceEnd struct{ *pipe }

func (s sourceEnd) Send(u knapweedpulley.ConfigurationUpdate) error {
	if s.silent() {
		return nil
	}
	select {
	case s.updates <- u:
		return nil
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

func (s sourceEnd) Receive() (knapweedpulley.ConfigurationPing, error) {
	select {
	case p := <-s.pings:
		return p, nil
	case <-s.ctx.Done():
		return knapweedpulley.ConfigurationPing{}, s.ctx.Err()
	}
}

// hasPermit reports whether a permit with the given number of replicas is in force at e.
func (e *entry) hasPermit(replicas knapweedpulley.Replicas) bool {
	p, ok := e.permits.Permit(modelID)
	return ok && p.Replicas == replicas
}

// assertAppliedInTime requires that the permit is in force at all entry processes within
// maxApplyTime. It returns the time that this took.
func assertAppliedInTime(t *testing.T, f *fleet, replicas knapweedpulley.Replicas) time.Duration {
	t.Helper()
	start := time.Now()
	for _, m := range f.members {
		e, ok := f.entry(m.Address)
		for ok && !e.hasPermit(replicas) {
			if time.Since(start) > maxApplyTime {
				t.Fatalf("%s lacks the change after %s", m.Entry, maxApplyTime)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return time.Since(start)
}

// assertNoRevert requires that no entry process has reverted to an earlier revision since the last
// call.
func assertNoRevert(t *testing.T, f *fleet) {
	t.Helper()
	for _, m := range f.members {
		e, ok := f.entry(m.Address)
		if !ok {
			continue
		}
		p, _ := e.permits.Permit(modelID)
		r := p.Revision
		if r < e.highestRevision {
			t.Fatalf("%s reverted from revision %s to %s", m.Entry, e.highestRevision, r)
		}
		e.highestRevision = r
	}
}

// assertMinAge requires that each entry process reports at least the given age of its content.
func assertMinAge(t *testing.T, f *fleet, age time.Duration) {
	t.Helper()
	for _, m := range f.members {
		if e, ok := f.entry(m.Address); ok && e.Age() < age {
			t.Fatalf("%s: content is at least %s old, but the reported age is %s", m.Entry, age, e.Age())
		}
	}
}

// inBubble runs a test with a fleet in virtual time.
func inBubble(t *testing.T, zones, size int, test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, zones, size)
		defer f.stop()
		time.Sleep(settleTime)
		test(t, f)
	})
}
