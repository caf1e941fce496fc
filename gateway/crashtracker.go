package gateway

import (
	"context"
	"slices"
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
	// answerCheckTimeout bounds the check for a crash while an answer is held back.
	answerCheckTimeout = 200 * time.Millisecond
	// recheckDelay is the time after which an endpoint that still accepted connections is checked
	// again. A process that is killed may close its connections before its port.
	recheckDelay = 50 * time.Millisecond
	// maxRechecks bounds the number of such checks at once.
	maxRechecks = 64
	// maxTrackedCrashes bounds the number of crashes whose suspects are kept.
	maxTrackedCrashes = 256
	// maxCallParts bounds the prompt parts of one call that become suspects. maxContents and maxParts
	// bound the contents and the prompt parts of one crash.
	maxCallParts = 256
	maxContents  = 512
	maxParts     = 1024
	// maxLoggedParts bounds the prompt parts in one log line.
	maxLoggedParts = 16
)

// crashID identifies one crash of an endpoint by the start time of the run that crashed.
type crashID struct {
	endpoint knapweedpulley.EndpointID
	start    uint64
}

// CrashTracker determines which requests were running when an endpoint crashed and reports the
// fingerprints of their contents and of the shared parts of their prompts. All gateways refuse a
// content or a part that crashes endpoints.
type CrashTracker struct {
	suspectList knapweedpulley.PromptSuspectList
	exchanger   knapweedpulley.Exchanger
	fleet       *fleet.Fleet
	log         log.Interface

	// rechecks has an element for each check that is due or in progress.
	rechecks chan struct{}

	mu      sync.Mutex
	crashes map[crashID]knapweedpulley.SuspectReport
	// crashOrder holds the keys of crashes, the oldest first.
	crashOrder []crashID
}

// NewCrashTracker returns a tracker that reports to a suspect list.
func NewCrashTracker(
	suspectList knapweedpulley.PromptSuspectList, exchanger knapweedpulley.Exchanger, fleet *fleet.Fleet, log log.Interface,
) *CrashTracker {
	return &CrashTracker{
		suspectList: suspectList, exchanger: exchanger, fleet: fleet, log: log,
		rechecks: make(chan struct{}, maxRechecks), crashes: make(map[crashID]knapweedpulley.SuspectReport),
	}
}

// Check refuses a call if its content, or a shared part of its prompt, crashes endpoints.
func (c *CrashTracker) Check(call *knapweedpulley.Call) error {
	if c.suspectList.State(call.Fingerprint) == knapweedpulley.SuspectRefuse {
		return knapweedpulley.NewRefusal(knapweedpulley.CodeCrashSuspect, knapweedpulley.NotRun,
			"endpoints crashed repeatedly while running requests with this content")
	}
	for _, p := range call.SharedParts() {
		if f := knapweedpulley.NewPartFingerprint(p.ID); c.suspectList.IsRefused(f) {
			return knapweedpulley.NewRefusal(knapweedpulley.CodeCrashSuspect, knapweedpulley.NotRun,
				"endpoints crashed repeatedly while running requests with prompt part %s (%s)", p.ID, f)
		}
	}
	return nil
}

// MayProbe reports whether TryProbe would allow a refused call now.
func (c *CrashTracker) MayProbe(call *knapweedpulley.Call) bool {
	if c.suspectList.State(call.Fingerprint) == knapweedpulley.SuspectRefuse {
		return !c.hasRefusedPart(call) && c.suspectList.MayProbeContent(call.Fingerprint)
	}
	return c.suspectList.MayProbe(call.SharedFingerprints())
}

// TryProbe reports whether a refused call may be sent to find out whether its content, or the parts
// of its prompt, still crash endpoints. A call of which both are refused isn't sent.
func (c *CrashTracker) TryProbe(call *knapweedpulley.Call) bool {
	entry := c.log.WithField("request", call.ID).WithField("content", call.Fingerprint).WithField("parts", partNames(call))
	if c.suspectList.State(call.Fingerprint) == knapweedpulley.SuspectRefuse {
		if c.hasRefusedPart(call) || !c.suspectList.TryProbeContent(call.Fingerprint) {
			return false
		}
		entry.Info("sending a request with a refused content as a probe")
		return true
	}
	if !c.suspectList.TryProbe(call.SharedFingerprints()) {
		return false
	}
	entry.Info("sending a request with a refused prompt part as a probe")
	return true
}

func (c *CrashTracker) hasRefusedPart(call *knapweedpulley.Call) bool {
	return slices.ContainsFunc(call.SharedFingerprints(), c.suspectList.IsRefused)
}

// RecordAnswer records that an endpoint has answered a call to its end.
func (c *CrashTracker) RecordAnswer(call *knapweedpulley.Call) {
	c.suspectList.RecordAnswer(call.Fingerprint, call.SharedFingerprints())
}

// RecordContentAnswer records that an endpoint has answered a call with a status that tells of its
// content, as one that there is nothing at its path. It says nothing of the parts of a prompt, which the
// endpoint may not have run.
func (c *CrashTracker) RecordContentAnswer(call *knapweedpulley.Call) {
	c.suspectList.RecordAnswer(call.Fingerprint, nil)
}

// HasCrashed reports whether an endpoint is known to refuse connections, as after a crash.
func (c *CrashTracker) HasCrashed(ctx context.Context, e *fleet.Endpoint) bool {
	ctx, cancel := context.WithTimeout(ctx, answerCheckTimeout)
	defer cancel()
	return c.exchanger.RefusesConnections(ctx, e.Registration().Address)
}

// HandleBrokenExchange checks whether an endpoint has crashed after an exchange with it broke off.
// If so, it removes the endpoint from the fleet and reports the content of the call before it
// returns. Otherwise it has the endpoint checked once more later.
func (c *CrashTracker) HandleBrokenExchange(e *fleet.Endpoint, call *knapweedpulley.Call) {
	if !c.reportCrash(e, call) {
		c.CheckLater(e, call)
	}
}

// CheckLater checks after recheckDelay whether an endpoint that ran a call has crashed, and reports
// that, unless maxRechecks such checks are due already.
func (c *CrashTracker) CheckLater(e *fleet.Endpoint, call *knapweedpulley.Call) {
	select {
	case c.rechecks <- struct{}{}:
	default:
		return
	}
	time.AfterFunc(recheckDelay, func() {
		defer func() { <-c.rechecks }()
		c.reportCrash(e, call)
	})
}

// reportCrash reports a call that an endpoint ran if the endpoint refuses connections, and whether
// it does.
func (c *CrashTracker) reportCrash(e *fleet.Endpoint, call *knapweedpulley.Call) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashReportTimeout)
	defer cancel()
	entry := e.Registration()
	if !c.exchanger.RefusesConnections(ctx, entry.Address) {
		return false
	}
	c.fleet.MarkUnreachable(e)
	id := crashID{endpoint: e.ID(), start: entry.Start}
	report := c.addSuspect(id, call)
	c.log.WithField("endpoint", id.endpoint).WithField("start", id.start).WithField("request", call.ID).
		WithField("content", call.Fingerprint).WithField("parts", partNames(call)).
		WithField("suspects", len(report.Fingerprints)).Warn("endpoint crashed while running a request; reporting the contents that it ran")
	c.suspectList.Report(ctx, report)
	return true
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

// addSuspect records a call that ran at a crash. It returns the report of all calls recorded for
// the crash so far.
func (c *CrashTracker) addSuspect(id crashID, call *knapweedpulley.Call) knapweedpulley.SuspectReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, known := c.crashes[id]
	if !known {
		c.crashOrder = append(c.crashOrder, id)
	}
	if len(c.crashOrder) > maxTrackedCrashes {
		delete(c.crashes, c.crashOrder[0])
		c.crashOrder = c.crashOrder[1:]
	}
	r.Endpoint, r.Start = id.endpoint, id.start
	r.Fingerprints = appendNew(r.Fingerprints, maxContents, call.Fingerprint)
	parts := call.SharedFingerprints()
	r.Parts = appendNew(r.Parts, maxParts, parts[:min(len(parts), maxCallParts)]...)
	r.Isolated = len(r.Fingerprints) == 1
	c.crashes[id] = r
	return r
}

// appendNew returns a new list of the values of list and those of added that aren't in it, each
// once and at most limit altogether.
func appendNew[T comparable](list []T, limit int, added ...T) []T {
	list = slices.Clone(list)
	for _, v := range added {
		if len(list) < limit && !slices.Contains(list, v) {
			list = append(list, v)
		}
	}
	return list
}
