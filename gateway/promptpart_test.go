package gateway_test

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/gateway"
	"github.com/knapweedpulley/knapweedpulley/machine/fake"
)

const deadlyPart = "dead"

// crashingExchanger plays endpoints that crash when they begin an answer to a call with
// deadlyPart, and that answer any other call.
type crashingExchanger struct {
	mu sync.Mutex
	// arrived counts the attempts of calls with deadlyPart.
	arrived int
}

// Exchange implements knapweedpulley.Exchanger.
func (x *crashingExchanger) Exchange(ctx context.Context, a knapweedpulley.Attempt) (knapweedpulley.Reply, error) {
	answer := scriptedAnswer{events: []string{"1"}}
	if slices.ContainsFunc(a.PromptParts, func(p knapweedpulley.PromptPart) bool { return p.ID == deadlyPart }) {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.arrived++
		answer = scriptedAnswer{broken: true}
	}
	return &scriptedReply{ctx: ctx, scriptedAnswer: answer, body: strings.NewReader("")}, nil
}

// RefusesConnections implements knapweedpulley.Exchanger.
func (x *crashingExchanger) RefusesConnections(context.Context, string) bool {
	return true
}

// promptCalls sends calls to a gateway, each with a content of its own.
type promptCalls struct {
	gateway *gateway.Gateway
	sent    uint64
}

// serve serves a call whose prompt has the given parts and one of its own.
func (c *promptCalls) serve(t *testing.T, parts ...string) error {
	t.Helper()
	c.sent++
	id := strconv.FormatUint(c.sent, 10)
	call := &knapweedpulley.Call{
		ID: knapweedpulley.RequestID(id), Host: "h", Path: "/x", Timeout: time.Minute, Arrived: fake.Clock{}.Now(),
		Fingerprint: knapweedpulley.Fingerprint(c.sent),
	}
	for _, p := range append(parts, "own"+id) {
		call.PromptParts = append(call.PromptParts, knapweedpulley.PromptPart{ID: p, Tokens: 40})
	}
	return c.gateway.Serve(t.Context(), call, &recordedAnswer{})
}

// crashingDeployment returns a deployment with enough endpoints that none crashes twice.
func crashingDeployment() (deployment, *crashingExchanger) {
	d, _ := streamDeployment()
	x := &crashingExchanger{}
	d.exchanger, d.crashing = x, true
	d.endpoints = nil
	for i := range 100 {
		d.endpoints = append(d.endpoints, knapweedpulley.EndpointID(strconv.Itoa(i+1)))
	}
	return d, x
}

// assertCrashSuspect asserts that a call was refused without having run.
func assertCrashSuspect(t *testing.T, err error) {
	t.Helper()
	is := is.New(t)
	var refusal *knapweedpulley.Refusal
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Code, knapweedpulley.CodeCrashSuspect)
	is.Equal(refusal.Verdict, knapweedpulley.NotRun)
}

func TestPromptPartThatCrashesEndpointsIsRefused(t *testing.T) {
	inBubble("calls with the part stop reaching endpoints, and calls with the other parts are served", t, func(t *testing.T) {
		d, x := crashingDeployment()
		calls := &promptCalls{gateway: d.newGateway(t)}
		for range 10 {
			is.New(t).NoErr(calls.serve(t, "system", "customer"))
			_ = calls.serve(t, "system", "customer", deadlyPart)
			time.Sleep(500 * time.Millisecond)
		}
		is.New(t).True(x.arrived <= 5)
		assertCrashSuspect(t, calls.serve(t, "system", "customer", deadlyPart))
		assertCrashSuspect(t, calls.serve(t, deadlyPart))
		is.New(t).NoErr(calls.serve(t, "system", "customer"))
	})
	inBubble("at most two more such calls reach endpoints, however long they come", t, func(t *testing.T) {
		d, x := crashingDeployment()
		calls := &promptCalls{gateway: d.newGateway(t)}
		for range 10 {
			_ = calls.serve(t, "system", deadlyPart)
			is.New(t).NoErr(calls.serve(t, "system"))
			time.Sleep(500 * time.Millisecond)
		}
		arrived := x.arrived
		for range 200 {
			_ = calls.serve(t, "system", deadlyPart)
			is.New(t).NoErr(calls.serve(t, "system"))
			time.Sleep(10 * time.Second)
		}
		is.New(t).True(x.arrived <= arrived+2)
	})
}

// crashingLaterExchanger plays endpoints that crash some time after a stream has begun.
type crashingLaterExchanger struct{}

// Exchange implements knapweedpulley.Exchanger.
func (crashingLaterExchanger) Exchange(ctx context.Context, _ knapweedpulley.Attempt) (knapweedpulley.Reply, error) {
	answer := scriptedAnswer{events: []string{"1", "2"}, silentAfter: 1, silence: 700 * time.Millisecond, broken: true}
	return &scriptedReply{ctx: ctx, scriptedAnswer: answer, body: strings.NewReader("")}, nil
}

// RefusesConnections implements knapweedpulley.Exchanger.
func (crashingLaterExchanger) RefusesConnections(context.Context, string) bool {
	return true
}

func TestPartOfStreamsThatWentOnIsServed(t *testing.T) {
	inBubble("endpoints that crash long after the answers began are not held against a part", t, func(t *testing.T) {
		d, _ := crashingDeployment()
		d.exchanger = crashingLaterExchanger{}
		calls := &promptCalls{gateway: d.newGateway(t)}
		for range 10 {
			err := calls.serve(t, "system")
			is.New(t).True(errors.Is(err, gateway.ErrIncompleteAnswer))
			time.Sleep(time.Second)
		}
	})
}
