// Package installation follows the configuration and the endpoints of an
// installation, as they stand in the platform's store.
//
// A [Follower] keeps the last configuration that it saw and never takes an
// older one. Without the store it goes on with what it knows. An endpoint whose
// entry vanished in an outage is kept for a little while after the store's
// return, in which living endpoints register again.
//
// # Usage
//
//	follower, cleanup := installation.NewFollower(objects, translator, clock, log, configure, fleet.Update)
//	defer cleanup()
//	snapshot, known := follower.Current()
package installation

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/machine"
)

// returnGrace is the time after the store's return in which endpoints whose
// entries lapsed register again: they need up to two seconds.
const returnGrace = 2200 * time.Millisecond

// Follower follows one installation.
type Follower struct {
	translator knapweedpulley.InstallationDecoder
	clock      knapweedpulley.Clock
	log        log.Interface
	apply      func([]knapweedpulley.RegisteredEndpoint)
	current    atomic.Pointer[Snapshot]
	listed     atomic.Bool
	changed    func(*Snapshot)

	mu        sync.Mutex
	endpoints map[knapweedpulley.EndpointID]knapweedpulley.RegisteredEndpoint
	// missing holds when the entries vanished that may come back.
	missing map[knapweedpulley.EndpointID]knapweedpulley.Instant
	// away is set while the store doesn't answer, back is when it last
	// answered again.
	away bool
	back knapweedpulley.Instant
}

// NewFollower starts to follow. Changed gets each configuration that comes into
// force, and apply the usable endpoints after each change. The clean-up ends it.
func NewFollower(
	objects knapweedpulley.ObjectStore, translator knapweedpulley.InstallationDecoder, clock knapweedpulley.Clock,
	log log.Interface, changed func(*Snapshot), apply func([]knapweedpulley.RegisteredEndpoint),
) (*Follower, knapweedpulley.Cleanup) {
	f := &Follower{
		translator: translator,
		clock:      clock,
		log:        log,
		apply:      apply,
		changed:    changed,
		endpoints:  make(map[knapweedpulley.EndpointID]knapweedpulley.RegisteredEndpoint),
		missing:    make(map[knapweedpulley.EndpointID]knapweedpulley.Instant),
		back:       clock.Now().Add(-returnGrace),
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	configuration := &collection{
		store: objects, kind: knapweedpulley.KindInstallation, log: log,
		replaced: f.replaceConfiguration, changed: f.changeConfiguration,
		lost: func() {}, regained: func() {},
	}
	endpoints := &collection{
		store: objects, kind: knapweedpulley.KindEndpoints, log: log,
		replaced: f.replaceEndpoints, changed: f.changeEndpoints,
		lost: f.storeLost, regained: f.storeRegained, pause: changePause,
	}
	running.Go(func() { configuration.follow(ctx) })
	running.Go(func() { endpoints.follow(ctx) })
	stop := machine.Every(returnGrace/4, f.drop)
	return f, func() {
		cancel()
		running.Wait()
		stop()
	}
}

// Current returns the configuration in force, or false before the first one.
func (f *Follower) Current() (*Snapshot, bool) {
	s := f.current.Load()
	return s, s != nil
}

// Ready reports whether the configuration and the endpoints are known.
func (f *Follower) Ready() bool {
	return f.current.Load() != nil && f.listed.Load()
}

func (f *Follower) replaceConfiguration(l knapweedpulley.Listing) {
	for _, o := range l.Objects {
		f.takeConfiguration(o)
	}
}

// changeConfiguration takes over the newest configuration that can be read, so
// that several in quick succession cost little more than one.
func (f *Follower) changeConfiguration(changes []knapweedpulley.Change) {
	for _, c := range slices.Backward(changes) {
		if !c.Deleted && f.takeConfiguration(c.Object) {
			return
		}
	}
}

// takeConfiguration puts a configuration into force unless it is older than
// the one that is, and reports whether it could be read.
func (f *Follower) takeConfiguration(o knapweedpulley.Object) bool {
	if o.Name != knapweedpulley.MainInstallation {
		return false
	}
	i, err := f.translator.Installation(o.Value)
	if err != nil {
		f.log.WithField("revision", o.Revision).WithError(err).Error("configuration can't be read, keeping the last one")
		return false
	}
	if last := f.current.Load(); last != nil && i.Version <= last.Version {
		f.log.WithField("version", i.Version).WithField("inForce", last.Version).Debug("configuration isn't newer")
		return true
	}
	s := NewSnapshot(i)
	f.current.Store(s)
	f.log.WithField("version", i.Version).WithField("revision", o.Revision).
		WithField("routes", len(i.Routes)).WithField("customers", len(i.Accounts)).Info("configuration in force")
	f.changed(s)
	return true
}

func (f *Follower) storeLost() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.away = true
}

func (f *Follower) storeRegained() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.away = false
	f.back = f.clock.Now()
}

func (f *Follower) replaceEndpoints(l knapweedpulley.Listing) {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := make(knapweedpulley.Set[knapweedpulley.EndpointID], len(l.Objects))
	for _, o := range l.Objects {
		seen.Add(knapweedpulley.EndpointID(o.Name))
		f.take(o)
	}
	for id := range f.endpoints {
		if !seen.Has(id) {
			f.vanish(id)
		}
	}
	f.publish()
	f.listed.Store(true)
}

func (f *Follower) changeEndpoints(changes []knapweedpulley.Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range changes {
		if c.Deleted {
			f.vanish(knapweedpulley.EndpointID(c.Name))
		} else {
			f.take(c.Object)
		}
	}
	f.publish()
}

// take takes over an entry. One that can't be used names no endpoint.
func (f *Follower) take(o knapweedpulley.Object) {
	id := knapweedpulley.EndpointID(o.Name)
	delete(f.missing, id)
	e, err := f.translator.Endpoint(id, o.Value)
	if err != nil {
		f.log.WithField("endpoint", id).WithField("revision", o.Revision).WithError(err).Warn("entry can't be used")
		delete(f.endpoints, id)
		return
	}
	last, known := f.endpoints[id]
	if !known || last.Start != e.Start || last.Draining != e.Draining {
		f.log.WithField("endpoint", id).WithField("address", e.Address).WithField("start", e.Start).
			WithField("draining", e.Draining).WithField("revision", o.Revision).Info("endpoint registered")
	}
	f.endpoints[id] = e
}

// vanish handles an entry that is gone. Entries may lapse while the store is
// away, so one that vanished meanwhile, or shortly after, may come back.
func (f *Follower) vanish(id knapweedpulley.EndpointID) {
	e, known := f.endpoints[id]
	if !known {
		return
	}
	now := f.clock.Now()
	lapsed := f.away || now.Sub(f.back) < returnGrace
	if _, waiting := f.missing[id]; waiting {
		return
	}
	if lapsed && !e.Draining {
		f.missing[id] = now
		f.log.WithField("endpoint", id).Info("entry vanished in an outage, keeping the endpoint for now")
		return
	}
	delete(f.endpoints, id)
	f.log.WithField("endpoint", id).Info("endpoint gone")
}

// drop drops the endpoints that did not come back after an outage.
func (f *Follower) drop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	if f.away || now.Sub(f.back) < returnGrace || len(f.missing) == 0 {
		return
	}
	for id := range f.missing {
		delete(f.missing, id)
		delete(f.endpoints, id)
		f.log.WithField("endpoint", id).Info("endpoint gone since the outage")
	}
	f.publish()
}

func (f *Follower) publish() {
	list := make([]knapweedpulley.RegisteredEndpoint, 0, len(f.endpoints))
	for _, e := range f.endpoints {
		list = append(list, e)
	}
	f.apply(list)
}
