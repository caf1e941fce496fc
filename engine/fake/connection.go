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
	fault       Fault
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
func (c *Connection) Plan(s Step, m Fault, delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.step, c.fault, c.delay = s, m, delay
	c.happened = make(chan struct{})
}

// notifyInjected signals that the planned fault has been injected.
func (c *Connection) notifyInjected() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.happened)
}

// Happened returns a channel that is closed once the planned fault has been injected.
func (c *Connection) Happened() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.happened
}

// Cut breaks the connection permanently.
func (c *Connection) Cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = true
}

// SetSilent makes reads of the state fail, or succeed again.
func (c *Connection) SetSilent(silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = silent
}

// Wait waits until all pending and late orders have been executed.
func (c *Connection) Wait() {
	c.pending.Wait()
}

// State implements knapweedpulley.Engine.
func (c *Connection) State(ctx context.Context) (knapweedpulley.EngineState, error) {
	c.awaitUnfrozen()
	c.mu.Lock()
	cut, silent := c.cut, c.silent
	c.mu.Unlock()
	if cut || silent {
		return knapweedpulley.EngineState{}, errConnectionBroken
	}
	return c.engine.State(ctx)
}

// Run implements knapweedpulley.Backend.
func (c *Connection) Run(
	ctx context.Context, r knapweedpulley.Request, w knapweedpulley.AnswerWriter,
) (knapweedpulley.Usage, error) {
	return c.engine.Run(ctx, r, w)
}

// Order implements knapweedpulley.Engine.
func (c *Connection) Order(ctx context.Context, o knapweedpulley.Order) error {
	c.awaitUnfrozen()
	step, fault, delay, cut := c.takeFault()
	if step == BeforeSend && fault == Freeze {
		c.injectFault(fault, delay)
		return c.engine.Order(ctx, o)
	}
	if cut || (step == BeforeSend && fault != Late) {
		if step == BeforeSend {
			c.injectFault(fault, delay)
		}
		return errConnectionBroken
	}
	if fault == Late {
		c.deliverLate(o, delay)
		return errConnectionBroken
	}
	switch fault {
	case Slow:
		c.engine.SetLoadTime(delay)
		c.notifyInjected()
	case Fail:
		c.engine.FailNextLoad()
		c.notifyInjected()
	}
	if step != AfterReceive {
		err := c.engine.Order(ctx, o)
		if step == BeforeAnswer && fault == Freeze {
			c.injectFault(fault, delay)
			return err
		}
		if step == BeforeAnswer {
			return c.breakConnection(ctx, fault, delay)
		}
		return err
	}
	outcome := make(chan error, 1)
	c.pending.Go(func() { outcome <- c.engine.Order(context.Background(), o) })
	time.Sleep(receiveTime)
	if fault == Freeze {
		c.injectFault(fault, delay)
		return <-outcome
	}
	return c.breakConnection(ctx, fault, delay)
}

// awaitUnfrozen waits until a freeze has ended.
func (c *Connection) awaitUnfrozen() {
	c.mu.Lock()
	frozenUntil := c.frozenUntil
	c.mu.Unlock()
	time.Sleep(time.Until(frozenUntil))
}

// freeze blocks orders and state reads for d, and returns when d has passed.
func (c *Connection) freeze(d time.Duration) {
	c.mu.Lock()
	c.frozenUntil = time.Now().Add(d)
	c.mu.Unlock()
	c.awaitUnfrozen()
}

func (c *Connection) takeFault() (Step, Fault, time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	step, fault, delay := c.step, c.fault, c.delay
	c.step, c.fault = StepNone, 0
	return step, fault, delay, c.cut
}

func (c *Connection) deliverLate(o knapweedpulley.Order, delay time.Duration) {
	c.pending.Go(func() {
		time.Sleep(delay)
		_ = c.engine.Order(context.Background(), o)
	})
	c.notifyInjected()
}

func (c *Connection) breakConnection(ctx context.Context, m Fault, delay time.Duration) error {
	c.injectFault(m, delay)
	if m == Silence {
		<-ctx.Done()
	}
	return errConnectionBroken
}

func (c *Connection) injectFault(m Fault, delay time.Duration) {
	switch m {
	case Kill:
		c.Cut()
	case CrashEngine:
		c.engine.Crash()
	case Freeze:
		c.freeze(delay)
	}
	c.notifyInjected()
}
