package placement_test

import (
	"context"
	"fmt"
	"io"
	"math"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/fleet"
	"github.com/knapweedpulley/knapweedpulley/logbook"
	"github.com/knapweedpulley/knapweedpulley/machine/fake"
	"github.com/knapweedpulley/knapweedpulley/placement"
)

const modelSize = 60

// fakeKeeper is a keeper that sends the report set by a test and records the load requests.
type fakeKeeper struct {
	mu       sync.Mutex
	report   knapweedpulley.EngineReport
	requests []knapweedpulley.ResidentLoadRequest
	silent   bool
	streams  int
}

func (k *fakeKeeper) setReport(change func(r *knapweedpulley.EngineReport)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	change(&k.report)
}

func (k *fakeKeeper) setSilent(silent bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.silent = silent
}

// connected reports whether a stream to the keeper is open.
func (k *fakeKeeper) connected() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.streams > 0
}

func (k *fakeKeeper) addStreams(n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.streams += n
}

func (k *fakeKeeper) requestCount() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.requests)
}

// fakeKeeperLink holds the keepers by their addresses.
type fakeKeeperLink map[string]*fakeKeeper

func (l fakeKeeperLink) OpenStream(ctx context.Context, address string) (knapweedpulley.KeeperStream, error) {
	k, known := l[address]
	if !known {
		return nil, errors.New("no keeper at this address")
	}
	k.addStreams(1)
	context.AfterFunc(ctx, func() { k.addStreams(-1) })
	return &fakeKeeperStream{fakeKeeper: k, ctx: ctx}, nil
}

type fakeKeeperStream struct {
	fakeKeeper *fakeKeeper
	ctx        context.Context
}

func (s *fakeKeeperStream) Send(n knapweedpulley.GatewayMessage) error {
	s.fakeKeeper.mu.Lock()
	defer s.fakeKeeper.mu.Unlock()
	s.fakeKeeper.requests = append(s.fakeKeeper.requests, n.LoadRequests...)
	return s.ctx.Err()
}

func (s *fakeKeeperStream) Receive() (knapweedpulley.EngineReport, error) {
	for {
		select {
		case <-s.ctx.Done():
			return knapweedpulley.EngineReport{}, s.ctx.Err()
		case <-time.After(100 * time.Millisecond):
		}
		s.fakeKeeper.mu.Lock()
		r, silent := s.fakeKeeper.report, s.fakeKeeper.silent
		s.fakeKeeper.mu.Unlock()
		if !silent {
			return r, nil
		}
	}
}

// fakeExchanger reports which addresses refuse connections.
type fakeExchanger struct {
	knapweedpulley.Exchanger
	mu       sync.Mutex
	refusing knapweedpulley.Set[string]
}

func newFakeExchanger() *fakeExchanger {
	return &fakeExchanger{refusing: make(knapweedpulley.Set[string])}
}

// RefusesConnections implements knapweedpulley.Exchanger.
func (x *fakeExchanger) RefusesConnections(_ context.Context, address string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.refusing.Has(address)
}

func (x *fakeExchanger) refuse(address string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.refusing.Add(address)
}

// fixture holds a placer with two engines and their keepers.
type fixture struct {
	t         *testing.T
	fleet     *fleet.Fleet
	placer    *placement.Placer
	exchanger *fakeExchanger
	demand    *placement.Demand
	keepers   map[knapweedpulley.EndpointID]*fakeKeeper
	// lapsed is set while the gateway lacks the permission to use its part of the rate of loads.
	lapsed atomic.Bool
}

// Held implements knapweedpulley.Permission.
func (f *fixture) Held() bool {
	return !f.lapsed.Load()
}

func loadedModels(models ...knapweedpulley.ModelID) []knapweedpulley.LoadedModel {
	list := make([]knapweedpulley.LoadedModel, 0, len(models))
	for _, m := range models {
		list = append(list, knapweedpulley.LoadedModel{Model: m, State: knapweedpulley.StateLoaded})
	}
	return list
}

func cachedOnDisk(models ...knapweedpulley.ModelID) []knapweedpulley.CachedCheckpoint {
	list := make([]knapweedpulley.CachedCheckpoint, 0, len(models))
	for _, m := range models {
		list = append(list, knapweedpulley.CachedCheckpoint{Model: m, Tier: knapweedpulley.TierDisk})
	}
	return list
}

// inBubble runs a subtest on a fake clock, with two engines that have no model loaded.
func inBubble(name string, t *testing.T, test func(f *fixture)) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := &fixture{t: t, fleet: fleet.New(fake.Clock{}, "home"), exchanger: newFakeExchanger()}
			f.keepers = map[knapweedpulley.EndpointID]*fakeKeeper{
				"a": {report: knapweedpulley.EngineReport{Lifetime: 1500 * time.Millisecond, Start: 1, Free: 100}},
				"b": {report: knapweedpulley.EngineReport{Lifetime: 1500 * time.Millisecond, Start: 1, Free: 100}},
			}
			demand, closeDemand := placement.NewDemand()
			defer closeDemand()
			f.demand = demand
			p, closePlacer := placement.NewPlacer(placement.Options{
				Fleet: f.fleet, Demand: demand, Clock: fake.Clock{}, Port: 7, Gateways: 1, RemoteLoads: 2,
				Link:      fakeKeeperLink{"10.0.0.1:7": f.keepers["a"], "10.0.0.2:7": f.keepers["b"]},
				Exchanger: f.exchanger, Permission: f,
				Log: logbook.New(io.Discard, log.InfoLevel, "test", "test"),
			})
			defer closePlacer()
			f.placer = p
			p.Configure(map[knapweedpulley.ServiceID]knapweedpulley.Service{
				"llm": {ID: "llm", Engine: knapweedpulley.Some(spec())},
			})
			f.fleet.Update([]knapweedpulley.RegisteredEndpoint{
				{ID: "a", Service: "llm", Address: "10.0.0.1:1", Start: 1},
				{ID: "b", Service: "llm", Address: "10.0.0.2:1", Start: 1},
			})
			time.Sleep(time.Second)
			test(f)
		})
	})
}

func spec() knapweedpulley.EngineSpec {
	s := knapweedpulley.EngineSpec{
		Memory: 100, AdapterSlots: 2, Models: make(map[knapweedpulley.ModelID]knapweedpulley.ModelSpec),
	}
	for _, id := range []knapweedpulley.ModelID{"m", "n"} {
		s.Models[id] = knapweedpulley.ModelSpec{Model: id, Size: modelSize, RemoteLoadTime: 6 * time.Second, DiskLoadTime: time.Second}
	}
	return s
}

// specWithLoadRate returns the same spec with a limit on the rate of loads from the weight store.
func specWithLoadRate(loadsPerSecond float64) knapweedpulley.EngineSpec {
	s := spec()
	s.LoadsPerSecond = loadsPerSecond
	return s
}

// awaitModel waits for model m and returns the time that it took and the error.
func (f *fixture) awaitModel(timeout time.Duration) (time.Duration, error) {
	began := time.Now()
	now := fake.Clock{}.Now()
	err := f.placer.Await(f.t.Context(), placement.LoadRequest{
		Service: "llm", Weights: knapweedpulley.Resident{Model: "m"}, TargetTime: now.Add(timeout / 2), Deadline: now.Add(timeout),
	})
	return time.Since(began), err
}

func assertRefused(t *testing.T, err error) {
	t.Helper()
	is := is.New(t)
	is.True(err != nil)
	is.Equal(knapweedpulley.VerdictOf(err), knapweedpulley.NotRun)
}

func TestAwait(t *testing.T) {
	inBubble("a loaded model is available without a wait", t, func(f *fixture) {
		is := is.New(f.t)
		f.keepers["a"].setReport(func(r *knapweedpulley.EngineReport) { r.Models = loadedModels("m") })
		time.Sleep(time.Second)
		took, err := f.awaitModel(time.Second)
		is.NoErr(err)
		is.Equal(took, time.Duration(0))
	})
	inBubble("concurrent requests go to the one keeper with a copy on disk", t, func(f *fixture) {
		is := is.New(f.t)
		f.keepers["b"].setReport(func(r *knapweedpulley.EngineReport) { r.Cached = cachedOnDisk("m") })
		time.Sleep(time.Second)
		time.AfterFunc(time.Second, func() {
			f.keepers["b"].setReport(func(r *knapweedpulley.EngineReport) { r.Models = loadedModels("m") })
		})
		var group sync.WaitGroup
		for range 5 {
			group.Go(func() {
				_, err := f.awaitModel(5 * time.Second)
				is.NoErr(err)
			})
		}
		group.Wait()
		is.Equal(f.keepers["a"].requestCount(), 0)
		is.True(f.keepers["b"].requestCount() > 0)
	})
	inBubble("an engine in use with a copy on disk is preferred to a free one without", t, func(f *fixture) {
		is := is.New(f.t)
		f.keepers["b"].setReport(func(r *knapweedpulley.EngineReport) { r.Cached, r.Free = cachedOnDisk("m"), 0 })
		time.Sleep(time.Second)
		_, err := f.awaitModel(3 * time.Second)
		assertRefused(f.t, err)
		is.Equal(f.keepers["a"].requestCount(), 0)
		is.True(f.keepers["b"].requestCount() > 0)
	})
	inBubble("a model that can't be loaded in time is refused at once, with the load time as the retry time", t, func(f *fixture) {
		is := is.New(f.t)
		took, err := f.awaitModel(2 * time.Second)
		assertRefused(f.t, err)
		is.Equal(took, time.Duration(0))
		is.True(knapweedpulley.RefusalOf(err, "none").RetryAfter >= 6*time.Second)
	})
	inBubble("the load is requested from another keeper when the first stops reporting", t, func(f *fixture) {
		is := is.New(f.t)
		for _, k := range f.keepers {
			k.setReport(func(r *knapweedpulley.EngineReport) { r.Cached = cachedOnDisk("m") })
		}
		time.Sleep(time.Second)
		go func() { _, _ = f.awaitModel(10 * time.Second) }()
		time.Sleep(200 * time.Millisecond)
		first, second := f.keepers["a"], f.keepers["b"]
		if second.requestCount() > 0 {
			first, second = second, first
		}
		is.True(first.requestCount() > 0)
		first.setSilent(true)
		time.Sleep(3 * time.Second)
		is.True(second.requestCount() > 0)
	})
}

// Guards against loads that are of no use, as a holder takes requests before they end.
func TestLoadWithin(t *testing.T) {
	request := placement.LoadRequest{
		Service: "llm", Weights: knapweedpulley.Resident{Model: "m"}, Deadline: math.MaxInt64,
	}
	inBubble("a load that takes longer is not requested", t, func(f *fixture) {
		is := is.New(f.t)
		_, sooner := f.placer.LoadWithin(request, 3*time.Second)
		is.True(!sooner)
		time.Sleep(time.Second)
		is.Equal(f.keepers["a"].requestCount()+f.keepers["b"].requestCount(), 0)
	})
	inBubble("a shorter load is requested, and not at an endpoint that is cold for longer", t, func(f *fixture) {
		is := is.New(f.t)
		for _, k := range f.keepers {
			k.setReport(func(r *knapweedpulley.EngineReport) { r.Cached = cachedOnDisk("m") })
		}
		f.fleet.ConfigureWarmUp(map[knapweedpulley.ServiceID]knapweedpulley.WarmUpLimit{"llm": {Duration: time.Minute, RequestsPerSecond: 1}})
		f.fleet.Update([]knapweedpulley.RegisteredEndpoint{
			{ID: "a", Service: "llm", Address: "10.0.0.1:1", Start: 1},
			{ID: "b", Service: "llm", Address: "10.0.0.2:1", Start: 1, ColdFor: time.Minute},
		})
		time.Sleep(time.Second)
		eta, sooner := f.placer.LoadWithin(request, 3*time.Second)
		is.True(sooner)
		is.True(eta < 3*time.Second)
		time.Sleep(time.Second)
		is.True(f.keepers["a"].requestCount() > 0)
		is.Equal(f.keepers["b"].requestCount(), 0)
	})
}

// loadAtKeeper makes the keeper of a report that it loads m from the weight store, which takes
// d, and that b has no room.
func (f *fixture) loadAtKeeper(d time.Duration) {
	f.keepers["b"].setReport(func(r *knapweedpulley.EngineReport) { r.Free = 0 })
	time.Sleep(time.Second)
	began := time.Now()
	var report func()
	report = func() {
		left := d - time.Since(began)
		f.keepers["a"].setReport(func(r *knapweedpulley.EngineReport) {
			if left <= 0 {
				r.Loading, r.Models = nil, loadedModels("m")
				return
			}
			r.Loading = []knapweedpulley.LoadInProgress{{
				Resident: knapweedpulley.Resident{Model: "m"}, Tier: knapweedpulley.TierRemote, Remaining: left,
			}}
		})
		if left > 0 {
			time.AfterFunc(min(left, 50*time.Millisecond), report)
		}
	}
	time.AfterFunc(100*time.Millisecond, report)
}

// silenceKeeper makes the keeper of a send nothing for d, from at on.
func (f *fixture) silenceKeeper(at, d time.Duration) {
	time.AfterFunc(at, func() { f.keepers["a"].setSilent(true) })
	time.AfterFunc(at+d, func() { f.keepers["a"].setSilent(false) })
}

func TestLoadIsAwaitedWhileItsKeeperIsSilent(t *testing.T) {
	for _, silence := range []time.Duration{1300 * time.Millisecond, 1600 * time.Millisecond, 1900 * time.Millisecond} {
		inBubble(fmt.Sprintf("a caller gets a model whose keeper was silent for %s", silence), t, func(f *fixture) {
			f.loadAtKeeper(6 * time.Second)
			f.silenceKeeper(3*time.Second, silence)
			_, err := f.awaitModel(8 * time.Second)
			is.New(f.t).NoErr(err)
		})
	}
	inBubble("a load at an engine that refuses connections is requested elsewhere", t, func(f *fixture) {
		is := is.New(f.t)
		f.loadAtKeeper(6 * time.Second)
		f.silenceKeeper(time.Second, time.Minute)
		time.AfterFunc(time.Second, func() {
			f.exchanger.refuse("10.0.0.1:1")
			f.keepers["b"].setReport(func(r *knapweedpulley.EngineReport) { r.Cached, r.Free = cachedOnDisk("m"), 100 })
		})
		go func() { _, _ = f.awaitModel(8 * time.Second) }()
		time.Sleep(3 * time.Second)
		is.True(f.keepers["b"].requestCount() > 0)
	})
	inBubble("a load is not awaited until its end if its keeper stays silent", t, func(f *fixture) {
		f.loadAtKeeper(20 * time.Second)
		f.silenceKeeper(2*time.Second, time.Minute)
		took, err := f.awaitModel(30 * time.Second)
		assertRefused(f.t, err)
		is.New(f.t).True(took < 7*time.Second)
	})
	inBubble("a caller that has waited for a load is not refused as soon as no engine can load", t, func(f *fixture) {
		is := is.New(f.t)
		f.keepers["b"].setReport(func(r *knapweedpulley.EngineReport) { r.Free = 0 })
		time.Sleep(time.Second)
		time.AfterFunc(100*time.Millisecond, func() {
			f.keepers["a"].setReport(func(r *knapweedpulley.EngineReport) {
				r.Loading = []knapweedpulley.LoadInProgress{{
					Resident: knapweedpulley.Resident{Model: "m"}, Tier: knapweedpulley.TierRemote, Remaining: 5 * time.Second,
				}}
			})
		})
		time.AfterFunc(1050*time.Millisecond, func() {
			f.keepers["a"].setReport(func(r *knapweedpulley.EngineReport) { r.Loading, r.Free = nil, 0 })
		})
		time.AfterFunc(1220*time.Millisecond, func() {
			f.keepers["b"].setReport(func(r *knapweedpulley.EngineReport) { r.Models = loadedModels("m") })
		})
		_, err := f.awaitModel(8 * time.Second)
		is.NoErr(err)
	})
}

func TestLoadLimiter(t *testing.T) {
	configure := func(f *fixture, loadsPerSecond float64) {
		f.placer.Configure(map[knapweedpulley.ServiceID]knapweedpulley.Service{
			"llm": {ID: "llm", Engine: knapweedpulley.Some(specWithLoadRate(loadsPerSecond))},
		})
	}
	requestLoad := func(f *fixture, model knapweedpulley.ModelID) {
		go func() {
			now := fake.Clock{}.Now()
			_ = f.placer.Await(f.t.Context(), placement.LoadRequest{
				Service: "llm", Weights: knapweedpulley.Resident{Model: model},
				TargetTime: now.Add(20 * time.Second), Deadline: now.Add(20 * time.Second),
			})
		}()
	}
	// The keepers never load anything, so each load request starts a new load.
	requestCount := func(f *fixture) int {
		return f.keepers["a"].requestCount() + f.keepers["b"].requestCount()
	}
	inBubble("loads from the weight store start no faster than the operator allows", t, func(f *fixture) {
		is := is.New(f.t)
		configure(f, 0.25)
		requestLoad(f, "m")
		requestLoad(f, "n")
		time.Sleep(time.Second)
		is.Equal(requestCount(f), 1)
		time.Sleep(5 * time.Second)
		is.Equal(requestCount(f), 2)
	})
	inBubble("the allowed rate is divided among the gateways", t, func(f *fixture) {
		is := is.New(f.t)
		configure(f, 0.25)
		f.placer.SetGatewayCount(10)
		requestLoad(f, "m")
		requestLoad(f, "n")
		time.Sleep(10 * time.Second)
		is.Equal(requestCount(f), 1)
	})
	inBubble("a gateway whose part has lapsed starts hardly any", t, func(f *fixture) {
		is := is.New(f.t)
		configure(f, 0.25)
		f.lapsed.Store(true)
		requestLoad(f, "m")
		requestLoad(f, "n")
		time.Sleep(8 * time.Second)
		is.Equal(requestCount(f), 1)
		f.lapsed.Store(false)
		time.Sleep(5 * time.Second)
		is.Equal(requestCount(f), 2)
	})
	inBubble("loads from disk are not limited", t, func(f *fixture) {
		is := is.New(f.t)
		configure(f, 0.25)
		for _, k := range f.keepers {
			k.setReport(func(r *knapweedpulley.EngineReport) { r.Cached = cachedOnDisk("m", "n") })
		}
		time.Sleep(time.Second)
		requestLoad(f, "m")
		requestLoad(f, "n")
		time.Sleep(time.Second)
		is.True(requestCount(f) > 1)
	})
}

func TestScaleOut(t *testing.T) {
	request := func() placement.LoadRequest {
		return placement.LoadRequest{
			Service: "llm", Weights: knapweedpulley.Resident{Model: "m"}, Deadline: fake.Clock{}.Now().Add(5 * time.Second),
		}
	}
	inBubble("a model whose only holder is busy is loaded on another endpoint", t, func(f *fixture) {
		is := is.New(f.t)
		f.keepers["a"].setReport(func(r *knapweedpulley.EngineReport) { r.Models, r.Running = loadedModels("m"), 20 })
		time.Sleep(time.Second)
		f.placer.ScaleOut(request(), 20)
		time.Sleep(time.Second)
		is.Equal(f.keepers["a"].requestCount(), 0)
		is.True(f.keepers["b"].requestCount() > 0)
	})
	inBubble("a model is not loaded again if all endpoints are equally busy or its holder has few requests", t, func(f *fixture) {
		is := is.New(f.t)
		for _, k := range f.keepers {
			k.setReport(func(r *knapweedpulley.EngineReport) { r.Running = 20 })
		}
		f.keepers["a"].setReport(func(r *knapweedpulley.EngineReport) { r.Models = loadedModels("m") })
		time.Sleep(time.Second)
		f.placer.ScaleOut(request(), 20)
		f.placer.ScaleOut(request(), 3)
		time.Sleep(time.Second)
		is.Equal(f.keepers["b"].requestCount(), 0)
	})
	// These guard against pauses at a slow holder while a fast engine is idle, and against loads that
	// other deployments don't need.
	slowHolder := func(f *fixture, statesPace bool, gap time.Duration) int {
		f.keepers["a"].setReport(func(r *knapweedpulley.EngineReport) { r.Models, r.Running = loadedModels("m"), 7 })
		for id, p := range map[knapweedpulley.EndpointID]knapweedpulley.Pace{"a": 1.6, "b": 0.6} {
			l := knapweedpulley.EndpointLoad{Running: 7, Slots: 64}
			if statesPace {
				l.Pace = knapweedpulley.Some(p)
			}
			f.fleet.Endpoints()[id].Observe(l)
		}
		time.Sleep(time.Second)
		r := request()
		r.EventGapTarget = gap
		f.placer.ScaleOut(r, 7)
		time.Sleep(time.Second)
		return f.keepers["b"].requestCount()
	}
	inBubble("a model is loaded again sooner if its holder is too slow for its objective", t, func(f *fixture) {
		is.New(f.t).True(slowHolder(f, true, 300*time.Millisecond) > 0)
	})
	inBubble("but not if there is no objective", t, func(f *fixture) {
		is.New(f.t).Equal(slowHolder(f, true, 0), 0)
	})
	inBubble("nor if no endpoint states its pace", t, func(f *fixture) {
		is.New(f.t).Equal(slowHolder(f, false, 300*time.Millisecond), 0)
	})
}

func TestFasterEngineLoadsModel(t *testing.T) {
	// Which of two like engines loads a model depends on the model, so that each has to be slow once.
	for _, slow := range []knapweedpulley.EndpointID{"a", "b"} {
		inBubble("if "+string(slow)+" is slow", t, func(f *fixture) {
			is := is.New(f.t)
			for id, e := range f.fleet.Endpoints() {
				p := knapweedpulley.Pace(0.6)
				if id == slow {
					p = 1.6
				}
				e.Observe(knapweedpulley.EndpointLoad{Slots: 64, Pace: knapweedpulley.Some(p)})
			}
			other := map[knapweedpulley.EndpointID]knapweedpulley.EndpointID{"a": "b", "b": "a"}[slow]
			ctx, cancel := context.WithTimeout(f.t.Context(), 500*time.Millisecond)
			defer cancel()
			_ = f.placer.Await(ctx, placement.LoadRequest{
				Service: "llm", Weights: knapweedpulley.Resident{Model: "m"}, Deadline: fake.Clock{}.Now().Add(9 * time.Second),
			})
			is.Equal(f.keepers[slow].requestCount(), 0)
			is.True(f.keepers[other].requestCount() > 0)
		})
	}
}

func TestDemand(t *testing.T) {
	t.Run("rates follow the arrivals and decay without them", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			d, cleanup := placement.NewDemand()
			defer cleanup()
			w := knapweedpulley.Resident{Model: "m", Adapter: "x"}
			for range 600 {
				d.RecordArrival(w, 0)
				time.Sleep(100 * time.Millisecond)
			}
			is.True(d.Rate(w) > 9 && d.Rate(w) < 11)
			is.True(d.Rate(knapweedpulley.Resident{Model: "m"}) > 9)
			time.Sleep(8*time.Second + time.Millisecond)
			is.True(d.Rate(w) > 4 && d.Rate(w) < 6)
		})
	})
	t.Run("requests at an endpoint count as active until they end", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			d, cleanup := placement.NewDemand()
			defer cleanup()
			w := knapweedpulley.Resident{Model: "m", Adapter: "x"}
			end := d.BeginRequest("a", w)
			is.Equal(d.Active("a", w), 1)
			is.Equal(d.Active("a", knapweedpulley.Resident{Model: "m"}), 1)
			end()
			is.Equal(d.Active("a", w), 0)
			d.RemoveEndpoints(func(knapweedpulley.EndpointID) bool { return true })
			is.Equal(d.Active("a", w), 0)
		})
	})
}
