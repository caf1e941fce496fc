package gateway

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/fleet"
)

const (
	// crashReportTimeout bounds the check whether an endpoint has crashed together with the
	// report to the other gateways.
	crashReportTimeout = time.Second
	// maxTrackedCrashes bounds the number of crashes whose suspects are kept.
	maxTrackedCrashes = 256
	// maxLoggedParts bounds the prompt parts in one log line.
	maxLoggedParts = 16
)

// crashID identifies one crash of an endpoint by the start time of the run that crashed.
type crashID struct {
	endpoint knapweedpulley.EndpointID
	start    uint64
}

// CrashTracker determines which requests were running when an endpoint crashed and reports the
// fingerprints of their contents. All gateways refuse a content that ran at two crashes.
type CrashTracker struct {
	suspectList knapweedpulley.SuspectList
	exchanger   knapweedpulley.Exchanger
	fleet       *fleet.Fleet
	log         log.Interface

	mu       sync.Mutex
	suspects map[crashID][]knapweedpulley.Fingerprint
}

// NewCrashTracker returns a tracker that reports to a suspect list.
func NewCrashTracker(
	suspectList knapweedpulley.SuspectList, exchanger knapweedpulley.Exchanger, fleet *fleet.Fleet, log log.Interface,
) *CrashTracker {
	return &CrashTracker{
		suspectList: suspectList, exchanger: exchanger, fleet: fleet, log: log,
		suspects: make(map[crashID][]knapweedpulley.Fingerprint),
	}
}

// State returns whether a content is suspected of crashing endpoints.
func (c *CrashTracker) State(f knapweedpulley.Fingerprint) knapweedpulley.SuspectState {
	return c.suspectList.State(f)
}

// HandleBrokenExchange checks whether an endpoint has crashed after an exchange with it broke off.
// If so, it removes the endpoint from the fleet and reports the content of the call before it
// returns.
func (c *CrashTracker) HandleBrokenExchange(e *fleet.Endpoint, call *knapweedpulley.Call) {
	ctx, cancel := context.WithTimeout(context.Background(), crashReportTimeout)
	defer cancel()
	entry := e.Registration()
	if !c.exchanger.RefusesConnections(ctx, entry.Address) {
		return
	}
	c.fleet.MarkUnreachable(e)
	id := crashID{endpoint: e.ID(), start: entry.Start}
	suspects := c.addSuspect(id, call.Fingerprint)
	c.log.WithField("endpoint", id.endpoint).WithField("start", id.start).WithField("request", call.ID).
		WithField("content", call.Fingerprint).WithField("parts", partNames(call)).
		WithField("suspects", len(suspects)).Warn("endpoint crashed while running a request; reporting the contents that it ran")
	c.suspectList.Report(ctx, knapweedpulley.SuspectReport{
		Endpoint: id.endpoint, Start: id.start, Fingerprints: suspects, Isolated: len(suspects) == 1,
	})
}

// partNames returns the ids of the first shared parts of a call's prompt, for the log.
func partNames(call *knapweedpulley.Call) string {
	parts := call.SharedParts()
	ids := make([]string, 0, maxLoggedParts)
	for _, p := range parts[:min(len(parts), maxLoggedParts)] {
		ids = append(ids, p.ID)
	}
	return strings.Join(ids, " ")
}

// addSuspect records a content that ran at a crash. It returns all contents recorded for it so far.
func (c *CrashTracker) addSuspect(id crashID, f knapweedpulley.Fingerprint) []knapweedpulley.Fingerprint {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.suspects) >= maxTrackedCrashes {
		clear(c.suspects)
	}
	c.suspects[id] = append(c.suspects[id], f)
	return append([]knapweedpulley.Fingerprint(nil), c.suspects[id]...)
}
