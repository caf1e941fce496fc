package weights_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/standin/weights"
)

// assertTime runs n transfers concurrently and compares the virtual time until the
// last one ends.
func assertTime(t *testing.T, n int, want time.Duration, transfer func(context.Context) error) {
	t.Helper()
	is := is.New(t)
	start := time.Now()
	var group sync.WaitGroup
	for range n {
		group.Go(func() { is.NoErr(transfer(t.Context())) })
	}
	group.Wait()
	is.Equal(time.Since(start).Round(time.Millisecond), want)
}

func fastAdmission() weights.Pace {
	p := weights.DefaultPace()
	p.LoadsPerSecond = 1e9
	p.Bandwidth = knapweedpulley.GiB
	return p
}

func TestStore(t *testing.T) {
	load := func(s *weights.Store) func(context.Context) error {
		return func(ctx context.Context) error { return s.Load(ctx, knapweedpulley.GiB) }
	}
	t.Run("loads are admitted at the configured rate", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			p := weights.DefaultPace()
			p.LoadsPerSecond = 5
			p.Bandwidth = 1024 * knapweedpulley.GiB
			assertTime(t, 11, 2001*time.Millisecond, load(weights.NewStore(p)))
		})
	})
	t.Run("four concurrent loads run at full speed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			assertTime(t, 4, time.Second, load(weights.NewStore(fastAdmission())))
		})
	})
	t.Run("eight concurrent loads run at half speed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			assertTime(t, 8, 2*time.Second, load(weights.NewStore(fastAdmission())))
		})
	})
	t.Run("a slower pace applies to loads in progress", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := weights.NewStore(fastAdmission())
			slow := fastAdmission()
			slow.Bandwidth /= 4
			time.AfterFunc(time.Second/2, func() { s.SetPace(slow) })
			assertTime(t, 1, 2500*time.Millisecond, load(s))
		})
	})
	t.Run("sixty concurrent adapters take twice the time of one", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			assertTime(t, 60, 20*time.Millisecond, weights.NewStore(weights.DefaultPace()).LoadAdapter)
		})
	})
}
