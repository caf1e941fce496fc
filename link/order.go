package link

import (
	"context"
	"sync"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/link/linkpb"
)

// order is one order of an entry on the agent's side of a link. If it arrives
// again on a new connection, it is not run again; its outcome is sent on the new
// connection.
type order struct {
	id string

	mu         sync.Mutex
	session    *session
	done       *linkpb.OrderDone
	finishedAt knapweedpulley.Instant
}

// order runs an order, once for each id.
func (s *AgentServer) order(from *session, frame *linkpb.Order) {
	id := frame.GetId()
	s.mu.Lock()
	o, known := s.orders[id]
	if !known {
		o = &order{id: id}
		s.orders[id] = o
	}
	s.mu.Unlock()
	o.attach(from)
	if known {
		return
	}
	if err := s.checkStamp(frame.GetStampNs()); err != nil {
		o.finish(s.clock.Now(), err)
		return
	}
	decoded := decodeOrder(frame)
	s.running.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, decoded.Timeout)
		defer cancel()
		err := s.agent.Order(ctx, decoded)
		o.sendStatus()
		o.finish(s.clock.Now(), err)
	})
}

// sendStatus sends the agent's status, so that the entry receives the effect of the
// order before its outcome.
func (o *order) sendStatus() {
	o.mu.Lock()
	session := o.session
	o.mu.Unlock()
	session.sendStatus()
}

// attach sets the connection on which the outcome is sent, and sends the outcome if
// the order has finished.
func (o *order) attach(s *session) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.session = s
	if o.done != nil {
		s.send(&linkpb.ToEntry{Frame: &linkpb.ToEntry_OrderDone{OrderDone: o.done}})
	}
}

func (o *order) finish(now knapweedpulley.Instant, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.finishedAt = now
	o.done = &linkpb.OrderDone{Id: o.id, Refusal: encodeRefusal(err, knapweedpulley.CodeEngineFailed)}
	o.session.send(&linkpb.ToEntry{Frame: &linkpb.ToEntry_OrderDone{OrderDone: o.done}})
}

func (o *order) expired(now knapweedpulley.Instant) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.done != nil && now.Sub(o.finishedAt) > attemptRetention
}
