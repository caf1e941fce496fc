package gateway_test

import (
	"context"
	"io"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/fleet"
	"github.com/knapweedpulley/knapweedpulley/gateway"
	"github.com/knapweedpulley/knapweedpulley/logbook"
	"github.com/knapweedpulley/knapweedpulley/machine/fake"
)

// closingExchanger reports that endpoints accept connections until an instant.
type closingExchanger struct {
	fakeExchanger
	until time.Time
}

// RefusesConnections implements knapweedpulley.Exchanger.
func (x *closingExchanger) RefusesConnections(context.Context, string) bool {
	return !time.Now().Before(x.until)
}

// recordedReports records the last report of suspects.
type recordedReports struct {
	knapweedpulley.PromptSuspectList
	mu   sync.Mutex
	last knapweedpulley.SuspectReport
}

// Report implements knapweedpulley.PromptSuspectList.
func (r *recordedReports) Report(_ context.Context, report knapweedpulley.SuspectReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last = report
}

// contents returns the contents of the last report.
func (r *recordedReports) contents() []knapweedpulley.Fingerprint {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last.Fingerprints
}

func newTracker(list knapweedpulley.PromptSuspectList, x knapweedpulley.Exchanger) *gateway.CrashTracker {
	return gateway.NewCrashTracker(list, x, fleet.New(fake.Clock{}, "a"), logbook.New(io.Discard, log.InfoLevel, "test", "test"))
}

func TestCrashWhosePortClosesLaterIsReported(t *testing.T) {
	inBubble("a port that closes after the connection", t, func(t *testing.T) {
		reports := &recordedReports{}
		c := newTracker(reports, &closingExchanger{until: time.Now().Add(20 * time.Millisecond)})
		c.HandleBrokenExchange(newFleet("a").Endpoints()["a"], &knapweedpulley.Call{Fingerprint: 7})
		time.Sleep(time.Second)
		is.New(t).Equal(reports.contents(), []knapweedpulley.Fingerprint{7})
	})
}

func TestCrashIsReportedWithoutItsCaller(t *testing.T) {
	// assertReported asserts that a content is refused after two calls that ended before their
	// endpoints broke off.
	assertReported := func(t *testing.T, timeout, patience time.Duration) {
		t.Helper()
		d, _ := deadlyDeployment(scriptedAnswer{silence: 10 * time.Second})
		g := d.newGateway(t)
		for range 2 {
			ctx, cancel := context.WithTimeout(t.Context(), patience)
			call := newCall()
			call.Fingerprint, call.Timeout = 7, timeout
			call.PromptParts = []knapweedpulley.PromptPart{{ID: deadlyPart, Tokens: 40}, {ID: "own", Tokens: 40}}
			is.New(t).True(g.Serve(ctx, call, &recordedAnswer{}) != nil)
			cancel()
			time.Sleep(time.Second)
		}
		_, err := serveCall(t, g, func(c *knapweedpulley.Call) { c.Fingerprint = 7 })
		assertCrashSuspect(t, err)
	}
	inBubble("the caller has disconnected", t, func(t *testing.T) {
		assertReported(t, time.Minute, 100*time.Millisecond)
	})
	inBubble("the deadline has passed", t, func(t *testing.T) {
		assertReported(t, 100*time.Millisecond, time.Minute)
	})
}

func TestManyCrashesDropOnlyTheOldest(t *testing.T) {
	const crashes = 300
	ids := make([]knapweedpulley.EndpointID, crashes)
	for i := range ids {
		ids[i] = knapweedpulley.EndpointID(strconv.Itoa(i))
	}
	f := newFleet(ids...)
	reports := &recordedReports{}
	c := newTracker(reports, &fakeExchanger{ended: true})
	for _, id := range ids {
		c.HandleBrokenExchange(f.Endpoints()[id], &knapweedpulley.Call{Fingerprint: 7})
	}
	assertContents := func(t *testing.T, id knapweedpulley.EndpointID, want ...knapweedpulley.Fingerprint) {
		t.Helper()
		c.HandleBrokenExchange(f.Endpoints()[id], &knapweedpulley.Call{Fingerprint: 8})
		is.New(t).Equal(reports.contents(), want)
	}
	t.Run("a later crash is kept", func(t *testing.T) { assertContents(t, "250", 7, 8) })
	t.Run("the oldest is dropped", func(t *testing.T) { assertContents(t, "0", 8) })
}
