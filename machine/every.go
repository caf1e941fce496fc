package machine

import (
	"context"
	"sync"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

// Every calls f again and again, with a pause before each call. The clean-up
// ends that and waits for a call that runs.
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
