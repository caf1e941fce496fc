package faults_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/engine/fake"
	"github.com/knapweedpulley/knapweedpulley/faults"
)

const (
	load   = knapweedpulley.OrderLoadModel
	unload = knapweedpulley.OrderUnloadModel

	trafficPeriod = 711 * time.Millisecond
	trafficTime   = 40 * time.Second
	freezeTime    = 10 * time.Second
	lateTime      = 2 * time.Second
	// apart keeps events from coming at the same instant, so that each run
	// takes the same course.
	apart = 1300 * time.Microsecond

	// runBurst fills the slots twice, drainBurst once more, so that some run
	// when the queue of a leaving endpoint is closed.
	runBurst   = 8
	drainBurst = 12

	strikeLimit = 2 * time.Minute
	slowTime    = 50 * time.Second
)

// mishap is a fault at a step of an order.
type mishap struct {
	name  string
	step  fake.Step
	kind  fake.Fault
	delay time.Duration
	// kills is set if the agent is killed as well, machine if the whole machine
	// is lost.
	kills   bool
	machine bool
}

func stepName(s fake.Step) string {
	return []string{"begun", "before it is sent", "while it is carried out", "before its answer"}[s]
}

// mishaps lists the faults at each step of an order.
func mishaps() []mishap {
	var list []mishap
	for _, s := range []fake.Step{fake.BeforeSend, fake.AfterReceive, fake.BeforeAnswer} {
		list = append(
			list,
			mishap{name: "agent killed", step: s, kind: fake.Kill},
			mishap{name: "VM reclaimed", step: s, kind: fake.Kill, machine: true},
			mishap{name: "agent frozen and resumed", step: s, kind: fake.Freeze, delay: freezeTime},
			mishap{name: "answer lost", step: s, kind: fake.Lose},
			mishap{name: "connection silent", step: s, kind: fake.Silence},
			mishap{name: "engine crashes", step: s, kind: fake.CrashEngine},
		)
	}
	return append(
		list,
		mishap{name: "order arrives late", step: fake.BeforeSend, kind: fake.Late, delay: lateTime},
		mishap{name: "agent killed and its order arrives late", step: fake.BeforeSend, kind: fake.Late, delay: lateTime, kills: true},
		mishap{name: "weight store slow", kind: fake.Slow, delay: slowTime},
		mishap{name: "weight store fails", kind: fake.Fail},
	)
}

// strike plans a mishap for the next order, and returns what to call once the
// order was given.
func (w *world) strike(m mishap) func() {
	w.port.Plan(m.step, m.kind, m.delay)
	happened := w.port.Happened()
	return func() {
		select {
		case <-happened:
		case <-time.After(strikeLimit):
			w.t.Errorf("%s %s did not happen", m.name, stepName(m.step))
		}
		switch {
		case m.machine:
			w.reclaim()
		case m.kind == fake.Kill || m.kills:
			w.kill()
		}
	}
}

func fencing(checks bool) string {
	if checks {
		return "tokens checked"
	}
	return "tokens ignored"
}

// orderRows lists the faults during a load and an unload.
func orderRows() []faults.Row {
	var rows []faults.Row
	for _, checks := range []bool{true, false} {
		for _, m := range mishaps() {
			rows = append(rows, faults.Row{
				Flow: "load, " + fencing(checks), Fault: m.name, Step: stepName(m.step),
				Run: func(t *testing.T) faults.Observations { return runLoad(t, checks, m) },
			})
			if m.kind == fake.Slow || m.kind == fake.Fail {
				continue
			}
			rows = append(rows, faults.Row{
				Flow: "unload, " + fencing(checks), Fault: m.name, Step: stepName(m.step),
				Run: func(t *testing.T) faults.Observations { return runUnload(t, checks, m) },
			})
		}
		rows = append(rows, faults.Row{
			Flow: "load, " + fencing(checks), Fault: "operators race", Step: "load against unload",
			Run: func(t *testing.T) faults.Observations { return runRace(t, checks) },
		})
	}
	return rows
}

// pairRows lists pairs of faults: the second strikes the order that mends the
// first.
func pairRows() []faults.Row {
	var rows []faults.Row
	for _, checks := range []bool{true, false} {
		for _, a := range mishaps() {
			for _, b := range mishaps() {
				if a.step != fake.AfterReceive || b.step != fake.AfterReceive {
					continue
				}
				rows = append(rows, faults.Row{
					Flow: "load, " + fencing(checks), Fault: a.name + ", then " + b.name, Step: stepName(a.step),
					Run: func(t *testing.T) faults.Observations { return runLoad(t, checks, a, b) },
				})
			}
		}
	}
	return rows
}

// begin starts a world in which model n is loaded and called.
func begin(t *testing.T, checks bool) *world {
	t.Helper()
	w := newWorld(t, checks)
	w.decide("n", true)
	w.orderUntilDone(load, "n", 1)
	w.traffic(trafficPeriod, trafficTime)
	time.Sleep(2 * trafficPeriod)
	return w
}

// runLoad has a load fail in the given ways one after the other, repeats it
// until it succeeds, and tries to overcommit the memory.
func runLoad(t *testing.T, checks bool, list ...mishap) faults.Observations {
	t.Helper()
	w := begin(t, checks)
	w.decide("m", true)
	w.decide("o", true)
	for _, m := range list {
		kind := load
		if slices.Contains(w.engine().Held(), "m") {
			kind = unload
		}
		strike := w.strike(m)
		w.work.Go(func() { w.orderUntilStruck(kind, "m", 2) })
		strike()
		w.work.Go(func() { _ = w.order(load, "o", 2) })
	}
	_ = w.order(load, "o", 2)
	for _, id := range []knapweedpulley.ModelID{"m", "n", "o"} {
		_ = w.order(load, id, 2)
	}
	return w.finish()
}

// orderUntilStruck repeats an order until the planned fault has happened.
func (w *world) orderUntilStruck(kind knapweedpulley.OrderKind, m knapweedpulley.ModelID, p knapweedpulley.Revision) {
	happened := w.port.Happened()
	for w.order(kind, m, p) != nil {
		select {
		case <-happened:
			return
		case <-time.After(retryPeriod):
		}
	}
}

// runUnload has an unload fail in a given way and repeats it. Once it is
// confirmed and the lease time is over, the model may not be loaded any more.
func runUnload(t *testing.T, checks bool, m mishap) faults.Observations {
	t.Helper()
	w := begin(t, checks)
	w.decide("m", true)
	w.orderUntilDone(load, "m", 2)
	strike := w.strike(m)
	w.work.Go(func() { _ = w.order(unload, "m", 3) })
	strike()
	w.orderUntilDone(unload, "m", 3)
	w.decide("o", true)
	w.work.Go(func() { _ = w.order(load, "o", 1) })
	time.Sleep(lease)
	w.decide("m", false)
	_ = w.order(load, "m", 2)
	return w.finish()
}

// runRace has two operators order opposite things; the later permit wins.
func runRace(t *testing.T, checks bool) faults.Observations {
	t.Helper()
	w := begin(t, checks)
	w.decide("m", true)
	const rounds = 5
	for i := range rounds {
		r := knapweedpulley.Revision(2 + 2*i)
		w.work.Go(func() { _ = w.order(load, "m", r) })
		time.Sleep(time.Duration(i) * time.Second)
		w.work.Go(func() { _ = w.order(unload, "m", r+1) })
		_ = w.order(load, "m", r)
	}
	last := knapweedpulley.Revision(2 + 2*rounds)
	w.orderUntilDone(unload, "m", last)
	w.decide("m", false)
	_ = w.order(load, "m", last-1)
	return w.finish()
}

// blow is a fault while requests run.
type blow struct {
	name   string
	strike func(*world)
}

func blows() []blow {
	return []blow{
		{"agent killed", func(w *world) { w.kill() }},
		{"VM reclaimed", func(w *world) { w.reclaim() }},
		{"engine crashes", func(w *world) { w.engine().Crash() }},
		{"engine silent", func(w *world) {
			w.port.SetSilent(true)
			time.Sleep(freezeTime)
			w.port.SetSilent(false)
		}},
		{"machine suspended", func(w *world) { w.clock.suspend(requestTimeout) }},
		{"request crashes the engine", func(w *world) { w.call(context.Background(), "poison", "iturralde") }},
		{"caller leaves", func(w *world) {
			ctx, cancel := context.WithCancel(context.Background())
			w.calls.Go(func() { w.call(ctx, "left", "iturralde") })
			time.Sleep(time.Millisecond)
			cancel()
		}},
	}
}

// steps lists the times of a burst of requests at which faults strike.
func steps() []struct {
	name string
	at   time.Duration
} {
	return []struct {
		name string
		at   time.Duration
	}{
		{"the first run, others wait", 100 * time.Millisecond},
		{"half of the answers is written", 700 * time.Millisecond},
		{"the waiting ones have begun", 1500 * time.Millisecond},
	}
}

// requestRows lists the faults during a burst of requests.
func requestRows() []faults.Row {
	var rows []faults.Row
	for _, b := range blows() {
		for _, s := range steps() {
			rows = append(rows, faults.Row{Flow: "run", Fault: b.name, Step: s.name, Run: func(t *testing.T) faults.Observations {
				w := newWorld(t, true)
				w.engine().Poison(poison)
				w.decide("n", true)
				w.orderUntilDone(load, "n", 1)
				w.burst(runBurst)
				time.Sleep(s.at)
				b.strike(w)
				w.calls.Wait()
				w.orderUntilDone(load, "n", 1)
				w.burst(runBurst)
				return w.finish()
			}})
		}
	}
	return rows
}

// burst has calls come at almost the same time.
func (w *world) burst(calls int) {
	at := time.Now().UnixMilli()
	for i := range calls {
		c := []knapweedpulley.CustomerID{"iturralde", "idegenvezetok"}[i%2]
		w.calls.Go(func() {
			time.Sleep(time.Duration(i) * apart)
			w.call(context.Background(), knapweedpulley.RequestID(fmt.Sprint(at, "-", i)), c)
		})
	}
}

// drainRows lists the faults while an endpoint drains.
func drainRows() []faults.Row {
	list := append([]blow{{"none", func(*world) {}}}, blows()...)
	var rows []faults.Row
	for _, b := range list {
		for _, s := range steps() {
			rows = append(rows, faults.Row{Flow: "drain", Fault: b.name, Step: s.name, Run: func(t *testing.T) faults.Observations {
				return runDrain(t, s.at, b)
			}})
		}
	}
	return rows
}

func runDrain(t *testing.T, at time.Duration, b blow) faults.Observations {
	t.Helper()
	w := newWorld(t, true)
	w.engine().Poison(poison)
	w.decide("n", true)
	w.orderUntilDone(load, "n", 1)
	w.burst(drainBurst)
	time.Sleep(at)
	leaving, _ := w.current()
	engine, began := w.engine(), time.Now()
	drained := make(chan error, 1)
	go func() { drained <- leaving.Drain(context.Background()) }()
	time.Sleep(time.Millisecond)
	b.strike(w)
	w.traffic(trafficPeriod, trafficTime)
	if err := <-drained; err != nil {
		t.Errorf("drain: %v", err)
	}
	departure := faults.Departure{Endpoint: endpointID}
	if now, _ := w.current(); now == leaving {
		for _, s := range engine.Record().Starts {
			if s.At.Sub(began) > lease {
				departure.Begun++
			}
		}
		w.seen.Departures = append(w.seen.Departures, departure)
		time.Sleep(1700 * time.Microsecond)
		w.kill()
	}
	w.calls.Wait()
	seen := w.finish()
	if b.name == "none" || b.name == "engine silent" {
		seen.Shutdowns = []faults.Shutdown{{Endpoint: endpointID, Cut: countCut(seen.Refusals)}}
	}
	return seen
}

// countCut counts the requests that ran and were not answered.
func countCut(list []faults.Refusal) int {
	cut := 0
	for _, r := range list {
		if r.Runs > 0 {
			cut++
		}
	}
	return cut
}
