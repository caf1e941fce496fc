package keeper_test

import (
	"bytes"
	"context"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/keeper"
	"github.com/knapweedpulley/knapweedpulley/logbook"
	"github.com/knapweedpulley/knapweedpulley/machine/fake"
)

const (
	engineMemory = knapweedpulley.Bytes(200)
	// remoteLoadTime is the time of a load from the weight store, diskLoadTime of
	// one from the disk.
	remoteLoadTime = 6 * time.Second
	diskLoadTime   = time.Second
)

// engine is a model engine in virtual time. It records a crash when an order
// exceeds its memory or its adapter slots.
type engine struct {
	mu       sync.Mutex
	id       knapweedpulley.EndpointID
	start    uint64
	models   []knapweedpulley.LoadedModel
	disk     []knapweedpulley.ModelID
	busy     bool
	sequence uint64
	orders   []knapweedpulley.EngineOrder
	crashed  bool
	// loseAnswers drops the answers to orders; the orders take effect after
	// orderDelay.
	loseAnswers bool
	orderDelay  time.Duration
	// delays are those of the next loads. The answers of these orders are lost.
	delays []time.Duration
	// silent engines don't answer reads, and refusing ones refuse connections.
	silent   bool
	refusing bool
}

var (
	errAnswerLost        = errors.New("no answer")
	errConnectionRefused = errors.New("connection refused")
)

func (e *engine) setSilent(silent bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silent = silent
}

// restart starts the engine anew with some models. Its sequence numbers start at 0.
func (e *engine) restart(id knapweedpulley.EndpointID, models ...knapweedpulley.ModelID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.id, e.start, e.sequence, e.busy, e.models = id, uint64(time.Now().UnixMilli()), 0, false, nil
	for _, m := range models {
		e.models = append(e.models, knapweedpulley.LoadedModel{Model: m, State: knapweedpulley.StateLoaded})
	}
}

// clearDisk removes the cached checkpoints.
func (e *engine) clearDisk() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.disk = nil
}

// delayLoads makes the next loads arrive late.
func (e *engine) delayLoads(delays ...time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.delays = delays
}

func (e *engine) setRefusing(refusing bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refusing = refusing
}

func (e *engine) isSilent() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.silent
}

func (e *engine) currentID() knapweedpulley.EndpointID {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.id
}

// Read implements knapweedpulley.EngineClient. A read of an engine that stops being silent
// is answered then.
func (e *engine) Read(ctx context.Context) (knapweedpulley.EngineSnapshot, error) {
	for e.isSilent() {
		select {
		case <-ctx.Done():
			return knapweedpulley.EngineSnapshot{}, ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.refusing {
		return knapweedpulley.EngineSnapshot{}, errConnectionRefused
	}
	r := knapweedpulley.EngineSnapshot{Busy: e.busy, Sequence: e.sequence}
	r.Start = e.start
	for _, m := range e.models {
		m.Adapters = slices.Clone(m.Adapters)
		r.Models = append(r.Models, m)
	}
	for _, d := range e.disk {
		r.Cached = append(r.Cached, knapweedpulley.CachedCheckpoint{Model: d, Tier: knapweedpulley.TierDisk})
	}
	return r, nil
}

func (e *engine) Place(_ context.Context, o knapweedpulley.EngineOrder) (knapweedpulley.OrderOutcome, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, o)
	delay := e.orderDelay
	isLoad := o.Kind == knapweedpulley.OrderLoadModel || o.Kind == knapweedpulley.OrderLoadAdapter
	isDelayed := isLoad && len(e.delays) > 0
	if isDelayed {
		delay, e.delays = e.delays[0], e.delays[1:]
	}
	if e.loseAnswers || isDelayed {
		time.AfterFunc(delay, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.execute(o)
		})
		return knapweedpulley.OrderUnknown, errAnswerLost
	}
	return e.execute(o), nil
}

func (e *engine) execute(o knapweedpulley.EngineOrder) knapweedpulley.OrderOutcome {
	if e.busy || o.Sequence != e.sequence || o.Endpoint != e.id {
		return knapweedpulley.OrderRefused
	}
	if o.Kind == knapweedpulley.OrderLoadModel && knapweedpulley.Holds(e.models, o.Resident) {
		return knapweedpulley.OrderHolds
	}
	e.sequence++
	switch o.Kind {
	case knapweedpulley.OrderLoadModel:
		e.loadModel(o.Model)
	case knapweedpulley.OrderUnloadModel:
		e.models = slices.DeleteFunc(e.models, func(m knapweedpulley.LoadedModel) bool { return m.Model == o.Model })
	case knapweedpulley.OrderLoadAdapter:
		e.loadAdapter(o.Resident)
	case knapweedpulley.OrderUnloadAdapter:
		e.unloadAdapter(o.Resident)
	}
	return knapweedpulley.OrderAccepted
}

func (e *engine) loadModel(model knapweedpulley.ModelID) {
	e.busy = true
	d := remoteLoadTime
	if slices.Contains(e.disk, model) {
		d = diskLoadTime
	}
	if e.used()+engineSpec().Models[model].Size > engineMemory {
		e.crashed = true
	}
	start := e.start
	time.AfterFunc(d, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.start != start {
			return
		}
		e.busy = false
		e.models = append(e.models, knapweedpulley.LoadedModel{Model: model, State: knapweedpulley.StateLoaded})
	})
}

func (e *engine) loadAdapter(resident knapweedpulley.Resident) {
	count := 0
	for _, m := range e.models {
		count += len(m.Adapters)
	}
	if count >= engineSpec().AdapterSlots {
		e.crashed = true
	}
	for i := range e.models {
		if e.models[i].Model == resident.Model {
			e.models[i].Adapters = append(e.models[i].Adapters,
				knapweedpulley.LoadedAdapter{Adapter: resident.Adapter, State: knapweedpulley.StateLoaded})
		}
	}
}

func (e *engine) unloadAdapter(resident knapweedpulley.Resident) {
	for i := range e.models {
		if e.models[i].Model == resident.Model {
			e.models[i].Adapters = slices.DeleteFunc(e.models[i].Adapters,
				func(a knapweedpulley.LoadedAdapter) bool { return a.Adapter == resident.Adapter })
		}
	}
}

func (e *engine) used() knapweedpulley.Bytes {
	used := knapweedpulley.Bytes(0)
	for _, m := range e.models {
		used += engineSpec().Models[m.Model].Size
	}
	return used
}

// engineSpec describes an engine that holds two adapters, and two models or the large one.
func engineSpec() knapweedpulley.EngineSpec {
	s := knapweedpulley.EngineSpec{
		Memory: engineMemory, AdapterSlots: 2, Models: make(map[knapweedpulley.ModelID]knapweedpulley.ModelSpec),
	}
	for _, id := range []knapweedpulley.ModelID{"a", "b", "c", "d"} {
		s.Models[id] = knapweedpulley.ModelSpec{Model: id, Size: 95, AdapterSize: 1, RemoteLoadTime: remoteLoadTime, DiskLoadTime: diskLoadTime}
	}
	s.Models["large"] = knapweedpulley.ModelSpec{
		Model: "large", Size: 150, AdapterSize: 1, RemoteLoadTime: remoteLoadTime, DiskLoadTime: diskLoadTime,
	}
	return s
}

// stream is the stream of a gateway that keeps the last report.
type stream struct {
	notes      chan knapweedpulley.GatewayMessage
	mu         sync.Mutex
	lastReport knapweedpulley.EngineReport
	reports    int
	ended      chan struct{}
}

func (s *stream) Send(r knapweedpulley.EngineReport) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastReport = r
	s.reports++
	return nil
}

func (s *stream) Receive() (knapweedpulley.GatewayMessage, error) {
	select {
	case n := <-s.notes:
		return n, nil
	case <-s.ended:
		return knapweedpulley.GatewayMessage{}, io.EOF
	}
}

func (s *stream) report() knapweedpulley.EngineReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastReport
}

// reportCount returns the number of reports received.
func (s *stream) reportCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reports
}

// orderLateness is the time for which the keeper expects late orders.
const orderLateness = 13 * time.Second

// logBuffer collects log lines.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

// contains reports whether a line has all the parts.
func (b *logBuffer) contains(parts ...string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for line := range strings.Lines(b.text.String()) {
		if !slices.ContainsFunc(parts, func(p string) bool { return !strings.Contains(line, p) }) {
			return true
		}
	}
	return false
}

// fixture is a keeper with a fake engine and one connected gateway.
type fixture struct {
	t      *testing.T
	engine *engine
	keeper *keeper.Keeper
	stream *stream
	// stopKeeper disconnects the gateway and stops the keeper.
	stopKeeper func()
	log        logBuffer
	// demands is sent with each note of the gateways.
	mu      sync.Mutex
	demands []knapweedpulley.ModelDemand
	// adapterSlots is the number of the engine's adapter slots that gateways send once they connect.
	adapterSlots int
}

// setDemands sets the demands that the gateways send from now on.
func (f *fixture) setDemands(demands ...knapweedpulley.ModelDemand) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.demands = demands
}

func (f *fixture) currentDemands() []knapweedpulley.ModelDemand {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.demands
}

// runInBubble runs a subtest in virtual time. The engine holds the models a and
// b; a, b and c are on its disk.
func runInBubble(name string, t *testing.T, test func(f *fixture)) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := &fixture{t: t, adapterSlots: engineSpec().AdapterSlots, engine: &engine{id: "i-1", start: 1, disk: []knapweedpulley.ModelID{"a", "b", "c"}}}
			for _, id := range []knapweedpulley.ModelID{"a", "b"} {
				f.engine.models = append(f.engine.models,
					knapweedpulley.LoadedModel{Model: id, State: knapweedpulley.StateLoaded})
			}
			f.startKeeper()
			defer func() { f.stopKeeper() }()
			time.Sleep(2 * time.Second)
			test(f)
			f.engine.mu.Lock()
			defer f.engine.mu.Unlock()
			is.New(t).True(!f.engine.crashed) // No order exceeded its memory or adapter slots.
		})
	})
}

// startKeeper starts a keeper and connects a gateway to it.
func (f *fixture) startKeeper() {
	k, cleanup := keeper.New(f.engine, fake.Clock{}, logbook.New(&f.log, log.InfoLevel, "test", "test"), keeper.Terms{
		Token: keeper.MachineToken("test"), OrderLateness: orderLateness,
	})
	f.keeper = k
	disconnect := f.connect("one")
	f.stopKeeper = func() {
		disconnect()
		cleanup()
	}
}

// restartKeeper replaces the keeper by one that knows nothing of it.
func (f *fixture) restartKeeper() {
	f.stopKeeper()
	f.startKeeper()
}

// connect connects a gateway that sends a note every 300 ms. The returned
// function disconnects it.
func (f *fixture) connect(id knapweedpulley.EntryID) func() {
	s := &stream{notes: make(chan knapweedpulley.GatewayMessage), ended: make(chan struct{})}
	f.stream = s
	adapterSlots := f.adapterSlots
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.keeper.ServeGateway(context.Background(), s)
	}()
	stop := make(chan struct{})
	go func() {
		defer close(s.ended)
		spec := engineSpec()
		spec.AdapterSlots = adapterSlots
		first := knapweedpulley.Some(spec)
		for {
			n := knapweedpulley.GatewayMessage{
				Gateway: knapweedpulley.Member{Entry: id}, Sent: fake.Clock{}.Now(), Endpoint: f.engine.currentID(), Engine: first, HasDemands: true, Demands: f.currentDemands(),
			}
			select {
			case s.notes <- n:
			case <-stop:
				return
			}
			select {
			case <-time.After(300 * time.Millisecond):
			case <-stop:
				return
			}
		}
	}()
	return func() {
		close(stop)
		<-done
	}
}

func (f *fixture) requestLoad(model knapweedpulley.ModelID, adapter knapweedpulley.AdapterID, lifetime time.Duration) {
	f.stream.notes <- knapweedpulley.GatewayMessage{
		Gateway: knapweedpulley.Member{Entry: "one"}, Endpoint: f.engine.currentID(),
		LoadRequests: []knapweedpulley.ResidentLoadRequest{{
			Resident: knapweedpulley.Resident{Model: model, Adapter: adapter}, Expires: lifetime,
		}},
	}
}

func (f *fixture) assertHolds(model knapweedpulley.ModelID, adapter knapweedpulley.AdapterID, want bool) {
	f.t.Helper()
	synctest.Wait()
	f.engine.mu.Lock()
	defer f.engine.mu.Unlock()
	is.New(f.t).Equal(knapweedpulley.Holds(f.engine.models, knapweedpulley.Resident{Model: model, Adapter: adapter}), want)
}

// receivedOrders returns the orders that reached the engine, in order.
func (f *fixture) receivedOrders() []knapweedpulley.EngineOrder {
	f.engine.mu.Lock()
	defer f.engine.mu.Unlock()
	return slices.Clone(f.engine.orders)
}

func (f *fixture) countOrders(kind knapweedpulley.OrderKind) int {
	n := 0
	for _, o := range f.receivedOrders() {
		if o.Kind == kind {
			n++
		}
	}
	return n
}

func demand(model knapweedpulley.ModelID, active int, rate float64) knapweedpulley.ModelDemand {
	return knapweedpulley.ModelDemand{
		Resident: knapweedpulley.Resident{Model: model}, Active: active, Rate: rate, Holders: 1,
	}
}
