package fake

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

// Step is a point in the execution of an order that an agent sends to its engine.
type Step int

// Steps of an order, in the order of their occurrence.
const (
	StepNone Step = iota
	// BeforeSend is before the engine receives the order.
	BeforeSend
	// AfterReceive is after the engine has started to execute the order.
	AfterReceive
	// BeforeAnswer is after the engine has executed the order, before its answer is sent.
	BeforeAnswer
)

// Fault is a fault that is injected at a step.
type Fault int

// Faults that can be injected.
const (
	// Kill cuts the connection permanently, as if the agent had been killed.
	Kill Fault = iota + 1
	// Lose loses the answer and breaks the connection immediately.
	Lose
	// Silence loses the answer and leaves the connection open without any further data.
	Silence
	// Late breaks the connection and delivers the order after the delay.
	Late
	// CrashEngine ends the engine's process.
	CrashEngine
	// Slow sets the duration of the load to the delay.
	Slow
	// Fail makes the load fail at its end.
	Fail
	// Freeze blocks orders and state reads for the delay, as if the agent were suspended.
	Freeze
)

// receiveTime is the time after which an engine has received an order.
const receiveTime = 50 * time.Millisecond

// errConnectionBroken means that the connection broke after it had been opened.
var errConnectionBroken = errors.New("connection broken")

// Connection is one agent's connection to an engine, on which faults can be injected.
type Connection struct {
	engine *Engine

	mu          sync.Mutex
	cut         bool
	silent      bool
	frozenUntil time.Time
	step        Step
	mishap      Fault
	delay       time.Duration
	// happened is closed once the planned fault has been injected.
	happened chan struct{}
	pending  sync.WaitGroup
}

// Connect returns a new connection to the engine.
func (e *Engine) Connect() *Connection {
	return &Connection{engine: e, happened: make(chan struct{})}
}

// Plan schedules a fault at a step of the next order. The delay applies to late orders, slow
// loads and freezes.
func (p *Connection) Plan(s Step, m Fault, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.step, p.mishap, p.delay = s, m, delay
	p.happened = make(chan struct{})
}

// notifyInjected signals that the planned fault has been injected.
func (p *Connection) notifyInjected() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.happened)
}

// Happened returns a channel that is closed once the planned fault has been injected.
func (p *Connection) Happened() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.happened
}

// Cut breaks the connection permanently.
func (p *Connection) Cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = true
}

// SetSilent makes reads of the state fail, or succeed again.
func (p *Connection) SetSilent(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = silent
}

// Wait waits until all pending and late orders have been executed.
func (p *Connection) Wait() {
	p.pending.Wait()
}

// State implements knapweedpulley.Engine.
func (p *Connection) State(ctx context.Context) (knapweedpulley.EngineState, error) {
	p.awaitUnfrozen()
	p.mu.Lock()
	cut, silent := p.cut, p.silent
	p.mu.Unlock()
	if cut || silent {
		return knapweedpulley.EngineState{}, errConnectionBroken
	}
	return p.engine.State(ctx)
}

// Run implements knapweedpulley.Backend.
func (p *Connection) Run(
	ctx context.Context, r knapweedpulley.Request, w knapweedpulley.AnswerWriter,
) (knapweedpulley.Usage, error) {
	return p.engine.Run(ctx, r, w)
}

// Order implements knapweedpulley.Engine.
func (p *Connection) Order(ctx context.Context, o knapweedpulley.Order) error {
	p.awaitUnfrozen()
	step, mishap, delay, cut := p.takeFault()
	if step == BeforeSend && mishap == Freeze {
		p.injectFault(mishap, delay)
		return p.engine.Order(ctx, o)
	}
	if cut || (step == BeforeSend && mishap != Late) {
		if step == BeforeSend {
			p.injectFault(mishap, delay)
		}
		return errConnectionBroken
	}
	if mishap == Late {
		p.deliverLate(o, delay)
		return errConnectionBroken
	}
	switch mishap {
	case Slow:
		p.engine.SetLoadTime(delay)
		p.notifyInjected()
	case Fail:
		p.engine.FailNextLoad()
		p.notifyInjected()
	}
	if step != AfterReceive {
		err := p.engine.Order(ctx, o)
		if step == BeforeAnswer && mishap == Freeze {
			p.injectFault(mishap, delay)
			return err
		}
		if step == BeforeAnswer {
			return p.breakConnection(ctx, mishap, delay)
		}
		return err
	}
	outcome := make(chan error, 1)
	p.pending.Go(func() { outcome <- p.engine.Order(context.Background(), o) })
	time.Sleep(receiveTime)
	if mishap == Freeze {
		p.injectFault(mishap, delay)
		return <-outcome
	}
	return p.breakConnection(ctx, mishap, delay)
}

// awaitUnfrozen waits until a freeze has ended.
func (p *Connection) awaitUnfrozen() {
	p.mu.Lock()
	frozenUntil := p.frozenUntil
	p.mu.Unlock()
	time.Sleep(time.Until(frozenUntil))
}

// freeze blocks orders and state reads for d, and returns when d has passed.
func (p *Connection) freeze(d time.Duration) {
	p.mu.Lock()
	p.frozenUntil = time.Now().Add(d)
	p.mu.Unlock()
	p.awaitUnfrozen()
}

func (p *Connection) takeFault() (Step, Fault, time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	step, mishap, delay := p.step, p.mishap, p.delay
	p.step, p.mishap = StepNone, 0
	return step, mishap, delay, p.cut
}

func (p *Connection) deliverLate(o knapweedpulley.Order, delay time.Duration) {
	p.pending.Go(func() {
		time.Sleep(delay)
		_ = p.engine.Order(context.Background(), o)
	})
	p.notifyInjected()
}

func (p *Connection) breakConnection(ctx context.Context, m Fault, delay time.Duration) error {
	p.injectFault(m, delay)
	if m == Silence {
		<-ctx.Done()
	}
	return errConnectionBroken
}

func (p *Connection) injectFault(m Fault, delay time.Duration) {
	switch m {
	case Kill:
		p.Cut()
	case CrashEngine:
		p.engine.Crash()
	case Freeze:
		p.freeze(delay)
	}
	p.notifyInjected()
}
