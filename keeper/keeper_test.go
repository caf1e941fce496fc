package keeper_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/keeper"
	"github.com/knapweedpulley/knapweedpulley/machine/fake"
)

func TestLoads(t *testing.T) {
	runInBubble("a requested model replaces the model with the lowest request rate", t, func(f *fixture) {
		f.setDemands(demand("a", 0, 2), demand("b", 0, 1))
		time.Sleep(time.Second)
		f.requestLoad("c", "", 5*time.Second)
		time.Sleep(1500 * time.Millisecond)
		f.assertHolds("c", "", true)
		f.assertHolds("a", "", true)
		f.assertHolds("b", "", false)
	})
	runInBubble("a spare model is unloaded first whatever its request rate", t, func(f *fixture) {
		spare := demand("a", 0, 9)
		spare.Redundant = true
		f.setDemands(spare, demand("b", 0, 1))
		time.Sleep(time.Second)
		f.requestLoad("c", "", 5*time.Second)
		time.Sleep(1500 * time.Millisecond)
		f.assertHolds("a", "", false)
		f.assertHolds("b", "", true)
	})
	runInBubble("a model in use is not unloaded", t, func(f *fixture) {
		f.setDemands(demand("a", 1, 0), demand("b", 1, 0))
		time.Sleep(time.Second)
		f.requestLoad("c", "", 4*time.Second)
		time.Sleep(3 * time.Second)
		f.assertHolds("a", "", true)
		f.assertHolds("b", "", true)
		f.setDemands(demand("a", 0, 0), demand("b", 1, 0))
		time.Sleep(2 * time.Second)
		f.assertHolds("c", "", true)
	})
	runInBubble("a load request that cannot be served expires unless repeated", t, func(f *fixture) {
		f.setDemands(demand("a", 1, 0), demand("b", 1, 0))
		time.Sleep(time.Second)
		f.requestLoad("c", "", time.Second)
		time.Sleep(2 * time.Second)
		f.setDemands()
		time.Sleep(5 * time.Second)
		f.assertHolds("c", "", false)
		is.New(f.t).Equal(len(f.stream.report().Queue), 0)
	})
	runInBubble("a load request that is withdrawn is not served", t, func(f *fixture) {
		f.setDemands(demand("a", 1, 0), demand("b", 1, 0))
		time.Sleep(time.Second)
		f.requestLoad("c", "", time.Minute)
		f.requestLoad("d", "", time.Minute)
		time.Sleep(time.Second)
		is.New(f.t).Equal(len(f.stream.report().Queue), 2)
		f.requestLoad("c", "", 0)
		time.Sleep(time.Second)
		is.New(f.t).Equal(f.stream.report().Queue, []knapweedpulley.Resident{{Model: "d"}})
		f.setDemands()
		time.Sleep(10 * time.Second)
		f.assertHolds("c", "", false)
	})
	runInBubble("two requests for the same model cause one load", t, func(f *fixture) {
		f.requestLoad("c", "", 5*time.Second)
		f.requestLoad("c", "", 5*time.Second)
		time.Sleep(5 * time.Second)
		is.New(f.t).Equal(f.countOrders(knapweedpulley.OrderLoadModel), 1)
	})
	runInBubble("a report contains the load in progress and its remaining time", t, func(f *fixture) {
		is := is.New(f.t)
		f.requestLoad("d", "", 20*time.Second)
		time.Sleep(2 * time.Second)
		r := f.stream.report()
		is.Equal(len(r.Loading), 1)
		is.Equal(r.Loading[0].Tier, knapweedpulley.TierRemote)
		is.True(r.Loading[0].Remaining > 3*time.Second && r.Loading[0].Remaining < 5*time.Second)
		is.Equal(r.Gateways[0].Entry, knapweedpulley.EntryID("one"))
	})
}

func TestReports(t *testing.T) {
	runInBubble("gateways that connect in quick succession are reported together", t, func(f *fixture) {
		is := is.New(f.t)
		first := f.stream
		before := first.reportCount()
		for i := range 40 {
			defer f.connect(knapweedpulley.EntryID(fmt.Sprintf("more-%d", i)))()
			time.Sleep(50 * time.Millisecond)
		}
		is.True(first.reportCount()-before <= 10)
		time.Sleep(5 * time.Second)
		is.Equal(len(first.report().Gateways), 41)
	})
}

func TestAdapters(t *testing.T) {
	runInBubble("an adapter is loaded onto its loaded model", t, func(f *fixture) {
		f.requestLoad("a", "x", time.Second)
		time.Sleep(100 * time.Millisecond)
		f.assertHolds("a", "x", true)
	})
	runInBubble("an adapter whose model is not loaded has the model loaded first", t, func(f *fixture) {
		f.requestLoad("c", "x", 5*time.Second)
		time.Sleep(2 * time.Second)
		f.assertHolds("c", "x", true)
	})
	runInBubble("adapters beyond the slots replace idle ones, and those in use stay", t, func(f *fixture) {
		f.requestLoad("a", "x", time.Second)
		f.requestLoad("a", "y", time.Second)
		time.Sleep(500 * time.Millisecond)
		inUse := knapweedpulley.ModelDemand{Resident: knapweedpulley.Resident{Model: "a", Adapter: "x"}, Active: 1}
		f.setDemands(demand("a", 1, 0), inUse)
		time.Sleep(time.Second)
		f.requestLoad("a", "z", time.Second)
		time.Sleep(500 * time.Millisecond)
		f.assertHolds("a", "x", true)
		f.assertHolds("a", "y", false)
		f.assertHolds("a", "z", true)
	})
	runInBubble("no adapter is ordered during the load of a model", t, func(f *fixture) {
		f.requestLoad("d", "", 20*time.Second)
		time.Sleep(time.Second)
		f.setDemands(demand("a", 1, 0))
		f.requestLoad("b", "x", 20*time.Second)
		f.requestLoad("a", "x", 20*time.Second)
		time.Sleep(2 * time.Second)
		is.New(f.t).Equal(f.countOrders(knapweedpulley.OrderLoadAdapter), 0)
		time.Sleep(5 * time.Second)
		is.New(f.t).True(f.countOrders(knapweedpulley.OrderLoadAdapter) > 0)
	})
}

func TestFaults(t *testing.T) {
	runInBubble("orders carried out late do not overload the engine, and the model is loaded", t, func(f *fixture) {
		f.engine.mu.Lock()
		f.engine.loseAnswers, f.engine.orderDelay = true, 3*time.Second
		f.engine.mu.Unlock()
		f.requestLoad("c", "", 10*time.Second)
		time.Sleep(time.Second)
		f.engine.mu.Lock()
		f.engine.loseAnswers = false
		f.engine.mu.Unlock()
		time.Sleep(10 * time.Second)
		f.assertHolds("c", "", true)
	})
	runInBubble("a restarted engine is read before it gets orders", t, func(f *fixture) {
		f.requestLoad("d", "", 20*time.Second)
		time.Sleep(time.Second)
		f.engine.mu.Lock()
		f.engine.start, f.engine.sequence, f.engine.busy, f.engine.models = 2, 0, false, nil
		f.engine.mu.Unlock()
		f.requestLoad("c", "", 20*time.Second)
		time.Sleep(10 * time.Second)
		f.assertHolds("c", "", true)
	})
	runInBubble("a keeper without load requests orders nothing", t, func(f *fixture) {
		time.Sleep(time.Minute)
		is.New(f.t).Equal(len(f.receivedOrders()), 0)
	})
}

func TestFencingTokens(t *testing.T) {
	runInBubble("no order has a lower token than one before, over restarts of the engine and the keeper", t, func(f *fixture) {
		f.requestLoad("c", "", 5*time.Second)
		time.Sleep(2 * time.Second)
		f.engine.restart("i-1")
		f.requestLoad("a", "", 5*time.Second)
		time.Sleep(2 * time.Second)
		f.restartKeeper()
		f.requestLoad("b", "", 20*time.Second)
		time.Sleep(16 * time.Second)
		orders := f.receivedOrders()
		is := is.New(f.t)
		is.True(len(orders) >= 4)
		for _, o := range orders {
			is.Equal(o.Token, keeper.MachineToken("test"))
		}
	})
	t.Run("the keepers of two machines have different tokens", func(t *testing.T) {
		is.New(t).True(keeper.MachineToken("side-1") != keeper.MachineToken("side-2"))
	})
	t.Run("a token is above the start of any engine and exact as a JSON number", func(t *testing.T) {
		is := is.New(t)
		is.True(keeper.MachineToken("side-1") > knapweedpulley.FencingToken(time.Now().AddDate(100, 0, 0).UnixMilli()))
		is.True(keeper.MachineToken("side-1") < 1<<53)
	})
}

// countReports returns the number of reports that arrive within d.
func (f *fixture) countReports(d time.Duration) int {
	before := f.stream.reportCount()
	time.Sleep(d)
	return f.stream.reportCount() - before
}

// assertReportInLifetime requires that the next report arrives within the lifetime of the
// last one.
func (f *fixture) assertReportInLifetime() {
	f.t.Helper()
	is.New(f.t).True(f.countReports(f.stream.report().Lifetime) > 0)
}

func TestSilentEngine(t *testing.T) {
	runInBubble("gateways get reports with their age while the engine is silent for a second", t, func(f *fixture) {
		is := is.New(f.t)
		f.engine.setSilent(true)
		began := time.Now()
		time.AfterFunc(1300*time.Millisecond, func() { f.engine.setSilent(false) })
		for time.Since(began) < 2*time.Second {
			f.assertReportInLifetime()
		}
		is.True(f.stream.report().Age < 500*time.Millisecond)
	})
	runInBubble("the age of a report counts from the last answer of the engine", t, func(f *fixture) {
		is := is.New(f.t)
		f.engine.setSilent(true)
		time.Sleep(2 * time.Second)
		r := f.stream.report()
		is.True(r.Age > time.Second && r.Age < 2500*time.Millisecond)
	})
	runInBubble("no orders are given on an old reading", t, func(f *fixture) {
		f.engine.setSilent(true)
		time.Sleep(time.Millisecond) // A read at the same instant ends.
		f.requestLoad("c", "", 5*time.Second)
		time.Sleep(2 * time.Second)
		is.New(f.t).Equal(len(f.receivedOrders()), 0)
		f.engine.setSilent(false)
		time.Sleep(2 * time.Second)
		f.assertHolds("c", "", true)
	})
	runInBubble("a load goes on while the engine is silent", t, func(f *fixture) {
		is := is.New(f.t)
		f.requestLoad("d", "", 20*time.Second)
		time.Sleep(2 * time.Second)
		f.engine.setSilent(true)
		time.Sleep(1300 * time.Millisecond)
		r := f.stream.report()
		is.Equal(len(r.Loading), 1)
		is.True(r.Loading[0].Remaining-r.Age > 2*time.Second && r.Loading[0].Remaining-r.Age < 4*time.Second)
		f.engine.setSilent(false)
		time.Sleep(4 * time.Second)
		f.assertHolds("d", "", true)
		is.Equal(f.countOrders(knapweedpulley.OrderLoadModel), 1)
	})
	runInBubble("an engine that stays silent is not reported any more", t, func(f *fixture) {
		f.engine.setSilent(true)
		time.Sleep(4 * time.Second)
		is.New(f.t).Equal(f.countReports(5*time.Second), 0)
	})
	runInBubble("an engine that refuses connections is not reported", t, func(f *fixture) {
		f.engine.setRefusing(true)
		time.Sleep(10 * time.Millisecond)
		is.New(f.t).Equal(f.countReports(5*time.Second), 0)
	})
}

// loseGatewayInUse has a second gateway use the models a and b and lose its stream, and
// requests the load of c, which fits only if one of them is unloaded.
func (f *fixture) loseGatewayInUse() {
	first := f.stream
	f.setDemands(demand("a", 1, 0), demand("b", 1, 0))
	disconnect := f.connect("two")
	time.Sleep(time.Second)
	disconnect()
	f.stream = first
	f.setDemands()
	f.requestLoad("c", "", 10*time.Second)
}

func (f *fixture) assertKeepsModelsInUse() {
	f.t.Helper()
	f.assertHolds("a", "", true)
	f.assertHolds("b", "", true)
}

func TestLostStreamKeepsModelsInUse(t *testing.T) {
	runInBubble("demands count for some seconds after the stream of their gateway was lost", t, func(f *fixture) {
		f.loseGatewayInUse()
		time.Sleep(2 * time.Second)
		f.assertKeepsModelsInUse()
		time.Sleep(3 * time.Second)
		f.assertHolds("c", "", true)
	})
	runInBubble("the notes of a gateway that has reconnected replace its lost demands", t, func(f *fixture) {
		f.loseGatewayInUse()
		defer f.connect("two")()
		time.Sleep(1500 * time.Millisecond)
		f.assertHolds("c", "", true)
	})
}

func TestGatewayIsListedForLongerThanItMayRelyOn(t *testing.T) {
	lists := func(f *fixture, id knapweedpulley.EntryID) bool {
		return slices.ContainsFunc(f.stream.report().Gateways, func(m knapweedpulley.Member) bool { return m.Entry == id })
	}
	runInBubble("after its stream was lost, until the time that it was told has passed", t, func(f *fixture) {
		is := is.New(f.t)
		first := f.stream
		disconnect := f.connect("two")
		time.Sleep(time.Second)
		told := f.stream.report().Listing
		disconnect()
		f.stream = first
		is.True(told > 0)
		time.Sleep(told - 300*time.Millisecond)
		is.True(lists(f, "two"))
		time.Sleep(time.Second)
		is.True(!lists(f, "two"))
		is.True(lists(f, "one"))
	})
	runInBubble("and is told when it sent the last note that has arrived", t, func(f *fixture) {
		is := is.New(f.t)
		for range 20 {
			time.Sleep(300 * time.Millisecond)
			age := fake.Clock{}.Now().Sub(f.stream.report().Heard)
			is.True(age >= 0 && age <= time.Second)
		}
	})
	runInBubble("and how long the keeper has run", t, func(f *fixture) {
		is := is.New(f.t)
		before := f.stream.report().Uptime
		time.Sleep(10 * time.Second)
		grown := f.stream.report().Uptime - before
		is.True(grown > 9*time.Second && grown < 11*time.Second)
	})
}
