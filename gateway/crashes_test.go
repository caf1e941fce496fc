package gateway_test

import (
	"context"
	"io"
	"testing"

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

// prober tells whether endpoints have ended.
type prober struct{ ended bool }

func (p *prober) Exchange(context.Context, knapweedpulley.Attempt) (knapweedpulley.Reply, error) {
	return nil, errors.New("not in this test")
}

func (p *prober) Ended(context.Context, string) bool {
	return p.ended
}

// pair are two gateways that tell each other of crashes.
type pair map[knapweedpulley.EntryID]*endpoint.Suspects

func (p pair) SendSuspects(_ context.Context, to knapweedpulley.Member, r knapweedpulley.SuspectReport) error {
	p[to.Entry].Merge(r)
	return nil
}

func newPair() (pair, *prober, *gateway.Crashes) {
	one, two := knapweedpulley.Member{Entry: "one"}, knapweedpulley.Member{Entry: "two"}
	p := make(pair)
	for _, self := range []knapweedpulley.Member{one, two} {
		peers := gateway.NewPeers(self)
		peers.Replace([]knapweedpulley.Member{one, two})
		p[self.Entry] = endpoint.NewSuspects(peers, p)
	}
	probe := &prober{ended: true}
	return p, probe, gateway.NewCrashes(p["one"], probe, fleet.New(fake.Clock{}, "a"), logbook.New(io.Discard, log.InfoLevel, "test", "test"))
}

func endpoints(ids ...knapweedpulley.EndpointID) *fleet.Fleet {
	f := fleet.New(fake.Clock{}, "a")
	list := make([]knapweedpulley.RegisteredEndpoint, 0, len(ids))
	for _, id := range ids {
		list = append(list, knapweedpulley.RegisteredEndpoint{ID: id, Service: "llm", Address: "10.0.0.1:1"})
	}
	f.Update(list)
	return f
}

func assertState(t *testing.T, p pair, content knapweedpulley.Fingerprint, want knapweedpulley.SuspectState) {
	t.Helper()
	for _, s := range p {
		is.New(t).Equal(s.State(content), want)
	}
}

func TestCrashes(t *testing.T) {
	f := endpoints("a", "b")
	t.Run("a content that ran at two crashes is refused by all gateways", func(t *testing.T) {
		p, _, c := newPair()
		c.Broken(f.Endpoints()["a"], 7)
		assertState(t, p, 7, knapweedpulley.SuspectIsolate)
		c.Broken(f.Endpoints()["b"], 7)
		assertState(t, p, 7, knapweedpulley.SuspectRefuse)
		assertState(t, p, 8, knapweedpulley.SuspectNone)
	})
	t.Run("all contents of a crash are told, each once", func(t *testing.T) {
		p, _, c := newPair()
		for range 3 {
			c.Broken(f.Endpoints()["a"], 7)
			c.Broken(f.Endpoints()["a"], 8)
		}
		assertState(t, p, 7, knapweedpulley.SuspectIsolate)
		assertState(t, p, 8, knapweedpulley.SuspectIsolate)
	})
	t.Run("an endpoint that is still there has not crashed", func(t *testing.T) {
		p, probe, c := newPair()
		probe.ended = false
		c.Broken(f.Endpoints()["a"], 7)
		assertState(t, p, 7, knapweedpulley.SuspectNone)
	})
}
