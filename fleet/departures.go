package fleet

import "github.com/knapweedpulley/knapweedpulley"

// maxDepartures bounds the number of runs of endpoints that are known to be leaving. The oldest are
// dropped first.
const maxDepartures = 4096

// departure is a run of an endpoint that has said that it is leaving.
type departure struct {
	start uint64
	at    knapweedpulley.Instant
}

// departures holds the last run of each endpoint that has said that it is leaving. It outlives the
// registration, which may lapse and come back while the store is down.
type departures map[knapweedpulley.EndpointID]departure

// add records that a run of an endpoint is leaving.
func (d departures) add(id knapweedpulley.EndpointID, start uint64, now knapweedpulley.Instant) {
	d[id] = departure{start: start, at: now}
	if len(d) <= maxDepartures {
		return
	}
	oldest := id
	for i, x := range d {
		if x.at < d[oldest].at {
			oldest = i
		}
	}
	delete(d, oldest)
}

// has reports whether a run of an endpoint, or a later one, has said that it is leaving.
func (d departures) has(id knapweedpulley.EndpointID, start uint64) bool {
	x, known := d[id]
	return known && start <= x.start
}
