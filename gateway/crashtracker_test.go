package gateway_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/endpoint"
	"github.com/knapweedpulley/knapweedpulley/fleet"
	"github.com/knapweedpulley/knapweedpulley/gateway"
	"github.com/knapweedpulley/knapweedpulley/logbook"
	"github.com/knapweedpulley/knapweedpulley/machine/fake"
)

// fakeExchanger reports all endpoints as ended or as running after a delay, and sends nothing.
type fakeExchanger struct {
	ended bool
	delay time.Duration
}

func (e *fakeExchanger) Exchange(context.Context, knapweedpulley.Attempt) (knapweedpulley.Reply, error) {
	return nil, errors.New("exchange is not supported by the fake")
}

func (e *fakeExchanger) RefusesConnections(context.Context, string) bool {
	time.Sleep(e.delay)
	return e.ended
}

// suspectLists are the suspect lists of two gateways that send each other their reports.
type suspectLists map[knapweedpulley.EntryID]*endpoint.Suspects

func (l suspectLists) SendSuspects(_ context.Context, to knapweedpulley.Member, r knapweedpulley.SuspectReport) error {
	l[to.Entry].Merge(r)
	return nil
}

func (l suspectLists) RequestProbe(_ context.Context, to knapweedpulley.Member, r knapweedpulley.ProbeRequest) (bool, error) {
	return l[to.Entry].GrantProbe(r), nil
}

func newCrashTracker() (suspectLists, *fakeExchanger, *gateway.CrashTracker) {
	one, two := knapweedpulley.Member{Entry: "one"}, knapweedpulley.Member{Entry: "two"}
	lists := make(suspectLists)
	for _, self := range []knapweedpulley.Member{one, two} {
		peers := gateway.NewPeers(self)
		peers.SetMembers([]knapweedpulley.Member{one, two})
		lists[self.Entry] = endpoint.NewSuspects(endpoint.SuspectOptions{
			Group: peers, Peer: lists, Clock: fake.Clock{}, Log: logbook.New(io.Discard, log.InfoLevel, "test", "test"),
		})
	}
	exchanger := &fakeExchanger{ended: true}
	return lists, exchanger, gateway.NewCrashTracker(lists["one"], exchanger, fleet.New(fake.Clock{}, "a"), logbook.New(io.Discard, log.InfoLevel, "test", "test"))
}

func newFleet(ids ...knapweedpulley.EndpointID) *fleet.Fleet {
	f := fleet.New(fake.Clock{}, "a")
	list := make([]knapweedpulley.RegisteredEndpoint, 0, len(ids))
	for _, id := range ids {
		list = append(list, knapweedpulley.RegisteredEndpoint{ID: id, Service: "llm", Address: "10.0.0.1:1"})
	}
	f.Update(list)
	return f
}

func assertState(t *testing.T, lists suspectLists, content knapweedpulley.Fingerprint, want knapweedpulley.SuspectState) {
	t.Helper()
	for _, s := range lists {
		is.New(t).Equal(s.State(content), want)
	}
}

func TestCrashTracker(t *testing.T) {
	f := newFleet("a", "b")
	t.Run("a content that ran at two crashes is refused by all gateways", func(t *testing.T) {
		lists, _, c := newCrashTracker()
		c.HandleBrokenExchange(f.Endpoints()["a"], &knapweedpulley.Call{Fingerprint: 7})
		assertState(t, lists, 7, knapweedpulley.SuspectIsolate)
		c.HandleBrokenExchange(f.Endpoints()["b"], &knapweedpulley.Call{Fingerprint: 7})
		assertState(t, lists, 7, knapweedpulley.SuspectRefuse)
		assertState(t, lists, 8, knapweedpulley.SuspectNone)
	})
	t.Run("each content that ran at a crash counts once, however often it is reported", func(t *testing.T) {
		lists, _, c := newCrashTracker()
		for range 3 {
			c.HandleBrokenExchange(f.Endpoints()["a"], &knapweedpulley.Call{Fingerprint: 7})
			c.HandleBrokenExchange(f.Endpoints()["a"], &knapweedpulley.Call{Fingerprint: 8})
		}
		assertState(t, lists, 7, knapweedpulley.SuspectIsolate)
		assertState(t, lists, 8, knapweedpulley.SuspectIsolate)
	})
	t.Run("a broken exchange with an endpoint that still listens leaves the content unsuspected", func(t *testing.T) {
		lists, exchanger, c := newCrashTracker()
		exchanger.ended = false
		c.HandleBrokenExchange(f.Endpoints()["a"], &knapweedpulley.Call{Fingerprint: 7})
		assertState(t, lists, 7, knapweedpulley.SuspectNone)
	})
}
