package gateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/fleet"
	"github.com/knapweedpulley/knapweedpulley/gateway"
	"github.com/knapweedpulley/knapweedpulley/machine/fake"
	storefake "github.com/knapweedpulley/knapweedpulley/store/fake"
)

// coldTime is how long the endpoints of these tests are cold.
const coldTime = 3 * time.Second

// withCold returns the deployment with endpoints that are cold from its start on, of which its gateway may
// send requestsPerSecond to each.
func (d deployment) withCold(t *testing.T, requestsPerSecond float64, cold ...knapweedpulley.EndpointID) deployment {
	t.Helper()
	d.fleet = fleet.New(fake.Clock{}, "a")
	d.fleet.ShareWarmUp("g", nil)
	d.fleet.SetGateways([]knapweedpulley.Member{{Entry: "g"}})
	d.fleet.ConfigureWarmUp(map[knapweedpulley.ServiceID]knapweedpulley.WarmUpLimit{
		d.service.ID: {Duration: coldTime, RequestsPerSecond: requestsPerSecond},
	})
	time.Sleep(time.Second)
	d.objects = d.newStore(t)
	registerCold(t, d.objects, cold...)
	return d
}

// registerCold has endpoints register as cold.
func registerCold(t *testing.T, objects *storefake.Store, cold ...knapweedpulley.EndpointID) {
	t.Helper()
	is := is.New(t)
	for _, id := range cold {
		o, err := objects.Get(t.Context(), knapweedpulley.KindEndpoints, string(id))
		is.NoErr(err)
		var r knapweedpulley.RegisteredEndpoint
		is.NoErr(json.Unmarshal(o.Value, &r))
		r.ColdFor = coldTime
		putObject(t, objects, knapweedpulley.KindEndpoints, string(id), r)
	}
}

// servedCall is how a call ended, and when.
type servedCall struct {
	refusal         *knapweedpulley.Refusal
	arrived, served time.Duration
}

// serveAtRate serves a call each period for a time.
func serveAtRate(t *testing.T, d deployment, period, duration time.Duration) []servedCall {
	t.Helper()
	g := d.newGateway(t)
	var mu sync.Mutex
	var group sync.WaitGroup
	var calls []servedCall
	began := time.Now()
	for time.Since(began) < duration {
		group.Go(func() {
			c := servedCall{arrived: time.Since(began)}
			_, err := serveCall(t, g)
			c.served = time.Since(began)
			if !errors.As(err, &c.refusal) && err != nil {
				t.Error(err)
			}
			mu.Lock()
			defer mu.Unlock()
			calls = append(calls, c)
		})
		time.Sleep(period)
	}
	group.Wait()
	return calls
}

// assertAtMost asserts that in any second at most n attempts reached an endpoint until a time.
func assertAtMost(t *testing.T, times []time.Duration, n int, until time.Duration) {
	t.Helper()
	is := is.New(t)
	for i := range times {
		if i >= n && times[i] < until {
			is.True(times[i]-times[i-n] >= time.Second)
		}
	}
}

// Guards against a burst at endpoints that are all cold, and against calls that wait in vain: each is
// answered, or refused at once with a time at which it can be served.
func TestCallsToColdEndpointsAreAnsweredOrRefusedAtOnce(t *testing.T) {
	for _, period := range []time.Duration{5 * time.Millisecond, 2500 * time.Microsecond} {
		inBubble(fmt.Sprint("one each ", period), t, func(t *testing.T) {
			is := is.New(t)
			d, _ := streamDeployment()
			d = d.withCold(t, 3, "1", "2")
			x := newBusyExchanger(0, "1", "2")
			d.exchanger = x
			x.began = time.Now()
			calls := serveAtRate(t, d, period, 2*coldTime)
			is.Equal(len(x.reached), 2)
			for _, times := range x.reached {
				assertAtMost(t, times, 3, coldTime)
			}
			refused := 0
			for _, c := range calls {
				if c.refusal == nil {
					is.True(c.served-c.arrived <= d.route.EventTimeout)
					continue
				}
				refused++
				is.Equal(c.served, c.arrived)
				is.Equal(c.refusal.Verdict, knapweedpulley.NotRun)
				is.True(c.refusal.RetryAfter > 0)
				is.True(c.refusal.RetryAfter <= coldTime*5/4) // Callers come back spread over a window.
				is.True(c.arrived < coldTime)
			}
			t.Logf("%d of %d calls refused", refused, len(calls))
			is.True(refused > 0)
		})
	}
}

// Guards against calls that get past the limit because they move, return or are repeated.
func TestMovedCallsStayWithinTheLimitOfColdEndpoint(t *testing.T) {
	silent := scriptedAnswer{silence: silentPause, silentAfter: 1, events: []string{"1", "2"}}
	rest := scriptedAnswer{events: []string{"2"}}
	inBubble("a call doesn't move to a cold endpoint without a share left", t, func(t *testing.T) {
		is := is.New(t)
		d, x := streamDeployment(silent)
		d = d.withCold(t, 1, "2")
		g := d.newGateway(t)
		time.AfterFunc(900*time.Millisecond, func() { _, _ = d.fleet.Endpoints()["2"].BeginRequest(0) })
		answer, err := serveCall(t, g)
		assertAnswered(t, answer, err, "1 2 ")
		is.Equal(len(x.attempts()), 1)
	})
	inBubble("a call moves to a cold endpoint with a share, and uses it up", t, func(t *testing.T) {
		is := is.New(t)
		d, x := streamDeployment(silent, rest)
		d = d.withCold(t, 1, "2")
		answer, err := d.serve(t)
		assertAnswered(t, answer, err, "1 2 ")
		is.Equal(x.attempts(), []knapweedpulley.EndpointID{"1", "2"})
	})
	for name, shareIsLeft := range map[string]bool{"with a share left": true, "without a share left": false} {
		inBubble("return to a cold endpoint "+name, t, func(t *testing.T) {
			is := is.New(t)
			d, x := streamDeployment(silent, scriptedAnswer{status: http.StatusInternalServerError}, rest)
			d.route.EventGapTarget = 400 * time.Millisecond // The call moves after 1.2 s.
			d = d.withCold(t, 1, "1", "2")
			g := d.newGateway(t)
			time.AfterFunc(1100*time.Millisecond, func() {
				if !shareIsLeft {
					_, begun := d.fleet.Endpoints()[x.attempts()[0]].BeginRequest(0)
					is.True(begun)
				}
			})
			_, err := serveCall(t, g)
			is.Equal(err == nil, shareIsLeft)
			is.Equal(len(x.attempts()) == 3, shareIsLeft)
		})
	}
}

// requestedKeeper is a link to the keeper of endpoint 2, whose engine loads model m once it is requested. No
// other keeper can be reached.
type requestedKeeper struct {
	loadTime time.Duration
	mu       sync.Mutex
	loadedAt time.Time
}

// OpenStream implements knapweedpulley.KeeperLink.
func (k *requestedKeeper) OpenStream(ctx context.Context, address string) (knapweedpulley.KeeperStream, error) {
	s, err := lateKeeper{}.OpenStream(ctx, address)
	if err != nil {
		return nil, err
	}
	return &requestedStream{KeeperStream: s, ctx: ctx, keeper: k}, nil
}

type requestedStream struct {
	knapweedpulley.KeeperStream
	ctx    context.Context
	keeper *requestedKeeper
}

// Send implements knapweedpulley.KeeperStream.
func (s *requestedStream) Send(m knapweedpulley.GatewayMessage) error {
	s.keeper.mu.Lock()
	defer s.keeper.mu.Unlock()
	if len(m.LoadRequests) > 0 && s.keeper.loadedAt.IsZero() {
		s.keeper.loadedAt = time.Now().Add(s.keeper.loadTime)
	}
	return s.KeeperStream.Send(m)
}

// Receive implements knapweedpulley.KeeperStream.
func (s *requestedStream) Receive() (knapweedpulley.EngineReport, error) {
	s.keeper.mu.Lock()
	loadedAt := s.keeper.loadedAt
	s.keeper.mu.Unlock()
	r, err := lateKeeper{ctx: s.ctx, loadedAt: loadedAt}.Receive()
	r.Cached = []knapweedpulley.CachedCheckpoint{{Model: "m", Tier: knapweedpulley.TierDisk}}
	if loadedAt.IsZero() {
		r.Models = nil
	}
	return r, err
}

// Guards against calls that wait for a cold holder of their model although another engine has it sooner.
func TestModelOfColdHolderIsLoadedElsewhere(t *testing.T) {
	inBubble("if that is sooner", t, func(t *testing.T) {
		is := is.New(t)
		d, x := streamDeployment(scriptedAnswer{events: []string{"1"}})
		d.service.Engine = knapweedpulley.Some(knapweedpulley.EngineSpec{
			Memory: 100, Models: map[knapweedpulley.ModelID]knapweedpulley.ModelSpec{
				"m": {Model: "m", Size: 50, DiskLoadTime: 400 * time.Millisecond},
			},
		})
		d.holder, d.route.EventTimeout = "1", 2*time.Second
		d = d.withCold(t, 1, "1")
		d.keepers = &requestedKeeper{loadTime: 400 * time.Millisecond}
		g := d.newGateway(t)
		time.Sleep(100 * time.Millisecond) // The keeper reports.
		for range 3 {
			answer, err := serveCall(t, g, func(c *knapweedpulley.Call) { c.Model = knapweedpulley.Some[knapweedpulley.ModelID]("m") })
			assertAnswered(t, answer, err, "1 ")
		}
		is.Equal(x.attempts(), []knapweedpulley.EndpointID{"1", "2", "2"})
	})
}

// Guards against requests that take their part of the share, wait for the customer's rate and are sent
// beside those of a later second.
func TestCallThatWaitsTakesItsShareAnew(t *testing.T) {
	inBubble("while it waits for its rate with an endpoint chosen", t, func(t *testing.T) {
		is := is.New(t)
		const changeAfter = 50 * time.Millisecond
		var f *fleet.Fleet
		var chosenAt time.Time
		p := waitingPlace{
			changeAfter: changeAfter,
			prepare: func() deployment {
				d, _ := streamDeployment(scriptedAnswer{events: []string{"1"}})
				d = d.withCold(t, 1)
				d.route.LatencyTarget = 3 * time.Second
				f = d.fleet
				return d
			},
			call: func(c *knapweedpulley.Call) { c.Prompt, c.Completion = 2*price, 2*price },
			setUp: func(t *testing.T, d *accountedDeployment, g *gateway.Gateway) {
				t.Helper()
				registerCold(t, d.objects, "1", "2")
				time.Sleep(time.Second)
				d.allowances.Take(otherCustomer, 500, 0)
				d.allowances.Configure([]knapweedpulley.Contract{
					{Customer: testCustomer, Rate: 1e-9, Burst: 1e6}, {Customer: otherCustomer, Rate: 1000, Burst: 1000},
				})
				loseEndpoints(t, d, g)
				chosenAt = time.Now().Add(changeAfter) // The endpoints are published again with the configuration.
			},
		}
		o := p.serve(t, passKeyOn, 1000)
		assertAnswered(t, o.answer, o.err, "1 ")
		is.Equal(len(o.attempts), 1)
		is.True(time.Since(chosenAt) > 200*time.Millisecond)
		time.Sleep(time.Until(chosenAt.Add(time.Second)))
		_, begun := f.Endpoints()[o.attempts[0].Endpoint].BeginRequest(0)
		is.True(!begun)
	})
}
