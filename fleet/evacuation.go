package fleet

import (
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

// evacuationRetryAfter is the time after which a caller may return whose service has endpoints in
// evacuated zones only. Nobody knows when the operator gives a zone back; it is in force within about
// this time then.
const evacuationRetryAfter = time.Second

// Evacuated reports whether the endpoint gets no requests because its zone is evacuated.
func (e *Endpoint) Evacuated() bool {
	return e.Registration().Evacuated
}

// CheckEvacuation refuses a call of a service all of whose endpoints are in evacuated zones. Endpoints
// that are leaving don't count.
func (f *Fleet) CheckEvacuation(id knapweedpulley.ServiceID) error {
	if !f.index.Load().evacuated.Has(id) {
		return nil
	}
	return knapweedpulley.NewRefusal(knapweedpulley.CodeEvacuated, knapweedpulley.NotRun,
		"all endpoints of service %s are in evacuated availability zones", id).WithRetryAfter(evacuationRetryAfter)
}

// EvacuatedRequests returns the number of the gateway's requests that still run in each evacuated
// zone that contains an endpoint.
func (f *Fleet) EvacuatedRequests() map[knapweedpulley.ZoneID]int {
	var counts map[knapweedpulley.ZoneID]int
	for _, e := range f.Endpoints() {
		r := e.Registration()
		if !r.Evacuated {
			continue
		}
		if counts == nil {
			counts = make(map[knapweedpulley.ZoneID]int)
		}
		counts[r.Zone] += e.Active()
	}
	return counts
}
