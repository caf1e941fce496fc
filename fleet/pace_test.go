package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/fleet"
	"github.com/knapweedpulley/knapweedpulley/machine/fake"
	"github.com/knapweedpulley/knapweedpulley/pace"
)

// manyEndpoints returns n registrations of engines that hold model m, half of them in another zone.
func manyEndpoints(n int) []knapweedpulley.RegisteredEndpoint {
	list := make([]knapweedpulley.RegisteredEndpoint, 0, n)
	for i := range n {
		r := registration(knapweedpulley.EndpointID(fmt.Sprintf("e%04d", i)), []knapweedpulley.ZoneID{"home", "away"}[i%2], "m")
		r.Address, r.Slots = fmt.Sprint("10.0.0.1:", i), 64
		list = append(list, r)
	}
	return list
}

func paced(p knapweedpulley.Pace) knapweedpulley.EndpointLoad {
	return knapweedpulley.EndpointLoad{Slots: 64, Pace: knapweedpulley.Some(p)}
}

// beginOne begins a request at an endpoint without a warm-up limit.
func beginOne(e *fleet.Endpoint) *fleet.ActiveRequest {
	r, begun := e.BeginRequest(0)
	if !begun {
		panic("the endpoint takes no request")
	}
	return r
}

func beginMany(e *fleet.Endpoint, n int) {
	for range n {
		beginOne(e).PromptProcessed()
	}
}

// usualCost is the cost of an endpoint without a pace, less the jitter of up to a millisecond. It
// repeats the rules that hold where no endpoint states its pace.
func usualCost(e *fleet.Endpoint, n fleet.Requirements) time.Duration {
	load := e.Load()
	cost := time.Duration(load) * 2 * time.Millisecond
	if slots := e.Slots(); slots > 0 && load >= slots {
		cost += time.Duration(load-slots+1) * 50 * time.Millisecond
	}
	cost += time.Duration(e.FailureRate() * float64(time.Second))
	if e.Registration().Zone != "home" {
		cost += 25 * time.Millisecond
	}
	if r, _, fresh := e.Report(); fresh {
		cost += time.Duration(r.Waiting) * 50 * time.Millisecond
		if r.CacheSize > 0 && r.CacheUsed+n.Size > r.CacheSize {
			cost += 500 * time.Millisecond
		}
	}
	return cost
}

// It guards against a change of the choice in deployments whose endpoints state no pace.
func TestChoiceWithoutPaceIsAsBefore(t *testing.T) {
	inBubble("with loads, failures, slow answers, zones and silences", t, func(t *testing.T, f *fleet.Fleet) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(1, 2))
		f.Update(manyEndpoints(30))
		n := requirements("m")
		n.EventGapTarget, n.MayProbe, n.Size = 300*time.Millisecond, true, 500
		for range 3000 {
			e := f.Endpoints()[knapweedpulley.EndpointID(fmt.Sprintf("e%04d", random.IntN(30)))]
			switch random.IntN(4) {
			case 0:
				e.Observe(knapweedpulley.EndpointLoad{Running: random.IntN(80), Waiting: random.IntN(4), Slots: 64})
			case 1:
				f.ApplyReport(e, knapweedpulley.EngineReport{
					Start: 1, Models: loaded("m"), Running: random.IntN(64), Waiting: random.IntN(4),
					CacheUsed: knapweedpulley.Tokens(random.IntN(1000)), CacheSize: 1000, Lifetime: reportLifetime,
				})
			case 2:
				beginOne(e).End(fleet.Outcome(random.IntN(4)))
			default:
				r := beginOne(e)
				for range 9 {
					now := fake.Clock{}.Now()
					r.RecordEvent(now, now)
					time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
				}
				r.RecordResponse(time.Duration(random.IntN(3000)) * time.Millisecond)
				r.End(fleet.Answered)
			}
			chosen, found := f.Choose(n)
			is.True(found)
			r := beginOne(chosen)
			_, paced := f.Expect(r, n)
			is.True(!paced)
			r.End(fleet.Inconclusive)
			for _, o := range f.Endpoints() {
				if o.Avoided() {
					continue
				}
				is.True(!chosen.Avoided())
				is.True(usualCost(chosen, n) < usualCost(o, n)+time.Millisecond)
			}
		}
	})
}

func TestChoiceByPace(t *testing.T) {
	n := requirements("m")
	n.EventGapTarget = 300 * time.Millisecond
	inBubble("load is shared in inverse proportion to the pace", t, func(t *testing.T, f *fleet.Fleet) {
		is := is.New(t)
		f.Update(manyEndpoints(6))
		paces := []knapweedpulley.Pace{0.6, 0.6, 1, 1, 1.6, 1.6}
		total := 0
		for i, p := range paces {
			f.Endpoints()[manyEndpoints(6)[i].ID].Observe(paced(p))
		}
		time.Sleep(2 * time.Second)
		for range 50 {
			e, _ := f.Choose(n)
			beginMany(e, 1)
			total++
		}
		// With spells over, the expected pauses are alike within a few requests.
		low, high := time.Hour, time.Duration(0)
		for i, p := range paces {
			e := f.Endpoints()[manyEndpoints(6)[i].ID]
			pause := time.Duration(float64(35+26*e.Active())*float64(p)) * time.Millisecond
			low, high = min(low, pause), max(high, pause)
		}
		is.True(float64(high) < 1.5*float64(low))
	})
	inBubble("an endpoint that states a false load isn't preferred", t, func(t *testing.T, f *fleet.Fleet) {
		f.Update(manyEndpoints(2))
		load := paced(10)
		load.Running = 1_000_000
		f.Endpoints()["e0000"].Observe(load)
		f.Endpoints()["e0001"].Observe(paced(1))
		for range 10 {
			assertChoice(t, f, n, "e0001")
		}
	})
	inBubble("a zone doesn't count more than an objective that is missed", t, func(t *testing.T, f *fleet.Fleet) {
		f.Update(manyEndpoints(2))
		home, away := f.Endpoints()["e0000"], f.Endpoints()["e0001"]
		home.Observe(paced(1))
		away.Observe(paced(1))
		assertChoice(t, f, n, home.ID())
		beginMany(home, 11)
		beginMany(away, 9)
		assertChoice(t, f, n, away.ID())
		for i := range 10 { // Some of these prefer the other endpoint.
			m := n
			m.Affinity, m.Shared = fmt.Sprint("prompt", i), 20_000
			assertChoice(t, f, m, away.ID())
		}
		beginMany(away, 30)
		assertChoice(t, f, n, home.ID())
	})
	inBubble("the objective of a slow endpoint ends at fewer requests", t, func(t *testing.T, f *fleet.Fleet) {
		f.Update(manyEndpoints(4)[:3])
		slow, fast := f.Endpoints()["e0000"], f.Endpoints()["e0002"]
		f.Endpoints()["e0001"].Observe(paced(10))
		slow.Observe(paced(1.6))
		fast.Observe(paced(0.6))
		beginMany(slow, 7)
		beginMany(fast, 16)
		assertChoice(t, f, n, "e0002")
	})
	inBubble("an endpoint whose requests fail is behind one that is late", t, func(t *testing.T, f *fleet.Fleet) {
		f.Update(manyEndpoints(2))
		failing, late := f.Endpoints()["e0000"], f.Endpoints()["e0001"]
		failing.Observe(paced(1))
		late.Observe(paced(1))
		beginMany(late, 12)
		for range 6 {
			beginOne(failing).End(fleet.Failed)
		}
		assertChoice(t, f, n, late.ID())
	})
	inBubble("figures end with their term", t, func(t *testing.T, f *fleet.Fleet) {
		is := is.New(t)
		f.Update(manyEndpoints(3))
		f.Endpoints()["e0000"].Observe(paced(3))
		assertChoice(t, f, n, "e0002")
		time.Sleep(31 * time.Second)
		_, known := f.Expect(beginOne(f.Endpoints()["e0000"]), n)
		is.True(!known)
	})
	inBubble("paces out of range don't attract or repel all requests", t, func(t *testing.T, f *fleet.Fleet) {
		is := is.New(t)
		f.Update(manyEndpoints(2))
		f.Endpoints()["e0000"].Observe(paced(knapweedpulley.Pace(1e300)))
		f.Endpoints()["e0001"].Observe(paced(-1))
		beginMany(f.Endpoints()["e0001"], 200)
		e, found := f.Choose(n)
		is.True(found)
		is.Equal(e.ID(), knapweedpulley.EndpointID("e0000"))
	})
}

// failAll has all requests at an endpoint fail until it is excluded.
func failAll(e *fleet.Endpoint, others map[knapweedpulley.EndpointID]*fleet.Endpoint) {
	for range 8 {
		for _, o := range others {
			outcome := fleet.Answered
			if o == e {
				outcome = fleet.Failed
			}
			beginOne(o).End(outcome)
		}
		time.Sleep(300 * time.Millisecond)
	}
}

func TestExcludedEndpoint(t *testing.T) {
	n := requirements("m")
	setUp := func(f *fleet.Fleet) (*fleet.Endpoint, *[]pace.Change) {
		changes := new([]pace.Change)
		f.ObservePace(func(c pace.Change) { *changes = append(*changes, c) })
		f.Update(manyEndpoints(6))
		for _, e := range f.Endpoints() {
			e.Observe(paced(1))
		}
		e := f.Endpoints()["e0000"]
		failAll(e, f.Endpoints())
		return e, changes
	}
	inBubble("gets one probe after its time, of a call that may be repeated", t, func(t *testing.T, f *fleet.Fleet) {
		is := is.New(t)
		e, changes := setUp(f)
		is.Equal(len(*changes), 1)
		is.True((*changes)[0].Excluded)
		probing := n
		probing.MayProbe = true
		count := func(n fleet.Requirements) int {
			found := 0
			for range 50 {
				if c, _ := f.Choose(n); c == e {
					found++
				}
			}
			return found
		}
		is.Equal(count(probing), 0)
		time.Sleep(3 * time.Second)
		is.Equal(count(n), 0)
		is.Equal(count(probing), 1)
		beginOne(e).End(fleet.Answered)
		is.Equal(len(*changes), 2)
		is.True(!(*changes)[1].Excluded)
	})
	inBubble("is chosen if no other endpoint holds the model", t, func(t *testing.T, f *fleet.Fleet) {
		e, _ := setUp(f)
		m := n
		m.Avoid = knapweedpulley.NewSet[knapweedpulley.EndpointID]()
		for id := range f.Endpoints() {
			if id != e.ID() {
				m.Avoid.Add(id)
			}
		}
		assertChoice(t, f, m, e.ID())
	})
	inBubble("has no history after a restart", t, func(t *testing.T, f *fleet.Fleet) {
		is := is.New(t)
		setUp(f)
		list := manyEndpoints(6)
		list[0].Start = 2
		f.Update(list)
		for _, e := range f.Endpoints() {
			beginMany(e, 3)
		}
		beginMany(f.Endpoints()["e0002"], 3)
		beginMany(f.Endpoints()["e0004"], 3)
		e, _ := f.Choose(n)
		is.Equal(e.ID(), knapweedpulley.EndpointID("e0000"))
	})
}

func TestPauseObjectiveMissed(t *testing.T) {
	n := requirements("m")
	n.EventGapTarget = 300 * time.Millisecond
	inBubble("if all holders are beyond what keeps it and another endpoint isn't", t, func(t *testing.T, f *fleet.Fleet) {
		is := is.New(t)
		list := manyEndpoints(3)
		list[2].Models = nil
		f.Update(list)
		first, second, other := f.Endpoints()["e0000"], f.Endpoints()["e0001"], f.Endpoints()["e0002"]
		beginMany(first, 7)
		beginMany(second, 12)
		is.True(!f.PauseObjectiveMissed(n))
		first.Observe(paced(1.6))
		second.Observe(paced(1))
		other.Observe(paced(1))
		beginMany(second, 0)
		time.Sleep(time.Second)
		is.True(f.PauseObjectiveMissed(n))
		m := n
		m.EventGapTarget = 0
		is.True(!f.PauseObjectiveMissed(m))
		beginMany(other, 15)
		is.True(!f.PauseObjectiveMissed(n))
	})
	inBubble("not for one slow spell", t, func(t *testing.T, f *fleet.Fleet) {
		is := is.New(t)
		list := manyEndpoints(2)
		list[1].Models = nil
		f.Update(list)
		holder := f.Endpoints()["e0000"]
		for range 20 {
			holder.Observe(paced(1))
			time.Sleep(500 * time.Millisecond)
		}
		beginMany(holder, 7)
		holder.Observe(paced(2.5))
		is.True(!f.PauseObjectiveMissed(n))
	})
}

func BenchmarkChooseByPace(b *testing.B) {
	for _, statesPace := range []bool{false, true} {
		for _, size := range []int{30, 180, 1000} {
			for _, holders := range []int{6, size} {
				b.Run(fmt.Sprintf("paced=%t/endpoints=%d/holders=%d", statesPace, size, holders), func(b *testing.B) {
					f := fleet.New(fake.Clock{}, "home")
					list := manyEndpoints(size)
					for i := holders; i < size; i++ {
						list[i].Models = nil
					}
					f.Update(list)
					for _, e := range f.Endpoints() {
						l := knapweedpulley.EndpointLoad{Running: 4, Slots: 64}
						if statesPace {
							l.Pace = knapweedpulley.Some(knapweedpulley.Pace(1.2))
						}
						e.Observe(l)
					}
					n := requirements("m")
					n.EventGapTarget = 300 * time.Millisecond
					b.ReportAllocs()
					for b.Loop() {
						f.Choose(n)
					}
				})
			}
		}
	}
}
