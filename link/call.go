package link

import (
	"context"
	"sync"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/link/linkpb"
)

// call is one attempt on the entry's side of a link. The connection's receiver
// adds frames, and the goroutine that runs the request takes them. The agent's
// answer window bounds the bytes that are pending.
type call struct {
	attempt string
	updated chan struct{}

	mu sync.Mutex
	// agentIncarnation is the incarnation of the agent that the request was sent to.
	agentIncarnation knapweedpulley.Incarnation
	head             *linkpb.Head
	headDelivered    bool
	pending          []byte
	received         int64
	acknowledged     int64
	done             *linkpb.Done
	failure          *knapweedpulley.Refusal
}

func newCall(attempt string, agentIncarnation knapweedpulley.Incarnation) *call {
	return &call{attempt: attempt, agentIncarnation: agentIncarnation, updated: make(chan struct{}, 1)}
}

// delivery is the part of an answer that a call returns at once: the head, if it
// has not been returned before, the pending bytes, and the end or the failure.
type delivery struct {
	head    *linkpb.Head
	data    []byte
	offset  int64
	done    *linkpb.Done
	failure *knapweedpulley.Refusal
}

// ended reports whether the delivery is the last one.
func (d delivery) ended() bool {
	return d.done != nil || d.failure != nil
}

// next waits for the next delivery. Its error is that of ctx.
func (c *call) next(ctx context.Context) (delivery, error) {
	for {
		if d, ok := c.tryNext(); ok {
			return d, nil
		}
		select {
		case <-c.updated:
		case <-ctx.Done():
			return delivery{}, ctx.Err()
		}
	}
}

func (c *call) tryNext() (delivery, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := delivery{data: c.pending, offset: c.received, failure: c.failure}
	c.pending = nil
	if !c.headDelivered && c.head != nil {
		c.headDelivered = true
		d.head = c.head
	}
	if c.done != nil && c.done.GetLength() <= c.received {
		d.done = c.done
	}
	return d, d.head != nil || len(d.data) > 0 || d.ended()
}

func (c *call) putHead(h *linkpb.Head) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = h
	c.signal()
}

// putChunk appends the bytes that follow those received. It skips bytes that were
// received before, because a resumed answer can overlap. It returns false if bytes
// are missing before the chunk.
func (c *call) putChunk(chunk *linkpb.Chunk) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	skip := c.received - chunk.GetOffset()
	if skip < 0 {
		return false
	}
	data := chunk.GetData()
	if skip >= int64(len(data)) {
		return true
	}
	c.pending = append(c.pending, data[skip:]...)
	c.received += int64(len(data)) - skip
	c.signal()
	return true
}

func (c *call) putDone(d *linkpb.Done) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.done = d
	c.signal()
}

// fail ends the call with a refusal that doesn't come from the agent.
func (c *call) fail(r *knapweedpulley.Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure == nil {
		c.failure = r
	}
	c.signal()
}

// resumeFrame returns the frame that resumes the call on a new connection.
func (c *call) resumeFrame() *linkpb.Resume {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &linkpb.Resume{Attempt: c.attempt, Offset: c.received, HeadReceived: c.head != nil}
}

// acknowledgmentDue reports whether at least acknowledgeThreshold bytes were
// delivered since the last acknowledgment, and if so counts them as acknowledged.
func (c *call) acknowledgmentDue(delivered int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if delivered-c.acknowledged < acknowledgeThreshold {
		return false
	}
	c.acknowledged = delivered
	return true
}

func (c *call) incarnation() knapweedpulley.Incarnation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.agentIncarnation
}

// signal wakes the goroutine that runs the request. The caller holds c.mu.
func (c *call) signal() {
	select {
	case c.updated <- struct{}{}:
	default:
	}
}
