package link

import (
	"context"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/link/linkpb"
)

// pendingOrder is an order whose outcome the entry is waiting for.
type pendingOrder struct {
	frame            *linkpb.Order
	agentIncarnation knapweedpulley.Incarnation
	outcome          chan error
}

// complete sets the outcome of the order. A second outcome is discarded.
func (p *pendingOrder) complete(err error) {
	select {
	case p.outcome <- err:
	default:
	}
}

// maintainConnection keeps a connection to the agent open until ctx ends. It fails
// the open calls and orders when there has been no connection for resumeTimeout.
func (e *Endpoint) maintainConnection(ctx context.Context) {
	lostAt := e.clock.Now()
	for ctx.Err() == nil {
		if e.connect(ctx) {
			lostAt = e.clock.Now()
		}
		if e.clock.Now().Sub(lostAt) > resumeTimeout {
			e.failOtherIncarnations(0)
		}
		e.waitReconnectDelay(ctx)
	}
	e.failOtherIncarnations(0)
}

func (e *Endpoint) waitReconnectDelay(ctx context.Context) {
	timer := time.NewTimer(reconnectDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// connect opens a connection and serves it until it is lost. It reports
// whether the connection was opened.
func (e *Endpoint) connect(ctx context.Context) bool {
	grpcConn, err := e.connections.To(e.address)
	if err != nil {
		e.log.WithError(err).Error("could not create a connection to the agent; trying again")
		return false
	}
	conn, err := openConnection(ctx, grpcConn, e.self)
	if err != nil {
		e.log.WithError(err).Debug("could not connect to the agent; trying again")
		e.connections.Discard(e.address)
		return false
	}
	e.serve(ctx, conn)
	return true
}

// serve resumes the open calls and orders on a connection and handles its frames
// until the connection is lost.
func (e *Endpoint) serve(ctx context.Context, conn *connection) {
	e.current.Store(conn)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		conn.receive(func(frame *linkpb.ToEntry) { e.handle(conn, frame) })
	}()
	e.resumeAll(conn)
	conn.sendHeartbeats(ctx, e.clock, ended)
	e.current.Store(nil)
	conn.cancel()
	<-ended
	e.connections.Discard(e.address)
	if status := e.status.Load(); status != nil {
		e.receiver.Remove(status.Endpoint)
	}
	e.log.Warn("link to the agent lost; its endpoint is not used until the link is restored")
}

// resumeAll resumes the open calls and orders on a new connection, and fails
// those that were sent to an earlier incarnation of the agent.
func (e *Endpoint) resumeAll(conn *connection) {
	e.failOtherIncarnations(conn.agentIncarnation)
	e.mu.Lock()
	calls := make([]*call, 0, len(e.calls))
	for _, c := range e.calls {
		calls = append(calls, c)
	}
	orders := make([]*pendingOrder, 0, len(e.orders))
	for _, p := range e.orders {
		orders = append(orders, p)
	}
	e.mu.Unlock()
	for _, c := range calls {
		e.resumeCall(conn, c)
	}
	for _, p := range orders {
		conn.sendBestEffort(&linkpb.ToAgent{Frame: &linkpb.ToAgent_Order{Order: p.frame}})
	}
}

func (e *Endpoint) resumeCall(conn *connection, c *call) {
	if c.incarnation() != conn.agentIncarnation {
		c.fail(linkLostRefusal())
		return
	}
	conn.sendBestEffort(&linkpb.ToAgent{Frame: &linkpb.ToAgent_Resume{Resume: c.resumeFrame()}})
}

// failOtherIncarnations fails the calls and orders that were not sent to the given
// incarnation of the agent, as their outcome can no longer be determined. An
// incarnation of 0 fails all of them.
func (e *Endpoint) failOtherIncarnations(agentIncarnation knapweedpulley.Incarnation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.calls {
		if c.incarnation() != agentIncarnation {
			c.fail(linkLostRefusal())
		}
	}
	for _, p := range e.orders {
		if p.agentIncarnation != agentIncarnation {
			p.complete(linkLostRefusal())
		}
	}
}

func linkLostRefusal() *knapweedpulley.Refusal {
	return knapweedpulley.NewRefusal(knapweedpulley.CodeLinkLost, knapweedpulley.MayHaveRun,
		"the link to the agent was lost before the outcome was known")
}

// handle processes one frame from the agent.
func (e *Endpoint) handle(conn *connection, frame *linkpb.ToEntry) {
	switch f := frame.GetFrame().(type) {
	case *linkpb.ToEntry_Head:
		if c := e.call(f.Head.GetAttempt()); c != nil {
			c.putHead(f.Head)
		}
	case *linkpb.ToEntry_Chunk:
		if c := e.call(f.Chunk.GetAttempt()); c != nil && !c.putChunk(f.Chunk) {
			e.resumeCall(conn, c)
		}
	case *linkpb.ToEntry_Done:
		if c := e.call(f.Done.GetAttempt()); c != nil {
			c.putDone(f.Done)
			return
		}
		// The call was removed here, so the agent need not keep the end of its answer.
		frame := &linkpb.Acknowledge{Attempt: f.Done.GetAttempt(), Done: true}
		conn.sendBestEffort(&linkpb.ToAgent{Frame: &linkpb.ToAgent_Acknowledge{Acknowledge: frame}})
	case *linkpb.ToEntry_OrderDone:
		e.completeOrder(f.OrderDone)
	case *linkpb.ToEntry_Status:
		status := decodeStatus(f.Status)
		e.status.Store(&status)
		if e.table != nil {
			e.table.register(e, status.Endpoint)
		}
		e.receiver.Update(status)
	}
}

func (e *Endpoint) call(attempt string) *call {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls[attempt]
}

func (e *Endpoint) completeOrder(done *linkpb.OrderDone) {
	e.mu.Lock()
	p := e.orders[done.GetId()]
	e.mu.Unlock()
	if p != nil {
		p.complete(decodeRefusal(done.GetRefusal()))
	}
}
