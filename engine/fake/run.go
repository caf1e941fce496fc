package fake

import (
	"context"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

// Record holds what an engine has observed since it was created.
type Record struct {
	// Peak is the highest memory use at any time.
	Peak knapweedpulley.Bytes
	// Loads counts the loads that were started.
	Loads   int
	Crashes int
	// UnloadsInUse counts the unloads of a model while requests ran on it.
	UnloadsInUse int
	// MaxRunning is the highest number of requests that ran at once.
	MaxRunning int
	// IsolationBreaches counts the isolated requests that started while others ran.
	IsolationBreaches int
	// Customers holds the number of tokens that each customer received.
	Customers map[knapweedpulley.CustomerID]knapweedpulley.Tokens
	// Starts lists the requests in the order in which they started.
	Starts []Start
	// Runs counts how often each request started.
	Runs map[knapweedpulley.RequestID]int
}

// Start records the start of a request in an engine.
type Start struct {
	Request  knapweedpulley.RequestID
	Customer knapweedpulley.CustomerID
	At       time.Time
}

// Record returns a copy of the record so far.
func (e *Engine) Record() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.record
	r.Starts = append([]Start(nil), e.record.Starts...)
	r.Customers = make(map[knapweedpulley.CustomerID]knapweedpulley.Tokens, len(e.record.Customers))
	for c, n := range e.record.Customers {
		r.Customers[c] = n
	}
	r.Runs = make(map[knapweedpulley.RequestID]int, len(e.record.Runs))
	for id, n := range e.record.Runs {
		r.Runs[id] = n
	}
	return r
}

// Held lists the models that take memory, in any load state.
func (e *Engine) Held() []knapweedpulley.ModelID {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []knapweedpulley.ModelID
	for k := range e.held {
		if k.adapter == "" {
			list = append(list, k.model)
		}
	}
	return list
}

// updatePeak updates the peak memory in the record. The caller must hold the lock.
func (e *Engine) updatePeak() {
	var taken knapweedpulley.Bytes
	for _, h := range e.held {
		taken += h.size
	}
	e.record.Peak = max(e.record.Peak, taken)
}

// Run implements knapweedpulley.Backend. It runs for the token time multiplied by the charge
// and writes the request's body back in two pieces.
func (e *Engine) Run(
	ctx context.Context, r knapweedpulley.Request, w knapweedpulley.AnswerWriter,
) (knapweedpulley.Usage, error) {
	life, err := e.beginRun(r)
	if err != nil {
		return knapweedpulley.Usage{}, err
	}
	defer e.endRun(life, r.Model)
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(life, cancel)
	defer stop()
	if err := w.WriteHead(knapweedpulley.AnswerHead{Status: 200}); err != nil {
		return knapweedpulley.Usage{}, err
	}
	half := time.Duration(r.Charge) * e.settings.TokenTime / 2
	for _, p := range [][]byte{r.Body[:len(r.Body)/2], r.Body[len(r.Body)/2:]} {
		if sleep(bounded, half) != nil {
			return knapweedpulley.Usage{}, refuseBroken(ctx)
		}
		if _, err := w.Write(p); err != nil {
			return knapweedpulley.Usage{}, err
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.record.Customers[r.Customer] += r.Charge
	return knapweedpulley.Usage{Completion: r.Charge}, nil
}

func (e *Engine) beginRun(r knapweedpulley.Request) (context.Context, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return nil, knapweedpulley.NewRefusal(knapweedpulley.CodeEngineFailed, knapweedpulley.NotRun, "connection refused")
	}
	e.record.Runs[r.ID]++
	e.record.Starts = append(e.record.Starts, Start{Request: r.ID, Customer: r.Customer, At: time.Now()})
	e.running++
	e.runningByModel[r.Model]++
	e.record.MaxRunning = max(e.record.MaxRunning, e.running)
	if r.Isolated && e.running > 1 {
		e.record.IsolationBreaches++
	}
	if e.poison != 0 && r.Fingerprint == e.poison {
		e.crash()
		return nil, knapweedpulley.NewRefusal(knapweedpulley.CodeEngineFailed, knapweedpulley.MayHaveRun, "%v", errEngineDown)
	}
	return e.lifetime, nil
}

func (e *Engine) endRun(lifetime context.Context, m knapweedpulley.ModelID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if lifetime == e.lifetime && e.running > 0 {
		e.running--
		e.runningByModel[m]--
	}
}

func refuseBroken(ctx context.Context) error {
	code := knapweedpulley.CodeEngineFailed
	if ctx.Err() != nil {
		code = knapweedpulley.CodeCanceled
	}
	return knapweedpulley.NewRefusal(code, knapweedpulley.MayHaveRun, "%v", errEngineDown)
}
