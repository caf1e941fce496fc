package link

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/link/linkpb"
)

// connection is one open connection from an entry to an agent.
type connection struct {
	stream           grpc.BidiStreamingClient[linkpb.ToAgent, linkpb.ToEntry]
	cancel           context.CancelFunc
	agentIncarnation knapweedpulley.Incarnation
	// agentTime is the latest time on the agent's clock that the agent has sent.
	agentTime atomic.Int64
	// frameReceived is signaled when a frame of the agent arrives.
	frameReceived chan struct{}

	mu sync.Mutex
}

// openConnection opens a stream to an agent and waits for its welcome frame.
func openConnection(ctx context.Context, conn grpc.ClientConnInterface, self knapweedpulley.Member) (*connection, error) {
	ctx, cancel := context.WithCancel(ctx)
	stream, err := linkpb.NewAgentClient(conn).Connect(ctx)
	if err != nil {
		cancel()
		return nil, errors.Wrap(err, "open a stream to the agent")
	}
	c := &connection{stream: stream, cancel: cancel, frameReceived: make(chan struct{}, 1)}
	if err := c.handshake(self); err != nil {
		cancel()
		return nil, err
	}
	return c, nil
}

// handshake sends the hello frame and receives the welcome frame. It cancels the
// connection if this takes longer than SilenceTimeout.
func (c *connection) handshake(self knapweedpulley.Member) error {
	silence := time.AfterFunc(SilenceTimeout, c.cancel)
	defer silence.Stop()
	hello := &linkpb.Hello{Entry: string(self.Entry), Incarnation: uint64(self.Incarnation)}
	if err := c.send(&linkpb.ToAgent{Frame: &linkpb.ToAgent_Hello{Hello: hello}}); err != nil {
		return err
	}
	frame, err := c.stream.Recv()
	if err != nil {
		return errors.Wrap(err, "receive the welcome frame")
	}
	welcome := frame.GetWelcome()
	if welcome == nil {
		return errors.New("the first frame of the agent is not a welcome frame")
	}
	c.agentIncarnation = knapweedpulley.Incarnation(welcome.GetIncarnation())
	c.agentTime.Store(welcome.GetStampNs())
	return nil
}

func (c *connection) send(frame *linkpb.ToAgent) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return errors.Wrap(c.stream.Send(frame), "send a frame")
}

// sendBestEffort sends a frame and ignores an error: if the connection is lost, no
// frames arrive and the connection is replaced.
func (c *connection) sendBestEffort(frame *linkpb.ToAgent) {
	_ = c.send(frame)
}

// lastAgentTime returns the latest time on the agent's clock that the agent has sent.
func (c *connection) lastAgentTime() knapweedpulley.Instant {
	return knapweedpulley.Instant(c.agentTime.Load())
}

// receive passes the agent's frames to handle, except heartbeats, until the connection
// ends.
func (c *connection) receive(handle func(*linkpb.ToEntry)) {
	for {
		frame, err := c.stream.Recv()
		if err != nil {
			return
		}
		if heartbeat := frame.GetHeartbeat(); heartbeat != nil {
			c.agentTime.Store(heartbeat.GetStampNs())
		} else {
			handle(frame)
		}
		select {
		case c.frameReceived <- struct{}{}:
		default:
		}
	}
}

// sendHeartbeats sends heartbeats until the connection ends, ctx ends, or no frame of
// the agent has arrived for SilenceTimeout.
func (c *connection) sendHeartbeats(ctx context.Context, clock knapweedpulley.Clock, ended <-chan struct{}) {
	ticker := time.NewTicker(HeartbeatPeriod)
	defer ticker.Stop()
	silence := time.NewTimer(SilenceTimeout)
	defer silence.Stop()
	for {
		select {
		case <-ticker.C:
			heartbeat := &linkpb.Heartbeat{StampNs: int64(clock.Now())}
			go c.sendBestEffort(&linkpb.ToAgent{Frame: &linkpb.ToAgent_Heartbeat{Heartbeat: heartbeat}})
		case <-c.frameReceived:
			silence.Reset(SilenceTimeout)
		case <-silence.C:
			return
		case <-ended:
			return
		case <-ctx.Done():
			return
		}
	}
}
