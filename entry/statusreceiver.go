package entry

import (
	"context"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/endpoint"
)

// crashReportTimeout bounds the wait until the other entries have recorded a crash.
const crashReportTimeout = 300 * time.Millisecond

// statusReceiver updates the fleet from the agents' reports and records the crashes
// in them in the suspect list. A crash is reported before the requests that it
// ended fail, so the other entries have recorded it before the caller can retry
// its request.
type statusReceiver struct {
	fleet      *endpoint.Fleet
	departures *endpoint.Departures
	suspects   knapweedpulley.SuspectList
}

// Update implements knapweedpulley.StatusReceiver.
func (s *statusReceiver) Update(status knapweedpulley.EndpointStatus) {
	s.departures.UpdateEndpoint(status)
	s.fleet.Update(status)
	if len(status.Crashes) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), crashReportTimeout)
	defer cancel()
	for _, c := range status.Crashes {
		s.suspects.Report(ctx, c)
	}
}

// Remove implements knapweedpulley.StatusReceiver.
func (s *statusReceiver) Remove(id knapweedpulley.EndpointID) {
	s.fleet.Remove(id)
}
