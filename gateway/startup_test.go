package gateway_test

import (
	"context"
	"io"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/endpoint"
	"github.com/knapweedpulley/knapweedpulley/gateway"
	"github.com/knapweedpulley/knapweedpulley/logbook"
	"github.com/knapweedpulley/knapweedpulley/machine/fake"
)

// startupPeers are the other gateways of one that starts. All know what known knows.
type startupPeers struct {
	known *endpoint.Suspects
	// listed, complete and fetch are what a startup depends on. listedAfter is when the list is known.
	listed      []knapweedpulley.Member
	listedAfter time.Duration
	complete    bool
	fetchTime   time.Duration
	// fetchError is the result of the first failures attempts to ask a gateway.
	fetchError error
	failures   int32
	fetches    atomic.Int32
}

// FetchSuspects implements knapweedpulley.SuspectFetcher.
func (p *startupPeers) FetchSuspects(ctx context.Context, _ knapweedpulley.Member) ([]knapweedpulley.SuspectReport, error) {
	n := p.fetches.Add(1)
	select {
	case <-time.After(p.fetchTime):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if n <= p.failures {
		return nil, p.fetchError
	}
	return p.known.Snapshot(), nil
}

// newRefusingPeers returns a gateway "two" that has just begun to refuse deadlyPart.
func newRefusingPeers() *startupPeers {
	lists, _, _ := newCrashTracker()
	for _, id := range []knapweedpulley.EndpointID{"a", "b", "c"} {
		lists["two"].Merge(knapweedpulley.SuspectReport{
			Endpoint: id, Start: 1, Parts: []knapweedpulley.PartFingerprint{knapweedpulley.NewPartFingerprint(deadlyPart)},
		})
		time.Sleep(time.Second)
	}
	return &startupPeers{
		known: lists["two"], complete: true, listedAfter: 300 * time.Millisecond, fetchTime: 10 * time.Millisecond,
		listed: []knapweedpulley.Member{{Entry: "one"}, {Entry: "two"}},
	}
}

// startGateway starts a gateway whose endpoints crash on deadlyPart, and which asks the peers.
func startGateway(t *testing.T, p *startupPeers) (*promptCalls, *crashingExchanger) {
	t.Helper()
	d, x := crashingDeployment()
	g := d.newGateway(t)
	list := newSuspects()
	g.CrashTracker = gateway.NewCrashTracker(list, &fakeExchanger{ended: true}, g.Fleet, g.Log)
	began := time.Now()
	startup, end := gateway.NewStartup(gateway.StartupOptions{
		Self: "one", Clock: fake.Clock{}, Log: g.Log,
		Listed: func() ([]knapweedpulley.Member, bool) {
			if time.Since(began) < p.listedAfter {
				return nil, false
			}
			return p.listed, p.complete
		},
		Fetch: func(ctx context.Context, from knapweedpulley.Member) error { return list.Fetch(ctx, p, from) },
	})
	t.Cleanup(end)
	g.Startup = startup
	return &promptCalls{gateway: g}, x
}

func newSuspects() *endpoint.Suspects {
	return endpoint.NewSuspects(endpoint.SuspectOptions{
		Group: gateway.NewPeers(knapweedpulley.Member{Entry: "one"}), Peer: suspectLists{}, Clock: fake.Clock{},
		Log: logbook.New(io.Discard, log.InfoLevel, "test", "test"),
	})
}

// assertServedWithin asserts that a sound call is served, and within what time.
func assertServedWithin(t *testing.T, calls *promptCalls, limit time.Duration) {
	t.Helper()
	began := time.Now()
	is.New(t).NoErr(calls.serve(t, "system"))
	is.New(t).True(time.Since(began) <= limit)
}

func TestStartedGatewayKnowsWhatOthersRefuse(t *testing.T) {
	inBubble("a call that arrives at once isn't sent before the others were asked", t, func(t *testing.T) {
		calls, x := startGateway(t, newRefusingPeers())
		assertCrashSuspect(t, calls.serve(t, "system", deadlyPart))
		is.New(t).Equal(x.arrived, 0)
		assertServedWithin(t, calls, 0)
	})
	inBubble("a gateway that doesn't answer at first is asked again", t, func(t *testing.T) {
		p := newRefusingPeers()
		p.fetchError, p.failures = errors.New("fails at first"), 2
		calls, x := startGateway(t, p)
		assertCrashSuspect(t, calls.serve(t, "system", deadlyPart))
		is.New(t).Equal(x.arrived, 0)
	})
	inBubble("no call is held for long if the list of gateways doesn't become complete", t, func(t *testing.T) {
		p := newRefusingPeers()
		p.complete = false
		calls, _ := startGateway(t, p)
		assertServedWithin(t, calls, 1500*time.Millisecond)
	})
	inBubble("no call is held for long if a gateway never answers", t, func(t *testing.T) {
		p := newRefusingPeers()
		p.fetchTime = time.Hour
		calls, _ := startGateway(t, p)
		assertServedWithin(t, calls, 1500*time.Millisecond)
	})
	inBubble("a gateway that has ended isn't asked again", t, func(t *testing.T) {
		p := newRefusingPeers()
		p.fetchError, p.failures = knapweedpulley.ErrNoListener, 1
		calls, _ := startGateway(t, p)
		assertServedWithin(t, calls, 500*time.Millisecond)
		is.New(t).Equal(p.fetches.Load(), int32(1))
	})
	inBubble("of many gateways, only as many are asked as it takes for eight to answer", t, func(t *testing.T) {
		p := newRefusingPeers()
		for i := range 30 {
			p.listed = append(p.listed, knapweedpulley.Member{Entry: knapweedpulley.EntryID(strconv.Itoa(i))})
		}
		p.fetchError, p.failures, p.complete = knapweedpulley.ErrNoListener, 5, false
		calls, x := startGateway(t, p)
		began := time.Now()
		assertCrashSuspect(t, calls.serve(t, "system", deadlyPart))
		is.New(t).Equal(x.arrived, 0)
		is.New(t).Equal(p.fetches.Load(), int32(13))
		is.New(t).True(time.Since(began) < time.Second) // The list needn't be complete then.
	})
	inBubble("a gateway without others doesn't wait for any", t, func(t *testing.T) {
		p := newRefusingPeers()
		p.listed, p.listedAfter = p.listed[:1], 0
		calls, _ := startGateway(t, p)
		assertServedWithin(t, calls, 0)
	})
}

func TestCallThatCannotWaitForTheStartup(t *testing.T) {
	inBubble("it is refused as not run, with the time after which it is served", t, func(t *testing.T) {
		p := newRefusingPeers()
		p.complete = false
		calls, x := startGateway(t, p)
		err := calls.gateway.Serve(t.Context(), &knapweedpulley.Call{
			ID: "r", Host: "h", Path: "/x", Timeout: time.Second, Arrived: fake.Clock{}.Now(), Fingerprint: 7,
		}, &recordedAnswer{})
		var refusal *knapweedpulley.Refusal
		is.New(t).True(errors.As(err, &refusal))
		is.New(t).Equal(refusal.Code, knapweedpulley.CodeNotReady)
		is.New(t).Equal(refusal.Verdict, knapweedpulley.NotRun)
		is.New(t).True(refusal.RetryAfter > 0)
		time.Sleep(refusal.RetryAfter)
		assertServedWithin(t, calls, 0)
		is.New(t).Equal(x.arrived, 0)
	})
}
