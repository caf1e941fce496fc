package gateway_test

import (
	"context"
	"encoding/json"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/fleet"
	"github.com/knapweedpulley/knapweedpulley/gateway"
	"github.com/knapweedpulley/knapweedpulley/installation"
	installationfake "github.com/knapweedpulley/knapweedpulley/installation/fake"
	"github.com/knapweedpulley/knapweedpulley/logbook"
	"github.com/knapweedpulley/knapweedpulley/machine/fake"
	"github.com/knapweedpulley/knapweedpulley/placement"
	storefake "github.com/knapweedpulley/knapweedpulley/store/fake"
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
	is := is.New(t)
	engine := knapweedpulley.EngineSpec{
		Memory: 100, Models: map[knapweedpulley.ModelID]knapweedpulley.ModelSpec{"m": {Model: "m", Size: 50, RemoteLoadTime: 20 * time.Second}},
	}
	clock, logger := fake.Clock{}, logbook.New(io.Discard, log.InfoLevel, "test", "test")
	f := fleet.New(clock, "a")
	demand, closeDemand := placement.NewDemand()
	placer, closePlacer := placement.NewPlacer(placement.Options{
		Fleet: f, Demand: demand, Link: loadingKeeper{}, Clock: clock, Log: logger, Gateways: 1, RemoteLoads: 1,
	})
	placer.Configure(map[knapweedpulley.ServiceID]knapweedpulley.Service{"llm": {ID: "llm", Engine: knapweedpulley.Some(engine)}})
	objects := storefake.New()
	for kind, value := range map[knapweedpulley.Kind]any{
		knapweedpulley.KindInstallation: knapweedpulley.Installation{
			Version: 1, Services: map[knapweedpulley.ServiceID]knapweedpulley.Service{"llm": {ID: "llm"}},
			Routes: []knapweedpulley.Route{{
				ID: "chat", Host: "h", Prefix: "/", Stream: true, Timeout: time.Minute, MaxAttempts: 1,
				Shares: []knapweedpulley.ServiceShare{{Service: "llm", Weight: 1}},
			}},
		},
		knapweedpulley.KindEndpoints: knapweedpulley.RegisteredEndpoint{Service: "llm", Address: "10.0.0.1:1", Start: 1},
	} {
		data, err := json.Marshal(value)
		is.NoErr(err)
		_, err = objects.Put(t.Context(), kind, knapweedpulley.MainInstallation, data, 0)
		is.NoErr(err)
	}
	follower, closeFollower := installation.NewFollower(installation.Options{
		Objects: objects, Decoder: installationfake.InstallationDecoder{}, Clock: clock, Log: logger,
		OnConfiguration: func(*installation.Snapshot) {}, OnEndpoints: f.Update,
	})
	t.Cleanup(func() {
		closeFollower()
		closePlacer()
		closeDemand()
	})
	_, exchanger, crashTracker := newCrashTracker()
	rateLimiter, _ := newRateLimiter()
	return gateway.New(gateway.Options{
		Follower: follower, Fleet: f, Placer: placer, Demand: demand, RateLimiter: rateLimiter, CrashTracker: crashTracker,
		RetryBudget: gateway.NewRetryBudget(50, 1), Exchanger: exchanger, Clock: clock, Log: logger,
		Meter: gateway.NewMeter(tally.NoopScope),
	})
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
