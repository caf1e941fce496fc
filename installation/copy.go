package installation

import (
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// copiedTerm is how long a registration that is older than what is known of its endpoint is not
	// used. The registration of an endpoint that has left lapses sooner.
	copiedTerm = 5 * time.Second
	// departureTerm is how long endpoints that have left are remembered. It is longer than the age of a
	// copy from which the store comes back.
	departureTerm = time.Minute
)

// copyGuard holds what the follower knows beyond a copy of the store's content. After the store has
// come back from one, the first content of the new epoch may lack what was written since the copy was
// made, until it is written again.
type copyGuard struct {
	// endpoints and evacuations are the epochs of the collections.
	endpoints, evacuations knapweedpulley.StoreEpoch
	// departures holds the endpoints that have left.
	departures map[knapweedpulley.EndpointID]departure
	// withheld holds the registrations that are older than what is known of their endpoints.
	withheld map[knapweedpulley.EndpointID]withheldRegistration
	// unconfirmed holds the evacuated zones that the copy lacks, and until when they stay evacuated.
	unconfirmed map[knapweedpulley.ZoneID]knapweedpulley.Instant
}

// departure is the last run of an endpoint that has left.
type departure struct {
	start uint64
	at    knapweedpulley.Instant
}

// withheldRegistration is a registration that is used from an instant on if it still exists then.
type withheldRegistration struct {
	object knapweedpulley.Object
	until  knapweedpulley.Instant
}

func newCopyGuard() copyGuard {
	return copyGuard{
		departures:  make(map[knapweedpulley.EndpointID]departure),
		withheld:    make(map[knapweedpulley.EndpointID]withheldRegistration),
		unconfirmed: make(map[knapweedpulley.ZoneID]knapweedpulley.Instant),
	}
}

// firstOfEpoch returns a function that reports whether a change is the first one of its object in an
// epoch that begins with the changes. It updates the epoch.
func firstOfEpoch(epoch *knapweedpulley.StoreEpoch, changes []knapweedpulley.Change) func(knapweedpulley.Change) bool {
	before := *epoch
	for _, c := range changes {
		*epoch = max(*epoch, c.Revision.Epoch())
	}
	seen := make(knapweedpulley.Set[string])
	return func(c knapweedpulley.Change) bool {
		if c.Revision.Epoch() == before || c.Revision.Epoch() != *epoch || seen.Has(c.Name) {
			return false
		}
		seen.Add(c.Name)
		return true
	}
}

// recordDeparture remembers that an endpoint has left.
func (g *copyGuard) recordDeparture(e knapweedpulley.RegisteredEndpoint, now knapweedpulley.Instant) {
	for id, d := range g.departures {
		if now.Sub(d.at) > departureTerm {
			delete(g.departures, id)
		}
	}
	g.departures[e.ID] = departure{start: e.Start, at: now}
}

// outdated reports whether a registration is older than what is known of its endpoint: that the
// endpoint has left, or that it is draining.
func (g *copyGuard) outdated(e, last knapweedpulley.RegisteredEndpoint, known bool) bool {
	if known {
		return last.Draining && !e.Draining && last.Start == e.Start
	}
	d, left := g.departures[e.ID]
	return left && d.start == e.Start
}

// registerCopied handles a registration from a copy. If it is outdated, the endpoint stays as it is
// known to be, until the registration is written again. The caller holds mu.
func (f *Follower) registerCopied(o knapweedpulley.Object) {
	id := knapweedpulley.EndpointID(o.Name)
	e, err := f.decoder.Endpoint(id, o.Value)
	last, known := f.endpoints[id]
	if err != nil || !f.copies.outdated(e, last, known) {
		f.registerEndpoint(o)
		return
	}
	f.log.WithField("endpoint", id).WithField("start", e.Start).WithField("revision", o.Revision.String()).
		Info("endpoint registration in the store's copy is outdated, not using it for now")
	f.copies.withheld[id] = withheldRegistration{object: o, until: f.clock.Now().Add(copiedTerm)}
}

// endCopies uses the withheld registrations and gives back the unconfirmed zones whose time has come.
func (f *Follower) endCopies() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, changed := f.clock.Now(), false
	for id, w := range f.copies.withheld {
		if now >= w.until {
			delete(f.copies.withheld, id)
			f.registerEndpoint(w.object)
			changed = true
		}
	}
	for zone, until := range f.copies.unconfirmed {
		if now >= until {
			delete(f.copies.unconfirmed, zone)
			f.evacuated.Remove(zone)
			f.log.WithField("zone", zone).Info("availability zone given back, as its evacuation was not written again")
			changed = true
		}
	}
	if changed {
		f.publishEndpoints()
	}
}
