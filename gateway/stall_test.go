package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/gateway"
	"github.com/knapweedpulley/knapweedpulley/machine/fake"
)

// silentPause is longer than every time without bytes after which a call may be moved to another
// endpoint.
const silentPause = 1500 * time.Millisecond

// streamDeployment returns a deployment of resumable streams with two endpoints.
func streamDeployment(answers ...scriptedAnswer) (deployment, *scriptedExchanger) {
	x := &scriptedExchanger{answers: answers}
	return deployment{
		route: knapweedpulley.Route{
			ID: "chat", Stream: true, Retry: knapweedpulley.Resumable, Timeout: 8 * time.Second,
			LatencyTarget: 600 * time.Millisecond, EventGapTarget: 300 * time.Millisecond,
			EventTimeout: 2400 * time.Millisecond, MaxAttempts: 2,
		},
		service: knapweedpulley.Service{ID: "s"}, endpoints: []knapweedpulley.EndpointID{"1", "2"}, exchanger: x, retrySlack: 50,
	}, x
}

// wholeDeployment returns a deployment of idempotent calls with whole answers.
func wholeDeployment(answers ...scriptedAnswer) (deployment, *scriptedExchanger) {
	d, x := streamDeployment(answers...)
	d.route.Stream, d.route.Retry, d.route.LatencyTarget = false, knapweedpulley.Idempotent, 150*time.Millisecond
	return d, x
}

func TestAnswerIsNotCutBySilence(t *testing.T) {
	silent := scriptedAnswer{silence: silentPause, events: []string{"1", "2", "3"}}
	full := scriptedAnswer{status: http.StatusServiceUnavailable, notRun: true}
	inBubble("a stream that pauses after its first event goes on where it is if no retry is left", t, func(t *testing.T) {
		paused := silent
		paused.silentAfter = 1
		d, x := streamDeployment(paused, full)
		d.retrySlack = 0
		answer, err := d.serve(t)
		assertAnswered(t, answer, err, "1 2 3 ")
		is.New(t).Equal(len(x.attempts()), 1)
	})
	inBubble("a begun stream that can't be resumed goes on where it is", t, func(t *testing.T) {
		paused := silent
		paused.silentAfter = 1
		d, x := streamDeployment(paused, full)
		d.route.Retry = knapweedpulley.Idempotent
		answer, err := d.serve(t)
		assertAnswered(t, answer, err, "1 2 3 ")
		is.New(t).Equal(len(x.attempts()), 1)
	})
	inBubble("a silent stream goes on where it is if no retry is left", t, func(t *testing.T) {
		d, x := streamDeployment(silent, full)
		d.retrySlack = 0
		answer, err := d.serve(t)
		assertAnswered(t, answer, err, "1 2 3 ")
		is.New(t).Equal(len(x.attempts()), 1)
	})
	inBubble("a silent stream goes on where it is if no other endpoint can take it", t, func(t *testing.T) {
		d, x := streamDeployment(silent, full)
		d.endpoints = d.endpoints[:1]
		answer, err := d.serve(t)
		assertAnswered(t, answer, err, "1 2 3 ")
		is.New(t).Equal(len(x.attempts()), 1)
	})
	inBubble("a silent stream moves to another endpoint that can take it", t, func(t *testing.T) {
		d, x := streamDeployment(silent, scriptedAnswer{events: []string{"1", "2", "3"}})
		answer, err := d.serve(t)
		assertAnswered(t, answer, err, "1 2 3 ")
		is := is.New(t)
		sent := x.attempts()
		is.Equal(len(sent), 2)
		is.True(sent[0] != sent[1])
	})
	inBubble("a moved stream is sent until an endpoint takes it", t, func(t *testing.T) {
		d, _ := streamDeployment(silent, full, full, full, full, scriptedAnswer{events: []string{"1", "2", "3"}})
		answer, err := d.serve(t)
		assertAnswered(t, answer, err, "1 2 3 ")
	})
	inBubble("a stream whose first event comes at the moment of the timeout goes on", t, func(t *testing.T) {
		punctual := silent
		punctual.silence = 1200 * time.Millisecond
		d, _ := streamDeployment(punctual, full)
		d.retrySlack = 0
		answer, err := d.serve(t)
		assertAnswered(t, answer, err, "1 2 3 ")
	})
	inBubble("a silent whole answer is awaited if no retry is left", t, func(t *testing.T) {
		d, x := wholeDeployment(scriptedAnswer{silence: silentPause, body: "balance"}, full)
		d.retrySlack = 0
		answer, err := d.serve(t)
		assertAnswered(t, answer, err, "balance")
		is.New(t).Equal(len(x.attempts()), 1)
	})
	inBubble("a silent whole answer is awaited if no other endpoint can take the call", t, func(t *testing.T) {
		d, x := wholeDeployment(scriptedAnswer{silence: silentPause, body: "balance"}, full)
		d.endpoints = d.endpoints[:1]
		answer, err := d.serve(t)
		assertAnswered(t, answer, err, "balance")
		is.New(t).Equal(len(x.attempts()), 1)
	})
}

func TestDeadStreamIsResumedInTime(t *testing.T) {
	for _, target := range []time.Duration{600 * time.Millisecond, 4 * time.Second} {
		inBubble("after an early event, with a latency target of "+target.String(), t, func(t *testing.T) {
			d, _ := streamDeployment(
				scriptedAnswer{silence: time.Minute, silentAfter: 1, events: []string{"1", "2"}},
				scriptedAnswer{events: []string{"2", "3"}})
			d.route.LatencyTarget, d.route.Timeout, d.route.EventTimeout = target, time.Minute, 4*target
			g := d.newGateway(t)
			began := time.Now()
			answer, err := serveCall(t, g)
			assertAnswered(t, answer, err, "1 2 3 ")
			is.New(t).True(time.Since(began) < 1500*time.Millisecond)
		})
	}
}

func TestMovedCallStaysWithinCrashLimit(t *testing.T) {
	inBubble("a content that crashed two endpoints isn't sent on", t, func(t *testing.T) {
		d, x := streamDeployment(scriptedAnswer{broken: true},
			scriptedAnswer{silence: 3 * time.Second, events: []string{"1"}}, scriptedAnswer{events: []string{"1"}})
		d.endpoints, d.route.MaxAttempts, d.crashing = []knapweedpulley.EndpointID{"1", "2", "3"}, 4, true
		_, _ = d.serve(t, func(c *knapweedpulley.Call) { c.Fingerprint = 7 })
		is.New(t).Equal(len(x.attempts()), 2)
	})
}

func TestWholeAnswerGoesOnWhileItsBytesArrive(t *testing.T) {
	for _, size := range []int{1000, 300 << 10} {
		inBubble(strconv.Itoa(size)+" bytes at a time", t, func(t *testing.T) {
			const parts = 10
			d, x := wholeDeployment(scriptedAnswer{
				body: strings.Repeat("x", parts*size), partSize: size, partPause: 100 * time.Millisecond,
			})
			answer, err := d.serve(t)
			assertAnswered(t, answer, err, strings.Repeat("x", parts*size))
			is.New(t).Equal(len(x.attempts()), 1)
		})
	}
}

func TestAnswerThatMayNotBeKeptIsPassedOnWhole(t *testing.T) {
	inBubble("while no more bytes may be kept", t, func(t *testing.T) {
		body := strings.Repeat("0123456789", 20_000)
		d, x := wholeDeployment(scriptedAnswer{body: body, keepable: 16 * knapweedpulley.KiB})
		answer, err := d.serve(t)
		assertAnswered(t, answer, err, body)
		is.New(t).Equal(len(x.attempts()), 1)
	})
}

// slowExchanger is silent at endpoint 1 and takes its time at endpoint 2, and records the largest
// number of attempts that endpoint 2 had at once.
type slowExchanger struct {
	*scriptedExchanger
	active, most int
}

// Exchange implements knapweedpulley.Exchanger.
func (x *slowExchanger) Exchange(ctx context.Context, a knapweedpulley.Attempt) (knapweedpulley.Reply, error) {
	answer := scriptedAnswer{silence: silentPause, events: []string{"1"}}
	if a.Endpoint == "2" {
		answer.silence = 800 * time.Millisecond
		x.mu.Lock()
		x.active++
		x.most = max(x.most, x.active)
		x.mu.Unlock()
		defer time.AfterFunc(answer.silence, func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			x.active--
		})
	}
	return &scriptedReply{ctx: ctx, scriptedAnswer: answer, body: strings.NewReader("")}, nil
}

func TestSilentStreamsDoNotOverfillAnEndpoint(t *testing.T) {
	inBubble("that has one free slot", t, func(t *testing.T) {
		is := is.New(t)
		d, scripted := streamDeployment()
		x := &slowExchanger{scriptedExchanger: scripted}
		d.exchanger = x
		g := d.newGateway(t)
		var group sync.WaitGroup
		for range 8 {
			group.Go(func() {
				answer, err := serveCall(t, g)
				assertAnswered(t, answer, err, "1 ")
			})
			synctest.Wait()
		}
		// Endpoint 2 has ended its first four calls and gets three more before those at endpoint 1
		// can move.
		time.Sleep(900 * time.Millisecond)
		for range 3 {
			group.Go(func() { _, _ = serveCall(t, g) })
			synctest.Wait()
		}
		group.Wait()
		is.True(x.most <= 4)
	})
}

func TestMovedCallLeavesRetriesForOthers(t *testing.T) {
	full := scriptedAnswer{status: http.StatusServiceUnavailable, notRun: true}
	inBubble("while all other endpoints refuse it", t, func(t *testing.T) {
		d, x := streamDeployment(scriptedAnswer{silence: silentPause, events: []string{"1"}}, full)
		answer, err := d.serve(t)
		is := is.New(t)
		is.True(err != nil)
		is.Equal(len(answer.heads), 0)
		is.True(len(x.attempts()) <= 8)
	})
}

func TestSlowCallerIsNotTakenForSilentEndpoint(t *testing.T) {
	inBubble("while an event is written", t, func(t *testing.T) {
		is := is.New(t)
		d, x := streamDeployment(scriptedAnswer{events: []string{"1", "2", "3"}})
		g := d.newGateway(t)
		answer := &slowAnswer{pause: silentPause}
		is.NoErr(g.Serve(t.Context(), newCall(), answer))
		is.Equal(answer.body.String(), "1 2 3 ")
		is.Equal(len(x.attempts()), 1)
	})
}

// slowAnswer is an answer whose caller takes a while to read each part.
type slowAnswer struct {
	recordedAnswer
	pause time.Duration
}

// Write implements knapweedpulley.AnswerWriter.
func (a *slowAnswer) Write(p []byte) (int, error) {
	time.Sleep(a.pause)
	return a.recordedAnswer.Write(p)
}

func TestMoveDoesNotWaitForCrashCheck(t *testing.T) {
	inBubble("of an endpoint that answers no connection", t, func(t *testing.T) {
		d, _ := streamDeployment(
			scriptedAnswer{silence: time.Minute, silentAfter: 1, events: []string{"1", "2"}},
			scriptedAnswer{events: []string{"2", "3"}})
		d.crashCheckTime = 700 * time.Millisecond
		g := d.newGateway(t)
		began := time.Now()
		answer, err := serveCall(t, g)
		assertAnswered(t, answer, err, "1 2 3 ")
		is.New(t).True(time.Since(began) < 1200*time.Millisecond)
		// The check goes on after the call.
		time.Sleep(d.crashCheckTime)
	})
}

func TestSilentEndpointGetsNoNewCalls(t *testing.T) {
	inBubble("while another is there", t, func(t *testing.T) {
		d, x := streamDeployment(scriptedAnswer{silence: 5 * time.Second, events: []string{"1"}})
		d.retrySlack = 0
		g := d.newGateway(t)
		var group sync.WaitGroup
		defer group.Wait()
		start := func() {
			group.Go(func() { _, _ = serveCall(t, g) })
			synctest.Wait()
		}
		start()
		time.Sleep(1300 * time.Millisecond)
		for range 3 {
			start()
		}
		sent := x.attempts()
		is := is.New(t)
		is.Equal(len(sent), 4)
		for _, id := range sent[1:] {
			is.True(id != sent[0])
		}
	})
}

func TestCallIsNotMovedShortlyBeforeItsDeadline(t *testing.T) {
	inBubble("while its endpoint may still answer in time", t, func(t *testing.T) {
		d, x := wholeDeployment(scriptedAnswer{silence: 340 * time.Millisecond, body: "balance"},
			scriptedAnswer{silence: 60 * time.Millisecond, body: "balance"})
		d.route.Timeout = 350 * time.Millisecond
		answer, err := d.serve(t)
		assertAnswered(t, answer, err, "balance")
		is.New(t).Equal(len(x.attempts()), 1)
	})
	inBubble("but earlier", t, func(t *testing.T) {
		d, x := wholeDeployment(scriptedAnswer{silence: time.Minute}, scriptedAnswer{silence: 60 * time.Millisecond, body: "balance"})
		d.route.Timeout = 500 * time.Millisecond
		answer, err := d.serve(t)
		assertAnswered(t, answer, err, "balance")
		is.New(t).Equal(len(x.attempts()), 2)
	})
}

func TestCallIsNotMovedToSilentEndpoint(t *testing.T) {
	inBubble("that has a call of its own", t, func(t *testing.T) {
		d, x := streamDeployment(scriptedAnswer{silence: 3 * time.Second, events: []string{"1"}})
		g := d.newGateway(t)
		var group sync.WaitGroup
		for range 2 {
			group.Go(func() {
				answer, err := serveCall(t, g)
				assertAnswered(t, answer, err, "1 ")
			})
			time.Sleep(200 * time.Millisecond)
		}
		group.Wait()
		is.New(t).Equal(len(x.attempts()), 2)
	})
	inBubble("that a call has just left", t, func(t *testing.T) {
		d, x := streamDeployment(
			scriptedAnswer{silence: time.Minute, events: []string{"1"}},
			scriptedAnswer{silence: 1100 * time.Millisecond, silentAfter: 1, events: []string{"1", "2"}},
			scriptedAnswer{events: []string{"1"}})
		g := d.newGateway(t)
		var group sync.WaitGroup
		group.Go(func() {
			answer, err := serveCall(t, g)
			assertAnswered(t, answer, err, "1 ")
		})
		time.Sleep(time.Second)
		answer, err := serveCall(t, g)
		assertAnswered(t, answer, err, "1 2 ")
		group.Wait()
		is.New(t).Equal(len(x.attempts()), 3)
	})
}

func TestMovedCallReturnsIfItsNewEndpointFails(t *testing.T) {
	silent := scriptedAnswer{silence: silentPause, silentAfter: 1, events: []string{"1", "2"}, body: "balance"}
	rest := scriptedAnswer{events: []string{"2", "3"}, body: "balance"}
	for name, failure := range map[string]scriptedAnswer{
		"an error":                  {status: http.StatusInternalServerError},
		"an answer without a stamp": {unstamped: true},
		"a broken stream":           {broken: true},
	} {
		inBubble("a begun stream after "+name, t, func(t *testing.T) {
			d, x := streamDeployment(silent, failure, rest)
			answer, err := d.serve(t)
			assertAnswered(t, answer, err, "1 2 3 ")
			assertReturned(t, x)
		})
		if failure.broken {
			continue
		}
		inBubble("a whole answer after "+name, t, func(t *testing.T) {
			d, x := wholeDeployment(silent, failure, rest)
			answer, err := d.serve(t)
			assertAnswered(t, answer, err, "balance")
			assertReturned(t, x)
		})
	}
	failure := scriptedAnswer{status: http.StatusInternalServerError}
	inBubble("but once only", t, func(t *testing.T) {
		d, x := streamDeployment(silent, failure, failure, rest)
		_, err := d.serve(t)
		is.New(t).True(errors.Is(err, gateway.ErrIncompleteAnswer))
		assertReturned(t, x)
	})
	inBubble("and not to an endpoint that is leaving", t, func(t *testing.T) {
		leaving := silent
		leaving.leaving = true
		d, x := streamDeployment(leaving, failure, rest)
		_, err := d.serve(t)
		is := is.New(t)
		is.True(errors.Is(err, gateway.ErrIncompleteAnswer))
		is.Equal(len(x.attempts()), 2)
	})
}

func TestMovedCallThatWaitsForRetryBudgetDoesNotReturn(t *testing.T) {
	// serve changes something while a call that failed at its new endpoint waits, and then grants the retry.
	serve := func(t *testing.T, change func(d deployment, g *gateway.Gateway, left knapweedpulley.EndpointID)) {
		t.Helper()
		is := is.New(t)
		d, x := wholeDeployment(scriptedAnswer{silence: time.Minute},
			scriptedAnswer{status: http.StatusInternalServerError}, scriptedAnswer{body: "balance"})
		d.retryBudget = gateway.NewRetryBudget(2.5, 1)
		d.objects = d.newStore(t)
		g := d.newGateway(t)
		var group sync.WaitGroup
		group.Go(func() {
			answer, err := serveCall(t, g)
			is.True(err != nil)
			is.Equal(knapweedpulley.VerdictOf(err), knapweedpulley.MayHaveRun)
			is.Equal(len(answer.heads), 0)
		})
		time.Sleep(600 * time.Millisecond)
		is.Equal(len(x.attempts()), 2)
		change(d, g, x.attempts()[0])
		time.Sleep(200 * time.Millisecond)
		for range 10 {
			d.retryBudget.Deposit(d.service.ID)
		}
		group.Wait()
		is.Equal(len(x.attempts()), 2)
	}
	inBubble("to an endpoint that is draining by then", t, func(t *testing.T) {
		serve(t, func(d deployment, _ *gateway.Gateway, left knapweedpulley.EndpointID) {
			putObject(t, d.objects, knapweedpulley.KindEndpoints, string(left), knapweedpulley.RegisteredEndpoint{
				Service: d.service.ID, Address: "10.0.0." + string(left) + ":1", Start: 1, Slots: 4, Draining: true,
			})
		})
	})
	inBubble("once the gateway may end before the answer", t, func(t *testing.T) {
		serve(t, func(_ deployment, g *gateway.Gateway, _ knapweedpulley.EndpointID) {
			g.BeginShutdown(fake.Clock{}.Now(), fake.Clock{}.Now().Add(5*time.Second))
		})
	})
}

// breakingSecond returns a deployment of streams whose first endpoint stays silent, and whose second one
// breaks the stream off 400 ms after the call has moved there.
func breakingSecond() (deployment, *scriptedExchanger) {
	return streamDeployment(scriptedAnswer{silence: time.Minute, events: []string{"1"}},
		scriptedAnswer{silence: 400 * time.Millisecond, events: []string{"1"}, broken: true},
		scriptedAnswer{events: []string{"2"}})
}

// movedWithin is the time within which such a call has moved.
const movedWithin = 1400 * time.Millisecond

// A call that could not return to the endpoint that it had left was cut, though that endpoint was sound.
func TestMovedCallReturnsToEndpointThatWasAway(t *testing.T) {
	// serve changes something while the call runs at its new endpoint, where it fails. The gateway has been
	// running for a time before.
	serve := func(t *testing.T, running time.Duration, change func(d deployment, g *gateway.Gateway, left knapweedpulley.EndpointID)) {
		t.Helper()
		d, x := breakingSecond()
		d.objects = d.newStore(t)
		g := d.newGateway(t)
		time.Sleep(running)
		var group sync.WaitGroup
		group.Go(func() {
			answer, err := serveCall(t, g)
			assertAnswered(t, answer, err, "1 2 ")
		})
		time.Sleep(movedWithin)
		is.New(t).Equal(len(x.attempts()), 2)
		change(d, g, x.attempts()[0])
		group.Wait()
		assertReturned(t, x)
	}
	for running := time.Duration(0); running < 2*time.Second; running += 100 * time.Millisecond {
		inBubble(fmt.Sprintf("whose registration has lapsed and come back, after %s", running), t, func(t *testing.T) {
			serve(t, running, func(d deployment, _ *gateway.Gateway, left knapweedpulley.EndpointID) {
				is := is.New(t)
				entry, err := d.objects.Get(t.Context(), knapweedpulley.KindEndpoints, string(left))
				is.NoErr(err)
				_, err = d.objects.Delete(t.Context(), knapweedpulley.KindEndpoints, string(left), entry.Revision)
				is.NoErr(err)
				time.Sleep(50 * time.Millisecond)
				_, err = d.objects.Put(t.Context(), knapweedpulley.KindEndpoints, string(left), entry.Value, 0)
				is.NoErr(err)
			})
		})
	}
	inBubble("that wants no requests for a moment", t, func(t *testing.T) {
		serve(t, 0, func(_ deployment, g *gateway.Gateway, left knapweedpulley.EndpointID) {
			is.New(t).True(g.Fleet.Endpoints()[left].HoldBack(600 * time.Millisecond))
		})
	})
}

func TestMovedCallDoesNotWaitInVain(t *testing.T) {
	inBubble("for an endpoint that wants no requests until the caller has left", t, func(t *testing.T) {
		d, x := breakingSecond()
		g := d.newGateway(t)
		time.AfterFunc(movedWithin, func() { g.Fleet.Endpoints()[x.attempts()[0]].HoldBack(time.Minute) })
		began := time.Now()
		_, err := serveCall(t, g)
		is := is.New(t)
		is.True(errors.Is(err, gateway.ErrIncompleteAnswer))
		is.True(time.Since(began) <= movedWithin+400*time.Millisecond)
		is.Equal(len(x.attempts()), 2)
	})
}

// assertReturned asserts that a call was sent to an endpoint, to another one, and to the first again.
func assertReturned(t *testing.T, x *scriptedExchanger) {
	t.Helper()
	is := is.New(t)
	sent := x.attempts()
	is.Equal(len(sent), 3)
	is.True(sent[0] != sent[1])
	is.Equal(sent[2], sent[0])
}

func TestCallLeavesDeadEndpointWhileAnotherReadsAPrompt(t *testing.T) {
	inBubble("for less than the latency target", t, func(t *testing.T) {
		d, x := streamDeployment(
			scriptedAnswer{silence: time.Minute, events: []string{"1"}},
			scriptedAnswer{silence: 1150 * time.Millisecond, events: []string{"1"}},
			scriptedAnswer{silence: 300 * time.Millisecond, events: []string{"1"}})
		g := d.newGateway(t)
		var group sync.WaitGroup
		defer group.Wait()
		var took time.Duration
		group.Go(func() {
			began := time.Now()
			answer, err := serveCall(t, g)
			assertAnswered(t, answer, err, "1 ")
			took = time.Since(began)
		})
		time.Sleep(940 * time.Millisecond)
		_, err := serveCall(t, g)
		is := is.New(t)
		is.NoErr(err)
		group.Wait()
		is.Equal(len(x.attempts()), 3)
		is.True(took < d.route.EventTimeout)
	})
}

func TestCallMovesToEndpointThatSendsAWholeAnswer(t *testing.T) {
	for _, size := range []int{1000, 300 << 10} {
		inBubble("in parts of "+strconv.Itoa(size)+" bytes", t, func(t *testing.T) {
			d, _ := wholeDeployment(
				scriptedAnswer{body: strings.Repeat("x", 20*size), partSize: size, partPause: 100 * time.Millisecond},
				scriptedAnswer{silence: time.Minute},
				scriptedAnswer{body: "balance"})
			g := d.newGateway(t)
			var group sync.WaitGroup
			defer group.Wait()
			group.Go(func() { _, _ = serveCall(t, g) })
			time.Sleep(50 * time.Millisecond)
			began := time.Now()
			answer, err := serveCall(t, g)
			assertAnswered(t, answer, err, "balance")
			is.New(t).True(time.Since(began) < time.Second)
		})
	}
}
