package model_test

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/endpoint"
	"github.com/knapweedpulley/knapweedpulley/model"
	"github.com/knapweedpulley/knapweedpulley/zone"
)

type testClock struct{}

func (testClock) Now() knapweedpulley.Instant {
	return knapweedpulley.Instant(time.Now().UnixNano())
}

// fakeAgent stands for the agent of one endpoint. It counts loads.
type fakeAgent struct {
	mu     sync.Mutex
	fleet  []*endpoint.Fleet
	status knapweedpulley.EndpointStatus
	took   time.Duration
	loads  int
	orders []knapweedpulley.Order
	// loading holds a channel for each load that was started; it is closed when the load
	// has ended.
	loading map[string]chan struct{}
	// unreachable agents answer no order and report nothing.
	unreachable bool
}

func (a *fakeAgent) Run(
	context.Context, knapweedpulley.Request, knapweedpulley.AnswerWriter,
) (knapweedpulley.Usage, error) {
	return knapweedpulley.Usage{}, nil
}

func (a *fakeAgent) Status() (knapweedpulley.EndpointStatus, bool) { return a.status, true }

func (a *fakeAgent) Order(ctx context.Context, o knapweedpulley.Order) error {
	a.mu.Lock()
	a.orders = append(a.orders, o)
	dead := a.unreachable
	a.mu.Unlock()
	if dead {
		return errors.New("connection refused")
	}
	if o.Kind == knapweedpulley.OrderUnloadModel {
		return nil
	}
	select {
	case <-a.load(o):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// load joins the load in progress or starts one.
func (a *fakeAgent) load(o knapweedpulley.Order) <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	key := string(o.Model) + "/" + string(o.Adapter)
	if done, ok := a.loading[key]; ok {
		return done
	}
	if a.loading == nil {
		a.loading = make(map[string]chan struct{})
	}
	done := make(chan struct{})
	a.loading[key] = done
	a.loads++
	a.report(o, knapweedpulley.StateLoading)
	time.AfterFunc(a.took, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.report(o, knapweedpulley.StateLoaded)
		close(done)
	})
	return done
}

func (a *fakeAgent) report(o knapweedpulley.Order, state knapweedpulley.LoadState) {
	loaded := knapweedpulley.LoadedModel{Model: o.Model, Size: o.Size, State: state}
	if o.Adapter != "" {
		loaded.State = knapweedpulley.StateLoaded
		loaded.Adapters = []knapweedpulley.LoadedAdapter{{Adapter: o.Adapter, State: state}}
	}
	a.status.Engine.Models = []knapweedpulley.LoadedModel{loaded}
	for _, f := range a.fleet {
		f.Update(a.status)
	}
}

// testCluster is a group of entry processes that share fake agents.
type testCluster struct {
	agents  map[knapweedpulley.EndpointID]*fakeAgent
	permits *model.Permits
	entries map[knapweedpulley.EntryID]*fakeEntry
	members []knapweedpulley.Member
}

func (w *testCluster) Link(id knapweedpulley.EndpointID) (knapweedpulley.EndpointLink, bool) {
	a, ok := w.agents[id]
	return a, ok
}

func (w *testCluster) Checkpoint(
	m knapweedpulley.ModelID, a knapweedpulley.Option[knapweedpulley.AdapterID],
) (knapweedpulley.Checkpoint, bool) {
	return knapweedpulley.Checkpoint{Model: m, Adapter: a.Or(""), Size: 8 * knapweedpulley.GiB}, true
}

// fakeEntry is one entry process with the objects under test. It also implements the
// membership and the forwarder.
type fakeEntry struct {
	cluster *testCluster
	self    knapweedpulley.Member
	fleet   *endpoint.Fleet
	merger  *model.LoadMerger
	loader  *model.Loader
	router  *model.Router
	// An entry that is down refuses connections, an unresponsive one never answers, and
	// the answers of one with losesAnswers don't arrive.
	down, unresponsive, losesAnswers bool
}

func (e *fakeEntry) Valid() bool                        { return true }
func (e *fakeEntry) Self() knapweedpulley.Member        { return e.self }
func (e *fakeEntry) Members() []knapweedpulley.Member   { return e.cluster.members }
func (e *fakeEntry) Owner(string) knapweedpulley.Member { return e.cluster.members[0] }

func (e *fakeEntry) ForwardLoad(
	ctx context.Context, to knapweedpulley.Member, w knapweedpulley.LoadRequest,
) (knapweedpulley.LoadResponse, error) {
	peer := e.cluster.entries[to.Entry]
	switch {
	case peer.down:
		return knapweedpulley.LoadResponse{}, errors.New("connection refused")
	case peer.unresponsive:
		<-ctx.Done()
		return knapweedpulley.LoadResponse{}, ctx.Err()
	}
	answer, err := peer.merger.Join(ctx, w)
	if peer.losesAnswers {
		return knapweedpulley.LoadResponse{}, errors.New("connection reset")
	}
	return answer, err
}

func newTestCluster(entries int, agents ...*fakeAgent) (*testCluster, func()) {
	w := &testCluster{
		agents:  make(map[knapweedpulley.EndpointID]*fakeAgent),
		permits: model.NewPermits(),
		entries: make(map[knapweedpulley.EntryID]*fakeEntry),
	}
	for _, id := range []knapweedpulley.EntryID{"n1", "n2", "n3"}[:entries] {
		w.members = append(w.members, knapweedpulley.Member{Entry: id})
	}
	var cleanups []func()
	for _, m := range w.members {
		e := &fakeEntry{cluster: w, self: m, fleet: endpoint.NewFleet("a", zone.NewDistances(nil))}
		estimator := model.NewEstimator()
		owner := model.NewTransferOwner(testClock{}, model.DefaultLimits(knapweedpulley.TransferModel),
			model.DefaultLimits(knapweedpulley.TransferAdapter))
		e.loader = model.NewLoader(model.Sources{
			Endpoints: e.fleet, Links: w, Permits: w.permits, Checkpoints: w, Clock: testClock{}, Entry: m.Entry,
		}, model.NewLoadPolicy(e.fleet, zone.NewDistances(nil), estimator), estimator, owner)
		var cleanup knapweedpulley.Cleanup
		e.merger, cleanup = model.NewLoadMerger(e.loader, testClock{})
		e.router = model.NewRouter(e, e.merger, e, e.fleet, testClock{})
		w.entries[m.Entry] = e
		cleanups = append(cleanups, cleanup)
	}
	for _, a := range agents {
		w.addAgent(a)
	}
	return w, func() {
		for _, c := range cleanups {
			c()
		}
	}
}

func (w *testCluster) addAgent(a *fakeAgent) {
	w.agents[a.status.Endpoint] = a
	for _, e := range w.entries {
		a.fleet = append(a.fleet, e.fleet)
		e.fleet.Update(a.status)
	}
}

func newFakeAgent(id knapweedpulley.EndpointID, took time.Duration) *fakeAgent {
	return &fakeAgent{took: took, status: knapweedpulley.EndpointStatus{
		Endpoint: id, Zone: "a", Machine: knapweedpulley.MachineID("vm-" + id), FreeMemory: 80 * knapweedpulley.GiB,
		Engine: knapweedpulley.EngineState{Memory: 80 * knapweedpulley.GiB, Slots: 4},
	}}
}

func (w *testCluster) applyPermit(value string) {
	_ = w.permits.Apply([]knapweedpulley.Change{{Object: knapweedpulley.Object{
		Kind: knapweedpulley.KindPermits, Name: "m", Revision: 1, Value: []byte(value),
	}}})
}
