package gateway_test

import (
	"bytes"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/fleet"
	"github.com/knapweedpulley/knapweedpulley/gateway"
	"github.com/knapweedpulley/knapweedpulley/logbook"
	"github.com/knapweedpulley/knapweedpulley/machine/fake"
)

// evacuate makes the zones of some endpoints of a fleet evacuated, and those of all others not.
func evacuate(f *fleet.Fleet, evacuated ...knapweedpulley.EndpointID) {
	zones := knapweedpulley.NewSet(evacuated...)
	var list []knapweedpulley.RegisteredEndpoint
	for id, e := range f.Endpoints() {
		r := *e.Registration()
		r.Evacuated = zones.Has(id)
		list = append(list, r)
	}
	f.Update(list)
}

// evacuateActive makes the zone of the endpoint evacuated that has a request, or has one on its way.
func evacuateActive(f *fleet.Fleet) knapweedpulley.EndpointID {
	for id, e := range f.Endpoints() {
		if e.Active() > 0 {
			evacuate(f, id)
			return id
		}
	}
	return ""
}

// evacuableDeployment gives a deployment a fleet that the test can change.
func evacuableDeployment(d deployment) deployment {
	d.fleet = fleet.New(fake.Clock{}, "a")
	return d
}

// assertEvacuated asserts that a call was refused because of an evacuation, with a time after which to
// come back.
func assertEvacuated(t *testing.T, err error, verdict knapweedpulley.Verdict) {
	t.Helper()
	is := is.New(t)
	var refusal *knapweedpulley.Refusal
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Code, knapweedpulley.CodeEvacuated)
	is.Equal(refusal.Verdict, verdict)
	is.True(refusal.RetryAfter > 0 || verdict == knapweedpulley.MayHaveRun)
}

// Guards against calls that fail or still reach the zone when many are on their way.
func TestEvacuationInTheMiddleOfABurst(t *testing.T) {
	inBubble("no call reaches the zone until it is given back, and all are answered", t, func(t *testing.T) {
		is := is.New(t)
		d, _ := streamDeployment()
		d = evacuableDeployment(d)
		x := newBusyExchanger(0, "1")
		const from, until = time.Second, 2 * time.Second
		d.exchanger = x
		g := d.newGateway(t)
		time.AfterFunc(from, func() { evacuate(d.fleet, "1") })
		time.AfterFunc(until, func() { evacuate(d.fleet) })
		answered, refusals := serveManyAt(t, g, x, 3*time.Second)
		is.Equal(len(refusals), 0)
		is.Equal(answered, 600)
		before, during, after := 0, 0, 0
		for _, at := range x.reached["1"] {
			switch {
			case at < from:
				before++
			case at > from && at < until:
				during++
			case at > until:
				after++
			}
		}
		is.Equal(during, 0)
		is.True(before > 0 && after > 0)
	})
}

// Guards against calls that wait in vain for endpoints that get no requests.
func TestCallIsRefusedAtOnceWhenAllItsZonesAreEvacuated(t *testing.T) {
	withModel := func(c *knapweedpulley.Call) { c.Model = knapweedpulley.Some[knapweedpulley.ModelID]("m") }
	engineDeployment := func() deployment {
		d, _ := streamDeployment(scriptedAnswer{events: []string{"1"}})
		d.service.Engine = knapweedpulley.Some(knapweedpulley.EngineSpec{
			Memory: 100, Models: map[knapweedpulley.ModelID]knapweedpulley.ModelSpec{
				"m": {Model: "m", Size: 50, RemoteLoadTime: 400 * time.Millisecond},
			},
		})
		d.keepers = lateKeeper{loadedAt: time.Now().Add(2500 * time.Millisecond)}
		return evacuableDeployment(d)
	}
	// assertRefusedAt asserts that a call is refused at a time, without an attempt.
	assertRefusedAt := func(t *testing.T, g *gateway.Gateway, at time.Duration, changes ...func(*knapweedpulley.Call)) {
		t.Helper()
		began := time.Now()
		_, err := serveCall(t, g, changes...)
		assertEvacuated(t, err, knapweedpulley.NotRun)
		is.New(t).Equal(time.Since(began), at)
	}
	inBubble("a call of a plain service", t, func(t *testing.T) {
		d, x := streamDeployment(scriptedAnswer{events: []string{"1"}})
		d = evacuableDeployment(d)
		g := d.newGateway(t)
		evacuate(d.fleet, "1", "2")
		assertRefusedAt(t, g, 0)
		is.New(t).Equal(len(x.attempts()), 0)
		evacuate(d.fleet)
		answer, err := serveCall(t, g)
		assertAnswered(t, answer, err, "1 ")
	})
	inBubble("a call that needs a model", t, func(t *testing.T) {
		d := engineDeployment()
		g := d.newGateway(t)
		evacuate(d.fleet, "1", "2")
		assertRefusedAt(t, g, 0, withModel)
	})
	inBubble("a call that waits for its model", t, func(t *testing.T) {
		d := engineDeployment()
		g := d.newGateway(t)
		time.Sleep(time.Second)
		time.AfterFunc(150*time.Millisecond, func() { evacuate(d.fleet, "1", "2") })
		assertRefusedAt(t, g, 150*time.Millisecond, withModel)
	})
	inBubble("a call that waits until its endpoints want requests again", t, func(t *testing.T) {
		d, _ := streamDeployment(
			scriptedAnswer{status: http.StatusServiceUnavailable, notRun: true, retryAfter: time.Second},
			scriptedAnswer{status: http.StatusServiceUnavailable, notRun: true, retryAfter: time.Second}, scriptedAnswer{events: []string{"1"}})
		d = evacuableDeployment(d)
		g := d.newGateway(t)
		time.AfterFunc(300*time.Millisecond, func() { evacuate(d.fleet, "1", "2") })
		assertRefusedAt(t, g, 300*time.Millisecond)
	})
	inBubble("a call whose rate isn't there isn't charged first", t, func(t *testing.T) {
		d, _ := streamDeployment(scriptedAnswer{events: []string{"1"}})
		a := evacuableDeployment(d).withAccounts(1000)
		g := a.newGateway(t)
		accrue(t, a, g)
		evacuate(a.fleet, "1", "2")
		assertRefusedAt(t, g, 0, withKey)
	})
}

// Guards against requests to endpoints that were chosen before their zone was evacuated.
func TestCallThatWaitsLeavesEndpointOfEvacuatedZone(t *testing.T) {
	inBubble("while it waits for its rate with an endpoint chosen", t, func(t *testing.T) {
		left := make(chan knapweedpulley.EndpointID, 1)
		p := waitingPlace{
			changeAfter: 50 * time.Millisecond,
			prepare: func() deployment {
				d, _ := streamDeployment(scriptedAnswer{events: []string{"1"}})
				return evacuableDeployment(d)
			},
			setUp: func(t *testing.T, d *accountedDeployment, g *gateway.Gateway) {
				t.Helper()
				d.allowances.Take(otherCustomer, 500, 0)
				d.allowances.Configure([]knapweedpulley.Contract{
					{Customer: testCustomer, Rate: 1e-9, Burst: 1e6}, {Customer: otherCustomer, Rate: 1000, Burst: 1000},
				})
				loseEndpoints(t, d, g)
				time.AfterFunc(90*time.Millisecond, func() { left <- evacuateActive(d.fleet) })
			},
		}
		o := p.serve(t, passKeyOn, 1000)
		assertAnswered(t, o.answer, o.err, "1 ")
		is := is.New(t)
		chosen := <-left
		is.True(chosen != "")
		is.Equal(len(o.attempts), 1)
		is.True(o.attempts[0].Endpoint != chosen)
	})
	inBubble("while the endpoint that it was moved from is checked", t, func(t *testing.T) {
		d, x := streamDeployment(silentStream, restOfStream)
		d = evacuableDeployment(d)
		d.crashCheckTime = 700 * time.Millisecond
		g := d.newGateway(t)
		var group sync.WaitGroup
		group.Go(func() {
			answer, err := serveCall(t, g)
			assertAnswered(t, answer, err, "1 2 3 ")
		})
		time.Sleep(1010 * time.Millisecond)
		is := is.New(t)
		is.Equal(len(x.attempts()), 1)
		first := x.attempts()[0]
		second := knapweedpulley.EndpointID("2")
		if first == "2" {
			second = "1"
		}
		is.Equal(d.fleet.Endpoints()[second].Active(), 1) // The call is about to move there.
		evacuate(d.fleet, second)
		group.Wait()
		is.Equal(x.attempts(), []knapweedpulley.EndpointID{first, first})
		is.Equal(d.fleet.Endpoints()[second].Active(), 0)
	})
	inBubble("and doesn't return to it", t, func(t *testing.T) {
		is := is.New(t)
		d, x := wholeDeployment(scriptedAnswer{silence: time.Minute},
			scriptedAnswer{status: http.StatusInternalServerError}, scriptedAnswer{body: "balance"})
		d = evacuableDeployment(d)
		d.retryBudget = gateway.NewRetryBudget(2.5, 1)
		g := d.newGateway(t)
		var group sync.WaitGroup
		group.Go(func() {
			_, err := serveCall(t, g)
			is.True(err != nil)
			is.Equal(knapweedpulley.VerdictOf(err), knapweedpulley.MayHaveRun)
		})
		time.Sleep(600 * time.Millisecond)
		is.Equal(len(x.attempts()), 2)
		evacuate(d.fleet, x.attempts()[0])
		time.Sleep(200 * time.Millisecond)
		for range 10 {
			d.retryBudget.Deposit(d.service.ID)
		}
		group.Wait()
		is.Equal(len(x.attempts()), 2)
	})
	inBubble("also if it waits for the rate before it returns", t, func(t *testing.T) {
		// The call was moved, failed at the other endpoint, and is admitted anew for a customer whose rate
		// has to come before it returns.
		is := is.New(t)
		d, x := wholeDeployment(scriptedAnswer{silence: time.Minute},
			scriptedAnswer{silence: 100 * time.Millisecond, status: http.StatusInternalServerError}, scriptedAnswer{body: "balance"})
		a := evacuableDeployment(d).withAccounts(1000)
		a.route.LatencyTarget = 600 * time.Millisecond
		a.objects = a.newStore(t)
		g := a.newGateway(t)
		a.allowances.Take(otherCustomer, 500, 0)
		a.allowances.Configure([]knapweedpulley.Contract{
			{Customer: testCustomer, Rate: 1e-9, Burst: 1e6}, {Customer: otherCustomer, Rate: 550, Burst: 1000},
		})
		a.allowances.Take(otherCustomer, 100, 0)
		var err error
		var group sync.WaitGroup
		group.Go(func() { _, err = a.serveAt(t, g, 1250*time.Millisecond, passKeyOn, withKey) })
		for len(x.attempts()) < 2 {
			time.Sleep(time.Millisecond)
		}
		a.allowances.Take(otherCustomer, 1000, 0)
		time.Sleep(90 * time.Millisecond)
		// Whatever the tokens are by now, none are left when the call fails at the other endpoint.
		for n := knapweedpulley.Tokens(1000); n > 0; n /= 2 {
			a.allowances.Take(otherCustomer, n, 0)
		}
		time.Sleep(50 * time.Millisecond)
		evacuate(a.fleet, x.attempts()[0])
		group.Wait()
		assertEvacuated(t, err, knapweedpulley.MayHaveRun)
		is.Equal(len(x.attempts()), 2)
	})
}

// Guards against answers that an evacuation cuts off.
func TestRunningCallOutlivesEvacuation(t *testing.T) {
	inBubble("of all zones", t, func(t *testing.T) {
		d, x := streamDeployment(scriptedAnswer{silence: 500 * time.Millisecond, silentAfter: 1, events: []string{"1", "2", "3"}})
		d = evacuableDeployment(d)
		g := d.newGateway(t)
		time.AfterFunc(100*time.Millisecond, func() { evacuate(d.fleet, "1", "2") })
		answer, err := serveCall(t, g)
		assertAnswered(t, answer, err, "1 2 3 ")
		is.New(t).Equal(len(x.attempts()), 1)
	})
}

// Guards against a gateway that follows evacuations without applying them.
func TestEvacuationIsTakenFromTheStore(t *testing.T) {
	inBubble("by a gateway that follows it", t, func(t *testing.T) {
		d, x := streamDeployment(scriptedAnswer{events: []string{"1"}})
		d.evacuations, d.zone = true, "b"
		d.objects = d.newStore(t)
		g := d.newGateway(t)
		putObject(t, d.objects, knapweedpulley.KindEvacuations, "b", struct{}{})
		time.Sleep(5 * time.Second)
		_, err := serveCall(t, g)
		assertEvacuated(t, err, knapweedpulley.NotRun)
		is.New(t).Equal(len(x.attempts()), 0)
	})
}

// Guards against operators who see a zone as empty before it is, or never.
func TestEvacuationReporter(t *testing.T) {
	inBubble("an evacuated zone is logged once when it is empty", t, func(t *testing.T) {
		is := is.New(t)
		var logs bytes.Buffer
		scope := tally.NewTestScope("", nil)
		f := newFleet("1", "2")
		r := gateway.NewEvacuationReporter(f, gateway.NewMeter(scope), logbook.New(&logs, log.InfoLevel, "test", "test"))
		lines := func() int {
			r.Report()
			return strings.Count(logs.String(), "has no requests of this gateway any more")
		}
		request, begun := f.Endpoints()["1"].BeginRequest(1)
		is.True(begun)
		is.Equal(lines(), 0)
		evacuate(f, "1")
		is.Equal(lines(), 0)
		is.Equal(scope.Snapshot().Gauges()["evacuated_requests+zone="].Value(), 1.0)
		request.End(fleet.Answered)
		is.Equal(lines(), 1)
		is.Equal(lines(), 1)
		is.Equal(scope.Snapshot().Gauges()["evacuated_requests+zone="].Value(), 0.0)
		evacuate(f)
		is.Equal(lines(), 1)
		evacuate(f, "1")
		is.Equal(lines(), 2)
	})
}
