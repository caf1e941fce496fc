// Package installation follows the configuration and the endpoint registrations
// of an installation in the platform's store. It decides for the gateway which
// configuration is in force and which endpoints are usable, and admits calls by
// their route and key.
//
// A [Follower] replicates both collections with package configuration: a few
// gateways in each zone watch the store, the others subscribe to them. It keeps
// the newest configuration that it has received and ignores older ones. During a
// store outage it keeps the last known state. An endpoint whose registration
// vanished in an outage stays usable for a grace period after the outage, within
// which running endpoints register again. So does one that is missing after the
// store has come back from an older copy of its content; a registration in the copy
// doesn't bring back an endpoint that is known to leave. A [Snapshot] is one version
// of the configuration, and admits calls.
//
// If Options.Evacuations is set, it also follows the availability zones that the
// operator has evacuated, and marks the endpoints of these zones. A zone is evacuated
// for as long as the store has an object of its name, whatever the object contains.
//
// # Usage
//
//	follower, cleanup := installation.NewFollower(installation.Options{
//		Self: self, Peers: peers, Link: links, Objects: objects, Decoder: decoder, Clock: clock, Log: log,
//		OnConfiguration: configure, OnEndpoints: fleet.Update,
//	})
//	defer cleanup()
//	snapshot, known := follower.Current()
package installation

import (
	"bytes"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/configuration"
	"github.com/knapweedpulley/knapweedpulley/machine"
	"github.com/knapweedpulley/knapweedpulley/rawjson"
)

const (
	// reregistrationGrace is how long after a store outage endpoints may take to
	// register again if their registrations lapsed. They need up to 2 s.
	reregistrationGrace = 2200 * time.Millisecond
	// installationWatchWait is how long a watch of the configuration waits for
	// changes, which are rare.
	installationWatchWait = time.Second
	// loneWatchWait is how long a watch waits while all gateways of the zone watch the
	// store, so that none depends on how old the evidence of another is. A connection that
	// has stopped delivering data is noticed after this time and the timeout of a call, and
	// a gateway must have caught up 3 s after the connection failed. In this time a running
	// endpoint misses at most two updates of its registration, which lapses after three: an
	// outage of the store that isn't noticed makes none lapse.
	loneWatchWait = 1700 * time.Millisecond
	// loneEndpointWait is the same for the endpoints, whose watches have a pause in between.
	loneEndpointWait = loneWatchWait - endpointWatchInterval
	// missingCheckPeriod is the time between two checks for endpoints that did not register again. It
	// adds to the grace.
	missingCheckPeriod = 100 * time.Millisecond
	// maxTurn bounds how long a gateway whose sources have no fresh content waits until
	// it watches the store itself. The store may turn away all watchers of a zone and
	// serve the other gateways.
	maxTurn = 400 * time.Millisecond
	// endpointWatchInterval is the time between two watches of the endpoints. That
	// collection changes all the time, because each endpoint updates its
	// registration about once per second, and the interval limits the number of
	// calls to the store, since each of them is paid for.
	endpointWatchInterval = 500 * time.Millisecond
	// maxReasonLength bounds the length in bytes of the logged reason why a registration is invalid.
	maxReasonLength = 300
)

// Options holds the dependencies of a follower.
type Options struct {
	// Self is the gateway itself. Peers lists the gateways that are known.
	Self  knapweedpulley.Member
	Peers knapweedpulley.PeerList
	// Link connects to the followers of other gateways.
	Link    knapweedpulley.ConfigurationLink
	Objects knapweedpulley.ObjectStore
	Decoder knapweedpulley.InstallationDecoder
	Clock   knapweedpulley.Clock
	Log     log.Interface
	// Evacuations makes the follower follow the evacuated availability zones.
	Evacuations bool
	// OnConfiguration gets each configuration that comes into force.
	OnConfiguration func(*Snapshot)
	// OnEndpoints gets all usable endpoints after each change.
	OnEndpoints func([]knapweedpulley.RegisteredEndpoint)
}

// Follower keeps a copy of one installation's configuration and endpoints up to
// date. As a knapweedpulley.ConfigurationSource it serves the followers of other
// gateways.
type Follower struct {
	*configuration.Configuration
	decoder     knapweedpulley.InstallationDecoder
	clock       knapweedpulley.Clock
	log         log.Interface
	onEndpoints func([]knapweedpulley.RegisteredEndpoint)
	current     atomic.Pointer[Snapshot]
	// followsEvacuations is set if the evacuated zones are followed.
	followsEvacuations bool
	onConfiguration    func(*Snapshot)

	mu        sync.Mutex
	endpoints map[knapweedpulley.EndpointID]knapweedpulley.RegisteredEndpoint
	// missing holds the endpoints whose registrations vanished but may come back.
	missing knapweedpulley.Set[knapweedpulley.EndpointID]
	// invalid holds the endpoints whose registrations are logged as invalid.
	invalid knapweedpulley.Set[knapweedpulley.EndpointID]
	// evacuated holds the evacuated zones, whether or not they contain an endpoint.
	evacuated knapweedpulley.Set[knapweedpulley.ZoneID]
	copies    copyGuard
}

// NewFollower starts to follow an installation. The clean-up stops that.
func NewFollower(o Options) (*Follower, knapweedpulley.Cleanup) {
	f := &Follower{
		decoder:            o.Decoder,
		clock:              o.Clock,
		log:                o.Log,
		onEndpoints:        o.OnEndpoints,
		onConfiguration:    o.OnConfiguration,
		followsEvacuations: o.Evacuations,
		endpoints:          make(map[knapweedpulley.EndpointID]knapweedpulley.RegisteredEndpoint),
		missing:            make(knapweedpulley.Set[knapweedpulley.EndpointID]),
		invalid:            make(knapweedpulley.Set[knapweedpulley.EndpointID]),
		evacuated:          make(knapweedpulley.Set[knapweedpulley.ZoneID]),
		copies:             newCopyGuard(),
	}
	collections := []configuration.Collection{
		{
			Kind: knapweedpulley.KindInstallation, Apply: f.changeConfiguration,
			WatchWait: installationWatchWait, LoneWatchWait: loneWatchWait,
		},
		{
			Kind: knapweedpulley.KindEndpoints, Apply: f.changeEndpoints,
			LoneWatchWait: loneEndpointWait, WatchInterval: endpointWatchInterval,
		},
	}
	if o.Evacuations {
		collections = append(collections, configuration.Collection{
			Kind: knapweedpulley.KindEvacuations, Apply: f.changeEvacuations,
			WatchWait: installationWatchWait, LoneWatchWait: loneWatchWait,
		})
	}
	// Changes of the endpoints may arrive before New returns. They need the
	// Configuration, and wait for mu until it is set.
	f.mu.Lock()
	defer f.mu.Unlock()
	replica, stopReplica := configuration.New(configuration.Options{
		Self: o.Self, Clock: o.Clock, Objects: o.Objects, Peers: o.Peers, Link: o.Link, Log: o.Log, MaxTurn: maxTurn,
		Collections: collections,
	})
	f.Configuration = replica
	stopRemoval := machine.Every(missingCheckPeriod, func() {
		f.removeMissing()
		f.endCopies()
	})
	return f, func() {
		stopReplica()
		stopRemoval()
	}
}

// Current returns the configuration in force, or false before the first one. At the start, a
// configuration that a peer sends comes into force only once it is known that the peer doesn't lag
// behind the store, or that the store is down and no peer has a newer one: a key may have been
// withdrawn since.
func (f *Follower) Current() (*Snapshot, bool) {
	select {
	case <-f.Ready():
	default:
		return nil, false
	}
	s := f.current.Load()
	return s, s != nil
}

// Usable reports whether a configuration is in force and the endpoints, and the evacuated zones if
// they are followed, have been listed. [Follower.Current] requires the lists as well, so that a
// gateway that is starting sends nothing to an evacuated zone.
func (f *Follower) Usable() bool {
	_, known := f.Current()
	return known && f.View(knapweedpulley.KindEndpoints).Loaded &&
		(!f.followsEvacuations || f.View(knapweedpulley.KindEvacuations).Loaded)
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
		f.log.WithField("revision", o.Revision.String()).WithError(err).Error("configuration can't be decoded, keeping the last one")
		return false
	}
	last := f.current.Load()
	if last != nil && i.Version <= last.Version {
		f.log.WithField("version", i.Version).WithField("inForce", last.Version).Debug("ignoring a configuration that isn't newer")
		return true
	}
	s := NewSnapshot(i)
	f.current.Store(s)
	if last != nil {
		close(last.replaced)
	}
	f.republishEndpoints()
	f.log.WithField("version", i.Version).WithField("revision", o.Revision.String()).
		WithField("routes", len(i.Routes)).WithField("customers", len(i.Accounts)).Info("configuration in force")
	f.onConfiguration(s)
	return true
}

func (f *Follower) changeEndpoints(changes []knapweedpulley.Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	copied := firstOfEpoch(&f.copies.endpoints, changes)
	for _, c := range changes {
		switch fromCopy := copied(c); {
		case c.Deleted:
			f.removeEndpoint(knapweedpulley.EndpointID(c.Name))
		case fromCopy:
			f.registerCopied(c.Object)
		default:
			f.registerEndpoint(c.Object)
		}
	}
	f.publishEndpoints()
}

// changeEvacuations applies changes of the evacuated zones.
func (f *Follower) changeEvacuations(changes []knapweedpulley.Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	copied := firstOfEpoch(&f.copies.evacuations, changes)
	for _, c := range changes {
		zone := knapweedpulley.ZoneID(c.Name)
		delete(f.copies.unconfirmed, zone)
		if copied(c) && c.Deleted && f.evacuated.Has(zone) {
			f.copies.unconfirmed[zone] = f.clock.Now().Add(reregistrationGrace)
			continue
		}
		f.changeEvacuation(c)
	}
	f.publishEndpoints()
}

// changeEvacuation adds or removes an evacuated zone. The name of the object alone counts: the
// operator expects no answer, and a zone that is wrongly in use costs more than one that is wrongly
// empty. The caller holds mu.
func (f *Follower) changeEvacuation(c knapweedpulley.Change) {
	zone := knapweedpulley.ZoneID(c.Name)
	contained := 0
	for _, e := range f.endpoints {
		if e.Zone == zone {
			contained++
		}
	}
	entry := f.log.WithField("zone", zone).WithField("revision", c.Revision.String()).WithField("endpoints", contained)
	if c.Deleted {
		if f.evacuated.Has(zone) {
			f.evacuated.Remove(zone)
			entry.Info("availability zone given back; its endpoints get requests again")
		}
		return
	}
	if _, err := rawjson.Members(c.Value); err != nil || !bytes.HasPrefix(bytes.TrimSpace(c.Value), []byte("{")) {
		entry.Warn("spec of an evacuation can't be read; the zone is evacuated by the name of the object")
	}
	if f.evacuated.Has(zone) {
		return
	}
	f.evacuated.Add(zone)
	if contained == 0 && f.View(knapweedpulley.KindEndpoints).Loaded {
		entry.Warn("evacuated availability zone contains no endpoint")
		return
	}
	entry.Info("availability zone evacuated; its endpoints get no more requests")
}

// registerEndpoint adds or updates the endpoint of a registration. If that is
// invalid, it removes the endpoint. The caller holds mu.
func (f *Follower) registerEndpoint(o knapweedpulley.Object) {
	id := knapweedpulley.EndpointID(o.Name)
	f.missing.Remove(id)
	delete(f.copies.withheld, id)
	e, err := f.decoder.Endpoint(id, o.Value)
	if err != nil {
		delete(f.endpoints, id)
		f.logInvalid(o, err)
		return
	}
	e.Arrived = f.clock.Now()
	f.invalid.Remove(id)
	last, known := f.endpoints[id]
	if !known || last.Start != e.Start || last.Draining != e.Draining {
		f.log.WithField("endpoint", id).WithField("address", e.Address).WithField("start", e.Start).
			WithField("draining", e.Draining).WithField("revision", o.Revision.String()).Info("endpoint registered")
	}
	f.endpoints[id] = e
}

// logInvalid logs that a registration is invalid, unless the one before it was as well. The caller
// holds mu.
func (f *Follower) logInvalid(o knapweedpulley.Object, err error) {
	id := knapweedpulley.EndpointID(o.Name)
	if f.invalid.Has(id) {
		return
	}
	f.invalid.Add(id)
	// The reason may quote any length of the registration.
	reason := err.Error()
	reason = reason[:min(len(reason), maxReasonLength)]
	f.log.WithField("endpoint", id).WithField("revision", o.Revision.String()).WithField("error", reason).
		Warn("invalid endpoint registration, not using the endpoint")
}

// removeEndpoint handles a registration that no longer exists. Registrations may
// lapse during a store outage, so one that vanished then or shortly after may come
// back: its endpoint is kept, unless it is draining. The caller holds mu.
func (f *Follower) removeEndpoint(id knapweedpulley.EndpointID) {
	f.invalid.Remove(id)
	delete(f.copies.withheld, id)
	e, known := f.endpoints[id]
	if !known || f.missing.Has(id) {
		return
	}
	if f.afterOutage() && !e.Draining {
		f.missing.Add(id)
		f.log.WithField("endpoint", id).Info("endpoint registration vanished in a store outage, keeping the endpoint for now")
		return
	}
	delete(f.endpoints, id)
	f.copies.recordDeparture(e, f.clock.Now())
	f.log.WithField("endpoint", id).Info("endpoint removed")
}

// afterOutage reports whether the store has been answering again for less than the
// grace period. Changes only arrive while it answers.
func (f *Follower) afterOutage() bool {
	since := f.Evidence(knapweedpulley.KindEndpoints).ContinuousSince
	return since != 0 && f.clock.Now().Sub(since) < reregistrationGrace
}

// removeMissing removes the endpoints that did not register again within the grace
// period after an outage.
func (f *Follower) removeMissing() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.missing) == 0 || f.afterOutage() || !f.Fresh(knapweedpulley.KindEndpoints) {
		return
	}
	for id := range f.missing {
		f.missing.Remove(id)
		f.copies.recordDeparture(f.endpoints[id], f.clock.Now())
		delete(f.endpoints, id)
		f.log.WithField("endpoint", id).Info("endpoint removed, as it did not register again after the store outage")
	}
	f.publishEndpoints()
}

// republishEndpoints passes the usable endpoints on again after a change of the services.
func (f *Follower) republishEndpoints() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.endpoints) > 0 {
		f.publishEndpoints()
	}
}

// publishEndpoints passes the usable endpoints to onEndpoints. The caller holds mu.
//
// Of several endpoints with one address, the latest one is used. So an endpoint of a service that
// the configuration doesn't have is left out if one of a service that it has uses the address.
func (f *Follower) publishEndpoints() {
	known := make(knapweedpulley.Set[string], len(f.endpoints))
	for _, e := range f.endpoints {
		if f.hasService(e.Service) {
			known.Add(e.Address)
		}
	}
	list := make([]knapweedpulley.RegisteredEndpoint, 0, len(f.endpoints))
	for _, e := range f.endpoints {
		if f.hasService(e.Service) || !known.Has(e.Address) {
			e.Evacuated = f.evacuated.Has(e.Zone)
			list = append(list, e)
		}
	}
	f.onEndpoints(list)
}

// hasService reports whether the last configuration has a service.
func (f *Follower) hasService(id knapweedpulley.ServiceID) bool {
	s := f.current.Load()
	if s == nil {
		return false
	}
	_, has := s.Services[id]
	return has
}
