package machine

import (
	"context"
	"sync"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

// Every calls f repeatedly, with a pause of period before each call. The clean-up
// stops this and waits for a call in progress.
func Every(period time.Duration, f func()) knapweedpulley.Cleanup {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() {
		for Pause(ctx, period) == nil {
			f()
		}
	})
	return func() {
		cancel()
		running.Wait()
	}
}
