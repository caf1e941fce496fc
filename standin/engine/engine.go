package engine

import (
	"context"
	"sync"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/standin/lag"
	"github.com/knapweedpulley/knapweedpulley/standin/record"
)

// Fetch transfers a checkpoint from the weight store, or an adapter if size is zero.
type Fetch func(ctx context.Context, name string, size knapweedpulley.Bytes) error

// requestCounts holds the numbers of running and waiting requests.
type requestCounts struct {
	running int
	waiting int
}

// incarnation is a run of the engine process from a start to the next crash. Its context
// ends with it.
type incarnation struct {
	ctx context.Context
	end context.CancelFunc
}

// Engine is a simulated model engine.
type Engine struct {
	settings         Settings
	fetch            Fetch
	recorder         *record.Recorder
	slots            chan struct{}
	reportedRequests *lag.Value[requestCounts]
	loads            sync.WaitGroup

	mu           sync.Mutex
	incarnation  incarnation
	restartedAt  time.Time
	starts       uint64
	fencingToken knapweedpulley.FencingToken
	memory       memory
	cache        cache
	requests     requestCounts
}

// NewEngine starts an engine. If fetch is nil, remote checkpoints load at the remote
// bandwidth. The clean-up ends the loads and open requests.
func NewEngine(s Settings, fetch Fetch) (*Engine, knapweedpulley.Cleanup) {
	e := &Engine{
		settings:         s,
		fetch:            fetch,
		recorder:         record.NewRecorder(s.RecordLimit),
		slots:            make(chan struct{}, s.Slots),
		reportedRequests: lag.NewValue(requestCounts{}),
		cache:            newCache(s),
	}
	e.reportedRequests.SetLag(time.Duration(s.LoadLag))
	e.start()
	return e, e.stop
}

// start begins a new incarnation with empty memory. The caller holds the lock, except in
// NewEngine, where no other goroutine has the engine yet.
func (e *Engine) start() {
	ctx, cancel := context.WithCancel(context.Background())
	e.incarnation = incarnation{ctx: ctx, end: cancel}
	e.memory = newMemory(e.settings.Memory)
	e.fencingToken = 0
	e.starts++
}

func (e *Engine) stop() {
	e.mu.Lock()
	e.incarnation.end()
	e.mu.Unlock()
	e.loads.Wait()
}

// Crash ends all requests and loads and discards all loaded models and adapters. The engine
// is unavailable for its restart time.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incarnation.end()
	e.start()
	e.restartedAt = time.Now().Add(time.Duration(e.settings.RestartTime))
}

// Recorder returns the recorder of the received requests.
func (e *Engine) Recorder() *record.Recorder {
	return e.recorder
}

// SetLoadLag sets the delay with which the counts of requests are reported.
func (e *Engine) SetLoadLag(d time.Duration) {
	e.reportedRequests.SetLag(d)
}

// restarting reports whether the engine is unavailable after a crash. The caller holds the
// lock.
func (e *Engine) restarting() bool {
	return time.Now().Before(e.restartedAt)
}

// addRequests adds to the counts of running and waiting requests.
func (e *Engine) addRequests(running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests.running += running
	e.requests.waiting += waiting
	e.reportedRequests.Put(e.requests)
}

// simulateWork waits for d. It returns an error if the incarnation ends first.
func (n incarnation) simulateWork(d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-n.ctx.Done():
		return n.ctx.Err()
	}
}
