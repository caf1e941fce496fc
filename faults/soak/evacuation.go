package soak

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// zoneInUse and zoneEvacuated are the zones of the endpoints. The last engine and the last plain
	// endpoint are in the second one. The gateways are in neither, so that no endpoint is nearer than
	// another.
	zoneInUse     = "b"
	zoneEvacuated = "c"
	// evacuationLimit is the time after which a gateway sends no more requests to an evacuated zone.
	evacuationLimit = 5 * time.Second
	// minEvacuation and maxEvacuation bound how long a zone is evacuated.
	minEvacuation = evacuationLimit + 500*time.Millisecond
	maxEvacuation = evacuationLimit + 4*time.Second
)

// evacuation is a time for which a zone was evacuated.
type evacuation struct {
	// from is when the store had the object, until when its removal began, or zero before that.
	from, until time.Time
}

// forbids reports whether no run may start at a time in the zone.
func (e evacuation) forbids(at time.Time) bool {
	return at.After(e.from.Add(evacuationLimit)) && (e.until.IsZero() || at.Before(e.until))
}

// evacuateZone evacuates a zone now and then until ctx ends.
func (i *Injector) evacuateZone(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(i.evacuationRandom.Int64N(int64(2 * time.Second))))
		d := minEvacuation + time.Duration(i.evacuationRandom.Int64N(int64(maxEvacuation-minEvacuation)))
		if ctx.Err() != nil {
			return
		}
		i.inject("zone evacuated", zoneEvacuated, func() error { return i.cluster.Evacuate(d) })
		time.Sleep(d)
	}
}

// Evacuate has the store hold the evacuation of a zone for a time.
func (c *Cluster) Evacuate(d time.Duration) error {
	if err := c.store.PutRaw(knapweedpulley.KindEvacuations, zoneEvacuated, []byte("{}")); err != nil {
		return err
	}
	c.mu.Lock()
	n := len(c.evacuations)
	c.evacuations = append(c.evacuations, evacuation{from: time.Now()})
	c.mu.Unlock()
	time.Sleep(d)
	c.mu.Lock()
	c.evacuations[n].until = time.Now()
	c.mu.Unlock()
	return errors.Wrap(c.store.Delete(knapweedpulley.KindEvacuations, zoneEvacuated), "give the zone back")
}

// checkEvacuation checks that no run started in an evacuated zone if the gateway had been undisturbed
// for recoveryTime by then.
func checkEvacuation(cluster *Cluster, o Outcome, runs []Run) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	for _, r := range runs {
		undisturbed := o.UndisturbedAtEnd - o.Sent.Add(o.Elapsed).Sub(r.StartedAt)
		if r.endpoint.zone != zoneEvacuated || undisturbed < recoveryTime {
			continue
		}
		for _, e := range cluster.evacuations {
			if e.forbids(r.StartedAt) {
				cluster.recorder.RecordViolation("%s request %s ran at endpoint %s %s after its zone had been evacuated, at a gateway undisturbed for %s",
					o.Kind, o.ID, r.Endpoint, r.StartedAt.Sub(e.from), undisturbed)
			}
		}
	}
}

// RunsInEvacuatedZone returns how many runs of requests started in the zone that is evacuated.
func (c *Cluster) RunsInEvacuatedZone(outcomes []Outcome) int {
	n := 0
	for _, o := range outcomes {
		for _, r := range c.recorder.Runs(o.ID) {
			if r.endpoint.zone == zoneEvacuated {
				n++
			}
		}
	}
	return n
}
