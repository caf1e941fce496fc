package configuration

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/machine"
)

const (
	// startupGracePeriod is how long a starting entry process waits for fresh content before it
	// pulls from all its peers.
	startupGracePeriod = time.Second
	// pullTimeout is how long a pull waits without an update from the peer.
	pullTimeout = silenceTimeout
	// maxConcurrentPulls is the number of peers that are pulled from at the same time.
	maxConcurrentPulls = 16
)

// signalWhenReady closes the ready channel once the content is usable.
func (c *Configuration) signalWhenReady(ctx context.Context) {
	deadline := c.clock.Now().Add(startupGracePeriod)
	for ctx.Err() == nil {
		// A refresh after this is not missed.
		refreshed := c.refreshed.wait()
		if c.loaded() && c.fresh() {
			break
		}
		if c.clock.Now().After(deadline) && c.pullFromPeers(ctx) && c.loaded() {
			c.log.Warn("store unreachable, using the configuration of the peers")
			break
		}
		awaitRefresh(ctx, refreshed)
	}
	if ctx.Err() == nil {
		c.once.Do(func() { close(c.ready) })
	}
}

// awaitRefresh waits until refreshed is closed, at most for decisionPeriod.
func awaitRefresh(ctx context.Context, refreshed <-chan struct{}) {
	timer := time.NewTimer(decisionPeriod)
	defer timer.Stop()
	select {
	case <-refreshed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// pullFromPeers pulls the content of each reachable peer, so that the result is the newest content
// that any of them has. It reports whether a peer answered.
func (c *Configuration) pullFromPeers(ctx context.Context) bool {
	var answered atomic.Bool
	var group errgroup.Group
	group.SetLimit(maxConcurrentPulls)
	for _, m := range c.peers() {
		if m.Address == c.self.Address {
			continue
		}
		group.Go(func() error {
			if c.pullFrom(ctx, m) {
				answered.Store(true)
			}
			return nil
		})
	}
	_ = group.Wait()
	return answered.Load()
}

// pullFrom pulls the content of one peer. It reports whether the peer sent all collections.
func (c *Configuration) pullFrom(ctx context.Context, m knapweedpulley.Member) bool {
	s := c.subscribe(ctx, m)
	defer s.stop()
	for !s.ended() && s.sinceLastUpdate(c.clock.Now()) <= pullTimeout && ctx.Err() == nil {
		if s.evidence.Load() != 0 {
			return true
		}
		_ = machine.Pause(ctx, batchPeriod)
	}
	return s.evidence.Load() != 0
}

// storeMax stores v if it is higher than the current value.
func storeMax(a *atomic.Int64, v int64) {
	for {
		old := a.Load()
		if v <= old || a.CompareAndSwap(old, v) {
			return
		}
	}
}
