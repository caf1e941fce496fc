package link

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	grpcstatus "google.golang.org/grpc/status"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/link/linkpb"
)

// sweepPeriod is the time between two removals of expired attempts and orders.
const sweepPeriod = time.Second

// deliveryPollPeriod is the time between two checks for answers that have not been
// delivered completely.
const deliveryPollPeriod = 50 * time.Millisecond

// AgentServer serves an agent to the entries. It runs each attempt at most
// once, regardless of the connection on which it arrives, and buffers the answers
// until the entries acknowledge them.
type AgentServer struct {
	linkpb.UnimplementedAgentServer

	agent       knapweedpulley.EndpointAgent
	clock       knapweedpulley.Clock
	incarnation knapweedpulley.Incarnation
	ctx         context.Context // It is canceled when the server is closed.
	running     sync.WaitGroup

	mu       sync.Mutex
	attempts map[string]*attempt
	orders   map[string]*order
}

// NewAgentServer returns a server for agent. The clean-up cancels all attempts
// and orders and waits until they have ended.
func NewAgentServer(
	agent knapweedpulley.EndpointAgent, incarnation knapweedpulley.Incarnation, clock knapweedpulley.Clock,
) (*AgentServer, knapweedpulley.Cleanup) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &AgentServer{
		agent:       agent,
		clock:       clock,
		incarnation: incarnation,
		ctx:         ctx,
		attempts:    make(map[string]*attempt),
		orders:      make(map[string]*order),
	}
	s.running.Go(s.sweep)
	return s, func() {
		cancel()
		s.running.Wait()
	}
}

// Register adds the service to a gRPC server.
func (s *AgentServer) Register(r grpc.ServiceRegistrar) {
	linkpb.RegisterAgentServer(r, s)
}

// Connect implements linkpb.AgentServer.
func (s *AgentServer) Connect(stream grpc.BidiStreamingServer[linkpb.ToAgent, linkpb.ToEntry]) error {
	frame, err := stream.Recv()
	if err != nil {
		return errors.Wrap(err, "receive the first frame")
	}
	if frame.GetHello() == nil {
		return grpcstatus.Error(codes.InvalidArgument, "the first frame must be a hello")
	}
	session := newSession(stream, s)
	session.sendWelcome(s.agent.Status().Endpoint, s.incarnation)
	session.sendStatus()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		session.receive()
	}()
	go session.sendHeartbeats()
	session.awaitEnd(s.ctx, ended)
	session.close()
	// A send that blocks on a silent connection holds the lock of its attempt until
	// this handler has returned, so detaching the attempts must not delay the return.
	s.running.Go(func() { s.detach(session) })
	return nil
}

// AwaitDelivery waits until the connected entries have acknowledged the ends of all
// answers, or until ctx ends. An answer that is still buffered when the process
// exits is truncated.
func (s *AgentServer) AwaitDelivery(ctx context.Context) {
	ticker := time.NewTicker(deliveryPollPeriod)
	defer ticker.Stop()
	for !s.allDelivered() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (s *AgentServer) allDelivered() bool {
	for _, a := range s.attemptList() {
		if a.undelivered() {
			return false
		}
	}
	return true
}

// handle processes one frame from an entry.
func (s *AgentServer) handle(from *session, frame *linkpb.ToAgent) {
	switch f := frame.GetFrame().(type) {
	case *linkpb.ToAgent_Run:
		s.run(from, f.Run)
	case *linkpb.ToAgent_Resume:
		s.resume(from, f.Resume)
	case *linkpb.ToAgent_Cancel:
		s.cancel(f.Cancel.GetAttempt())
	case *linkpb.ToAgent_Acknowledge:
		s.acknowledge(f.Acknowledge)
	case *linkpb.ToAgent_Order:
		s.order(from, f.Order)
	}
}

// run starts an attempt unless it is already recorded: a frame can arrive late,
// after the entry has resumed the attempt on another connection.
func (s *AgentServer) run(from *session, run *linkpb.Run) {
	id := run.GetAttempt()
	s.mu.Lock()
	if _, known := s.attempts[id]; known {
		s.mu.Unlock()
		return
	}
	a := newAttempt(s.ctx, id, from)
	s.attempts[id] = a
	s.mu.Unlock()

	if err := s.checkStamp(run.GetStampNs()); err != nil {
		a.finish(s.clock.Now(), knapweedpulley.Usage{}, err)
		return
	}
	request := decodeRun(run)
	a.outlivesLink = request.Kind == knapweedpulley.KindService && !request.Idempotent
	s.running.Go(func() { s.runAttempt(a, request) })
}

func (s *AgentServer) runAttempt(a *attempt, request knapweedpulley.Request) {
	ctx, cancel := context.WithTimeout(a.ctx, request.Timeout)
	defer cancel()
	usage, err := s.agent.Run(ctx, request, a)
	if knapweedpulley.RefusalOf(nonNilError(err), "").Code == knapweedpulley.CodeEngineFailed {
		s.sendCrashStatus(a)
	}
	a.finish(s.clock.Now(), usage, err)
}

// sendCrashStatus sends the agent's status, which contains the crash report, before
// the end of the attempt, so that the entry knows the suspects when it decides
// whether to retry.
func (s *AgentServer) sendCrashStatus(a *attempt) {
	a.mu.Lock()
	session := a.session
	a.mu.Unlock()
	if session != nil {
		session.sendStatus()
	}
}

// checkStamp refuses a request or order whose stamp, the latest agent time known to
// the entry, is older than MaxStampAge. The entry reads the stamp before it checks its
// lease, so the lease may have expired before such a request or order was sent.
func (s *AgentServer) checkStamp(agentTime int64) error {
	age := s.clock.Now().Sub(knapweedpulley.Instant(agentTime))
	if age <= MaxStampAge {
		return nil
	}
	return knapweedpulley.NewRefusal(knapweedpulley.CodeStale, knapweedpulley.NotRun,
		"the latest agent time known to the entry is %s old, which exceeds the age allowed", age.Round(time.Millisecond))
}

// resume continues a recorded attempt on the connection from. It records an unknown
// attempt as refused, so that the attempt can't start if its run frame arrives later.
func (s *AgentServer) resume(from *session, resume *linkpb.Resume) {
	id := resume.GetAttempt()
	s.mu.Lock()
	a, known := s.attempts[id]
	if !known {
		a = newAttempt(s.ctx, id, from)
		s.attempts[id] = a
	}
	s.mu.Unlock()
	if known {
		a.resume(from, resume.GetOffset(), resume.GetHeadReceived())
		return
	}
	a.finish(s.clock.Now(), knapweedpulley.Usage{}, knapweedpulley.NewRefusal(
		knapweedpulley.CodeLinkLost, knapweedpulley.NotRun, "the agent has not received the request"))
}

func (s *AgentServer) cancel(id string) {
	s.mu.Lock()
	a, known := s.attempts[id]
	s.mu.Unlock()
	if known {
		a.cancel()
	}
}

func (s *AgentServer) acknowledge(acknowledge *linkpb.Acknowledge) {
	id := acknowledge.GetAttempt()
	s.mu.Lock()
	a, known := s.attempts[id]
	s.mu.Unlock()
	if !known {
		return
	}
	a.acknowledge(acknowledge.GetOffset(), acknowledge.GetDone())
}

func (s *AgentServer) detach(from *session) {
	now := s.clock.Now()
	for _, a := range s.attemptList() {
		a.detach(from, now)
	}
}

// attemptList returns a copy of the list of attempts. A slow connection can block
// an attempt while the attempt is locked, so callers must not lock an attempt while
// they hold s.mu.
func (s *AgentServer) attemptList() []*attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*attempt, 0, len(s.attempts))
	for _, a := range s.attempts {
		list = append(list, a)
	}
	return list
}

// sweep removes finished attempts and orders periodically, after attemptRetention.
func (s *AgentServer) sweep() {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
			s.removeExpired(s.clock.Now())
		}
	}
}

func (s *AgentServer) removeExpired(now knapweedpulley.Instant) {
	for _, a := range s.attemptList() {
		if a.expired(now) {
			s.mu.Lock()
			delete(s.attempts, a.id)
			s.mu.Unlock()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, o := range s.orders {
		if o.expired(now) {
			delete(s.orders, id)
		}
	}
}

// nonNilError returns an empty refusal for a nil error, and err otherwise.
func nonNilError(err error) error {
	if err == nil {
		return &knapweedpulley.Refusal{}
	}
	return err
}
