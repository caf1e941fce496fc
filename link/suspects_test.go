package link_test

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"google.golang.org/grpc"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/link"
	"github.com/knapweedpulley/knapweedpulley/machine/fake"
)

// recordedSuspects records the reports that arrive. It calls interrupt, if that is set,
// before it answers the next one.
type recordedSuspects struct {
	reports   chan knapweedpulley.SuspectReport
	interrupt atomic.Pointer[func()]
	// known is what others are told.
	known []knapweedpulley.SuspectReport
	// granted are the requests that may be sent as probes.
	granted []knapweedpulley.ProbeRequest
}

// Merge implements knapweedpulley.SuspectMerger.
func (s *recordedSuspects) Merge(r knapweedpulley.SuspectReport) {
	s.reports <- r
	if interrupt := s.interrupt.Swap(nil); interrupt != nil {
		(*interrupt)()
	}
}

// Snapshot implements knapweedpulley.SuspectStore.
func (s *recordedSuspects) Snapshot() []knapweedpulley.SuspectReport { return s.known }

// GrantProbe implements knapweedpulley.ProbeGranter.
func (s *recordedSuspects) GrantProbe(r knapweedpulley.ProbeRequest) bool {
	return slices.ContainsFunc(s.granted, func(g knapweedpulley.ProbeRequest) bool {
		return g.Content == r.Content && slices.Equal(g.Parts, r.Parts)
	})
}

// assertReportArrives requires that a report arrives and is confirmed although the
// connection of an earlier one fails.
func assertReportArrives(t *testing.T, fail func(*faultyProxy, *recordedSuspects)) {
	t.Helper()
	is := is.New(t)
	received := &recordedSuspects{reports: make(chan knapweedpulley.SuspectReport, 8)}
	server, closeServer, err := link.NewServer("127.0.0.1:0", nil, func(r grpc.ServiceRegistrar) {
		link.RegisterSuspects(r, received)
	})
	is.NoErr(err)
	t.Cleanup(closeServer)
	proxy := newFaultyProxy(t, server.Address())
	connections, closeConnections := link.NewConnections(nil)
	t.Cleanup(closeConnections)
	sender := link.NewSuspectSender(connections)
	to := knapweedpulley.Member{Entry: "two", Address: proxy.address()}
	first := knapweedpulley.SuspectReport{Endpoint: "e", Start: 1, Fingerprints: []knapweedpulley.Fingerprint{7}}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	is.NoErr(sender.SendSuspects(ctx, to, first))
	is.Equal(<-received.reports, first)
	fail(proxy, received)
	second := knapweedpulley.SuspectReport{
		Endpoint: "e", Start: 2, Fingerprints: []knapweedpulley.Fingerprint{7, 8},
		Parts:            []knapweedpulley.PartFingerprint{1, 2},
		AnsweredContents: []knapweedpulley.Fingerprint{3},
		AnsweredParts:    []knapweedpulley.PartFingerprint{4},
		PartStates:       []knapweedpulley.PartState{{Part: 5, Round: 2, Answered: true, Probes: 2, ReturnedProbes: 1}},
	}
	is.NoErr(sender.SendSuspects(ctx, to, second))
	is.Equal(<-received.reports, second)
}

func TestCrashReportOutlivesItsConnection(t *testing.T) {
	t.Run("a connection that stops delivering data", func(t *testing.T) {
		assertReportArrives(t, func(p *faultyProxy, _ *recordedSuspects) { p.silence() })
	})
	t.Run("a connection that is closed before the report is confirmed", func(t *testing.T) {
		assertReportArrives(t, func(p *faultyProxy, s *recordedSuspects) {
			cut := p.cut
			s.interrupt.Store(&cut)
		})
	})
	t.Run("a member whose process has ended is not waited for", func(t *testing.T) {
		is := is.New(t)
		connections, closeConnections := link.NewConnections(nil)
		defer closeConnections()
		address, release, err := fake.ReserveAddress()
		is.NoErr(err)
		defer release()
		to := knapweedpulley.Member{Entry: "two", Address: address}
		err = link.NewSuspectSender(connections).SendSuspects(t.Context(), to, knapweedpulley.SuspectReport{})
		is.True(errors.Is(err, knapweedpulley.ErrNoListener))
	})
}

func TestSuspectsAreFetched(t *testing.T) {
	fetch := func(t *testing.T, register func(grpc.ServiceRegistrar)) ([]knapweedpulley.SuspectReport, error) {
		t.Helper()
		server, closeServer, err := link.NewServer("127.0.0.1:0", nil, register)
		is.New(t).NoErr(err)
		t.Cleanup(closeServer)
		connections, closeConnections := link.NewConnections(nil)
		t.Cleanup(closeConnections)
		return link.NewSuspectSender(connections).FetchSuspects(t.Context(), knapweedpulley.Member{Entry: "two", Address: server.Address()})
	}
	t.Run("all that another gateway knows arrives, with the age of the crashes", func(t *testing.T) {
		known := []knapweedpulley.SuspectReport{
			{PartStates: []knapweedpulley.PartState{{Part: 5, Round: 2, Probes: 1}}},
			{Endpoint: "e", Start: 1, Age: 3 * time.Second, Parts: []knapweedpulley.PartFingerprint{1, 2}},
		}
		got, err := fetch(t, func(r grpc.ServiceRegistrar) { link.RegisterSuspects(r, &recordedSuspects{known: known}) })
		is.New(t).NoErr(err)
		is.New(t).Equal(got, known)
	})
	t.Run("a gateway of an earlier version, which doesn't know the call, has nothing to tell", func(t *testing.T) {
		got, err := fetch(t, func(grpc.ServiceRegistrar) {})
		is.New(t).NoErr(err)
		is.New(t).Equal(len(got), 0)
	})
}

func TestRequestProbe(t *testing.T) {
	request := func(t *testing.T, register func(grpc.ServiceRegistrar), r knapweedpulley.ProbeRequest) (bool, error) {
		t.Helper()
		server, closeServer, err := link.NewServer("127.0.0.1:0", nil, register)
		is.New(t).NoErr(err)
		t.Cleanup(closeServer)
		connections, closeConnections := link.NewConnections(nil)
		t.Cleanup(closeConnections)
		return link.NewSuspectSender(connections).RequestProbe(t.Context(), knapweedpulley.Member{Entry: "one", Address: server.Address()}, r)
	}
	content := knapweedpulley.ProbeRequest{Content: 7}
	parts := knapweedpulley.ProbeRequest{Parts: []knapweedpulley.PartFingerprint{1, 2}}
	granter := func(r grpc.ServiceRegistrar) {
		link.RegisterSuspects(r, &recordedSuspects{granted: []knapweedpulley.ProbeRequest{content, parts}})
	}
	t.Run("the answer of the gateway that decides arrives", func(t *testing.T) {
		for r, want := range map[*knapweedpulley.ProbeRequest]bool{&content: true, &parts: true, {Content: 8}: false} {
			granted, err := request(t, granter, *r)
			is.New(t).NoErr(err)
			is.New(t).Equal(granted, want)
		}
	})
	t.Run("a gateway of an earlier version, which doesn't know the call, grants no probe", func(t *testing.T) {
		granted, err := request(t, func(grpc.ServiceRegistrar) {}, content)
		is.New(t).NoErr(err)
		is.New(t).True(!granted)
	})
}
