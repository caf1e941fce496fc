package gateway_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/endpoint"
	"github.com/knapweedpulley/knapweedpulley/gateway"
	"github.com/knapweedpulley/knapweedpulley/machine/fake"
)

// contentExchanger plays endpoints that crash at the first attempts, and answer from then on.
type contentExchanger struct {
	mu sync.Mutex
	// arrived counts the attempts, of which the first ones crash endpoints.
	arrived int
	crashes int
	// answer is what they send then.
	answer scriptedAnswer
	// last is the endpoint of the last attempt.
	last knapweedpulley.EndpointID
}

// Exchange implements knapweedpulley.Exchanger.
func (x *contentExchanger) Exchange(ctx context.Context, a knapweedpulley.Attempt) (knapweedpulley.Reply, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.arrived++
	x.last = a.Endpoint
	answer := x.answer
	if x.arrived <= x.crashes {
		answer = scriptedAnswer{broken: true}
	}
	return &scriptedReply{ctx: ctx, scriptedAnswer: answer, body: strings.NewReader("")}, nil
}

// RefusesConnections implements knapweedpulley.Exchanger.
func (x *contentExchanger) RefusesConnections(context.Context, string) bool { return true }

// slowGranter is a first gateway that takes 0.2 s to grant a probe. meanwhile is called in this time.
type slowGranter struct {
	suspectLists
	meanwhile func()
}

// RequestProbe implements knapweedpulley.SuspectPeer.
func (s *slowGranter) RequestProbe(ctx context.Context, to knapweedpulley.Member, r knapweedpulley.ProbeRequest) (bool, error) {
	s.meanwhile()
	time.Sleep(200 * time.Millisecond)
	return s.suspectLists.RequestProbe(ctx, to, r)
}

func serveContent(t *testing.T, g *gateway.Gateway) error {
	t.Helper()
	return g.Serve(t.Context(), &knapweedpulley.Call{
		ID: "r", Host: "h", Path: "/x", Timeout: time.Minute, Arrived: fake.Clock{}.Now(), Fingerprint: 7,
	}, &recordedAnswer{})
}

// assertServedAgain asserts that a refused content is served after some seconds, and from then on.
func assertServedAgain(t *testing.T, g *gateway.Gateway) {
	t.Helper()
	for range 20 {
		_ = serveContent(t, g)
		time.Sleep(time.Second)
	}
	for range 5 {
		is.New(t).NoErr(serveContent(t, g))
	}
}

func TestContentThatRanAtCrashesIsProbed(t *testing.T) {
	start := func(t *testing.T, crashes int, answer scriptedAnswer) (*gateway.Gateway, *contentExchanger) {
		t.Helper()
		d, _ := crashingDeployment()
		x := &contentExchanger{crashes: crashes, answer: answer}
		d.exchanger = x
		g := d.newGateway(t)
		for range 5 {
			_ = serveContent(t, g)
		}
		assertCrashSuspect(t, serveContent(t, g))
		is.New(t).Equal(x.arrived, 2)
		return g, x
	}
	inBubble("a sound content is served again", t, func(t *testing.T) {
		g, _ := start(t, 2, scriptedAnswer{events: []string{"1"}})
		assertServedAgain(t, g)
	})
	inBubble("a content for which there is nothing at its path is answered so again", t, func(t *testing.T) {
		g, _ := start(t, 2, scriptedAnswer{status: http.StatusNotFound, body: "nothing there"})
		assertServedAgain(t, g)
	})
	inBubble("a content that endpoints only refuse isn't", t, func(t *testing.T) {
		g, x := start(t, 2, scriptedAnswer{status: http.StatusTooManyRequests, body: "busy"})
		for range 30 {
			_ = serveContent(t, g)
			time.Sleep(time.Second)
		}
		is.New(t).Equal(x.arrived, 3)
		assertCrashSuspect(t, serveContent(t, g))
	})
	inBubble("a content that crashes endpoints reaches two more of them, however long it comes", t, func(t *testing.T) {
		g, x := start(t, 1000, scriptedAnswer{})
		for range 3600 {
			_ = serveContent(t, g)
			time.Sleep(time.Second)
		}
		is.New(t).Equal(x.arrived, 4)
		assertCrashSuspect(t, serveContent(t, g))
	})
}

// Guards against a probe that reaches an endpoint whose zone was evacuated while the gateway waited for
// the permission.
func TestProbeLeavesEndpointOfZoneThatIsEvacuatedMeanwhile(t *testing.T) {
	inBubble("the probe goes to another endpoint", t, func(t *testing.T) {
		d, _ := crashingDeployment()
		d = evacuableDeployment(d)
		x := &contentExchanger{crashes: 2, answer: scriptedAnswer{events: []string{"1"}}}
		d.exchanger = x
		g := d.newGateway(t)
		lists, crashes, _ := newCrashTracker()
		var left knapweedpulley.EndpointID
		granter := &slowGranter{suspectLists: lists, meanwhile: func() { left = evacuateActive(d.fleet) }}
		peers := gateway.NewPeers(knapweedpulley.Member{Entry: "two"})
		peers.SetMembers([]knapweedpulley.Member{{Entry: "one"}, {Entry: "two"}})
		lists["two"] = endpoint.NewSuspects(endpoint.SuspectOptions{Group: peers, Peer: granter, Clock: fake.Clock{}, Log: g.Log})
		g.CrashTracker = gateway.NewCrashTracker(lists["two"], crashes, g.Fleet, g.Log)
		for range 5 {
			_ = serveContent(t, g)
		}
		time.Sleep(10 * time.Second)
		is := is.New(t)
		is.NoErr(serveContent(t, g))
		is.Equal(x.arrived, 3)
		is.True(left != "" && left != x.last)
	})
}
