package intake_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/intake"
)

// bubbleClock is the virtual time of a test.
type bubbleClock struct{}

func (bubbleClock) Now() knapweedpulley.Instant {
	return knapweedpulley.Instant(time.Now().UnixNano())
}

const (
	smallestMachine = 144_000_000 * knapweedpulley.Bytes(1)
	bodyLimit       = 4 * knapweedpulley.MiB
)

// desk is a budget of the smallest machine.
type desk struct {
	*intake.Budget
	t        *testing.T
	recorder *intake.Recorder
}

func newDesk(t *testing.T) *desk {
	r := intake.NewRecorder()
	return &desk{Budget: intake.NewBudget(intake.NewLimits(smallestMachine, 3075), bubbleClock{}, r), t: t, recorder: r}
}

// reserve reserves memory for a new request of an owner.
func (d *desk) reserve(size knapweedpulley.Bytes, owner intake.Owner) (*intake.Hold, error) {
	h := d.NewHold()
	if h.ReserveSmall(size) {
		return h, nil
	}
	return h, h.Reserve(d.t.Context(), size, owner, func() {})
}

// fill lets requests of other owners take memory until none is left for one of the limit, and returns
// them.
func (d *desk) fill() []*intake.Hold {
	d.t.Helper()
	var holds []*intake.Hold
	for n := range 6 {
		h, err := d.reserve(bodyLimit, intake.Owner(rune('a'+n)))
		is.New(d.t).NoErr(err)
		holds = append(holds, h)
	}
	return holds
}

// fillWith lets requests of three other owners take memory in parts of a size until none is left.
func (d *desk) fillWith(size knapweedpulley.Bytes) []*intake.Hold {
	d.t.Helper()
	// A quarter of the machine's memory is for bodies, and three quarters of that for large ones.
	n := int(smallestMachine / 4 * 3 / 4 / size)
	holds := make([]*intake.Hold, 0, n)
	for i := range n {
		h, err := d.reserve(size, intake.Owner(rune('a'+i%3)))
		is.New(d.t).NoErr(err)
		holds = append(holds, h)
	}
	return holds
}

func assertRefused(t *testing.T, err error) {
	t.Helper()
	is := is.New(t)
	var r *knapweedpulley.Refusal
	is.True(errors.As(err, &r))
	is.Equal(r.Code, knapweedpulley.CodeOverloaded)
	is.Equal(r.Verdict, knapweedpulley.NotRun)
	is.True(r.RetryAfter > 0)
}

// inBubble runs a subtest in virtual time.
func inBubble(t *testing.T, name string, test func(*testing.T, *desk)) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { test(t, newDesk(t)) })
	})
}

// advance lets requests receive n bytes a second for a while.
func advance(holds []*intake.Hold, n int, d time.Duration) {
	for range int(d / time.Second) {
		time.Sleep(time.Second)
		for _, h := range holds {
			h.Advance(n)
		}
	}
}

func TestBudget(t *testing.T) {
	// Guards against a process that reads more than its machine can hold.
	inBubble(t, "bodies never hold more than the budget", func(t *testing.T, d *desk) {
		d.fill()
		_, err := d.reserve(bodyLimit, "late")
		assertRefused(t, err)
		is.New(t).True(d.Taken() <= smallestMachine/4)
	})
	// Guards against a budget whose parts are too small for one request.
	inBubble(t, "a single body of the limit is served on the smallest machine", func(t *testing.T, d *desk) {
		h, err := d.reserve(bodyLimit, "a")
		is.New(t).NoErr(err)
		h.Release()
		is.New(t).Equal(d.Taken(), knapweedpulley.Bytes(0))
	})
	// Guards against large requests that lock out ordinary ones.
	inBubble(t, "small requests get through while large ones wait", func(t *testing.T, d *desk) {
		is := is.New(t)
		d.fill()
		go func() { _, _ = d.reserve(bodyLimit, "late") }()
		synctest.Wait()
		began := time.Now()
		_, err := d.reserve(intake.SmallSize, "small")
		is.NoErr(err)
		is.Equal(time.Since(began), time.Duration(0))
	})
	// Guards against one customer that holds the whole budget.
	inBubble(t, "no owner holds more than half", func(t *testing.T, d *desk) {
		is := is.New(t)
		for range 3 {
			_, err := d.reserve(bodyLimit, "a")
			is.NoErr(err)
		}
		refused := make(chan error)
		go func() {
			_, err := d.reserve(bodyLimit, "a")
			refused <- err
		}()
		synctest.Wait()
		// The one that waits for its own owner's share holds up nobody else.
		_, err := d.reserve(bodyLimit, "b")
		is.NoErr(err)
		assertRefused(t, <-refused)
	})
	inBubble(t, "memory that is released goes to the first that waits", func(t *testing.T, d *desk) {
		holds := d.fill()
		go func() {
			time.Sleep(time.Second)
			holds[0].Release()
		}()
		_, err := d.reserve(bodyLimit, "late")
		is.New(t).NoErr(err)
	})
	// Guards against a queue that itself takes the memory of many connections.
	inBubble(t, "the queue is bounded", func(t *testing.T, d *desk) {
		d.fill()
		for range 1000 {
			go func() { _, _ = d.reserve(bodyLimit, "late") }()
		}
		synctest.Wait()
		is.New(t).Equal(d.recorder.Count(intake.NoMemory), int64(1000-128))
		time.Sleep(time.Minute)
	})
	// Guards against a chunked body that keeps its old part in the wrong pool when it grows.
	inBubble(t, "a growing body gives everything back", func(t *testing.T, d *desk) {
		is := is.New(t)
		h := d.NewHold()
		for size := 4 * knapweedpulley.KiB; size <= bodyLimit; size *= 2 {
			if !h.ReserveSmall(size) {
				is.NoErr(h.Reserve(t.Context(), size, "a", func() {}))
			}
			is.Equal(d.Taken(), size)
		}
		h.Release()
		is.Equal(d.Taken(), knapweedpulley.Bytes(0))
	})
	// Guards against chunked bodies that hold memory and all wait for more until none is read.
	inBubble(t, "growing bodies that wait for each other give way to others", func(t *testing.T, d *desk) {
		is := is.New(t)
		var read, held atomic.Int64
		grow := func(owner intake.Owner) {
			h, size := d.NewHold(), bodyLimit/2
			defer h.Release()
			for ; size <= bodyLimit; size *= 2 {
				if h.Reserve(t.Context(), size, owner, func() {}) != nil {
					held.Add(-int64(size / 2))
					return
				}
				if size == bodyLimit/2 {
					held.Add(int64(size / 2))
				}
				held.Add(int64(size / 2))
				is.True(held.Load() <= int64(smallestMachine/4*3/4))
				time.Sleep(time.Second)
			}
			h.Complete()
			read.Add(1)
			held.Add(-int64(bodyLimit))
		}
		for n := range 12 {
			go grow(intake.Owner(rune('a' + n)))
		}
		// Those that don't get more are refused after 5 s of waiting.
		time.Sleep(4 * time.Second)
		is.True(read.Load() > 0)
		time.Sleep(time.Minute)
		is.Equal(d.Taken(), knapweedpulley.Bytes(0))
	})
	inBubble(t, "a caller that leaves frees its place in the queue", func(t *testing.T, d *desk) {
		holds := d.fill()
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			_ = d.NewHold().Reserve(ctx, bodyLimit, "left", func() {})
		}()
		synctest.Wait()
		cancel()
		synctest.Wait()
		holds[0].Release()
		_, err := d.reserve(bodyLimit, "late")
		is.New(t).NoErr(err)
	})
}

func TestStalledBodies(t *testing.T) {
	// Guards against bodies that stop short of their end and hold the budget for ever.
	inBubble(t, "the oldest body without progress is dropped for one that waits", func(t *testing.T, d *desk) {
		is := is.New(t)
		holds := d.fill()
		go func() {
			for !holds[0].Dropped() {
				time.Sleep(10 * time.Millisecond)
			}
			holds[0].Release()
		}()
		_, err := d.reserve(bodyLimit, "late")
		is.NoErr(err)
		is.Equal(d.recorder.Count(intake.BodyDropped), int64(1))
		is.True(!holds[1].Dropped())
	})
	// Guards against a byte a second that holds a place.
	inBubble(t, "a trickle isn't progress", func(t *testing.T, d *desk) {
		holds := d.fill()
		go func() { _, _ = d.reserve(bodyLimit, "late") }()
		advance(holds, 1, 6*time.Second)
		is.New(t).True(holds[0].Dropped())
	})
	// Guards against dropping bodies that share a link of 10 Mbit/s.
	inBubble(t, "bodies over a slow link are not dropped", func(t *testing.T, d *desk) {
		holds := d.fill()
		go func() { _, _ = d.reserve(bodyLimit, "late") }()
		advance(holds, 10_000_000/8/len(holds), 10*time.Second)
		is.New(t).Equal(d.recorder.Count(intake.BodyDropped), int64(0))
	})
	// Guards against dropping sound bodies of a burst, which share the link of their gateway.
	inBubble(t, "many bodies over one slow link are not dropped", func(t *testing.T, d *desk) {
		const linkRate = 10_000_000 / 8
		holds := d.fillWith(64 * knapweedpulley.KiB)
		is.New(t).True(len(holds) > 300)
		go func() { _, _ = d.reserve(bodyLimit, "waits") }()
		advance(holds, linkRate/len(holds), 4*time.Second)
		is.New(t).Equal(d.recorder.Count(intake.BodyDropped), int64(0))
	})
	inBubble(t, "many bodies without progress are dropped", func(t *testing.T, d *desk) {
		holds := d.fillWith(64 * knapweedpulley.KiB)
		go func() { _, _ = d.reserve(bodyLimit, "waits") }()
		advance(holds, 100, 4*time.Second)
		is.New(t).True(d.recorder.Count(intake.BodyDropped) > 0)
	})
	inBubble(t, "nothing is dropped while nobody waits", func(t *testing.T, d *desk) {
		d.fill()
		time.Sleep(time.Minute)
		is.New(t).Equal(d.recorder.Count(intake.BodyDropped), int64(0))
	})
	// Guards against dropping a request that an endpoint is working on.
	inBubble(t, "a complete body is not dropped", func(t *testing.T, d *desk) {
		for _, h := range d.fill() {
			h.Complete()
		}
		_, err := d.reserve(bodyLimit, "late")
		assertRefused(t, err)
		is.New(t).Equal(d.recorder.Count(intake.BodyDropped), int64(0))
	})
}

func TestPace(t *testing.T) {
	const window = 10 * time.Second
	begin := knapweedpulley.Instant(0)
	assertPace := func(t *testing.T, n knapweedpulley.Bytes, after time.Duration, want bool) {
		t.Helper()
		p := intake.NewPace(begin)
		got, _ := p.Advance(begin.Add(after), n)
		is.New(t).Equal(got, want)
	}
	t.Run("a trickle is too slow", func(t *testing.T) { assertPace(t, 10, window, false) })
	t.Run("a link that a thousand callers share is fast enough", func(t *testing.T) {
		assertPace(t, knapweedpulley.Bytes(10_000_000/8/1000*10), window, true)
	})
	t.Run("a window that hasn't ended decides nothing", func(t *testing.T) { assertPace(t, 0, window-1, true) })
	// Guards against refusals of callers that aren't to blame.
	t.Run("a process that was frozen begins anew", func(t *testing.T) { assertPace(t, 0, window+5*time.Second, true) })
}

func TestLimits(t *testing.T) {
	is := is.New(t)
	smallest := intake.NewLimits(smallestMachine, 3075)
	is.True(smallest.Callers >= 500)
	is.True(2*smallest.Callers+3*smallest.Auxiliary < 3075)
	// Connections that only get a refusal leave room on a machine with much memory, too.
	large := intake.NewLimits(100*smallestMachine, 3075)
	is.True(2*large.Callers+large.Callers/intake.SurplusDivisor+2*large.Auxiliary <= 3075*7/8)
	// Few descriptors leave room for the store, the other processes and the endpoints.
	few := intake.NewLimits(smallestMachine, 96)
	is.True(2*few.Callers+2*few.Auxiliary+32 <= 96)
	is.True(few.Callers > 0)
}

func BenchmarkSmallRequest(b *testing.B) {
	b.ReportAllocs()
	budget := intake.NewBudget(intake.NewLimits(smallestMachine, 3075), bubbleClock{}, intake.NewRecorder())
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			h := budget.NewHold()
			if !h.ReserveSmall(2 * knapweedpulley.KiB) {
				b.Error("refused")
			}
			h.Complete()
			h.Release()
		}
	})
}
