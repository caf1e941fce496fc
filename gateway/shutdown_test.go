package gateway_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/gateway"
	"github.com/knapweedpulley/knapweedpulley/machine/fake"
)

// loadingKeeper is a link to a keeper whose reports always show a load of model m with 20 s left.
type loadingKeeper struct{ ctx context.Context }

func (loadingKeeper) OpenStream(ctx context.Context, _ string) (knapweedpulley.KeeperStream, error) {
	return loadingKeeper{ctx}, nil
}

func (l loadingKeeper) Send(knapweedpulley.GatewayMessage) error {
	return l.ctx.Err()
}

func (l loadingKeeper) Receive() (knapweedpulley.EngineReport, error) {
	select {
	case <-l.ctx.Done():
		return knapweedpulley.EngineReport{}, l.ctx.Err()
	case <-time.After(100 * time.Millisecond):
	}
	return knapweedpulley.EngineReport{
		Start: 1, Lifetime: time.Second, Free: 100,
		Loading: []knapweedpulley.LoadInProgress{{Resident: knapweedpulley.Resident{Model: "m"}, Remaining: 20 * time.Second}},
	}, nil
}

// newGatewayDuringLoad returns a gateway whose only engine is loading model m.
func newGatewayDuringLoad(t *testing.T, retry knapweedpulley.RetrySafety) *gateway.Gateway {
	t.Helper()
	engine := knapweedpulley.EngineSpec{
		Memory: 100, Models: map[knapweedpulley.ModelID]knapweedpulley.ModelSpec{"m": {Model: "m", Size: 50, RemoteLoadTime: 20 * time.Second}},
	}
	_, exchanger, _ := newCrashTracker()
	return deployment{
		route:     knapweedpulley.Route{ID: "chat", Stream: true, Retry: retry, Timeout: time.Minute, MaxAttempts: 1},
		service:   knapweedpulley.Service{ID: "llm", Engine: knapweedpulley.Some(engine)},
		endpoints: []knapweedpulley.EndpointID{"1"}, exchanger: exchanger, keepers: loadingKeeper{}, retrySlack: 50,
	}.newGateway(t)
}

// timeToRefusal serves a call for model m and returns the time until it was refused.
func timeToRefusal(ctx context.Context, t *testing.T, g *gateway.Gateway) time.Duration {
	t.Helper()
	is := is.New(t)
	start := time.Now()
	err := g.Serve(ctx, &knapweedpulley.Call{
		ID: "r", Host: "h", Path: "/x", Timeout: time.Minute, Arrived: fake.Clock{}.Now(),
		Model: knapweedpulley.Some[knapweedpulley.ModelID]("m"),
	}, nil)
	is.True(err != nil)
	is.Equal(knapweedpulley.VerdictOf(err), knapweedpulley.NotRun)
	return time.Since(start)
}

func TestBeginShutdown(t *testing.T) {
	const end = 5 * time.Second
	t.Run("a call whose model can't be loaded before the gateway ends is refused at once", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := newGatewayDuringLoad(t, knapweedpulley.AtMostOnce)
			time.Sleep(2 * time.Second)
			g.BeginShutdown(fake.Clock{}.Now().Add(end), fake.Clock{}.Now().Add(end))
			is.New(t).Equal(timeToRefusal(t.Context(), t, g), time.Duration(0))
		})
	})
	t.Run("a waiting call is refused when its context ends", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := newGatewayDuringLoad(t, knapweedpulley.AtMostOnce)
			time.Sleep(2 * time.Second)
			ctx, cancel := context.WithTimeout(t.Context(), end)
			defer cancel()
			is.New(t).Equal(timeToRefusal(ctx, t, g), end)
		})
	})
	t.Run("a call that waits when the shutdown begins is refused as soon as it can't be sent any more", func(t *testing.T) {
		for _, retry := range []knapweedpulley.RetrySafety{knapweedpulley.AtMostOnce, knapweedpulley.Idempotent} {
			synctest.Test(t, func(t *testing.T) {
				g := newGatewayDuringLoad(t, retry)
				time.Sleep(2 * time.Second)
				time.AfterFunc(time.Second, func() { beginShutdown(g) })
				is.New(t).Equal(timeToRefusal(t.Context(), t, g), time.Second+untilRouted)
			})
		}
	})
	// Calls that waited for the tokens of their rate waited on until these had come or their deadline had passed.
	for name, setUp := range map[string]func(*accountedDeployment){
		"in the queue for its tokens": func(d *accountedDeployment) { d.allowances.EnableQueues() },
		"in advance of its tokens":    func(*accountedDeployment) {},
	} {
		inBubble("a call that waits "+name+" when the shutdown begins is refused as soon as it can't be sent any more", t, func(t *testing.T) {
			is := is.New(t)
			whole, _ := wholeDeployment()
			d := whole.withAccounts(1)
			d.route.LatencyTarget, d.route.Timeout = time.Minute, 2*time.Minute
			setUp(d)
			d.allowances.Configure([]knapweedpulley.Contract{{Customer: testCustomer, Rate: knapweedpulley.TokensPerSecond(price) / 18, Burst: price}})
			d.allowances.Take(testCustomer, price, 0)
			g := d.newGateway(t)
			began := time.Now()
			time.AfterFunc(time.Second, func() { beginShutdown(g) })
			_, err := serveCall(t, g, withKey)
			is.Equal(time.Since(began), time.Second+untilRouted)
			is.Equal(knapweedpulley.RefusalOf(err, "").Code, knapweedpulley.CodeDraining)
			is.Equal(knapweedpulley.VerdictOf(err), knapweedpulley.NotRun)
			is.True(knapweedpulley.RefusalOf(err, "").RetryAfter > 0)
		})
	}
	t.Run("without a shutdown a call waits longer", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := newGatewayDuringLoad(t, knapweedpulley.AtMostOnce)
			time.Sleep(2 * time.Second)
			is.New(t).True(timeToRefusal(t.Context(), t, g) > end)
		})
	})
}

const (
	// untilRouted is the time from the beginning of a shutdown until callers are routed elsewhere,
	// untilEnd that until the contexts of calls end.
	untilRouted = 2500 * time.Millisecond
	untilEnd    = 7 * time.Second
)

// beginShutdown begins a shutdown of a gateway that ends after untilEnd.
func beginShutdown(g *gateway.Gateway) {
	now := fake.Clock{}.Now()
	g.BeginShutdown(now.Add(untilRouted), now.Add(untilEnd))
}

// serveDuringShutdown serves a call that arrives at a time after the beginning of a shutdown, and
// ends its context with the shutdown.
func (d deployment) serveDuringShutdown(t *testing.T, at time.Duration, timeout time.Duration) (*recordedAnswer, error) {
	t.Helper()
	g := d.newGateway(t)
	ctx, cancel := context.WithTimeout(t.Context(), max(0, -at)+untilEnd)
	defer cancel()
	time.AfterFunc(max(0, -at), func() { beginShutdown(g) })
	time.Sleep(max(0, at))
	call := newCall()
	call.Timeout = timeout
	answer := &recordedAnswer{}
	err := g.Serve(ctx, call, answer)
	return answer, err
}

// assertLeftToOthers asserts that a call was refused with a verdict and a pause that let its caller
// repeat it at once elsewhere, and never sent.
func assertLeftToOthers(t *testing.T, x *scriptedExchanger, answer *recordedAnswer, err error) {
	t.Helper()
	is := is.New(t)
	var refusal *knapweedpulley.Refusal
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Verdict, knapweedpulley.NotRun)
	is.Equal(refusal.Code, knapweedpulley.CodeDraining)
	is.True(refusal.RetryAfter > 0 && refusal.RetryAfter < time.Second)
	is.Equal(len(answer.heads), 0)
	is.Equal(len(x.attempts()), 0)
}

func TestNoCallIsSentThatMayOutlastTheShutdown(t *testing.T) {
	const long = 8 * time.Second
	stream := scriptedAnswer{events: []string{"1", "2"}, silence: 100 * time.Millisecond}
	for _, retry := range []knapweedpulley.RetrySafety{knapweedpulley.AtMostOnce, knapweedpulley.Idempotent, knapweedpulley.Resumable} {
		name := []string{"at most once", "idempotent", "resumable"}[retry]
		for _, at := range []time.Duration{untilRouted, 5 * time.Second, untilEnd - time.Millisecond, untilEnd + time.Millisecond} {
			inBubble(name+", with a long limit, after "+at.String(), t, func(t *testing.T) {
				d, x := streamDeployment(stream)
				d.route.Retry = retry
				answer, err := d.serveDuringShutdown(t, at, long)
				assertLeftToOthers(t, x, answer, err)
			})
		}
		inBubble(name+", with a long limit, is answered while callers are still routed to the gateway", t, func(t *testing.T) {
			d, _ := streamDeployment(stream)
			d.route.Retry = retry
			answer, err := d.serveDuringShutdown(t, untilRouted-time.Millisecond, long)
			assertAnswered(t, answer, err, "1 2 ")
		})
		inBubble(name+", with a limit before the end, is answered", t, func(t *testing.T) {
			d, _ := streamDeployment(stream)
			d.route.Retry = retry
			answer, err := d.serveDuringShutdown(t, 5*time.Second, 2*time.Second)
			assertAnswered(t, answer, err, "1 2 ")
		})
	}
	inBubble("a call doesn't wait for an endpoint that takes requests again only after callers are routed elsewhere", t, func(t *testing.T) {
		is := is.New(t)
		d, x := streamDeployment(scriptedAnswer{status: http.StatusServiceUnavailable, notRun: true, retryAfter: untilRouted}, stream)
		d.endpoints, d.route.EventTimeout = d.endpoints[:1], long
		start := time.Now()
		_, err := d.serveDuringShutdown(t, time.Millisecond, long)
		is.True(time.Since(start) < untilRouted/2)
		is.True(err != nil)
		is.Equal(knapweedpulley.VerdictOf(err), knapweedpulley.NotRun)
		is.Equal(len(x.attempts()), 1)
	})
	inBubble("a call that may have run is not sent again", t, func(t *testing.T) {
		is := is.New(t)
		d, x := streamDeployment(scriptedAnswer{silence: 2 * time.Second, broken: true}, stream)
		d.endpoints = d.endpoints[:1]
		_, err := d.serveDuringShutdown(t, untilRouted-time.Second, long)
		is.True(err != nil)
		is.Equal(knapweedpulley.VerdictOf(err), knapweedpulley.MayHaveRun)
		is.Equal(len(x.attempts()), 1)
	})
}

func TestShutdownLetsRunningCallsEnd(t *testing.T) {
	inBubble("a call that must not be repeated is answered just before the end", t, func(t *testing.T) {
		d, x := streamDeployment(scriptedAnswer{events: []string{"1"}, silence: untilEnd + time.Second - time.Millisecond})
		d.route.Retry, d.route.Timeout = knapweedpulley.AtMostOnce, time.Minute
		answer, err := d.serveDuringShutdown(t, -time.Second, time.Minute)
		assertAnswered(t, answer, err, "1 ")
		is.New(t).Equal(len(x.attempts()), 1)
	})
	inBubble("a silent stream doesn't move when it may outlast the shutdown", t, func(t *testing.T) {
		d, x := streamDeployment(scriptedAnswer{events: []string{"1"}, silence: 3 * time.Second})
		answer, err := d.serveDuringShutdown(t, untilRouted-time.Second, 8*time.Second)
		assertAnswered(t, answer, err, "1 ")
		is.New(t).Equal(len(x.attempts()), 1)
	})
	inBubble("a stream of which the caller has a part is resumed", t, func(t *testing.T) {
		broken := scriptedAnswer{events: []string{"1", "2"}, broken: true, silence: 2 * time.Second}
		d, x := streamDeployment(broken, scriptedAnswer{events: []string{"3"}})
		d.endpoints = d.endpoints[:1]
		answer, err := d.serveDuringShutdown(t, untilRouted-time.Second, 8*time.Second)
		assertAnswered(t, answer, err, "1 2 3 ")
		is.New(t).Equal(len(x.attempts()), 2)
	})
}
