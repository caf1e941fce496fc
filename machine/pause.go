package machine

import (
	"context"
	"time"
)

// Pause waits for d and returns nil, or the error of ctx if that ends first. It
// returns at once if d isn't above zero.
func Pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
