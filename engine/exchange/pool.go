package exchange

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/machine"
)

const (
	// poolDialTimeout bounds the wait for a connection within a region, with
	// one lost packet.
	poolDialTimeout = 700 * time.Millisecond
	// keptIdle is how long an unused connection is kept if the endpoint tells
	// no timeout.
	keptIdle = 4 * time.Second
	// keptPart is the part of an endpoint's own timeout that is used.
	keptPart = 0.7
	// keptPerAddress is the number of unused connections kept to an endpoint.
	keptPerAddress = 16
	// userTimeout ends a connection whose data isn't acknowledged.
	userTimeout = 3 * time.Second
	// probeAfter and probePeriod find connections that went silent while an
	// answer is awaited; probeCount probes may be lost.
	probeAfter  = 2 * time.Second
	probePeriod = time.Second
	probeCount  = 3
	// inlineBody is the size up to which a request is written before its answer
	// is read. Longer ones are written beside, as an endpoint may answer before
	// it has read all.
	inlineBody = 8 << 10
	// maxForeign bounds the answers to earlier requests that are skipped.
	maxForeign = 3
)

// Pool keeps connections to endpoints and sends requests over them, each once.
// It reads only the answer that belongs to a request.
type Pool struct {
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
}

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	address string
	until   time.Time
	since   time.Time
}

// NewPool returns an empty pool. The clean-up closes the kept connections.
func NewPool() (*Pool, knapweedpulley.Cleanup) {
	p := &Pool{
		dialer: net.Dialer{
			Timeout: poolDialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: probeAfter, Interval: probePeriod, Count: probeCount,
			},
			Control: setUserTimeout,
		},
		idle: make(map[string][]*conn),
	}
	return p, p.close
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, failure)
}

// Message is a request to be sent as it is.
type Message struct {
	Address string
	Method  string
	// Target is the path and query as they are sent.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Fresh bounds how long a kept connection may have been unused; zero stands
	// for any time.
	Fresh time.Duration
	// Owns reports whether an answer belongs to the request.
	Owns func(http.Header) bool
}

// Answer is an answer whose head has been read.
type Answer struct {
	*http.Response
	pool *Pool
	conn *conn
	// written is closed once the request is on its way as a whole.
	written <-chan struct{}
	stop    func() bool
	ended   bool
}

// Send sends a message once and returns its answer. The error is a
// *knapweedpulley.Refusal; its verdict is NotRun only if nothing was written.
func (p *Pool) Send(ctx context.Context, m Message) (*Answer, error) {
	c, err := p.connect(ctx, m)
	if err != nil {
		r := Refuse(ctx, err, knapweedpulley.NotRun)
		if errors.Is(err, syscall.ECONNREFUSED) {
			r.Code = knapweedpulley.CodeUnreachable
		}
		return nil, r
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	a, err := p.exchange(c, m)
	if err != nil {
		stop()
		_ = c.Close()
		// What silenced this connection may have silenced the others too.
		p.forget(m.Address)
		return nil, Refuse(ctx, err, knapweedpulley.MayHaveRun)
	}
	a.stop = stop
	return a, nil
}

func (p *Pool) exchange(c *conn, m Message) (*Answer, error) {
	written := make(chan struct{})
	if len(m.Body) <= inlineBody {
		if _, err := c.Write(encode(m)); err != nil {
			return nil, errors.Wrap(err, "write the request")
		}
		close(written)
	} else {
		go func() {
			if _, err := c.Write(encode(m)); err == nil {
				close(written)
			}
			// Otherwise the read fails as well, or the answer came early.
		}()
	}
	request := &http.Request{Method: m.Method}
	for range maxForeign {
		response, err := http.ReadResponse(c.reader, request) //nolint:bodyclose // Release ends the answer.
		if err != nil {
			return nil, errors.Wrap(err, "read the answer")
		}
		informational := response.StatusCode >= 100 && response.StatusCode < 200
		if !informational && m.Owns(response.Header) {
			return &Answer{Response: response, pool: p, conn: c, written: written}, nil
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, errors.Wrap(err, "skip the answer to another request")
		}
	}
	return nil, errors.New("the answers belong to other requests")
}

func encode(m Message) []byte {
	var b bytes.Buffer
	b.Grow(len(m.Body) + 1024)
	b.WriteString(m.Method + " " + m.Target + " HTTP/1.1\r\nHost: " + m.Host + "\r\n")
	// Writing to a buffer doesn't fail.
	_ = m.Header.Write(&b)
	b.WriteString("\r\n")
	b.Write(m.Body)
	return b.Bytes()
}

// connect returns a kept connection that is still sound, or a new one.
func (p *Pool) connect(ctx context.Context, m Message) (*conn, error) {
	for {
		c := p.take(m.Address, m.Fresh)
		if c == nil {
			break
		}
		if c.sound() {
			return c, nil
		}
		_ = c.Close()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", m.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", m.Address)
	}
	return &conn{Conn: raw, reader: bufio.NewReader(raw), address: m.Address}, nil
}

// Refused reports whether a new connection to an address is refused.
func (p *Pool) Refused(ctx context.Context, address string) bool {
	return machine.RefusesConnections(ctx, &p.dialer, address)
}

// take removes the connection that was used last from the pool.
func (p *Pool) take(address string, fresh time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	if fresh > 0 && time.Since(c.since) > fresh {
		return nil
	}
	p.idle[address] = list[:len(list)-1]
	return c
}

// forget closes the kept connections to an address.
func (p *Pool) forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}

// sound reports whether a kept connection has neither been closed nor got bytes
// that nobody asked for, nor outlived the endpoint's timeout.
func (c *conn) sound() bool {
	if time.Now().After(c.until) || c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	sound := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		sound = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && sound
}

// keep puts a connection back.
func (p *Pool) keep(c *conn, timeout time.Duration) {
	c.since = time.Now()
	c.until = c.since.Add(timeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.address]
	if p.closed || len(list) >= keptPerAddress {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(list, c)
}

// Sweep closes the connections that were not used for long.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.After(c.until) {
				_ = c.Close()
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

func (p *Pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	clear(p.idle)
}

// Read reads the body and notes how it ends.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.Body.Read(b)
	if errors.Is(err, io.EOF) {
		a.ended = true
	}
	return n, err
}

// Release ends the exchange. The connection is kept if the answer was read to
// its end, nothing follows it, and the endpoint keeps it as well.
func (a *Answer) Release() {
	if !a.ended && a.ContentLength >= 0 && int64(a.conn.reader.Buffered()) >= a.ContentLength {
		// The rest is here already, so that reading it doesn't wait.
		if _, err := io.Copy(io.Discard, a); err != nil {
			a.ended = false
		}
	}
	sent := false
	select {
	case <-a.written:
		sent = true
	default:
	}
	framed := a.ContentLength >= 0 || chunked(a.Response)
	if intact := a.stop(); !intact || !sent || !a.ended || !framed || a.Close || a.conn.reader.Buffered() > 0 {
		_ = a.conn.Close()
		return
	}
	a.pool.keep(a.conn, keepTimeout(a.Header))
}

func chunked(r *http.Response) bool {
	return len(r.TransferEncoding) > 0 && r.TransferEncoding[0] == "chunked"
}
