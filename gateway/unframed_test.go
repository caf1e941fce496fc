package gateway_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
)

// deadlyExchanger gives calls with deadlyPart a scripted answer, and any other call a complete one.
type deadlyExchanger struct {
	mu     sync.Mutex
	deadly scriptedAnswer
	// arrived counts the attempts of calls with deadlyPart.
	arrived int
}

// Exchange implements knapweedpulley.Exchanger.
func (x *deadlyExchanger) Exchange(ctx context.Context, a knapweedpulley.Attempt) (knapweedpulley.Reply, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	answer := scriptedAnswer{events: []string{"1"}, body: "whole"}
	if slices.ContainsFunc(a.PromptParts, func(p knapweedpulley.PromptPart) bool { return p.ID == deadlyPart }) {
		x.arrived++
		answer = x.deadly
	}
	return &scriptedReply{ctx: ctx, scriptedAnswer: answer, body: strings.NewReader(answer.body)}, nil
}

// RefusesConnections implements knapweedpulley.Exchanger.
func (x *deadlyExchanger) RefusesConnections(context.Context, string) bool {
	return true
}

// deadlyDeployment returns a deployment with enough endpoints that none crashes twice.
func deadlyDeployment(deadly scriptedAnswer) (deployment, *deadlyExchanger) {
	d, _ := crashingDeployment()
	x := &deadlyExchanger{deadly: deadly}
	d.exchanger = x
	return d, x
}

func TestConnectionEndedByCrashIsNotTheEndOfAnAnswer(t *testing.T) {
	inBubble("a whole answer is requested from another endpoint", t, func(t *testing.T) {
		d, _ := wholeDeployment(scriptedAnswer{body: "hal", unframed: true}, scriptedAnswer{body: "whole"})
		d.crashing = true
		answer, err := d.serve(t)
		assertAnswered(t, answer, err, "whole")
	})
	inBubble("the rest of a long answer is missing", t, func(t *testing.T) {
		long := strings.Repeat("x", 300<<10)
		d, _ := wholeDeployment(scriptedAnswer{body: long, unframed: true})
		d.crashing = true
		answer, err := d.serve(t)
		assertIncomplete(t, answer, err, long)
	})
	inBubble("a stream is resumed", t, func(t *testing.T) {
		d, _ := streamDeployment(scriptedAnswer{events: []string{"1", "2"}, unframed: true}, scriptedAnswer{events: []string{"3"}})
		d.crashing = true
		answer, err := d.serve(t)
		assertAnswered(t, answer, err, "1 2 3 ")
	})
	inBubble("a stream that can't be resumed is incomplete", t, func(t *testing.T) {
		d, _ := streamDeployment(scriptedAnswer{events: []string{"1", "2"}, unframed: true})
		d.route.Retry, d.crashing = knapweedpulley.Idempotent, true
		answer, err := d.serve(t)
		assertIncomplete(t, answer, err, "1 2 ")
	})
}

func TestUnframedAnswerOfRunningEndpointIsComplete(t *testing.T) {
	inBubble("a whole answer", t, func(t *testing.T) {
		d, x := wholeDeployment(scriptedAnswer{body: "whole", unframed: true})
		answer, err := d.serve(t)
		assertAnswered(t, answer, err, "whole")
		is.New(t).Equal(len(x.attempts()), 1)
	})
	inBubble("a stream", t, func(t *testing.T) {
		d, x := streamDeployment(scriptedAnswer{events: []string{"1", "2"}, unframed: true})
		answer, err := d.serve(t)
		assertAnswered(t, answer, err, "1 2 ")
		is.New(t).Equal(len(x.attempts()), 1)
	})
	inBubble("an answer whose check gets no result", t, func(t *testing.T) {
		d, _ := wholeDeployment(scriptedAnswer{body: "whole", unframed: true})
		d.crashCheckTime = time.Second
		answer, err := d.serve(t)
		assertAnswered(t, answer, err, "whole")
	})
}

func TestAnswerCutByCrashDoesNotClearItsPromptParts(t *testing.T) {
	serveDeadly := func(t *testing.T, d deployment, x *deadlyExchanger) {
		t.Helper()
		calls := &promptCalls{gateway: d.newGateway(t)}
		for range 20 {
			_ = calls.serve(t, "system", deadlyPart)
			is.New(t).NoErr(calls.serve(t, "system"))
			time.Sleep(time.Second)
		}
		is.New(t).True(x.arrived <= 8)
	}
	inBubble("a whole answer", t, func(t *testing.T) {
		d, x := deadlyDeployment(scriptedAnswer{body: "part", unframed: true})
		d.route.Stream, d.route.Retry = false, knapweedpulley.Idempotent
		serveDeadly(t, d, x)
	})
	inBubble("a stream", t, func(t *testing.T) {
		d, x := deadlyDeployment(scriptedAnswer{events: []string{"1"}, unframed: true})
		serveDeadly(t, d, x)
	})
}
