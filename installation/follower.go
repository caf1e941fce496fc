// Package installation watches the configuration and the endpoint registrations
// of an installation in the platform's store. It decides for the gateway which
// configuration is in force and which endpoints are usable, and admits calls by
// their route and key.
//
// A [Follower] keeps the newest configuration that it has received and ignores
// older ones. During a store outage it keeps the last known state. An endpoint
// whose registration vanished in an outage stays usable for a grace period after
// the outage, within which running endpoints register again. A [Snapshot] is one
// version of the configuration, and admits calls.
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

// reregistrationGrace is how long after a store outage endpoints may take to
// register again if their registrations lapsed. They need up to 2 s.
const reregistrationGrace = 2200 * time.Millisecond

// Follower keeps a copy of one installation's configuration and endpoints up to
// date.
type Follower struct {
	decoder         knapweedpulley.InstallationDecoder
	clock           knapweedpulley.Clock
	log             log.Interface
	onEndpoints     func([]knapweedpulley.RegisteredEndpoint)
	current         atomic.Pointer[Snapshot]
	endpointsListed atomic.Bool
	onConfiguration func(*Snapshot)

	mu        sync.Mutex
	endpoints map[knapweedpulley.EndpointID]knapweedpulley.RegisteredEndpoint
	// missingSince holds the endpoints whose registrations vanished but may come
	// back, with the time when they vanished.
	missingSince map[knapweedpulley.EndpointID]knapweedpulley.Instant
	// storeDown is set while calls to the store fail. storeRegainedAt is when the
	// last outage ended.
	storeDown       bool
	storeRegainedAt knapweedpulley.Instant
}

// NewFollower starts to watch an installation. OnConfiguration gets each
// configuration that comes into force, onEndpoints gets all usable endpoints after
// each change. The clean-up stops watching.
func NewFollower(
	objects knapweedpulley.ObjectStore, decoder knapweedpulley.InstallationDecoder, clock knapweedpulley.Clock,
	log log.Interface, onConfiguration func(*Snapshot), onEndpoints func([]knapweedpulley.RegisteredEndpoint),
) (*Follower, knapweedpulley.Cleanup) {
	f := &Follower{
		decoder:         decoder,
		clock:           clock,
		log:             log,
		onEndpoints:     onEndpoints,
		onConfiguration: onConfiguration,
		endpoints:       make(map[knapweedpulley.EndpointID]knapweedpulley.RegisteredEndpoint),
		missingSince:    make(map[knapweedpulley.EndpointID]knapweedpulley.Instant),
		storeRegainedAt: clock.Now().Add(-reregistrationGrace),
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	configuration := &collectionWatcher{
		store: objects, kind: knapweedpulley.KindInstallation, log: log,
		onReplace: f.replaceConfiguration, onChanges: f.changeConfiguration,
		onStoreLost: func() {}, onStoreRegained: func() {},
	}
	endpoints := &collectionWatcher{
		store: objects, kind: knapweedpulley.KindEndpoints, log: log,
		onReplace: f.replaceEndpoints, onChanges: f.changeEndpoints,
		onStoreLost: f.storeLost, onStoreRegained: f.storeRegained, watchInterval: endpointWatchInterval,
	}
	running.Go(func() { configuration.run(ctx) })
	running.Go(func() { endpoints.run(ctx) })
	stop := machine.Every(reregistrationGrace/4, f.removeMissing)
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

// Ready reports whether a configuration is in force and the endpoints have been
// listed.
func (f *Follower) Ready() bool {
	return f.current.Load() != nil && f.endpointsListed.Load()
}

func (f *Follower) replaceConfiguration(l knapweedpulley.Listing) {
	for _, o := range l.Objects {
		f.applyConfiguration(o)
	}
}

// changeConfiguration applies only the newest configuration that can be decoded,
// so that several in quick succession cost little more than one.
func (f *Follower) changeConfiguration(changes []knapweedpulley.Change) {
	for _, c := range slices.Backward(changes) {
		if !c.Deleted && f.applyConfiguration(c.Object) {
			return
		}
	}
}

// applyConfiguration puts a configuration into force if it is newer than the one in
// force, and reports whether it could be decoded.
func (f *Follower) applyConfiguration(o knapweedpulley.Object) bool {
	if o.Name != knapweedpulley.MainInstallation {
		return false
	}
	i, err := f.decoder.Installation(o.Value)
	if err != nil {
		f.log.WithField("revision", o.Revision).WithError(err).Error("configuration can't be decoded, keeping the last one")
		return false
	}
	if last := f.current.Load(); last != nil && i.Version <= last.Version {
		f.log.WithField("version", i.Version).WithField("inForce", last.Version).Debug("ignoring a configuration that isn't newer")
		return true
	}
	s := NewSnapshot(i)
	f.current.Store(s)
	f.log.WithField("version", i.Version).WithField("revision", o.Revision).
		WithField("routes", len(i.Routes)).WithField("customers", len(i.Accounts)).Info("configuration in force")
	f.onConfiguration(s)
	return true
}

func (f *Follower) storeLost() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeDown = true
}

func (f *Follower) storeRegained() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeDown = false
	f.storeRegainedAt = f.clock.Now()
}

func (f *Follower) replaceEndpoints(l knapweedpulley.Listing) {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := make(knapweedpulley.Set[knapweedpulley.EndpointID], len(l.Objects))
	for _, o := range l.Objects {
		seen.Add(knapweedpulley.EndpointID(o.Name))
		f.registerEndpoint(o)
	}
	for id := range f.endpoints {
		if !seen.Has(id) {
			f.removeEndpoint(id)
		}
	}
	f.publishEndpoints()
	f.endpointsListed.Store(true)
}

func (f *Follower) changeEndpoints(changes []knapweedpulley.Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range changes {
		if c.Deleted {
			f.removeEndpoint(knapweedpulley.EndpointID(c.Name))
		} else {
			f.registerEndpoint(c.Object)
		}
	}
	f.publishEndpoints()
}

// registerEndpoint adds or updates the endpoint of a registration. If that is
// invalid, it removes the endpoint. The caller holds mu.
func (f *Follower) registerEndpoint(o knapweedpulley.Object) {
	id := knapweedpulley.EndpointID(o.Name)
	delete(f.missingSince, id)
	e, err := f.decoder.Endpoint(id, o.Value)
	if err != nil {
		f.log.WithField("endpoint", id).WithField("revision", o.Revision).WithError(err).Warn("invalid endpoint registration, not using the endpoint")
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

// removeEndpoint handles a registration that no longer exists. Registrations may
// lapse during a store outage, so one that vanished then or shortly after may come
// back: its endpoint is kept, unless it is draining. The caller holds mu.
func (f *Follower) removeEndpoint(id knapweedpulley.EndpointID) {
	e, known := f.endpoints[id]
	if !known {
		return
	}
	now := f.clock.Now()
	inOutage := f.storeDown || now.Sub(f.storeRegainedAt) < reregistrationGrace
	if _, waiting := f.missingSince[id]; waiting {
		return
	}
	if inOutage && !e.Draining {
		f.missingSince[id] = now
		f.log.WithField("endpoint", id).Info("endpoint registration vanished in a store outage, keeping the endpoint for now")
		return
	}
	delete(f.endpoints, id)
	f.log.WithField("endpoint", id).Info("endpoint removed")
}

// removeMissing removes the endpoints that did not register again within the grace
// period after an outage.
func (f *Follower) removeMissing() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	if f.storeDown || now.Sub(f.storeRegainedAt) < reregistrationGrace || len(f.missingSince) == 0 {
		return
	}
	for id := range f.missingSince {
		delete(f.missingSince, id)
		delete(f.endpoints, id)
		f.log.WithField("endpoint", id).Info("endpoint removed, as it did not register again after the store outage")
	}
	f.publishEndpoints()
}

// publishEndpoints passes the usable endpoints to onEndpoints. The caller holds mu.
func (f *Follower) publishEndpoints() {
	list := make([]knapweedpulley.RegisteredEndpoint, 0, len(f.endpoints))
	for _, e := range f.endpoints {
		list = append(list, e)
	}
	f.onEndpoints(list)
}
