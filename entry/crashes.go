package entry

import (
	"context"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/endpoint"
)

// spreadTimeout bounds the wait until the other entries know of a crash.
const spreadTimeout = 300 * time.Millisecond

// statusReceiver passes the agents' reports to the fleet and the crashes in
// them to the suspects. A crash comes before the end of the requests that it
// ended, and is known to the other entries before the caller can send its
// request again.
type statusReceiver struct {
	fleet    *endpoint.Fleet
	gone     *endpoint.Departures
	suspects knapweedpulley.SuspectList
}

// Update implements knapweedpulley.StatusReceiver.
func (s *statusReceiver) Update(status knapweedpulley.EndpointStatus) {
	s.gone.UpdateEndpoint(status)
	s.fleet.Update(status)
	if len(status.Crashes) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), spreadTimeout)
	defer cancel()
	for _, c := range status.Crashes {
		s.suspects.Report(ctx, c)
	}
}

// Remove implements knapweedpulley.StatusReceiver.
func (s *statusReceiver) Remove(id knapweedpulley.EndpointID) {
	s.fleet.Remove(id)
}
