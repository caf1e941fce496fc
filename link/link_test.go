package link_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"google.golang.org/grpc"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/link"
	"github.com/knapweedpulley/knapweedpulley/machine"
)

// answerSize is the size of an answer in bytes, several times the answer window of a
// link.
const answerSize = 5 << 20

// fakeAgent is an agent that counts the runs of each request and of orders. It writes
// the second half of an answer once hold is closed.
type fakeAgent struct {
	mu      sync.Mutex
	runs    map[knapweedpulley.RequestID]int
	orders  atomic.Int64
	hold    chan struct{}
	started chan struct{}
	// status is the status of answers. Only those with status 200 have a body.
	status int
}

func newFakeAgent() *fakeAgent {
	return &fakeAgent{
		runs:    make(map[knapweedpulley.RequestID]int),
		hold:    make(chan struct{}),
		started: make(chan struct{}, 16),
		status:  200,
	}
}

func (a *fakeAgent) Run(
	ctx context.Context, r knapweedpulley.Request, w knapweedpulley.AnswerWriter,
) (knapweedpulley.Usage, error) {
	a.mu.Lock()
	a.runs[r.ID]++
	a.mu.Unlock()
	if err := w.WriteHead(knapweedpulley.AnswerHead{Status: a.status}); err != nil {
		return knapweedpulley.Usage{}, err
	}
	if a.status != 200 {
		return knapweedpulley.Usage{}, nil
	}
	answer := answerTo(r)
	half := len(answer) / 2
	if _, err := w.Write(answer[:half]); err != nil {
		return knapweedpulley.Usage{}, err
	}
	a.started <- struct{}{}
	select {
	case <-a.hold:
	case <-ctx.Done():
		return knapweedpulley.Usage{}, knapweedpulley.NewRefusal(
			knapweedpulley.CodeCanceled, knapweedpulley.MayHaveRun, "canceled")
	}
	_, err := w.Write(answer[half:])
	return knapweedpulley.Usage{Prompt: 1, Completion: 2}, err
}

func (a *fakeAgent) Order(context.Context, knapweedpulley.Order) error {
	a.orders.Add(1)
	return nil
}

func (a *fakeAgent) Status() knapweedpulley.EndpointStatus {
	return knapweedpulley.EndpointStatus{Endpoint: "endpoint-1"}
}

func (a *fakeAgent) runsOf(id knapweedpulley.RequestID) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.runs[id]
}

func answerTo(r knapweedpulley.Request) []byte {
	return bytes.Repeat([]byte(r.ID+" "), answerSize/(len(r.ID)+1))
}

// faultyProxy is a TCP proxy between an entry and an agent that can close its
// connections or discard their data.
type faultyProxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	silent   *atomic.Bool
	conns    []net.Conn
}

func newFaultyProxy(t *testing.T, target string) *faultyProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	p := &faultyProxy{listener: l, target: target, silent: &atomic.Bool{}}
	go p.accept()
	t.Cleanup(func() {
		_ = l.Close()
		p.cut()
	})
	return p
}

func (p *faultyProxy) address() string {
	return p.listener.Addr().String()
}

func (p *faultyProxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		p.mu.Lock()
		silent := p.silent
		p.conns = append(p.conns, client, server)
		p.mu.Unlock()
		go copyUntilSilent(client, server, silent)
		go copyUntilSilent(server, client, silent)
	}
}

// copyUntilSilent copies bytes, and discards them once silent is set.
func copyUntilSilent(to io.Writer, from io.Reader, silent *atomic.Bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if silent.Load() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// cut closes the open connections. New connections work.
func (p *faultyProxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		_ = conn.Close()
	}
	p.conns = nil
}

// silence makes the open connections discard all data. New connections work.
func (p *faultyProxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent.Store(true)
	p.silent = &atomic.Bool{}
}

// statusReceiver signals when a status of the agent arrives.
type statusReceiver struct {
	updated chan struct{}
}

func (r *statusReceiver) Update(knapweedpulley.EndpointStatus) {
	select {
	case r.updated <- struct{}{}:
	default:
	}
}

func (*statusReceiver) Remove(knapweedpulley.EndpointID) {}

// revocableLease is a lease that is valid until it is revoked.
type revocableLease struct {
	revoked atomic.Bool
}

func (l *revocableLease) Valid() bool {
	return !l.revoked.Load()
}

// recordedAnswer records the answer that the caller receives.
type recordedAnswer struct {
	heads int
	body  bytes.Buffer
}

func (a *recordedAnswer) WriteHead(knapweedpulley.AnswerHead) error {
	a.heads++
	return nil
}

func (a *recordedAnswer) Write(p []byte) (int, error) {
	return a.body.Write(p)
}

// linkFixture is an entry's link to an agent through a faulty proxy.
type linkFixture struct {
	agent    *fakeAgent
	proxy    *faultyProxy
	lease    *revocableLease
	clock    *shiftedClock
	endpoint *link.Endpoint
}

// shiftedClock is the boot-time clock, set forward by shift to simulate a pause of the
// entry.
type shiftedClock struct {
	machine.BootClock
	shift atomic.Int64
}

func (s *shiftedClock) Now() knapweedpulley.Instant {
	return s.BootClock.Now() + knapweedpulley.Instant(s.shift.Load())
}

func newLinkFixture(t *testing.T) *linkFixture {
	t.Helper()
	is := is.New(t)
	f := &linkFixture{agent: newFakeAgent(), lease: &revocableLease{}, clock: &shiftedClock{}}
	agent, endAgent := link.NewAgentServer(f.agent, 1, f.clock)
	t.Cleanup(endAgent)
	server, endServer, err := link.NewServer("127.0.0.1:0", nil, func(r grpc.ServiceRegistrar) { agent.Register(r) })
	is.NoErr(err)
	t.Cleanup(endServer)
	f.proxy = newFaultyProxy(t, server.Address())
	connections, endConnections := link.NewConnections(nil)
	t.Cleanup(endConnections)
	r := &statusReceiver{updated: make(chan struct{}, 1)}
	endpoint, endLink := link.NewEndpoint(link.EndpointSettings{
		Address:     f.proxy.address(),
		Self:        knapweedpulley.Member{Entry: "entry-1", Incarnation: 1},
		Connections: connections,
		Clock:       machine.NewClock(),
		Lease:       f.lease,
		Receiver:    r,
		Log:         &log.Logger{Handler: discard.New()},
	})
	t.Cleanup(endLink)
	<-r.updated
	f.endpoint = endpoint
	return f
}

// run runs a request, and calls interrupt after the agent has written half of the
// answer.
func (f *linkFixture) run(t *testing.T, id knapweedpulley.RequestID, interrupt func()) (*recordedAnswer, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	r := knapweedpulley.Request{ID: id, Attempt: 1, Timeout: 30 * time.Second}
	c := &recordedAnswer{}
	outcome := make(chan error, 1)
	go func() {
		_, err := f.endpoint.Run(ctx, r, c)
		outcome <- err
	}()
	<-f.agent.started
	interrupt()
	close(f.agent.hold)
	return c, <-outcome
}

func assertCompleteAnswer(t *testing.T, f *linkFixture, id knapweedpulley.RequestID, c *recordedAnswer, err error) {
	t.Helper()
	is := is.New(t)
	is.NoErr(err)
	is.Equal(c.heads, 1)
	is.True(bytes.Equal(c.body.Bytes(), answerTo(knapweedpulley.Request{ID: id})))
	is.Equal(f.agent.runsOf(id), 1)
}

func assertRefusal(t *testing.T, err error, code knapweedpulley.Code, verdict knapweedpulley.Verdict) {
	t.Helper()
	is := is.New(t)
	is.True(err != nil)
	is.Equal(knapweedpulley.RefusalOf(err, "").Code, code)
	is.Equal(knapweedpulley.VerdictOf(err), verdict)
}

func TestRun(t *testing.T) {
	t.Run("an answer arrives complete", func(t *testing.T) {
		p := newLinkFixture(t)
		c, err := p.run(t, "request-1", func() {})
		assertCompleteAnswer(t, p, "request-1", c, err)
	})
	t.Run("an answer arrives complete after its connection is closed", func(t *testing.T) {
		p := newLinkFixture(t)
		c, err := p.run(t, "request-1", p.proxy.cut)
		assertCompleteAnswer(t, p, "request-1", c, err)
	})
	t.Run("an answer arrives complete after its connection stops delivering data", func(t *testing.T) {
		p := newLinkFixture(t)
		c, err := p.run(t, "request-1", p.proxy.silence)
		assertCompleteAnswer(t, p, "request-1", c, err)
	})
	t.Run("an answer with an undefined status doesn't reach the caller", func(t *testing.T) {
		p := newLinkFixture(t)
		p.agent.status = 0
		c := &recordedAnswer{}
		_, err := p.endpoint.Run(t.Context(), knapweedpulley.Request{ID: "request-1", Timeout: time.Minute}, c)
		assertRefusal(t, err, knapweedpulley.CodeEngineFailed, knapweedpulley.MayHaveRun)
		is.New(t).Equal(c.heads, 0)
	})
	t.Run("without a valid lease a request is refused and not sent", func(t *testing.T) {
		p := newLinkFixture(t)
		p.lease.revoked.Store(true)
		_, err := p.endpoint.Run(t.Context(), knapweedpulley.Request{ID: "request-1"}, &recordedAnswer{})
		assertRefusal(t, err, knapweedpulley.CodeNotReady, knapweedpulley.NotRun)
		is.New(t).Equal(p.agent.runsOf("request-1"), 0)
	})
	t.Run("a request that is sent long after the lease check is refused by the agent", func(t *testing.T) {
		p := newLinkFixture(t)
		// The agent's clock has advanced while the entry was paused.
		p.clock.shift.Store(int64(2 * link.MaxStampAge))
		_, err := p.endpoint.Run(t.Context(),
			knapweedpulley.Request{ID: "request-1", Timeout: time.Minute}, &recordedAnswer{})
		assertRefusal(t, err, knapweedpulley.CodeStale, knapweedpulley.NotRun)
		is.New(t).Equal(p.agent.runsOf("request-1"), 0)
	})
}

func TestOrder(t *testing.T) {
	t.Run("an order is run once", func(t *testing.T) {
		is := is.New(t)
		p := newLinkFixture(t)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		is.NoErr(p.endpoint.Order(ctx, knapweedpulley.Order{Kind: knapweedpulley.OrderLoadModel, Model: "advice"}))
		is.Equal(p.agent.orders.Load(), int64(1))
	})
}
