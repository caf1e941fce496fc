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

// fakeAgent is the agent of one endpoint; it counts loads.
type fakeAgent struct {
	mu     sync.Mutex
	fleet  []*endpoint.Fleet
	status knapweedpulley.EndpointStatus
	took   time.Duration
	loads  int
	orders []knapweedpulley.Order
	// loading holds the loads that were begun, closed once they have ended.
	loading map[string]chan struct{}
	// dead agents answer no order and report nothing.
	dead bool
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
	dead := a.dead
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

// load joins the load under way or begins one.
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

// world is a few entries with the same fake agents.
type world struct {
	agents  map[knapweedpulley.EndpointID]*fakeAgent
	permits *model.Permits
	entries map[knapweedpulley.EntryID]*entry
	members []knapweedpulley.Member
}

func (w *world) Link(id knapweedpulley.EndpointID) (knapweedpulley.EndpointLink, bool) {
	a, ok := w.agents[id]
	return a, ok
}

func (w *world) Checkpoint(
	m knapweedpulley.ModelID, a knapweedpulley.Option[knapweedpulley.AdapterID],
) (knapweedpulley.Checkpoint, bool) {
	return knapweedpulley.Checkpoint{Model: m, Adapter: a.Or(""), Size: 8 * knapweedpulley.GiB}, true
}

// entry is one entry process: membership, forwarder and the parts under test.
type entry struct {
	world  *world
	self   knapweedpulley.Member
	fleet  *endpoint.Fleet
	wakes  *model.Wakes
	loader *model.Loader
	router *model.Router
	// down entries refuse connections, silent ones never answer, deaf ones
	// answer but the answer is lost.
	down, silent, deaf bool
}

func (e *entry) Valid() bool                        { return true }
func (e *entry) Self() knapweedpulley.Member        { return e.self }
func (e *entry) Members() []knapweedpulley.Member   { return e.world.members }
func (e *entry) Owner(string) knapweedpulley.Member { return e.world.members[0] }

func (e *entry) ForwardLoad(
	ctx context.Context, to knapweedpulley.Member, w knapweedpulley.LoadRequest,
) (knapweedpulley.LoadResponse, error) {
	peer := e.world.entries[to.Entry]
	switch {
	case peer.down:
		return knapweedpulley.LoadResponse{}, errors.New("connection refused")
	case peer.silent:
		<-ctx.Done()
		return knapweedpulley.LoadResponse{}, ctx.Err()
	}
	answer, err := peer.wakes.Join(ctx, w)
	if peer.deaf {
		return knapweedpulley.LoadResponse{}, errors.New("connection reset")
	}
	return answer, err
}

func newWorld(entries int, agents ...*fakeAgent) (*world, func()) {
	w := &world{
		agents:  make(map[knapweedpulley.EndpointID]*fakeAgent),
		permits: model.NewPermits(),
		entries: make(map[knapweedpulley.EntryID]*entry),
	}
	for _, id := range []knapweedpulley.EntryID{"n1", "n2", "n3"}[:entries] {
		w.members = append(w.members, knapweedpulley.Member{Entry: id})
	}
	var cleanups []func()
	for _, m := range w.members {
		e := &entry{world: w, self: m, fleet: endpoint.NewFleet("a", zone.NewDistances(nil))}
		estimator := model.NewEstimator()
		owner := model.NewTransferOwner(testClock{}, model.DefaultLimits(knapweedpulley.TransferModel),
			model.DefaultLimits(knapweedpulley.TransferAdapter))
		e.loader = model.NewLoader(model.Sources{
			Endpoints: e.fleet, Links: w, Permits: w.permits, Checkpoints: w, Clock: testClock{}, Entry: m.Entry,
		}, model.NewChoice(e.fleet, zone.NewDistances(nil), estimator), estimator, owner)
		var cleanup knapweedpulley.Cleanup
		e.wakes, cleanup = model.NewWakes(e.loader, testClock{})
		e.router = model.NewRouter(e, e.wakes, e, e.fleet, testClock{})
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

func (w *world) addAgent(a *fakeAgent) {
	w.agents[a.status.Endpoint] = a
	for _, e := range w.entries {
		a.fleet = append(a.fleet, e.fleet)
		e.fleet.Update(a.status)
	}
}

func agent(id knapweedpulley.EndpointID, took time.Duration) *fakeAgent {
	return &fakeAgent{took: took, status: knapweedpulley.EndpointStatus{
		Endpoint: id, Zone: "a", Machine: knapweedpulley.MachineID("vm-" + id), FreeMemory: 80 * knapweedpulley.GiB,
		Engine: knapweedpulley.EngineState{Memory: 80 * knapweedpulley.GiB, Slots: 4},
	}}
}

func (w *world) permit(value string) {
	_ = w.permits.Apply([]knapweedpulley.Change{{Object: knapweedpulley.Object{
		Kind: knapweedpulley.KindPermits, Name: "m", Revision: 1, Value: []byte(value),
	}}})
}
