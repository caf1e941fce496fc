package gateway_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/gateway"
	"github.com/knapweedpulley/knapweedpulley/machine/fake"
)

// loadingKeeper is a link to a keeper whose reports always show a load of model m with 20 s left.
type loadingKeeper struct{ ctx context.Context }

func (loadingKeeper) OpenStream(ctx context.Context, _ string) (knapweedpulley.KeeperStream, error) {
	return loadingKeeper{ctx}, nil
}

func (l loadingKeeper) Send(knapweedpulley.GatewayMessage) error {
	return l.ctx.Err()
}

func (l loadingKeeper) Receive() (knapweedpulley.EngineReport, error) {
	select {
	case <-l.ctx.Done():
		return knapweedpulley.EngineReport{}, l.ctx.Err()
	case <-time.After(100 * time.Millisecond):
	}
	return knapweedpulley.EngineReport{
		Start: 1, Lifetime: time.Second, Free: 100,
		Loading: []knapweedpulley.LoadInProgress{{Resident: knapweedpulley.Resident{Model: "m"}, Remaining: 20 * time.Second}},
	}, nil
}

// newGatewayDuringLoad returns a gateway whose only engine is loading model m.
func newGatewayDuringLoad(t *testing.T) *gateway.Gateway {
	t.Helper()
	engine := knapweedpulley.EngineSpec{
		Memory: 100, Models: map[knapweedpulley.ModelID]knapweedpulley.ModelSpec{"m": {Model: "m", Size: 50, RemoteLoadTime: 20 * time.Second}},
	}
	_, exchanger, _ := newCrashTracker()
	return deployment{
		route:     knapweedpulley.Route{ID: "chat", Stream: true, Timeout: time.Minute, MaxAttempts: 1},
		service:   knapweedpulley.Service{ID: "llm", Engine: knapweedpulley.Some(engine)},
		endpoints: []knapweedpulley.EndpointID{"1"}, exchanger: exchanger, keepers: loadingKeeper{}, retrySlack: 50,
	}.newGateway(t)
}

// timeToRefusal serves a call for model m and returns the time until it was refused.
func timeToRefusal(ctx context.Context, t *testing.T, g *gateway.Gateway) time.Duration {
	t.Helper()
	is := is.New(t)
	start := time.Now()
	err := g.Serve(ctx, &knapweedpulley.Call{
		ID: "r", Host: "h", Path: "/x", Timeout: time.Minute, Arrived: fake.Clock{}.Now(),
		Model: knapweedpulley.Some[knapweedpulley.ModelID]("m"),
	}, nil)
	is.True(err != nil)
	is.Equal(knapweedpulley.VerdictOf(err), knapweedpulley.NotRun)
	return time.Since(start)
}

func TestBeginShutdown(t *testing.T) {
	const end = 5 * time.Second
	t.Run("a call whose model can't be loaded before the gateway ends is refused at once", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := newGatewayDuringLoad(t)
			time.Sleep(2 * time.Second)
			g.BeginShutdown(fake.Clock{}.Now().Add(end))
			is.New(t).Equal(timeToRefusal(t.Context(), t, g), time.Duration(0))
		})
	})
	t.Run("a waiting call is refused when its context ends", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := newGatewayDuringLoad(t)
			time.Sleep(2 * time.Second)
			ctx, cancel := context.WithTimeout(t.Context(), end)
			defer cancel()
			is.New(t).Equal(timeToRefusal(ctx, t, g), end)
		})
	})
	t.Run("without a shutdown a call waits longer", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := newGatewayDuringLoad(t)
			time.Sleep(2 * time.Second)
			is.New(t).True(timeToRefusal(t.Context(), t, g) > end)
		})
	})
}
