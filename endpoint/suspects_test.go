package endpoint_test

import (
	"context"
	"io"
	"testing"

	"github.com/apex/log"
	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/endpoint"
	"github.com/knapweedpulley/knapweedpulley/logbook"
	"github.com/knapweedpulley/knapweedpulley/machine/fake"
)

// pairMembership is the membership of two entry processes as seen from one of
// them.
type pairMembership struct{ self int }

var pair = []knapweedpulley.Member{{Entry: "one"}, {Entry: "two"}}

func (p pairMembership) Valid() bool                        { return true }
func (p pairMembership) Self() knapweedpulley.Member        { return pair[p.self] }
func (p pairMembership) Members() []knapweedpulley.Member   { return pair }
func (p pairMembership) Owner(string) knapweedpulley.Member { return pair[0] }

// peers delivers reports directly to the lists of the other entry processes.
type peers map[knapweedpulley.EntryID]*endpoint.Suspects

// countingPeers counts the reports that are sent to the peers.
type countingPeers struct {
	peers
	sent int
}

func (c *countingPeers) SendSuspects(ctx context.Context, to knapweedpulley.Member, r knapweedpulley.SuspectReport) error {
	c.sent++
	return c.peers.SendSuspects(ctx, to, r)
}

func (p peers) SendSuspects(_ context.Context, to knapweedpulley.Member, r knapweedpulley.SuspectReport) error {
	p[to.Entry].Merge(r)
	return nil
}

func (p peers) RequestProbe(_ context.Context, to knapweedpulley.Member, r knapweedpulley.ProbeRequest) (bool, error) {
	return p[to.Entry].GrantProbe(r), nil
}

func newSuspects(group knapweedpulley.Group, peer knapweedpulley.SuspectPeer) *endpoint.Suspects {
	return endpoint.NewSuspects(endpoint.SuspectOptions{
		Group: group, Peer: peer, Clock: fake.Clock{},
		Log: logbook.New(io.Discard, log.InfoLevel, "test", "test"),
	})
}

func assertState(t *testing.T, s *endpoint.Suspects, f knapweedpulley.Fingerprint, want knapweedpulley.SuspectState) {
	t.Helper()
	is.New(t).Equal(s.State(f), want)
}

func TestSuspects(t *testing.T) {
	p := peers{}
	one := newSuspects(pairMembership{0}, p)
	two := newSuspects(pairMembership{1}, p)
	p["one"], p["two"] = one, two
	first := knapweedpulley.SuspectReport{
		Endpoint: "e", Start: 1, Fingerprints: []knapweedpulley.Fingerprint{1, 2, 1},
	}
	one.Report(t.Context(), first)
	t.Run("all content that ran at a crash is isolated at each entry", func(t *testing.T) {
		assertState(t, one, 1, knapweedpulley.SuspectIsolate)
		assertState(t, two, 2, knapweedpulley.SuspectIsolate)
		assertState(t, two, 3, knapweedpulley.SuspectNone)
	})
	t.Run("a repeated report changes nothing", func(t *testing.T) {
		two.Merge(first)
		assertState(t, two, 1, knapweedpulley.SuspectIsolate)
	})
	t.Run("content that ran at a second crash is refused and other content is not", func(t *testing.T) {
		two.Report(t.Context(), knapweedpulley.SuspectReport{
			Endpoint: "f", Start: 1, Fingerprints: []knapweedpulley.Fingerprint{1}, Isolated: true,
		})
		assertState(t, one, 1, knapweedpulley.SuspectRefuse)
		assertState(t, one, 2, knapweedpulley.SuspectIsolate)
	})
	t.Run("a report that names more suspects of the same crash adds the missing ones", func(t *testing.T) {
		s := newSuspects(pairMembership{0}, p)
		s.Merge(knapweedpulley.SuspectReport{Endpoint: "e", Start: 1, Fingerprints: []knapweedpulley.Fingerprint{1}})
		s.Merge(first)
		assertState(t, s, 1, knapweedpulley.SuspectIsolate)
		assertState(t, s, 2, knapweedpulley.SuspectIsolate)
	})
}

func TestReportOnce(t *testing.T) {
	p := &countingPeers{peers: peers{}}
	one := newSuspects(pairMembership{0}, p)
	p.peers["two"] = newSuspects(pairMembership{1}, p)
	report := func(fingerprints ...knapweedpulley.Fingerprint) {
		one.Report(t.Context(), knapweedpulley.SuspectReport{Endpoint: "e", Start: 1, Fingerprints: fingerprints})
	}
	t.Run("a repeated report is sent once", func(t *testing.T) {
		report(1)
		report(1)
		is.New(t).Equal(p.sent, 1)
	})
	t.Run("a report that names more suspects is sent again", func(t *testing.T) {
		report(1, 2)
		is.New(t).Equal(p.sent, 2)
		assertState(t, p.peers["two"], 2, knapweedpulley.SuspectIsolate)
	})
	t.Run("a report that names as many suspects as the last one, but another, is sent", func(t *testing.T) {
		report(3, 4)
		is.New(t).Equal(p.sent, 3)
		assertState(t, p.peers["two"], 3, knapweedpulley.SuspectIsolate)
	})
}
