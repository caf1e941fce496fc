package configuration_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
)

// fault is a fault to inject into a fleet. The number selects the watcher that it hits, so that the
// two faults of a pair can hit different ones.
type fault struct {
	name   string
	inject func(f *fleet, number int)
}

// watcherOf returns one of the entry processes that watch the store, or any other if no watcher is
// left.
func watcherOf(f *fleet, number int) *entry {
	if w := watchersOf(f); len(w) > 0 {
		return w[number%len(w)]
	}
	for _, m := range f.members {
		if e, ok := f.entry(m.Address); ok {
			return e
		}
	}
	panic("no entry is left")
}

func faults() []fault {
	return []fault{
		{"silent watcher", func(f *fleet, n int) { watcherOf(f, n).silent.Store(true) }},
		{"dead watcher", func(f *fleet, n int) { f.kill(watcherOf(f, n).member) }},
		{"watcher disconnected from the store", func(f *fleet, n int) { watcherOf(f, n).store.CutOff(true) }},
		{"restarted watcher", func(f *fleet, n int) {
			m := watcherOf(f, n).member
			f.kill(m)
			f.start(m)
		}},
		{"slow store", func(f *fleet, _ int) { f.objects.SetLatency(time.Second) }},
		{"short outage", func(f *fleet, _ int) {
			f.objects.SetDown(true)
			time.Sleep(heartbeatSpreadTime)
			f.objects.SetDown(false)
		}},
		{"compacted changes", func(f *fleet, _ int) { f.objects.Compact() }},
	}
}

// assertAppliedWhereReachable requires that the second permit is in force in time at all entry
// processes that can receive it. Those that are silent and disconnected from the store can't.
func assertAppliedWhereReachable(t *testing.T, f *fleet) {
	t.Helper()
	time.Sleep(maxApplyTime)
	for _, m := range f.members {
		e, ok := f.entry(m.Address)
		isolated := ok && e.silent.Load() && e.store.IsCutOff()
		if ok && !isolated && !e.hasPermit(2) {
			t.Errorf("%s lacks the change", m.Entry)
		}
	}
}

func TestFaultPairs(t *testing.T) {
	for _, first := range faults() {
		for _, second := range faults() {
			t.Run(first.name+" and "+second.name, func(t *testing.T) {
				inBubble(t, 2, 6, func(t *testing.T, f *fleet) {
					f.put(1)
					time.Sleep(maxApplyTime)
					assertNoRevert(t, f)
					first.inject(f, 0)
					second.inject(f, 1)
					f.put(2)
					assertAppliedWhereReachable(t, f)
					assertNoRevert(t, f)
				})
			})
		}
	}
}

func TestFaultSequences(t *testing.T) {
	const sequences, length = 40, 6
	random := rand.New(rand.NewPCG(11, 12))
	for range sequences {
		inBubble(t, 2, 6, func(t *testing.T, f *fleet) {
			f.put(1)
			for i := range length {
				faults()[random.IntN(len(faults()))].inject(f, i)
				for range random.IntN(30) {
					time.Sleep(100 * time.Millisecond)
					assertNoRevert(t, f)
				}
			}
			f.put(2)
			assertAppliedWhereReachable(t, f)
			assertNoRevert(t, f)
		})
	}
}

// Guards against an outage of the store that is concluded from the silence of all peers.
func TestSilentPeersAreNoOutage(t *testing.T) {
	for phase := range 10 {
		inBubble(t, 1, 12, func(t *testing.T, f *fleet) {
			is := is.New(t)
			time.Sleep(time.Duration(phase) * 100 * time.Millisecond)
			watchers := knapweedpulley.NewSet[*entry](watchersOf(f)...)
			for _, m := range f.members {
				if e, _ := f.entry(m.Address); !watchers.Has(e) {
					assertNoOutageBehindSilentPeers(t, f, e)
					return
				}
			}
			is.Fail() // Each entry watches the store.
		})
	}
}

// assertNoOutageBehindSilentPeers silences all other entries and requires that an entry comes to watch
// the store and knows of no outage of it.
func assertNoOutageBehindSilentPeers(t *testing.T, f *fleet, e *entry) {
	t.Helper()
	is := is.New(t)
	silentAt := clock{}.Now()
	for _, m := range f.members {
		if other, _ := f.entry(m.Address); other != e {
			other.silent.Store(true)
		}
	}
	time.Sleep(maxApplyTime)
	is.True(e.Watching())
	is.True(!e.Evidence(knapweedpulley.KindPermits).ContinuousSince.After(e.translate(silentAt)))
}

// translate returns an instant on the clock of the entry's machine.
func (e *entry) translate(i knapweedpulley.Instant) knapweedpulley.Instant {
	return i.Add(e.offset)
}
