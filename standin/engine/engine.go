package engine

import (
	"context"
	"sync"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/standin/lag"
	"github.com/knapweedpulley/knapweedpulley/standin/record"
)

// Fetch gets a checkpoint from the weight store; size is zero for an adapter.
type Fetch func(ctx context.Context, name string, size knapweedpulley.Bytes) error

// load counts the requests in an engine.
type load struct {
	running int
	waiting int
}

// life is the time between a start of an engine and its next crash.
type life struct {
	ctx context.Context
	end context.CancelFunc
}

// Engine is a simulated model engine.
type Engine struct {
	settings Settings
	fetch    Fetch
	recorder *record.Recorder
	slots    chan struct{}
	reported *lag.Value[load]
	loads    sync.WaitGroup

	mu     sync.Mutex
	life   life
	upAt   time.Time
	starts uint64
	token  knapweedpulley.FencingToken
	memory memory
	cache  cache
	load   load
}

// NewEngine starts an engine. Without fetch it takes remote checkpoints at the
// remote bandwidth. The clean-up ends its loads and open requests.
func NewEngine(s Settings, fetch Fetch) (*Engine, knapweedpulley.Cleanup) {
	e := &Engine{
		settings: s,
		fetch:    fetch,
		recorder: record.NewRecorder(s.RecordLimit),
		slots:    make(chan struct{}, s.Slots),
		reported: lag.NewValue(load{}),
		cache:    newCache(s),
	}
	e.reported.SetLag(time.Duration(s.LoadLag))
	e.start()
	return e, e.stop
}

// start begins a life with empty memory. The caller holds the lock, if anyone
// else knows the engine.
func (e *Engine) start() {
	ctx, cancel := context.WithCancel(context.Background())
	e.life = life{ctx: ctx, end: cancel}
	e.memory = newMemory(e.settings.Memory)
	e.token = 0
	e.starts++
}

func (e *Engine) stop() {
	e.mu.Lock()
	e.life.end()
	e.mu.Unlock()
	e.loads.Wait()
}

// Crash ends all requests and loads, and loses what is loaded. The engine is
// away for its restart time.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.life.end()
	e.start()
	e.upAt = time.Now().Add(time.Duration(e.settings.RestartTime))
}

// Recorder returns what the engine received.
func (e *Engine) Recorder() *record.Recorder {
	return e.recorder
}

// SetLoadLag sets how late the counts of requests are reported.
func (e *Engine) SetLoadLag(d time.Duration) {
	e.reported.SetLag(d)
}

// down reports whether the engine is away. The caller holds the lock.
func (e *Engine) down() bool {
	return time.Now().Before(e.upAt)
}

// count changes the counts of requests.
func (e *Engine) count(running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.load.running += running
	e.load.waiting += waiting
	e.reported.Put(e.load)
}

// sleep waits for d in simulated work, or until the life ends.
func (l life) sleep(d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-l.ctx.Done():
		return l.ctx.Err()
	}
}
