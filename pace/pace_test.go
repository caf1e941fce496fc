package pace_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/pace"
)

// world is a group of endpoints in virtual time, each with a true pace and a share of requests that fail.
type world struct {
	t       *testing.T
	now     knapweedpulley.Instant
	group   *pace.Group
	members []*pace.Member
	// slowness, states and fails are what each endpoint does, and load its requests.
	slowness []float64
	states   []float64
	fails    []float64
	load     []int
	changes  []pace.Change
}

func newWorld(t *testing.T, n int) *world {
	t.Helper()
	w := &world{t: t, now: knapweedpulley.Instant(time.Hour)}
	w.group = pace.NewGroup(func(c pace.Change) { w.changes = append(w.changes, c) })
	for i := range n {
		w.members = append(w.members, pace.NewMember(knapweedpulley.EndpointID(fmt.Sprint("e", i))))
		w.slowness, w.states = append(w.slowness, 1), append(w.states, 1)
		w.fails, w.load = append(w.fails, 0), append(w.load, 4)
	}
	w.group.SetMembers(w.members)
	return w
}

// run has each endpoint answer twice a second, unless it is excluded and no probe is due.
func (w *world) run(d time.Duration) {
	for i := range int(d / (500 * time.Millisecond)) {
		for j, m := range w.members {
			if m.Excluded() && !m.TryProbe(w.now) {
				continue
			}
			if w.states[j] > 0 {
				m.State(knapweedpulley.Pace(w.states[j]), w.now)
			}
			gap := time.Duration(w.slowness[j] * float64(pace.EventTime+time.Duration(w.load[j])*time.Millisecond))
			m.RecordEvents(w.load[j], gap, w.now)
			m.RecordOutcome(int(float64(i+1)*w.fails[j]) > int(float64(i)*w.fails[j]), w.now)
		}
		w.now = w.now.Add(500 * time.Millisecond)
	}
}

func (w *world) excluded() int {
	n := 0
	for _, m := range w.members {
		if m.Excluded() {
			n++
		}
	}
	return n
}

// assertRatio asserts the pace of an endpoint in relation to that of the last one.
func (w *world) assertRatio(i int, low, high float64) {
	w.t.Helper()
	ratio := float64(w.members[i].Pace(w.now) / w.members[len(w.members)-1].Pace(w.now))
	if ratio < low || ratio > high {
		w.t.Fatalf("pace of endpoint %d is %.2f of the last one's, want %.2f to %.2f", i, ratio, low, high)
	}
}

// It guards against a stated figure that is ignored, that counts for ever or that one spell decides.
func TestStatedPace(t *testing.T) {
	t.Run("counts, and decays to that of the peers within its term", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 5)
		w.members[0].State(1.6, w.now)
		w.members[1].State(0.6, w.now)
		w.assertRatio(0, 1.6, 1.6)
		w.assertRatio(1, 0.6, 0.6)
		w.now = w.now.Add(22 * time.Second)
		w.assertRatio(0, 1.2, 1.4)
		is.True(w.group.Active(w.now))
		w.now = w.now.Add(9 * time.Second)
		w.assertRatio(0, 1, 1)
		is.True(!w.group.Active(w.now))
	})
	t.Run("a spell counts while it lasts, and little afterwards", func(t *testing.T) {
		w := newWorld(t, 2)
		w.run(20 * time.Second)
		w.members[0].State(2.5, w.now)
		w.assertRatio(0, 2.2, 2.6)
		w.now = w.now.Add(time.Second)
		w.assertRatio(0, 1, 1.2)
	})
	t.Run("nothing is learned or excluded if no endpoint states it", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 5)
		clear(w.states)
		w.slowness[0], w.fails[1] = 8, 1
		w.run(time.Minute)
		is.True(!w.group.Active(w.now))
		is.Equal(w.excluded(), 0)
		w.assertRatio(0, 1, 1)
	})
}

// It guards against a figure that is believed though answers contradict it, and against a comparison
// that takes load for slowness.
func TestLearnedPace(t *testing.T) {
	t.Run("corrects an endpoint that states 100 and is slow", func(t *testing.T) {
		w := newWorld(t, 10)
		w.slowness[0] = 2
		w.run(30 * time.Second)
		w.assertRatio(0, 1.8, 2.1)
	})
	t.Run("corrects an endpoint that states 300 and is fast", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 10)
		w.states[0], w.slowness[0] = 3, 0.6
		w.run(30 * time.Second)
		w.assertRatio(0, 0.55, 0.8)
		is.Equal(w.excluded(), 0)
	})
	t.Run("agrees with a figure that is true", func(t *testing.T) {
		w := newWorld(t, 10)
		w.states[0], w.slowness[0] = 1.6, 1.6
		w.run(30 * time.Second)
		w.assertRatio(0, 1.5, 1.7)
	})
	t.Run("weighs few samples little", func(t *testing.T) {
		w := newWorld(t, 10)
		first := w.members[0]
		w.members[0] = pace.NewMember("other")
		w.run(10 * time.Second)
		w.members[0] = first
		w.group.SetMembers(w.members)
		record := func() { first.RecordEvents(4, 3*(pace.EventTime+4*time.Millisecond), w.now) }
		record()
		w.slowness[0] = 3
		w.run(500 * time.Millisecond)
		w.assertRatio(0, 1.1, 1.6)
	})
	t.Run("weighs streams beside each other little, which all show one spell", func(t *testing.T) {
		w := newWorld(t, 10)
		w.run(10 * time.Second)
		for range 100 {
			w.members[0].RecordEvents(4, 3*(pace.EventTime+4*time.Millisecond), w.now)
		}
		w.run(time.Second)
		w.assertRatio(0, 1, 1.3)
	})
	t.Run("load is not slowness, though only some endpoints are loaded", func(t *testing.T) {
		w := newWorld(t, 12)
		for i := range 4 {
			w.load[i], w.slowness[i] = 30, 2 // The engines' steps take twice as long at this load.
		}
		w.run(30 * time.Second)
		w.assertRatio(0, 0.9, 1.1)
	})
	t.Run("slow endpoints with little load are compared with those of other loads", func(t *testing.T) {
		w := newWorld(t, 12)
		for i := range w.members {
			w.load[i] = 8
		}
		for range 40 {
			// Endpoints change between loads now and then; only slow ones are often in the lowest band.
			for i := range 4 {
				w.slowness[i] = 1.6
				w.load[i] = 2
			}
			w.run(2 * time.Second)
			for i := range 4 {
				w.load[i] = 8
			}
			w.load[11] = 2
			w.run(500 * time.Millisecond)
			w.load[11] = 8
		}
		w.assertRatio(0, 1.4, 1.8)
	})
	t.Run("ends if answers stop", func(t *testing.T) {
		w := newWorld(t, 10)
		w.slowness[0] = 2
		w.run(30 * time.Second)
		w.now = w.now.Add(31 * time.Second)
		w.assertRatio(0, 1, 1)
	})
}

// It guards against endpoints that keep harming calls, and that never return.
func TestExclusion(t *testing.T) {
	t.Run("of a slow endpoint lasts longer each time, with single probes", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 10)
		w.slowness[0] = 5
		w.run(2 * time.Minute)
		is.Equal(w.excluded(), 1)
		var last time.Duration
		for _, c := range w.changes {
			is.True(c.Excluded)
			is.Equal(c.Endpoint, knapweedpulley.EndpointID("e0"))
			is.Equal(c.Reason, pace.Slow)
			is.True(c.Duration >= 2*last || c.Duration == time.Minute)
			last = c.Duration
		}
		is.True(len(w.changes) >= 4 && len(w.changes) <= 8)
	})
	t.Run("of a failing endpoint ends after it is sound, and it returns gradually", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 10)
		w.fails[0] = 0.5
		w.run(10 * time.Second)
		is.True(w.members[0].Excluded())
		is.Equal(w.changes[0].Reason, pace.Failing)
		w.fails[0] = 0
		for range 120 {
			if w.members[0].Excluded() {
				w.run(500 * time.Millisecond)
			}
		}
		is.True(!w.members[0].Excluded())
		w.assertRatio(0, 3, 4)
		w.run(5 * time.Second)
		w.assertRatio(0, 2, 3)
		w.run(6 * time.Second)
		w.assertRatio(0, 0.9, 1.1)
	})
	t.Run("of an endpoint that flaps lasts longer each time", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 10)
		for i := range 60 {
			w.fails[0] = float64(i % 2)
			w.run(5 * time.Second)
		}
		times := 0
		var longest time.Duration
		for _, c := range w.changes {
			if c.Excluded {
				times, longest = times+1, max(longest, c.Duration)
			}
		}
		is.True(longest >= 32*time.Second)
		is.True(times <= 14) // It was up and down 30 times.
	})
	t.Run("a probe is single", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 10)
		w.slowness[0] = 5
		w.run(5 * time.Second)
		is.True(w.members[0].Excluded())
		is.True(!w.members[0].TryProbe(w.now.Add(-4 * time.Second)))
		w.now = w.now.Add(time.Minute)
		is.True(w.members[0].TryProbe(w.now))
		is.True(!w.members[0].TryProbe(w.now))
	})
	t.Run("is not needed for failures to count less and less", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 2)
		w.fails[0] = 1
		w.run(10 * time.Second)
		is.True(w.members[0].Failures(w.now) > 0.7)
		is.True(w.members[0].Failures(w.now.Add(20*time.Minute)) < 0.05)
	})
}

// It guards against the exclusion of so many endpoints that the others can't bear the load.
func TestExclusionBound(t *testing.T) {
	t.Run("is bounded if many endpoints are slow or fail", func(t *testing.T) {
		is := is.New(t)
		for n, bound := range map[int]int{2: 0, 3: 1, 4: 1, 9: 1, 10: 2, 30: 6} {
			w := newWorld(t, n)
			for i := range n/2 - (n+1)%2 {
				w.slowness[i] = 6
			}
			for range 120 {
				w.run(time.Second)
				is.True(w.excluded() <= bound)
			}
		}
	})
	t.Run("does not happen if all become slow or fail at once", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 20)
		w.run(30 * time.Second)
		for i := range w.members {
			w.slowness[i], w.states[i], w.fails[i] = 6, 6, 0.5
		}
		for range 120 {
			w.run(time.Second)
			is.Equal(w.excluded(), 0)
		}
	})
	t.Run("does not follow from a stated figure alone", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 10)
		for range 100 {
			for i, m := range w.members {
				m.State(knapweedpulley.Pace(1+9*(i%10/9)), w.now)
				m.RecordOutcome(false, w.now)
			}
			w.now = w.now.Add(time.Second)
		}
		is.Equal(w.excluded(), 0)
	})
	t.Run("ends for the surplus if the group gets smaller", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 20)
		for i := range 4 {
			w.slowness[i] = 6
		}
		w.run(10 * time.Second)
		is.Equal(w.excluded(), 4)
		w.members = w.members[:5]
		w.group.SetMembers(w.members)
		is.Equal(w.excluded(), 1)
	})
	t.Run("ends with the first sound probe also in a service of three", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 3)
		w.slowness[0] = 6
		for range 40 {
			if !w.members[0].Excluded() {
				w.run(500 * time.Millisecond)
			}
		}
		is.True(w.members[0].Excluded())
		w.slowness[0] = 1
		w.run(3 * time.Second)
		is.True(!w.members[0].Excluded())
	})
	t.Run("ends if no probe is sent", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 10)
		w.slowness[0] = 5
		w.run(5 * time.Second)
		is.True(w.members[0].Excluded())
		w.now = w.now.Add(2 * time.Minute)
		w.members[1].State(1, w.now)
		w.members[1].RecordOutcome(false, w.now)
		is.True(!w.members[0].Excluded())
	})
}
