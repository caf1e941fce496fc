package agent_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/engine/fake"
)

const poison knapweedpulley.Fingerprint = 666

// testFleet is a set of endpoints with a minimal version of an entry's suspect handling.
type testFleet struct {
	benches []*harness
	mu      sync.Mutex
	seen    map[string]bool
	states  map[knapweedpulley.Fingerprint]knapweedpulley.SuspectState
}

func runFleetInBubble(t *testing.T, size int, f func(*testFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		l := &testFleet{seen: make(map[string]bool), states: make(map[knapweedpulley.Fingerprint]knapweedpulley.SuspectState)}
		for range size {
			b := &harness{t: t, engine: fake.NewEngine(engineSettings()), clock: &virtualClock{}}
			b.engine.Poison(poison)
			b.restart()
			b.load("m")
			l.benches = append(l.benches, b)
		}
		f(l)
		for _, b := range l.benches {
			b.cleanup()
			b.engine.Stop()
		}
		synctest.Wait()
	})
}

// collectCrashes updates the suspect states from the crashes that an agent reports.
func (l *testFleet) collectCrashes(i int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.benches[i].agent.Status().Crashes {
		id := fmt.Sprint(i, r.Start)
		if l.seen[id] {
			continue
		}
		l.seen[id] = true
		for _, f := range r.Fingerprints {
			l.states[f] = knapweedpulley.SuspectIsolate
			if r.Isolated {
				l.states[f] = knapweedpulley.SuspectRefuse
			}
		}
	}
}

func (l *testFleet) state(f knapweedpulley.Fingerprint) knapweedpulley.SuspectState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.states[f]
}

// run runs an idempotent request, retrying on one endpoint after the other.
func (l *testFleet) run(r knapweedpulley.Request, first int) *answer {
	var a *answer
	for i := range 4 * len(l.benches) {
		state := l.state(r.Fingerprint)
		if state == knapweedpulley.SuspectRefuse {
			return &answer{err: knapweedpulley.NewRefusal(knapweedpulley.CodeCrashSuspect, knapweedpulley.NotRun, "suspect")}
		}
		r.Isolated = state == knapweedpulley.SuspectIsolate
		at := (first + i) % len(l.benches)
		a = l.benches[at].run(context.Background(), r)
		if a.err == nil {
			return a
		}
		l.collectCrashes(at)
	}
	return a
}

func TestPoisonRequestCrashesAtMostTwoEndpoints(t *testing.T) {
	runFleetInBubble(t, 4, func(l *testFleet) {
		var wg sync.WaitGroup
		for i := range 12 {
			wg.Go(func() {
				r := request(knapweedpulley.RequestID(fmt.Sprint("innocent", i)), "c")
				r.Fingerprint = knapweedpulley.Fingerprint(i + 1)
				assertAnswered(t, l.run(r, i), r)
			})
		}
		time.Sleep(300 * time.Millisecond)
		for i := range 6 {
			r := request(knapweedpulley.RequestID(fmt.Sprint("poison", i)), "d")
			r.Fingerprint = poison
			assertRefused(t, l.run(r, i).err, knapweedpulley.CodeCrashSuspect, knapweedpulley.NotRun)
		}
		wg.Wait()
		lost := 0
		for _, b := range l.benches {
			lost += b.engine.Record().Crashes
		}
		if lost > 2 {
			t.Errorf("%d endpoints crashed, want at most 2", lost)
		}
	})
}

func TestCrash(t *testing.T) {
	t.Run("running requests are reported once and memory is freed", func(t *testing.T) {
		runInBubble(t, engineSettings(), func(b *harness) {
			b.load("m")
			var wg sync.WaitGroup
			for i := range 6 {
				wg.Go(func() {
					r := request(knapweedpulley.RequestID(fmt.Sprint(i)), "c")
					r.Fingerprint = knapweedpulley.Fingerprint(i + 1)
					a := b.run(context.Background(), r)
					if b.engine.Record().Runs[r.ID] > 0 {
						assertRefused(t, a.err, knapweedpulley.CodeEngineFailed, knapweedpulley.MayHaveRun)
						return
					}
					assertRefused(t, a.err, knapweedpulley.CodeNotReady, knapweedpulley.NotRun)
				})
			}
			time.Sleep(500 * time.Millisecond)
			b.engine.Crash()
			wg.Wait()
			time.Sleep(10 * time.Second)
			is := is.New(t)
			s := b.agent.Status()
			is.Equal(len(s.Crashes), 1)
			is.Equal(len(s.Crashes[0].Fingerprints), 4)
			is.Equal(s.Crashes[0].Isolated, false)
			is.Equal(s.FreeMemory, engineSettings().Memory)
			b.load("m")
			r := request("after", "c")
			assertAnswered(t, b.run(context.Background(), r), r)
		})
	})
	t.Run("completed requests are not reported", func(t *testing.T) {
		runInBubble(t, engineSettings(), func(b *harness) {
			b.load("m")
			r := request("ended", "c")
			r.Fingerprint = 1
			assertAnswered(t, b.run(context.Background(), r), r)
			b.engine.Crash()
			time.Sleep(10 * time.Second)
			is.New(t).Equal(len(b.agent.Status().Crashes[0].Fingerprints), 0)
		})
	})
}
