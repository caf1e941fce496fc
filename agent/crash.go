package agent

import (
	"context"
	"sync"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// maxReportedCrashes bounds the number of crashes in the status.
	maxReportedCrashes = 16
	// crashWindow is the time within which the other running requests fail after a crash of
	// the engine.
	crashWindow = 100 * time.Millisecond
)

// crashes records the most recent crashes of the engine.
type crashes struct {
	mu             sync.Mutex
	suspectReports []knapweedpulley.SuspectReport
}

// list returns the recorded crashes, oldest first.
func (c *crashes) list() []knapweedpulley.SuspectReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]knapweedpulley.SuspectReport(nil), c.suspectReports...)
}

// add records a crash unless one of the same engine start is recorded, and reports whether
// it did.
func (c *crashes) add(r knapweedpulley.SuspectReport) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, known := range c.suspectReports {
		if known.Start == r.Start {
			return false
		}
	}
	c.suspectReports = append(c.suspectReports, r)
	if len(c.suspectReports) > maxReportedCrashes {
		c.suspectReports = c.suspectReports[1:]
	}
	return true
}

// detectCrash determines whether a request failed because the engine crashed: the engine's
// start counter has increased, or its state can't be read and all running requests have
// failed. The request counts as running until it returns, so it is among the suspects.
func (a *Agent) detectCrash(ctx context.Context, t *ticket) {
	a.admission.markFailed(t)
	err := a.readState(ctx)
	if err == nil {
		return
	}
	windowCtx, cancel := context.WithTimeout(ctx, crashWindow)
	defer cancel()
	if a.admission.awaitAllFailed(windowCtx) {
		a.recordCrash(t.engineStart)
		a.readLock <- struct{}{}
		defer a.unlockRead()
		if a.lastReadErr != nil {
			a.markSilent(err)
		}
	}
}

// recordCrash records the requests that were running when an engine start ended as suspects.
func (a *Agent) recordCrash(start uint64) {
	suspects := a.admission.runningUnder(start)
	report := knapweedpulley.SuspectReport{
		Endpoint: a.settings.Endpoint,
		Start:    start,
		Isolated: len(suspects) == 1 && suspects[0].Isolated,
	}
	for _, r := range suspects {
		report.Fingerprints = append(report.Fingerprints, r.Fingerprint)
	}
	if !a.crashes.add(report) {
		return
	}
	a.meter.crashes.Inc(1)
	a.log.WithField("start", start).WithField("suspects", len(suspects)).Error("engine crashed")
}
