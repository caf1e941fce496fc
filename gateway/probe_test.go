package gateway_test

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
)

// partExchanger plays endpoints that answer calls with deadlyPart as scripted, and any other
// call in full.
type partExchanger struct {
	mu sync.Mutex
	// arrived counts the attempts of calls with deadlyPart.
	arrived int
	script  scriptedAnswer
}

// Exchange implements knapweedpulley.Exchanger.
func (x *partExchanger) Exchange(ctx context.Context, a knapweedpulley.Attempt) (knapweedpulley.Reply, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	answer := scriptedAnswer{events: []string{"1"}}
	if slices.ContainsFunc(a.PromptParts, func(p knapweedpulley.PromptPart) bool { return p.ID == deadlyPart }) {
		x.arrived++
		answer = x.script
	}
	return &scriptedReply{ctx: ctx, scriptedAnswer: answer, body: strings.NewReader("")}, nil
}

// RefusesConnections implements knapweedpulley.Exchanger.
func (x *partExchanger) RefusesConnections(context.Context, string) bool {
	return true
}

// newRefusedPart returns the calls of a gateway that refuses deadlyPart, whose endpoints now say
// that they don't run calls with it.
func newRefusedPart(t *testing.T) (*promptCalls, *partExchanger) {
	t.Helper()
	d, _ := crashingDeployment()
	x := &partExchanger{script: scriptedAnswer{broken: true}}
	d.exchanger = x
	calls := &promptCalls{gateway: d.newGateway(t)}
	for range 10 {
		_ = calls.serve(t, "system", deadlyPart)
		is.New(t).NoErr(calls.serve(t, "system"))
		time.Sleep(500 * time.Millisecond)
	}
	assertCrashSuspect(t, calls.serve(t, "system", deadlyPart))
	x.script = scriptedAnswer{status: http.StatusServiceUnavailable, notRun: true}
	x.arrived = 0
	return calls, x
}

func TestProbeThatDidNotRun(t *testing.T) {
	inBubble("a probe reaches one endpoint", t, func(t *testing.T) {
		calls, x := newRefusedPart(t)
		time.Sleep(10 * time.Second)
		_ = calls.serve(t, "system", deadlyPart)
		is.New(t).Equal(x.arrived, 1)
	})
	inBubble("no more than three probes reach endpoints that don't run them", t, func(t *testing.T) {
		calls, x := newRefusedPart(t)
		for range 360 {
			_ = calls.serve(t, "system", deadlyPart)
			time.Sleep(10 * time.Second)
		}
		is.New(t).True(x.arrived <= 3)
	})
	inBubble("the part is served again after two probes of which endpoints ran none", t, func(t *testing.T) {
		calls, x := newRefusedPart(t)
		for range 10 {
			_ = calls.serve(t, "system", deadlyPart)
			time.Sleep(10 * time.Second)
		}
		is.New(t).Equal(x.arrived, 2)
		x.script = scriptedAnswer{events: []string{"1"}}
		for range 10 {
			_ = calls.serve(t, "system", deadlyPart)
			time.Sleep(10 * time.Second)
		}
		is.New(t).NoErr(calls.serve(t, "system", deadlyPart))
	})
}
