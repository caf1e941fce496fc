package main

import (
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/endpoint"
	"github.com/knapweedpulley/knapweedpulley/gateway"
	"github.com/knapweedpulley/knapweedpulley/logbook"
	"github.com/knapweedpulley/knapweedpulley/machine/fake"
)

// inBubble runs a subtest in virtual time.
func inBubble(name string, t *testing.T, f func(t *testing.T)) {
	t.Helper()
	t.Run(name, func(t *testing.T) { synctest.Test(t, f) })
}

// lineBuffer holds log lines that several goroutines write.
type lineBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (b *lineBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lineBuffer) contains(text string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Contains(b.text.String(), text)
}

// assertCleanUp asserts how long the clean-up of a process takes whose only step takes stepTime, and
// that its last log lines are written.
func assertCleanUp(t *testing.T, stepTime, limit, want time.Duration, wantLog string) {
	t.Helper()
	is := is.New(t)
	var lines lineBuffer
	flushed := false
	p := &process{log: logbook.New(&lines, log.InfoLevel, "test", "test"), flush: func() { flushed = true }}
	p.cleanups.Add(p.timed("links", func() { time.Sleep(stepTime) }))
	began := time.Now()
	p.cleanUp(began.Add(limit))
	is.Equal(time.Since(began), want)
	is.True(flushed)
	is.True(lines.contains(wantLog))
	time.Sleep(stepTime) // The step ends.
}

// A gateway whose clean-up took longer than what was left of the grace period was killed.
func TestCleanUpEndsInTime(t *testing.T) {
	inBubble("a step that doesn't end is left, and named", t, func(t *testing.T) {
		assertCleanUp(t, time.Hour, 500*time.Millisecond, 500*time.Millisecond, `"step":"links"`)
	})
	inBubble("a slow step that ends in time is logged", t, func(t *testing.T) {
		assertCleanUp(t, 300*time.Millisecond, 500*time.Millisecond, 300*time.Millisecond, `"tookMs":300`)
	})
	inBubble("a clean-up without time ends at once", t, func(t *testing.T) {
		assertCleanUp(t, time.Second, 0, 0, "clean-up didn't end in time")
	})
}

// silentPeer never answers.
type silentPeer struct{}

// SendSuspects implements knapweedpulley.SuspectPeer.
func (silentPeer) SendSuspects(ctx context.Context, _ knapweedpulley.Member, _ knapweedpulley.SuspectReport) error {
	<-ctx.Done()
	return ctx.Err()
}

// RequestProbe implements knapweedpulley.SuspectPeer.
func (silentPeer) RequestProbe(ctx context.Context, _ knapweedpulley.Member, _ knapweedpulley.ProbeRequest) (bool, error) {
	<-ctx.Done()
	return false, ctx.Err()
}

func TestCleanUpDoesNotWaitForSilentGateways(t *testing.T) {
	inBubble("a synchronization of suspects is broken off", t, func(t *testing.T) {
		self := knapweedpulley.Member{Entry: "one"}
		peers := gateway.NewPeers(self)
		peers.SetMembers([]knapweedpulley.Member{self, {Entry: "two"}})
		suspects := endpoint.NewSuspects(endpoint.SuspectOptions{
			Group: peers, Peer: silentPeer{}, Clock: fake.Clock{}, Log: logbook.New(io.Discard, log.InfoLevel, "test", "test"),
		})
		suspects.Merge(knapweedpulley.SuspectReport{Endpoint: "e", Start: 1, Fingerprints: []knapweedpulley.Fingerprint{7}})
		stop := suspects.SyncRegularly()
		time.Sleep(endpoint.SyncPeriod + endpoint.SyncTimeout/2)
		began := time.Now()
		stop()
		is.New(t).Equal(time.Since(began), time.Duration(0))
	})
}
