package link

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/link/linkpb"
)

// Endpoint is an entry's link to the agent of one endpoint. It keeps a
// connection open, replaces it when it ends or no frame has arrived for
// SilenceTimeout, and resumes the open calls on the new connection. It implements
// knapweedpulley.EndpointLink.
type Endpoint struct {
	address     string
	self        knapweedpulley.Member
	connections *Connections
	clock       knapweedpulley.Clock
	lease       knapweedpulley.Lease
	receiver    knapweedpulley.StatusReceiver
	log         log.Interface
	// table registers the link under its endpoint's id. It may be nil.
	table *Table

	current atomic.Pointer[connection]
	status  atomic.Pointer[knapweedpulley.EndpointStatus]

	mu     sync.Mutex
	calls  map[string]*call
	orders map[string]*pendingOrder
}

// EndpointSettings holds the address of an endpoint's agent and the dependencies of
// a link to it.
type EndpointSettings struct {
	Address     string
	Self        knapweedpulley.Member
	Connections *Connections
	Clock       knapweedpulley.Clock
	Lease       knapweedpulley.Lease
	Receiver    knapweedpulley.StatusReceiver
	Log         log.Interface
}

// NewEndpoint returns a link and starts a goroutine that keeps it connected. The
// clean-up closes the link.
func NewEndpoint(s EndpointSettings) (*Endpoint, knapweedpulley.Cleanup) {
	return newEndpoint(s, nil)
}

func newEndpoint(s EndpointSettings, table *Table) (*Endpoint, knapweedpulley.Cleanup) {
	e := &Endpoint{
		table:       table,
		address:     s.Address,
		self:        s.Self,
		connections: s.Connections,
		clock:       s.Clock,
		lease:       s.Lease,
		receiver:    s.Receiver,
		log:         s.Log.WithField("agent", s.Address),
		calls:       make(map[string]*call),
		orders:      make(map[string]*pendingOrder),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.maintainConnection(ctx)
	}()
	return e, func() {
		cancel()
		<-done
	}
}

// Status implements knapweedpulley.EndpointLink.
func (e *Endpoint) Status() (knapweedpulley.EndpointStatus, bool) {
	status := e.status.Load()
	if status == nil || e.current.Load() == nil {
		return knapweedpulley.EndpointStatus{}, false
	}
	return *status, true
}

// Run implements knapweedpulley.Backend.
func (e *Endpoint) Run(
	ctx context.Context, r knapweedpulley.Request, w knapweedpulley.AnswerWriter,
) (knapweedpulley.Usage, error) {
	c, err := e.open(&r)
	if err != nil {
		return knapweedpulley.Usage{}, err
	}
	defer e.removeCall(c)
	for {
		d, err := c.next(ctx)
		if err != nil {
			return e.cancelAndAwait(ctx, c)
		}
		if d.head != nil && !knapweedpulley.IsFinalStatus(int(d.head.GetStatus())) {
			e.cancel(c)
			return knapweedpulley.Usage{}, knapweedpulley.NewRefusal(knapweedpulley.CodeEngineFailed, knapweedpulley.MayHaveRun,
				"the agent passed on the undefined status %d", d.head.GetStatus())
		}
		if err := e.deliver(c, d, w); err != nil {
			e.cancel(c)
			return knapweedpulley.Usage{}, knapweedpulley.NewRefusal(
				knapweedpulley.CodeCanceled, knapweedpulley.MayHaveRun,
				"the answer could not be passed to the caller: %v", err)
		}
		if d.failure != nil {
			return knapweedpulley.Usage{}, d.failure
		}
		if d.done != nil {
			e.acknowledge(c, d.offset, true)
			return decodeUsage(d.done), decodeRefusal(d.done.GetRefusal())
		}
	}
}

// open sends a request. It reads the latest agent time, the stamp of the request,
// before it checks the lease. If the process is paused for long after the check, the
// stamp is older than MaxStampAge and the agent refuses the request.
func (e *Endpoint) open(r *knapweedpulley.Request) (*call, error) {
	conn := e.current.Load()
	if conn == nil {
		return nil, knapweedpulley.NewRefusal(knapweedpulley.CodeLinkLost, knapweedpulley.NotRun,
			"there is no link to %s", e.address)
	}
	agentTime := conn.lastAgentTime()
	if !e.lease.Valid() {
		return nil, knapweedpulley.NewRefusal(knapweedpulley.CodeNotReady, knapweedpulley.NotRun,
			"the lease of this entry has expired")
	}
	c := newCall(fmt.Sprintf("%s/%d/%s/%d", e.self.Entry, e.self.Incarnation, r.ID, r.Attempt), conn.agentIncarnation)
	e.mu.Lock()
	e.calls[c.attempt] = c
	e.mu.Unlock()
	// If the send fails, the agent may still have received the request. Resuming the
	// call finds out.
	conn.sendBestEffort(&linkpb.ToAgent{Frame: &linkpb.ToAgent_Run{Run: encodeRun(c.attempt, agentTime, r)}})
	e.resumeIfReplaced(conn, c)
	return c, nil
}

// resumeIfReplaced resumes a call if its connection conn was replaced while the call
// was opened.
func (e *Endpoint) resumeIfReplaced(conn *connection, c *call) {
	if replacement := e.current.Load(); replacement != nil && replacement != conn {
		e.resumeCall(replacement, c)
	}
}

// deliver writes a delivery to w and acknowledges the received bytes when that is due.
func (e *Endpoint) deliver(c *call, d delivery, w knapweedpulley.AnswerWriter) error {
	if d.head != nil {
		head := knapweedpulley.AnswerHead{Status: int(d.head.GetStatus()), Header: decodeHeader(d.head.GetHeader())}
		if err := w.WriteHead(head); err != nil {
			return err
		}
	}
	if len(d.data) == 0 {
		return nil
	}
	if _, err := w.Write(d.data); err != nil {
		return err
	}
	if c.acknowledgmentDue(d.offset) {
		e.acknowledge(c, d.offset, false)
	}
	return nil
}

// cancelAndAwait cancels a call whose context has ended and waits up to cancelTimeout
// for the agent's verdict.
func (e *Endpoint) cancelAndAwait(ctx context.Context, c *call) (knapweedpulley.Usage, error) {
	e.cancel(c)
	verdictCtx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer stop()
	for {
		d, err := c.next(verdictCtx)
		if err != nil {
			return knapweedpulley.Usage{}, unfinishedRefusal(ctx)
		}
		if d.failure != nil {
			return knapweedpulley.Usage{}, d.failure
		}
		if d.done == nil {
			continue
		}
		if refusal := decodeRefusal(d.done.GetRefusal()); refusal != nil {
			return decodeUsage(d.done), refusal
		}
		return decodeUsage(d.done), unfinishedRefusal(ctx)
	}
}

func unfinishedRefusal(ctx context.Context) *knapweedpulley.Refusal {
	code := knapweedpulley.CodeCanceled
	if ctx.Err() == context.DeadlineExceeded { //nolint:errorlint // ctx.Err returns it unwrapped.
		code = knapweedpulley.CodeDeadlineExceeded
	}
	return knapweedpulley.NewRefusal(code, knapweedpulley.MayHaveRun, "the request ended before its answer was complete")
}

func (e *Endpoint) cancel(c *call) {
	if conn := e.current.Load(); conn != nil {
		frame := &linkpb.Cancel{Attempt: c.attempt}
		conn.sendBestEffort(&linkpb.ToAgent{Frame: &linkpb.ToAgent_Cancel{Cancel: frame}})
	}
}

func (e *Endpoint) acknowledge(c *call, offset int64, done bool) {
	if conn := e.current.Load(); conn != nil {
		frame := &linkpb.Acknowledge{Attempt: c.attempt, Offset: offset, Done: done}
		conn.sendBestEffort(&linkpb.ToAgent{Frame: &linkpb.ToAgent_Acknowledge{Acknowledge: frame}})
	}
}

func (e *Endpoint) removeCall(c *call) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.calls, c.attempt)
}

// Order implements knapweedpulley.EndpointLink.
func (e *Endpoint) Order(ctx context.Context, o knapweedpulley.Order) error {
	conn := e.current.Load()
	if conn == nil {
		return knapweedpulley.NewRefusal(knapweedpulley.CodeLinkLost, knapweedpulley.NotRun,
			"there is no link to %s", e.address)
	}
	agentTime := conn.lastAgentTime()
	if !e.lease.Valid() {
		return knapweedpulley.NewRefusal(knapweedpulley.CodeNotReady, knapweedpulley.NotRun,
			"the lease of this entry has expired")
	}
	if deadline, ok := ctx.Deadline(); ok && o.Timeout == 0 {
		o.Timeout = time.Until(deadline)
	}
	p := &pendingOrder{
		frame:            encodeOrder(uuid.NewString(), agentTime, o),
		agentIncarnation: conn.agentIncarnation,
		outcome:          make(chan error, 1),
	}
	e.mu.Lock()
	e.orders[p.frame.GetId()] = p
	e.mu.Unlock()
	defer e.removeOrder(p)
	conn.sendBestEffort(&linkpb.ToAgent{Frame: &linkpb.ToAgent_Order{Order: p.frame}})
	select {
	case err := <-p.outcome:
		return err
	case <-ctx.Done():
		return knapweedpulley.NewRefusal(knapweedpulley.CodeDeadlineExceeded, knapweedpulley.MayHaveRun,
			"the order was canceled or timed out before its outcome was known")
	}
}

func (e *Endpoint) removeOrder(p *pendingOrder) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.orders, p.frame.GetId())
}
