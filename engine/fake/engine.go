// Package fake implements a model engine in memory for the tests of the agent and the fault
// matrix, and a connection to it on which faults can be injected. The engine records its
// actual memory use but doesn't bound it, so that a test can check that the agent does.
//
// # Usage
//
//	e := fake.NewEngine(fake.Settings{Memory: 10 * knapweedpulley.GiB, Slots: 4})
//	connection := e.Connect()
//	a, cleanup, err := agent.New(settings, agent.Backends{Engine: connection}, clock, log, scope)
package fake

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

// Settings configures an engine.
type Settings struct {
	Memory        knapweedpulley.Bytes
	Slots         int
	ChecksFencing bool
	LoadTime      time.Duration
	UnloadTime    time.Duration
	// TokenTime is the run time per token of a request's charge.
	TokenTime time.Duration
	// OrderTime is the delay before the engine starts to execute an order.
	OrderTime time.Duration
	// StateTime is the duration of a read of the state.
	StateTime time.Duration
	// RestartTime is how long the engine is down after a crash.
	RestartTime time.Duration
}

// errEngineDown means that the engine's process has ended.
var errEngineDown = errors.New("connection reset by the engine")

type held struct {
	size  knapweedpulley.Bytes
	state knapweedpulley.LoadState
}

type key struct {
	model   knapweedpulley.ModelID
	adapter knapweedpulley.AdapterID
}

// Engine is a model engine in memory.
type Engine struct {
	settings Settings

	mu             sync.Mutex
	lifetime       context.Context
	end            context.CancelFunc
	starts         uint64
	down           bool
	token          knapweedpulley.FencingToken
	held           map[key]held
	running        int
	runningByModel map[knapweedpulley.ModelID]int
	poison         knapweedpulley.Fingerprint
	record         Record
	loadTime       time.Duration
	failsNextLoad  bool
}

// NewEngine returns a running engine that has nothing loaded.
func NewEngine(s Settings) *Engine {
	e := &Engine{settings: s, starts: 1, held: make(map[key]held), runningByModel: make(map[knapweedpulley.ModelID]int), loadTime: s.LoadTime}
	e.record.Customers = make(map[knapweedpulley.CustomerID]knapweedpulley.Tokens)
	e.record.Runs = make(map[knapweedpulley.RequestID]int)
	e.lifetime, e.end = context.WithCancel(context.Background())
	return e
}

// Poison makes the engine crash when it runs a request with the fingerprint.
func (e *Engine) Poison(f knapweedpulley.Fingerprint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.poison = f
}

// SetLoadTime sets the duration of a load.
func (e *Engine) SetLoadTime(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loadTime = d
}

// FailNextLoad makes the next load fail at its end, as when the weight store doesn't
// deliver the weights.
func (e *Engine) FailNextLoad() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failsNextLoad = true
}

// Crash ends the engine's process, which restarts after the restart time.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

func (e *Engine) crash() {
	e.end()
	e.down = true
	e.running = 0
	clear(e.held)
	clear(e.runningByModel)
	e.record.Crashes++
	time.AfterFunc(e.settings.RestartTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.starts++
		e.token = 0
		e.down = false
		e.lifetime, e.end = context.WithCancel(context.Background())
	})
}

// Stop ends the engine permanently.
func (e *Engine) Stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.end()
	e.down = true
}

// State implements knapweedpulley.Engine.
func (e *Engine) State(ctx context.Context) (knapweedpulley.EngineState, error) {
	if sleep(ctx, e.settings.StateTime) != nil {
		return knapweedpulley.EngineState{}, errEngineDown
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return knapweedpulley.EngineState{}, errEngineDown
	}
	s := knapweedpulley.EngineState{
		Memory: e.settings.Memory, Running: e.running, Slots: e.settings.Slots,
		Starts: e.starts, FencingToken: e.token,
	}
	for k, h := range e.held {
		if k.adapter == "" {
			s.Models = append(s.Models, e.model(k.model, h))
		}
	}
	return s, nil
}

func (e *Engine) model(id knapweedpulley.ModelID, h held) knapweedpulley.LoadedModel {
	m := knapweedpulley.LoadedModel{Model: id, Size: h.size, State: h.state}
	for k, a := range e.held {
		if k.model == id && k.adapter != "" {
			m.Adapters = append(m.Adapters, knapweedpulley.LoadedAdapter{Adapter: k.adapter, Size: a.size, State: a.state})
		}
	}
	return m
}

// Order implements knapweedpulley.Engine. The order continues if ctx ends.
func (e *Engine) Order(ctx context.Context, o knapweedpulley.Order) error {
	if err := sleep(ctx, e.settings.OrderTime); err != nil {
		return err
	}
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return knapweedpulley.NewRefusal(knapweedpulley.CodeEngineFailed, knapweedpulley.NotRun, "connection refused")
	}
	if e.settings.ChecksFencing && o.Token < e.token {
		e.mu.Unlock()
		return knapweedpulley.NewRefusal(knapweedpulley.CodeFenced, knapweedpulley.NotRun, "old fencing token")
	}
	if e.settings.ChecksFencing {
		e.token = o.Token
	}
	lifetime := e.lifetime
	done := make(chan error, 1)
	e.begin(lifetime, o, done)
	e.mu.Unlock()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// begin starts to execute an order. The caller must hold the lock.
func (e *Engine) begin(life context.Context, o knapweedpulley.Order, done chan error) {
	k := key{o.Model, o.Adapter}
	h, present := e.held[k]
	load := o.Kind == knapweedpulley.OrderLoadModel || o.Kind == knapweedpulley.OrderLoadAdapter
	if present == load && (!present || h.state == knapweedpulley.StateLoaded) {
		done <- nil
		return
	}
	took, state := e.settings.UnloadTime, knapweedpulley.StateUnloading
	if !load && e.runningByModel[o.Model] > 0 {
		e.record.UnloadsInUse++
	}
	if load {
		took, state = e.loadTime, knapweedpulley.StateLoading
		h.size = o.Size
		e.record.Loads++
	}
	h.state = state
	e.held[k] = h
	e.updatePeak()
	failsNextLoad := load && e.failsNextLoad
	e.failsNextLoad = e.failsNextLoad && !load
	go func() {
		if sleep(life, took) != nil {
			done <- errEngineDown
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		if failsNextLoad {
			delete(e.held, k)
			done <- knapweedpulley.NewRefusal(knapweedpulley.CodeEngineFailed, knapweedpulley.MayHaveRun, "no weights")
			return
		}
		e.finish(k, load)
		done <- nil
	}()
}

func (e *Engine) finish(k key, load bool) {
	h, present := e.held[k]
	switch {
	case load && present:
		h.state = knapweedpulley.StateLoaded
		e.held[k] = h
	case !load:
		for other := range e.held {
			if other == k || (k.adapter == "" && other.model == k.model) {
				delete(e.held, other)
			}
		}
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}
