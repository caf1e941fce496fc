package agent_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
)

// sendSteadily makes a customer send one request of 100 tokens per period for a total time.
func (b *harness) sendSteadily(wg *sync.WaitGroup, c knapweedpulley.CustomerID, period, duration time.Duration) {
	for i := range int(duration / period) {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * period)
			r := request(knapweedpulley.RequestID(fmt.Sprintf("%s-%d", c, i)), c)
			r.Timeout = 10 * time.Second
			b.run(context.Background(), r)
		})
	}
}

func TestFairShareWithOverloadingCustomer(t *testing.T) {
	runInBubble(t, engineSettings(), func(b *harness) {
		// Four slots at 100 tokens/s each give 400 tokens/s, so each customer's fair share is 200.
		b.load("m")
		var wg sync.WaitGroup
		const total = time.Minute
		b.sendSteadily(&wg, "greedy", 100*time.Millisecond, total)
		b.sendSteadily(&wg, "modest", 520*time.Millisecond, total)
		wg.Wait()
		offered := knapweedpulley.Tokens(total/(520*time.Millisecond)) * 100
		got := b.engine.Record().Customers["modest"]
		if got*100 < offered*95 {
			t.Errorf("modest customer got %d of %d tokens, want at least 95%%", got, offered)
		}
	})
}

func TestQueuedRequestsEndBeforeTheirDeadline(t *testing.T) {
	runInBubble(t, engineSettings(), func(b *harness) {
		b.load("m")
		var wg sync.WaitGroup
		for i := range 60 {
			wg.Go(func() {
				r := request(knapweedpulley.RequestID(fmt.Sprint("r", i)), "c")
				r.Timeout = time.Duration(1+i%5) * time.Second
				start := b.clock.Now()
				a := b.run(context.Background(), r)
				if took := b.clock.Now().Sub(start); took >= r.Timeout {
					t.Errorf("request %s with timeout %s ended after %s", r.ID, r.Timeout, took)
				}
				ran := b.engine.Record().Runs[r.ID] > 0
				if a.err != nil && ran && knapweedpulley.VerdictOf(a.err) == knapweedpulley.NotRun {
					t.Errorf("request %s ran and was refused as not run", r.ID)
				}
			})
		}
		wg.Wait()
		is.New(t).True(b.engine.Record().MaxRunning <= engineSettings().Slots)
	})
}

func TestFullQueue(t *testing.T) {
	runInBubble(t, engineSettings(), func(b *harness) {
		b.load("m")
		var wg sync.WaitGroup
		refusals := make(chan error, 100)
		for i := range 40 {
			wg.Go(func() {
				if a := b.run(context.Background(), request(knapweedpulley.RequestID(fmt.Sprint(i)), "greedy")); a.err != nil {
					refusals <- a.err
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		r := request("modest", "modest")
		assertAnswered(t, b.run(context.Background(), r), r)
		wg.Wait()
		is := is.New(t)
		is.Equal(len(refusals), 5) // 4 run and 32 wait; one is displaced by the other customer.
		assertRefused(t, <-refusals, knapweedpulley.CodeQueueFull, knapweedpulley.NotRun)
	})
}

func TestEarlyRefusal(t *testing.T) {
	runInBubble(t, engineSettings(), func(b *harness) {
		b.load("m")
		var wg sync.WaitGroup
		for i := range 30 {
			wg.Go(func() { b.run(context.Background(), request(knapweedpulley.RequestID(fmt.Sprint(i)), "c")) })
		}
		time.Sleep(2500 * time.Millisecond)
		start := b.clock.Now()
		r := request("late", "c")
		r.Timeout = 2 * time.Second
		a := b.run(context.Background(), r)
		assertRefused(t, a.err, knapweedpulley.CodeOverloaded, knapweedpulley.NotRun)
		is := is.New(t)
		is.Equal(b.clock.Now(), start)
		is.True(knapweedpulley.RefusalOf(a.err, "").RetryAfter > time.Second)
		wg.Wait()
	})
}

func TestIsolatedRequests(t *testing.T) {
	runInBubble(t, engineSettings(), func(b *harness) {
		b.load("m")
		var wg sync.WaitGroup
		b.sendSteadily(&wg, "c", 200*time.Millisecond, 30*time.Second)
		time.Sleep(2 * time.Second)
		for i := range 3 {
			r := request(knapweedpulley.RequestID(fmt.Sprint("alone", i)), "d")
			r.Isolated = true
			r.Timeout = 5 * time.Second
			assertAnswered(t, b.run(context.Background(), r), r)
		}
		wg.Wait()
		is.New(t).Equal(b.engine.Record().IsolationBreaches, 0)
	})
}

func TestPriorities(t *testing.T) {
	runInBubble(t, engineSettings(), func(b *harness) {
		b.load("m")
		var wg sync.WaitGroup
		var mu sync.Mutex
		var order []int
		for i := range 12 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				r := request(knapweedpulley.RequestID(fmt.Sprint(i)), "c")
				r.Priority = i / 8
				b.run(context.Background(), r)
				mu.Lock()
				defer mu.Unlock()
				order = append(order, r.Priority)
			})
		}
		wg.Wait()
		is.New(t).Equal(order, []int{0, 0, 0, 0, 1, 1, 1, 1, 0, 0, 0, 0})
	})
}

func TestCancellation(t *testing.T) {
	t.Run("request canceled while waiting is refused as not run", func(t *testing.T) {
		runInBubble(t, engineSettings(), func(b *harness) {
			b.load("m")
			var wg sync.WaitGroup
			for i := range 8 {
				wg.Go(func() { b.run(context.Background(), request(knapweedpulley.RequestID(fmt.Sprint(i)), "c")) })
			}
			time.Sleep(100 * time.Millisecond)
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(100*time.Millisecond, cancel)
			a := b.run(ctx, request("gone", "c"))
			assertRefused(t, a.err, knapweedpulley.CodeCanceled, knapweedpulley.NotRun)
			wg.Wait()
			is.New(t).Equal(b.engine.Record().Runs["gone"], 0)
		})
	})
	t.Run("request canceled while running may have run and frees its slot", func(t *testing.T) {
		runInBubble(t, engineSettings(), func(b *harness) {
			b.load("m")
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(100*time.Millisecond, cancel)
			a := b.run(ctx, request("gone", "c"))
			assertRefused(t, a.err, knapweedpulley.CodeCanceled, knapweedpulley.MayHaveRun)
			is.New(t).Equal(b.agent.Status().Running, 0)
		})
	})
}

func TestOverdueRequestIsNotRunAfterSuspension(t *testing.T) {
	runInBubble(t, engineSettings(), func(b *harness) {
		b.load("m")
		var wg sync.WaitGroup
		for i := range 4 {
			wg.Go(func() { b.run(context.Background(), request(knapweedpulley.RequestID(fmt.Sprint(i)), "c")) })
		}
		time.Sleep(100 * time.Millisecond)
		time.AfterFunc(200*time.Millisecond, func() { b.clock.suspend(2 * time.Minute) })
		a := b.run(context.Background(), request("overdue", "c"))
		assertRefused(t, a.err, knapweedpulley.CodeDeadlineExceeded, knapweedpulley.NotRun)
		wg.Wait()
		is.New(t).Equal(b.engine.Record().Runs["overdue"], 0)
	})
}

func TestRequestForModelNotLoaded(t *testing.T) {
	runInBubble(t, engineSettings(), func(b *harness) {
		time.Sleep(time.Second)
		a := b.run(context.Background(), request("r", "c"))
		assertRefused(t, a.err, knapweedpulley.CodeNotReady, knapweedpulley.NotRun)
	})
}

func TestSilentEngine(t *testing.T) {
	runInBubble(t, engineSettings(), func(b *harness) {
		b.load("m")
		b.connection.SetSilent(true)
		time.Sleep(3 * time.Second)
		is := is.New(t)
		a := b.run(context.Background(), request("r", "c"))
		assertRefused(t, a.err, knapweedpulley.CodeNotReady, knapweedpulley.NotRun)
		is.Equal(b.agent.Status().Engine.Models[0].State, knapweedpulley.StateUnloading)
		is.Equal(b.agent.Status().FreeMemory, engineSettings().Memory-modelSize)
		b.connection.SetSilent(false)
		time.Sleep(time.Second)
		r := request("s", "c")
		assertAnswered(t, b.run(context.Background(), r), r)
	})
}

func TestDrain(t *testing.T) {
	runInBubble(t, engineSettings(), func(b *harness) {
		b.load("m")
		var wg sync.WaitGroup
		for i := range 16 {
			wg.Go(func() {
				r := request(knapweedpulley.RequestID(fmt.Sprint(i)), "c")
				a := b.run(context.Background(), r)
				if a.err == nil {
					assertAnswered(t, a, r)
					return
				}
				assertRefused(t, a.err, knapweedpulley.CodeDraining, knapweedpulley.NotRun)
				is.New(t).Equal(b.engine.Record().Runs[r.ID], 0)
			})
		}
		time.Sleep(500 * time.Millisecond)
		is := is.New(t)
		drained := make(chan error, 1)
		go func() { drained <- b.agent.Drain(context.Background()) }()
		time.Sleep(time.Millisecond)
		start := b.clock.Now()
		assertRefused(t, b.run(context.Background(), request("new", "c")).err, knapweedpulley.CodeDraining, knapweedpulley.NotRun)
		is.Equal(b.clock.Now(), start)
		assertRefused(t, b.order(load, "n", 1), knapweedpulley.CodeDraining, knapweedpulley.NotRun)
		is.True(b.agent.Status().Draining)
		is.NoErr(<-drained)
		is.Equal(b.agent.Status().Running, 0)
		wg.Wait()
	})
}
