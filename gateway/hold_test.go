package gateway_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/gateway"
)

const holdTime = 2 * time.Second

// busyExchanger answers each attempt at the busy endpoints with a refusal that asks for no requests
// for holdTime, until busyFor is over. It records when attempts reached these endpoints.
type busyExchanger struct {
	*scriptedExchanger
	busy    knapweedpulley.Set[knapweedpulley.EndpointID]
	busyFor time.Duration
	began   time.Time
	reached map[knapweedpulley.EndpointID][]time.Duration
}

func newBusyExchanger(busyFor time.Duration, busy ...knapweedpulley.EndpointID) *busyExchanger {
	return &busyExchanger{
		scriptedExchanger: &scriptedExchanger{}, busy: knapweedpulley.NewSet(busy...), busyFor: busyFor, began: time.Now(),
		reached: make(map[knapweedpulley.EndpointID][]time.Duration),
	}
}

// Exchange implements knapweedpulley.Exchanger.
func (x *busyExchanger) Exchange(ctx context.Context, a knapweedpulley.Attempt) (knapweedpulley.Reply, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	at := time.Since(x.began)
	answer := scriptedAnswer{events: []string{"1"}}
	if x.busy.Has(a.Endpoint) {
		x.reached[a.Endpoint] = append(x.reached[a.Endpoint], at)
		if at < x.busyFor {
			answer = scriptedAnswer{status: http.StatusServiceUnavailable, notRun: true, retryAfter: holdTime}
		}
	}
	return &scriptedReply{ctx: ctx, scriptedAnswer: answer, body: strings.NewReader("")}, nil
}

// serveMany serves a call each 5 ms for a time, and returns how many were answered and the refusals
// of the others.
func serveMany(t *testing.T, d deployment, x *busyExchanger, duration time.Duration) (int, []*knapweedpulley.Refusal) {
	t.Helper()
	d.exchanger = x
	return serveManyAt(t, d.newGateway(t), x, duration)
}

// serveManyAt is like serveMany at a gateway whose exchanger is x.
func serveManyAt(t *testing.T, g *gateway.Gateway, x *busyExchanger, duration time.Duration) (int, []*knapweedpulley.Refusal) {
	t.Helper()
	x.began = time.Now()
	var mu sync.Mutex
	var group sync.WaitGroup
	answered, refusals := 0, []*knapweedpulley.Refusal(nil)
	for time.Since(x.began) < duration {
		group.Go(func() {
			_, err := serveCall(t, g)
			mu.Lock()
			defer mu.Unlock()
			var refusal *knapweedpulley.Refusal
			if errors.As(err, &refusal) {
				refusals = append(refusals, refusal)
			} else {
				answered++
			}
		})
		time.Sleep(5 * time.Millisecond)
	}
	group.Wait()
	return answered, refusals
}

// assertHeldBack asserts that at most two attempts reached each busy endpoint between half a second
// after its refusal and the end of the time for which it wants none.
func assertHeldBack(t *testing.T, x *busyExchanger) {
	t.Helper()
	for _, times := range x.reached {
		for _, refused := range times {
			if refused >= x.busyFor {
				continue
			}
			n := 0
			for _, at := range times {
				if at > refused+500*time.Millisecond && at < refused+holdTime {
					n++
				}
			}
			is.New(t).True(n <= 2)
		}
	}
}

func TestEndpointGetsNoCallsWhileItWantsNone(t *testing.T) {
	inBubble("one of two endpoints, and all calls are answered", t, func(t *testing.T) {
		is := is.New(t)
		d, _ := streamDeployment()
		x := newBusyExchanger(time.Second, "1")
		answered, refusals := serveMany(t, d, x, 3*time.Second)
		is.Equal(len(refusals), 0)
		is.Equal(answered, 600)
		assertHeldBack(t, x)
	})
	inBubble("all endpoints, and calls that can wait are answered afterwards", t, func(t *testing.T) {
		is := is.New(t)
		d, _ := streamDeployment()
		d.route.EventTimeout = 4 * time.Second
		x := newBusyExchanger(time.Second, "1", "2")
		answered, refusals := serveMany(t, d, x, time.Second)
		is.Equal(len(refusals), 0)
		is.Equal(answered, 200)
		assertHeldBack(t, x)
	})
	inBubble("all endpoints, and calls that can't wait are refused at once", t, func(t *testing.T) {
		is := is.New(t)
		d, _ := streamDeployment()
		d.route.EventTimeout = time.Second
		x := newBusyExchanger(time.Second, "1", "2")
		_, refusals := serveMany(t, d, x, 500*time.Millisecond)
		is.Equal(len(refusals), 100)
		for _, r := range refusals {
			is.Equal(r.Verdict, knapweedpulley.NotRun)
			is.True(r.RetryAfter > time.Second)
		}
		assertHeldBack(t, x)
	})
}
