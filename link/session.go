package link

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/link/linkpb"
)

// statusResendHeartbeats is the number of heartbeats after which an unchanged status
// is sent again.
const statusResendHeartbeats = 20

// session is one open connection from an entry, on the agent's side.
type session struct {
	stream grpc.BidiStreamingServer[linkpb.ToAgent, linkpb.ToEntry]
	server *AgentServer
	// frameReceived is signaled when a frame of the entry arrives.
	frameReceived chan struct{}

	closed     atomic.Bool
	mu         sync.Mutex
	lastStatus *linkpb.Status
	// statusChecks counts the calls of sendStatus since a status was last sent.
	statusChecks int
}

func newSession(stream grpc.BidiStreamingServer[linkpb.ToAgent, linkpb.ToEntry], server *AgentServer) *session {
	return &session{stream: stream, server: server, frameReceived: make(chan struct{}, 1)}
}

// send writes one frame. It ignores an error of the stream, because the stream's
// Recv fails as well then, which ends the session.
func (s *session) send(frame *linkpb.ToEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed.Load() {
		_ = s.stream.Send(frame)
	}
}

// close prevents further sends. It is called before the handler of the stream
// returns. A send that is blocked returns once the handler has returned.
func (s *session) close() {
	s.closed.Store(true)
}

// receive passes the frames of the entry to the server until the connection ends.
func (s *session) receive() {
	for {
		frame, err := s.stream.Recv()
		if err != nil {
			return
		}
		s.server.handle(s, frame)
		select {
		case s.frameReceived <- struct{}{}:
		default:
		}
	}
}

// sendHeartbeats sends heartbeats, and the status if it is due, until the stream ends.
func (s *session) sendHeartbeats() {
	ticker := time.NewTicker(HeartbeatPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.sendStatus()
			s.sendHeartbeat()
		case <-s.stream.Context().Done():
			return
		}
	}
}

// awaitEnd returns when the connection ends, ctx ends, or no frame of the entry has
// arrived for SilenceTimeout. It sends nothing itself, because a send on a silent
// connection blocks.
func (s *session) awaitEnd(ctx context.Context, ended <-chan struct{}) {
	silence := time.NewTimer(SilenceTimeout)
	defer silence.Stop()
	for {
		select {
		case <-s.frameReceived:
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

func (s *session) sendHeartbeat() {
	heartbeat := &linkpb.Heartbeat{StampNs: int64(s.server.clock.Now())}
	s.send(&linkpb.ToEntry{Frame: &linkpb.ToEntry_Heartbeat{Heartbeat: heartbeat}})
}

// sendStatus sends the agent's status if it has changed, and at least on every
// statusResendHeartbeats-th call.
func (s *session) sendStatus() {
	status := encodeStatus(s.server.agent.Status())
	s.mu.Lock()
	s.statusChecks++
	due := s.statusChecks >= statusResendHeartbeats || !proto.Equal(status, s.lastStatus)
	if due {
		s.statusChecks = 0
		s.lastStatus = status
	}
	s.mu.Unlock()
	if due {
		s.send(&linkpb.ToEntry{Frame: &linkpb.ToEntry_Status{Status: status}})
	}
}

func (s *session) sendWelcome(endpoint knapweedpulley.EndpointID, incarnation knapweedpulley.Incarnation) {
	welcome := &linkpb.Welcome{
		Endpoint:    string(endpoint),
		Incarnation: uint64(incarnation),
		StampNs:     int64(s.server.clock.Now()),
	}
	s.send(&linkpb.ToEntry{Frame: &linkpb.ToEntry_Welcome{Welcome: welcome}})
}
