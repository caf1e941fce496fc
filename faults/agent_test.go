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
	orderDelay    = 2 * time.Second
	// staggerTime separates events that would otherwise happen at the same
	// instant, so that every run is deterministic.
	staggerTime = 1300 * time.Microsecond

	// runBurst is twice the number of slots. drainBurst is three times that
	// number, so that requests still run when a draining endpoint closes its
	// queue.
	runBurst   = 8
	drainBurst = 12

	faultTimeout  = 2 * time.Minute
	slowStoreTime = 50 * time.Second
)

// orderFault is a fault that occurs at a step of an order.
type orderFault struct {
	name  string
	step  fake.Step
	kind  fake.Fault
	delay time.Duration
	// killsAgent is set if the agent is killed as well. losesMachine is set if
	// the whole machine is lost.
	killsAgent   bool
	losesMachine bool
}

func stepName(s fake.Step) string {
	return []string{"begun", "before it is sent", "while it is carried out", "before its answer"}[s]
}

// orderFaults lists the faults at each step of an order.
func orderFaults() []orderFault {
	var list []orderFault
	for _, s := range []fake.Step{fake.BeforeSend, fake.AfterReceive, fake.BeforeAnswer} {
		list = append(
			list,
			orderFault{name: "agent killed", step: s, kind: fake.Kill},
			orderFault{name: "VM reclaimed", step: s, kind: fake.Kill, losesMachine: true},
			orderFault{name: "agent frozen and resumed", step: s, kind: fake.Freeze, delay: freezeTime},
			orderFault{name: "answer lost", step: s, kind: fake.Lose},
			orderFault{name: "connection silent", step: s, kind: fake.Silence},
			orderFault{name: "engine crashes", step: s, kind: fake.CrashEngine},
		)
	}
	return append(
		list,
		orderFault{name: "order arrives late", step: fake.BeforeSend, kind: fake.Late, delay: orderDelay},
		orderFault{name: "agent killed and its order arrives late", step: fake.BeforeSend, kind: fake.Late, delay: orderDelay, killsAgent: true},
		orderFault{name: "weight store slow", kind: fake.Slow, delay: slowStoreTime},
		orderFault{name: "weight store fails", kind: fake.Fail},
	)
}

// planFault plans a fault for the next order. The returned function waits until
// the fault has occurred and then kills the agent or the machine if the fault
// requires it; call it once the order is sent.
func (h *harness) planFault(m orderFault) func() {
	h.port.Plan(m.step, m.kind, m.delay)
	occurred := h.port.Happened()
	return func() {
		select {
		case <-occurred:
		case <-time.After(faultTimeout):
			h.t.Errorf("fault %q at step %q did not occur within the time limit", m.name, stepName(m.step))
		}
		switch {
		case m.losesMachine:
			h.reclaimMachine()
		case m.kind == fake.Kill || m.killsAgent:
			h.killAgent()
		}
	}
}

func fencingName(checks bool) string {
	if checks {
		return "tokens checked"
	}
	return "tokens ignored"
}

// orderRows lists the faults during a load and an unload.
func orderRows() []faults.Row {
	var rows []faults.Row
	for _, checks := range []bool{true, false} {
		for _, m := range orderFaults() {
			rows = append(rows, faults.Row{
				Flow: "load, " + fencingName(checks), Fault: m.name, Step: stepName(m.step),
				Run: func(t *testing.T) faults.Observations { return runLoad(t, checks, m) },
			})
			if m.kind == fake.Slow || m.kind == fake.Fail {
				continue
			}
			rows = append(rows, faults.Row{
				Flow: "unload, " + fencingName(checks), Fault: m.name, Step: stepName(m.step),
				Run: func(t *testing.T) faults.Observations { return runUnload(t, checks, m) },
			})
		}
		rows = append(rows, faults.Row{
			Flow: "load, " + fencingName(checks), Fault: "operators race", Step: "load against unload",
			Run: func(t *testing.T) faults.Observations { return runRace(t, checks) },
		})
	}
	return rows
}

// pairRows lists pairs of faults. The second fault occurs in the order that
// recovers from the first.
func pairRows() []faults.Row {
	var rows []faults.Row
	for _, checks := range []bool{true, false} {
		for _, a := range orderFaults() {
			for _, b := range orderFaults() {
				if a.step != fake.AfterReceive || b.step != fake.AfterReceive {
					continue
				}
				rows = append(rows, faults.Row{
					Flow: "load, " + fencingName(checks), Fault: a.name + ", then " + b.name, Step: stepName(a.step),
					Run: func(t *testing.T) faults.Observations { return runLoad(t, checks, a, b) },
				})
			}
		}
	}
	return rows
}

// startHarness starts a harness in which model n is loaded and gets requests.
func startHarness(t *testing.T, checksFencing bool) *harness {
	t.Helper()
	h := newHarness(t, checksFencing)
	h.setPermitted("n", true)
	h.orderUntilDone(load, "n", 1)
	h.traffic(trafficPeriod, trafficTime)
	time.Sleep(2 * trafficPeriod)
	return h
}

// runLoad injects the given faults into a load one after the other, with an
// unload in place of the load while the engine holds the model. It then orders
// more models than fit into the memory.
func runLoad(t *testing.T, checksFencing bool, list ...orderFault) faults.Observations {
	t.Helper()
	h := startHarness(t, checksFencing)
	h.setPermitted("m", true)
	h.setPermitted("o", true)
	for _, m := range list {
		kind := load
		if slices.Contains(h.engine().Held(), "m") {
			kind = unload
		}
		awaitFault := h.planFault(m)
		h.work.Go(func() { h.orderUntilFault(kind, "m", 2) })
		awaitFault()
		h.work.Go(func() { _ = h.order(load, "o", 2) })
	}
	_ = h.order(load, "o", 2)
	for _, id := range []knapweedpulley.ModelID{"m", "n", "o"} {
		_ = h.order(load, id, 2)
	}
	return h.finish()
}

// orderUntilFault retries an order until it succeeds or the planned fault has occurred.
func (h *harness) orderUntilFault(kind knapweedpulley.OrderKind, m knapweedpulley.ModelID, p knapweedpulley.Revision) {
	occurred := h.port.Happened()
	for h.order(kind, m, p) != nil {
		select {
		case <-occurred:
			return
		case <-time.After(retryPeriod):
		}
	}
}

// runUnload injects a fault into an unload and retries the unload. Once the
// unload is confirmed and leaseTime is over, the model must not be loaded again.
func runUnload(t *testing.T, checksFencing bool, m orderFault) faults.Observations {
	t.Helper()
	h := startHarness(t, checksFencing)
	h.setPermitted("m", true)
	h.orderUntilDone(load, "m", 2)
	awaitFault := h.planFault(m)
	h.work.Go(func() { _ = h.order(unload, "m", 3) })
	awaitFault()
	h.orderUntilDone(unload, "m", 3)
	h.setPermitted("o", true)
	h.work.Go(func() { _ = h.order(load, "o", 1) })
	time.Sleep(leaseTime)
	h.setPermitted("m", false)
	_ = h.order(load, "m", 2)
	return h.finish()
}

// runRace has two operators order a load and an unload of the same model
// concurrently. The order with the later permit wins.
func runRace(t *testing.T, checksFencing bool) faults.Observations {
	t.Helper()
	h := startHarness(t, checksFencing)
	h.setPermitted("m", true)
	const rounds = 5
	for i := range rounds {
		r := knapweedpulley.Revision(2 + 2*i)
		h.work.Go(func() { _ = h.order(load, "m", r) })
		time.Sleep(time.Duration(i) * time.Second)
		h.work.Go(func() { _ = h.order(unload, "m", r+1) })
		_ = h.order(load, "m", r)
	}
	last := knapweedpulley.Revision(2 + 2*rounds)
	h.orderUntilDone(unload, "m", last)
	h.setPermitted("m", false)
	_ = h.order(load, "m", last-1)
	return h.finish()
}

// requestFault is a fault that is injected while requests run.
type requestFault struct {
	name   string
	inject func(*harness)
}

func requestFaults() []requestFault {
	return []requestFault{
		{"agent killed", func(h *harness) { h.killAgent() }},
		{"VM reclaimed", func(h *harness) { h.reclaimMachine() }},
		{"engine crashes", func(h *harness) { h.engine().Crash() }},
		{"engine silent", func(h *harness) {
			h.port.SetSilent(true)
			time.Sleep(freezeTime)
			h.port.SetSilent(false)
		}},
		{"machine suspended", func(h *harness) { h.clock.suspend(requestTimeout) }},
		{"request crashes the engine", func(h *harness) { h.call(context.Background(), "poison", "iturralde") }},
		{"caller leaves", func(h *harness) {
			ctx, cancel := context.WithCancel(context.Background())
			h.calls.Go(func() { h.call(ctx, "left", "iturralde") })
			time.Sleep(time.Millisecond)
			cancel()
		}},
	}
}

// burstSteps lists the times after the start of a burst of requests at which faults are
// injected.
func burstSteps() []struct {
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
	for _, b := range requestFaults() {
		for _, s := range burstSteps() {
			rows = append(rows, faults.Row{Flow: "run", Fault: b.name, Step: s.name, Run: func(t *testing.T) faults.Observations {
				h := newHarness(t, true)
				h.engine().Poison(crashingFingerprint)
				h.setPermitted("n", true)
				h.orderUntilDone(load, "n", 1)
				h.burst(runBurst)
				time.Sleep(s.at)
				b.inject(h)
				h.calls.Wait()
				h.orderUntilDone(load, "n", 1)
				h.burst(runBurst)
				return h.finish()
			}})
		}
	}
	return rows
}

// burst sends the given number of requests, one every staggerTime.
func (h *harness) burst(calls int) {
	at := time.Now().UnixMilli()
	for i := range calls {
		c := []knapweedpulley.CustomerID{"iturralde", "idegenvezetok"}[i%2]
		h.calls.Go(func() {
			time.Sleep(time.Duration(i) * staggerTime)
			h.call(context.Background(), knapweedpulley.RequestID(fmt.Sprint(at, "-", i)), c)
		})
	}
}

// drainRows lists the faults while an endpoint drains.
func drainRows() []faults.Row {
	list := append([]requestFault{{"none", func(*harness) {}}}, requestFaults()...)
	var rows []faults.Row
	for _, b := range list {
		for _, s := range burstSteps() {
			rows = append(rows, faults.Row{Flow: "drain", Fault: b.name, Step: s.name, Run: func(t *testing.T) faults.Observations {
				return runDrain(t, s.at, b)
			}})
		}
	}
	return rows
}

func runDrain(t *testing.T, at time.Duration, b requestFault) faults.Observations {
	t.Helper()
	h := newHarness(t, true)
	h.engine().Poison(crashingFingerprint)
	h.setPermitted("n", true)
	h.orderUntilDone(load, "n", 1)
	h.burst(drainBurst)
	time.Sleep(at)
	leaving, _ := h.current()
	engine, began := h.engine(), time.Now()
	drained := make(chan error, 1)
	go func() { drained <- leaving.Drain(context.Background()) }()
	time.Sleep(time.Millisecond)
	b.inject(h)
	h.traffic(trafficPeriod, trafficTime)
	if err := <-drained; err != nil {
		t.Errorf("drain: %v", err)
	}
	departure := faults.Departure{Endpoint: endpointID}
	if now, _ := h.current(); now == leaving {
		for _, s := range engine.Record().Starts {
			if s.At.Sub(began) > leaseTime {
				departure.Begun++
			}
		}
		h.observed.Departures = append(h.observed.Departures, departure)
		time.Sleep(1700 * time.Microsecond)
		h.killAgent()
	}
	h.calls.Wait()
	observed := h.finish()
	if b.name == "none" || b.name == "engine silent" {
		observed.Shutdowns = []faults.Shutdown{{Endpoint: endpointID, Cut: countCutRequests(observed.Refusals)}}
	}
	return observed
}

// countCutRequests counts the refused requests that a back end ran at least once.
func countCutRequests(list []faults.Refusal) int {
	cut := 0
	for _, r := range list {
		if r.Runs > 0 {
			cut++
		}
	}
	return cut
}
