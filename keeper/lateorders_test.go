package keeper_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
)

// orderDelay is the delay of late orders.
const orderDelay = 8 * time.Second

// delayLoad has the load of c, at sequence number 2, arrive late. The engine then holds a and,
// unless c is still being loaded, c.
func (f *fixture) delayLoad(delays ...time.Duration) {
	f.requestLoad("a", "x", time.Second)
	time.Sleep(200 * time.Millisecond)
	f.setDemands(demand("a", 1, 0))
	time.Sleep(time.Second)
	f.engine.delayLoads(delays...)
	f.requestLoad("c", "", 250*time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	f.setDemands()
}

// assertLate asserts that the engine got an order to load a resident that named a sequence number.
func (f *fixture) assertLate(resident knapweedpulley.Resident, sequence uint64) {
	f.t.Helper()
	for _, o := range f.receivedOrders() {
		if o.Resident == resident && o.Sequence == sequence {
			return
		}
	}
	f.t.Fatalf("no order for %v named sequence number %d", resident, sequence)
}

// assertFillsSafely has the models a and b requested, and asserts that b is loaded and, in
// runInBubble, that the late order doesn't overload the engine.
func (f *fixture) assertFillsSafely() {
	f.t.Helper()
	f.assertLate(knapweedpulley.Resident{Model: "c"}, 2)
	f.requestLoad("a", "", 20*time.Second)
	time.Sleep(2 * time.Second)
	f.requestLoad("b", "", 20*time.Second)
	time.Sleep(20 * time.Second)
	f.assertHolds("b", "", true)
}

func TestLateOrdersDoNotOverloadRestartedEngine(t *testing.T) {
	runInBubble("the keeper goes on", t, func(f *fixture) {
		f.delayLoad(orderDelay)
		f.engine.restart("i-1")
		f.assertFillsSafely()
	})
	runInBubble("the keeper has restarted before", t, func(f *fixture) {
		f.delayLoad(orderDelay)
		f.restartKeeper()
		time.Sleep(time.Second)
		f.engine.restart("i-1")
		f.assertFillsSafely()
	})
	runInBubble("the keeper restarts with the engine", t, func(f *fixture) {
		f.delayLoad(orderDelay)
		f.engine.restart("i-1")
		f.restartKeeper()
		f.assertFillsSafely()
	})
	runInBubble("the engine restarts twice", t, func(f *fixture) {
		f.delayLoad(orderDelay)
		f.engine.restart("i-1")
		time.Sleep(time.Second)
		f.engine.restart("i-1")
		f.assertFillsSafely()
	})
}

func TestUnloadDoesNotAdmitLateOrdersThatOverloadEngine(t *testing.T) {
	runInBubble("two loads that follow each other", t, func(f *fixture) {
		f.requestLoad("a", "x", time.Second)
		f.requestLoad("a", "y", time.Second)
		f.setDemands(demand("a", 1, 0))
		time.Sleep(1300 * time.Millisecond)
		f.engine.delayLoads(orderDelay, orderDelay+4*time.Second, orderDelay+2*time.Second)
		f.requestLoad("c", "", 30*time.Millisecond)
		time.Sleep(300 * time.Millisecond)
		f.requestLoad("a", "z", 30*time.Millisecond)
		time.Sleep(300 * time.Millisecond)
		f.requestLoad("d", "", 30*time.Millisecond)
		time.Sleep(300 * time.Millisecond)
		f.assertLate(knapweedpulley.Resident{Model: "c"}, 3)
		f.assertLate(knapweedpulley.Resident{Model: "d"}, 4)
		f.engine.restart("i-1")
		f.setDemands(demand("b", 1, 0))
		f.requestLoad("a", "", 5*time.Second)
		time.Sleep(1300 * time.Millisecond)
		f.requestLoad("b", "", 5*time.Second)
		time.Sleep(2 * time.Second)
		f.assertHolds("a", "", true)
		f.assertHolds("b", "", true)
		f.requestLoad("c", "", 20*time.Second)
		time.Sleep(20 * time.Second)
		f.assertHolds("c", "", true)
	})
}

func TestLateOrdersDoNotExceedAdapterSlots(t *testing.T) {
	runInBubble("one late order", t, func(f *fixture) {
		f.requestLoad("a", "x", time.Second)
		f.requestLoad("a", "y", time.Second)
		time.Sleep(500 * time.Millisecond)
		f.engine.delayLoads(orderDelay)
		f.requestLoad("a", "z", 150*time.Millisecond)
		time.Sleep(200 * time.Millisecond)
		f.assertLate(knapweedpulley.Resident{Model: "a", Adapter: "z"}, 3)
		f.engine.restart("i-1")
		f.requestLoad("a", "v", 20*time.Second)
		time.Sleep(2 * time.Second)
		f.requestLoad("a", "w", 20*time.Second)
		time.Sleep(20 * time.Second)
		f.assertHolds("a", "w", true)
	})
	runInBubble("late orders that follow each other", t, func(f *fixture) {
		f.setDemands(demand("a", 1, 0))
		time.Sleep(time.Second)
		f.requestLoad("c", "", 5*time.Second)
		time.Sleep(2 * time.Second)
		f.engine.delayLoads(orderDelay)
		f.requestLoad("a", "x", 150*time.Millisecond)
		time.Sleep(200 * time.Millisecond)
		f.engine.delayLoads(orderDelay)
		f.requestLoad("a", "y", 150*time.Millisecond)
		time.Sleep(200 * time.Millisecond)
		f.assertLate(knapweedpulley.Resident{Model: "a", Adapter: "x"}, 2)
		f.assertLate(knapweedpulley.Resident{Model: "a", Adapter: "y"}, 3)
		f.engine.restart("i-1")
		f.requestLoad("a", "v", 20*time.Second)
		time.Sleep(20 * time.Second)
		f.assertHolds("a", "v", true)
	})
	// Guards against orders for models that bring the sequence number to that of a late order for an
	// adapter while all slots are in use.
	runInBubble("one late order behind the load of a model", t, func(f *fixture) {
		f.delayAdapter()
		f.engine.restart("i-1")
		f.fillAdapterSlots()
		f.requestLoad("c", "", 20*time.Second)
		time.Sleep(20 * time.Second)
		f.assertHolds("c", "", true)
	})
	runInBubble("one late order behind the unload of a model, the keeper has restarted", t, func(f *fixture) {
		f.delayAdapter("x")
		f.engine.restart("i-1")
		f.fillAdapterSlots()
		f.requestLoad("b", "", 5*time.Second)
		time.Sleep(2 * time.Second)
		f.assertHolds("b", "", true)
		f.restartKeeper()
		f.requestLoad("c", "", 20*time.Second)
		time.Sleep(20 * time.Second)
		f.assertHolds("c", "", true)
	})
	runInBubble("an engine without adapter slots unloads models beside a late order", t, func(f *fixture) {
		f.engine.restart("i-1")
		f.setDemands(demand("a", 1, 0))
		for _, m := range []knapweedpulley.ModelID{"a", "b"} {
			f.requestLoad(m, "", 5*time.Second)
			time.Sleep(2 * time.Second)
			f.assertHolds(m, "", true)
		}
		f.adapterSlots = 0
		f.restartKeeper()
		f.requestLoad("c", "", 20*time.Second)
		time.Sleep(2 * time.Second)
		f.assertHolds("b", "", false)
	})
}

// delayAdapter has the load of the adapter z of a arrive late, after four orders for models and the
// loads of other adapters.
func (f *fixture) delayAdapter(others ...knapweedpulley.AdapterID) {
	f.t.Helper()
	f.setDemands(demand("a", 1, 0))
	time.Sleep(time.Second)
	for _, m := range []knapweedpulley.ModelID{"c", "b"} {
		f.requestLoad(m, "", 5*time.Second)
		time.Sleep(2 * time.Second)
		f.assertHolds(m, "", true)
	}
	for _, a := range others {
		f.requestLoad("a", a, time.Second)
		time.Sleep(300 * time.Millisecond)
	}
	f.engine.delayLoads(orderDelay)
	f.requestLoad("a", "z", 150*time.Millisecond)
	time.Sleep(200 * time.Millisecond)
	f.assertLate(knapweedpulley.Resident{Model: "a", Adapter: "z"}, uint64(4+len(others)))
}

// fillAdapterSlots has the restarted engine hold a with two other adapters, after three orders.
func (f *fixture) fillAdapterSlots() {
	f.t.Helper()
	f.requestLoad("a", "", 5*time.Second)
	time.Sleep(1400 * time.Millisecond)
	for _, a := range []knapweedpulley.AdapterID{"x", "y"} {
		f.requestLoad("a", a, 5*time.Second)
		time.Sleep(300 * time.Millisecond)
		f.assertHolds("a", a, true)
	}
}

// restartInUse restarts the engine after a late order at sequence number 2, and has it hold a,
// which is in use. The model b only fits if no room is kept for the late order.
func (f *fixture) restartInUse(id knapweedpulley.EndpointID, delays ...time.Duration) {
	f.t.Helper()
	f.delayLoad(delays...)
	f.engine.restart(id)
	f.requestLoad("a", "", 5*time.Second)
	time.Sleep(1400 * time.Millisecond)
	f.assertHolds("a", "", true)
	f.setDemands(demand("a", 1, 0))
	time.Sleep(400 * time.Millisecond)
}

func TestRoomForLateOrders(t *testing.T) {
	runInBubble("is kept until they can't be carried out any more", t, func(f *fixture) {
		f.restartInUse("i-1", orderDelay)
		f.requestLoad("b", "", 20*time.Second)
		time.Sleep(10 * time.Second)
		f.assertHolds("b", "", false)
		time.Sleep(3 * time.Second)
		f.assertHolds("b", "", true)
	})
	runInBubble("is kept until the sequence number has reached theirs", t, func(f *fixture) {
		f.restartInUse("i-1", orderDelay)
		f.requestLoad("a", "x", time.Second)
		time.Sleep(200 * time.Millisecond)
		f.requestLoad("b", "", 5*time.Second)
		time.Sleep(1500 * time.Millisecond)
		f.assertHolds("b", "", true)
	})
	runInBubble("is kept once for those of one sequence number", t, func(f *fixture) {
		f.restartInUse("i-1", orderDelay, orderDelay, orderDelay)
		f.requestLoad("a", "x", time.Second)
		time.Sleep(200 * time.Millisecond)
		f.assertHolds("a", "x", true)
	})
	runInBubble("isn't kept once the engine is known to have another id", t, func(f *fixture) {
		f.restartInUse("i-2", orderDelay)
		f.requestLoad("b", "", 5*time.Second)
		time.Sleep(1500 * time.Millisecond)
		f.assertHolds("b", "", true)
	})
	runInBubble("isn't kept for a model that the engine holds or loads next", t, func(f *fixture) {
		f.restartInUse("i-1", orderDelay)
		f.requestLoad("c", "", 5*time.Second)
		time.Sleep(1500 * time.Millisecond)
		f.assertHolds("c", "", true)
		f.engine.restart("i-1")
		f.setDemands(demand("c", 1, 0))
		f.requestLoad("c", "", 5*time.Second)
		time.Sleep(1500 * time.Millisecond)
		f.assertHolds("c", "", true)
		f.requestLoad("b", "", 5*time.Second)
		time.Sleep(1500 * time.Millisecond)
		f.assertHolds("b", "", true)
	})
	runInBubble("isn't kept while the engine runs on", t, func(f *fixture) {
		f.delayLoad(orderDelay)
		time.Sleep(1500 * time.Millisecond)
		f.assertHolds("c", "", true)
	})
	runInBubble("isn't kept after a restart of the keeper alone", t, func(f *fixture) {
		f.setDemands(demand("a", 1, 0))
		f.restartKeeper()
		f.requestLoad("c", "", 5*time.Second)
		time.Sleep(2 * time.Second)
		f.assertHolds("c", "", true)
	})
	runInBubble("doesn't keep a started machine from its first model", t, func(f *fixture) {
		f.engine.restart("i-1")
		f.restartKeeper()
		f.requestLoad("c", "", 5*time.Second)
		time.Sleep(1500 * time.Millisecond)
		f.assertHolds("c", "", true)
	})
	runInBubble("isn't kept on an engine that has never loaded a model", t, func(f *fixture) {
		f.engine.clearDisk()
		f.engine.restart("i-1")
		f.restartKeeper()
		f.setDemands(demand("a", 1, 0))
		f.requestLoad("a", "", 5*time.Second)
		time.Sleep(remoteLoadTime + 200*time.Millisecond)
		f.requestLoad("b", "", 5*time.Second)
		time.Sleep(remoteLoadTime + 200*time.Millisecond)
		f.assertHolds("b", "", true)
	})
	runInBubble("isn't kept on an engine that started with models", t, func(f *fixture) {
		f.setDemands(demand("a", 1, 0))
		f.engine.restart("i-2", "a")
		f.restartKeeper()
		f.requestLoad("b", "", 5*time.Second)
		time.Sleep(1500 * time.Millisecond)
		f.assertHolds("b", "", true)
	})
	runInBubble("is logged with its begin, end and reason", t, func(f *fixture) {
		is := is.New(f.t)
		f.restartInUse("i-1", orderDelay)
		order := []string{`"order":`, `"model":"c"`, `"sequence":2`, `"age":"`}
		is.True(f.log.contains(append(order, `"keeping room for a late order"`, `"reason":"the engine has restarted since"`)...))
		time.Sleep(12 * time.Second)
		is.True(f.log.contains(append(order, `"no longer keeping room for a late order"`,
			`"reason":"the time is over in which it can be carried out"`)...))
	})
}
