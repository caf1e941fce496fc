package exchange

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/machine"
)

const (
	// poolDialTimeout bounds the wait for a connection within a region and allows for one
	// lost packet.
	poolDialTimeout = 700 * time.Millisecond
	// defaultKeepAlive is how long an idle connection is kept if the endpoint announces no
	// timeout.
	defaultKeepAlive = 4 * time.Second
	// keepAliveFraction is the fraction of an endpoint's announced timeout that is used.
	keepAliveFraction = 0.7
	// maxIdlePerAddress bounds the number of idle connections kept to an endpoint.
	maxIdlePerAddress = 16
	// TCP keep-alive probes detect connections that go silent while an answer is awaited.
	// They start after probeIdle and follow each probePeriod; the connection ends if probeCount
	// of them get no response.
	probeIdle   = time.Second
	probePeriod = time.Second
	probeCount  = 2
	// maxInlineBodyBytes is the size up to which a body is written before the answer is read.
	// A longer body is written concurrently, because an endpoint may answer before it has
	// read all of it.
	maxInlineBodyBytes = 8 << 10
	// maxAnswersRead bounds the number of answers read for one request. Informational
	// answers and late answers to earlier requests are skipped.
	maxAnswersRead = 3
	// maxHeadSize bounds the head of an answer in bytes, and maxSkippedSize the body of an answer
	// that is skipped. An endpoint in trouble may send without end.
	maxHeadSize    = int64(64 * knapweedpulley.KiB)
	maxSkippedSize = int64(knapweedpulley.MiB)
	// maxRefusedIDs bounds the number of refused requests that are remembered for a connection.
	// The connection is closed after that many.
	maxRefusedIDs = 64
)

// Pool keeps connections to endpoints and sends each request over one of them once. It
// returns only the answer that belongs to the request.
type Pool struct {
	dialer  net.Dialer
	monitor *monitor
	kept    budget
	mu      sync.Mutex
	idle    map[string][]*conn
	closed  bool
}

// errTooLong means that an endpoint sent more than it may.
var errTooLong = errors.New("endpoint sent too many bytes")

// errTooManyKept means that the answers of all endpoints take too much memory.
var errTooManyKept = errors.New("endpoints sent too many bytes at once")

// limitedReader reads from a connection and fails once more than left bytes have been read. It
// reads any number of bytes if left is negative.
type limitedReader struct {
	source io.Reader
	left   int64
	// head is the share of the head that is being read, and headSize its size so far. Other bytes
	// are read while reading is false.
	head     share
	headSize knapweedpulley.Bytes
	reading  bool
}

// Read implements io.Reader.
func (r *limitedReader) Read(b []byte) (int, error) {
	if r.left < 0 {
		return r.source.Read(b)
	}
	if r.left == 0 {
		return 0, errTooLong
	}
	n, err := r.source.Read(b[:min(int64(len(b)), r.left)])
	r.left -= int64(n)
	if r.reading {
		r.headSize += knapweedpulley.Bytes(n)
		if !r.head.resize(headWeight * max(0, r.headSize-freeHead)) {
			return 0, errTooManyKept
		}
	}
	return n, err
}

// beginHead begins to count the bytes of a head.
func (r *limitedReader) beginHead() {
	r.release()
	r.left, r.headSize, r.reading = maxHeadSize, 0, true
}

// release gives back what the head has taken.
func (r *limitedReader) release() {
	r.head.resize(0)
	r.reading = false
}

// conn is one connection to an endpoint.
type conn struct {
	*wire
	sending   transmission
	monitor   *monitor
	limit     *limitedReader
	reader    *bufio.Reader
	address   string
	expiresAt time.Time
	idleSince time.Time
	// refused are the ids of the requests that the endpoint refused over this connection.
	refused knapweedpulley.Set[knapweedpulley.RequestID]
}

// NewPool returns an empty pool. The clean-up closes the idle connections.
func NewPool() (*Pool, knapweedpulley.Cleanup) {
	m, stopMonitor := newMonitor()
	p := &Pool{
		dialer: net.Dialer{
			Timeout: poolDialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: probeIdle, Interval: probePeriod, Count: probeCount,
			},
		},
		monitor: m,
		idle:    make(map[string][]*conn),
	}
	return p, func() {
		p.close()
		stopMonitor()
	}
}

// Message is a request that is sent without changes.
type Message struct {
	// ID identifies the request. It is not sent over a connection over which a request with this
	// ID was refused.
	ID      knapweedpulley.RequestID
	Address string
	Method  string
	// Target is the path and query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Fresh requires a new connection that carries no other message.
	Fresh bool
	// MaxIdle bounds how long a reused connection may have been idle; zero means no bound.
	MaxIdle time.Duration
	// IsAnswer reports whether an answer with the given header belongs to the request.
	IsAnswer func(http.Header) bool
}

// Answer is an answer whose head has been read. The caller must call Release.
type Answer struct {
	*http.Response
	id               knapweedpulley.RequestID
	pool             *Pool
	conn             *conn
	stopCancellation func() bool
	readToEnd        bool
	body             share
}

// Send sends a message once and returns its answer. The error is a *knapweedpulley.Refusal.
// Its verdict is NotRun only if no connection was made.
func (p *Pool) Send(ctx context.Context, m Message) (*Answer, error) {
	c, err := p.connect(ctx, m)
	if err != nil {
		r := Refuse(ctx, err, knapweedpulley.NotRun)
		if errors.Is(err, syscall.ECONNREFUSED) {
			r.Code = knapweedpulley.CodeUnreachable
		}
		return nil, r
	}
	stopCancellation := context.AfterFunc(ctx, func() { _ = c.Close() })
	a, err := p.sendOver(c, m)
	if err != nil {
		stopCancellation()
		c.limit.release()
		_ = c.Close()
		// What silenced this connection may have silenced the other idle ones as well.
		p.closeIdle(m.Address)
		return nil, Refuse(ctx, err, knapweedpulley.MayHaveRun)
	}
	a.stopCancellation = stopCancellation
	return a, nil
}

func (p *Pool) sendOver(c *conn, m Message) (*Answer, error) {
	c.sending.begin()
	if len(m.Body) <= maxInlineBodyBytes {
		if err := c.send(m); err != nil {
			return nil, errors.Wrap(err, "write the request")
		}
	} else {
		// The connection keeps the error until reading comes to an end.
		go func() { _ = c.send(m) }()
	}
	request := &http.Request{Method: m.Method}
	for range maxAnswersRead {
		c.limit.beginHead()
		response, err := http.ReadResponse(c.reader, request) //nolint:bodyclose // Release ends the answer.
		if err != nil {
			return nil, errors.Wrap(knapweedpulley.ShortenError(err), "read the answer's head")
		}
		c.limit.reading = false
		informational := response.StatusCode >= 100 && response.StatusCode < 200
		if !informational && !knapweedpulley.IsFinalStatus(response.StatusCode) {
			return nil, errOddStatus(response)
		}
		if !informational && m.IsAnswer(response.Header) {
			c.limit.left = -1
			early := len(m.Body) > maxInlineBodyBytes && c.unacknowledged() > 0
			response.Close = response.Close || m.Fresh || early
			return &Answer{Response: response, id: m.ID, pool: p, conn: c, body: share{budget: &p.kept}}, nil
		}
		c.limit.left = maxSkippedSize
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, errors.Wrap(err, "skip an answer to another request")
		}
	}
	return nil, errors.New("none of the answers received belongs to the request")
}

// errOddStatus returns the error of an answer with a status that HTTP doesn't define. Its other bytes
// mean nothing either.
func errOddStatus(response *http.Response) error {
	return errors.Newf("back end answered with the undefined status %d", response.StatusCode)
}

// send writes a request. Of a longer body the rest is written from the caller's memory: a copy would double what
// the request takes. Its start goes with the head, so that a server which has read the head alone and closes the
// connection has unread bytes and resets it: the end of an answer without a length would look orderly otherwise.
func (c *conn) send(m Message) error {
	start := min(len(m.Body), maxInlineBodyBytes)
	b := encodeMessage(m, start)
	if _, err := c.Write(b); err != nil {
		return err
	}
	if rest := m.Body[start:]; len(rest) > 0 {
		if _, err := c.Write(rest); err != nil {
			return err
		}
	}
	c.sending.complete(len(b) + len(m.Body) - start)
	return nil
}

// encodeMessage returns the head of a message and the given number of bytes of its body.
func encodeMessage(m Message, start int) []byte {
	var b bytes.Buffer
	b.Grow(1024 + start)
	b.WriteString(m.Method + " " + m.Target + " HTTP/1.1\r\nHost: " + m.Host + "\r\n")
	// Writing to a buffer doesn't fail.
	_ = m.Header.Write(&b)
	b.WriteString("\r\n")
	b.Write(m.Body[:start])
	return b.Bytes()
}

// connect returns an idle connection that is still usable, or a new one.
func (p *Pool) connect(ctx context.Context, m Message) (*conn, error) {
	for !m.Fresh {
		c := p.takeIdle(m)
		if c == nil {
			break
		}
		if c.usable() {
			return c, nil
		}
		_ = c.Close()
	}
	w, err := dialWire(ctx, &p.dialer, "tcp", m.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", m.Address)
	}
	limit := &limitedReader{source: w, left: -1, head: share{budget: &p.kept}}
	c := &conn{
		wire: w, monitor: p.monitor, limit: limit, reader: bufio.NewReader(limit), address: m.Address,
		refused: make(knapweedpulley.Set[knapweedpulley.RequestID]),
	}
	p.monitor.add(c)
	return c, nil
}

// Close ends the connection.
func (c *conn) Close() error {
	c.monitor.remove(c)
	return c.wire.Close()
}

// closeInOrder ends the connection, whose endpoint may read on.
func (c *conn) closeInOrder() error {
	c.monitor.remove(c)
	return c.wire.closeInOrder()
}

// RefusesConnections reports whether the address refuses a new connection.
func (p *Pool) RefusesConnections(ctx context.Context, address string) bool {
	return machine.RefusesConnections(ctx, &p.dialer, address)
}

// takeIdle removes the most recently used idle connection that may carry the message from the
// pool. It returns nil if there is none or it has been idle for longer than the message allows.
func (p *Pool) takeIdle(m Message) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[m.Address]
	for i, c := range slices.Backward(list) {
		if m.MaxIdle > 0 && time.Since(c.idleSince) > m.MaxIdle {
			return nil
		}
		if !c.refused.Has(m.ID) {
			p.idle[m.Address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// closeIdle closes the idle connections to an address.
func (p *Pool) closeIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}

// usable reports whether an idle connection is still open, has no unexpected bytes to read
// and has not exceeded the endpoint's timeout.
func (c *conn) usable() bool {
	if time.Now().After(c.expiresAt) || c.reader.Buffered() > 0 {
		return false
	}
	_, err := c.peek()
	return errors.Is(err, unix.EAGAIN)
}

// peek returns the number of bytes, at most one, that can be read from the connection at once. The
// error is EAGAIN if the connection is open and there are none.
func (c *conn) peek() (int, error) {
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return 0, errors.Wrap(err, "access the connection")
	}
	var n int
	var failure error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, failure = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	return n, errors.CombineErrors(err, failure)
}

// putIdle returns a connection to the pool.
func (p *Pool) putIdle(c *conn, timeout time.Duration) {
	c.sending.end()
	c.idleSince = time.Now()
	c.expiresAt = c.idleSince.Add(timeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.address]
	if p.closed || len(list) >= maxIdlePerAddress {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(list, c)
}

// Sweep closes the idle connections whose timeout has passed.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.After(c.expiresAt) {
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

// Read reads from the body and records whether it was read to its end.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.Body.Read(b)
	if errors.Is(err, io.EOF) {
		a.readToEnd = true
	}
	return n, err
}

// MarkRefusal records that the answer refuses the request, so that a repetition of the answer
// can't be taken for that to another request. Identified is set if the answer names the request.
// If it doesn't, nothing would distinguish the repetition, and the connection is not kept.
func (a *Answer) MarkRefusal(identified bool) {
	a.conn.refused.Add(a.id)
	if !identified || len(a.conn.refused) >= maxRefusedIDs {
		a.Close = true
	}
}

// Followed reports whether bytes after the end of the answer have arrived. It must be called before
// the body is read. It doesn't wait, and doesn't look behind a body that is incomplete or has no
// length.
func (a *Answer) Followed() bool {
	buffered := int64(a.conn.reader.Buffered())
	if a.ContentLength < 0 || buffered != a.ContentLength {
		return a.ContentLength >= 0 && buffered > a.ContentLength
	}
	n, _ := a.conn.peek()
	return n > 0
}

// Keep reports whether n bytes of the body may be kept at once, which bounds the memory that all
// answers of the pool take. Zero gives back all of them.
func (a *Answer) Keep(n knapweedpulley.Bytes) bool {
	return a.body.resize(bodyWeight * max(0, n-freeBody))
}

// Release ends the exchange. The connection is kept if the whole request was written and had arrived
// before the answer, the answer was read to its end, no bytes follow it and the endpoint keeps the
// connection open.
func (a *Answer) Release() {
	a.Keep(0)
	a.conn.limit.release()
	if !a.readToEnd && a.ContentLength >= 0 && int64(a.conn.reader.Buffered()) >= a.ContentLength {
		// The rest of the body is already buffered, so reading it doesn't block.
		if _, err := io.Copy(io.Discard, a); err != nil {
			a.readToEnd = false
		}
	}
	sent, intact := a.conn.sending.isWritten(), a.stopCancellation()
	switch {
	case intact && sent && a.readToEnd && a.Framed() && !a.Close && a.conn.reader.Buffered() == 0:
		a.pool.putIdle(a.conn, keepAliveTimeout(a.Header))
	case sent && a.readToEnd:
		// The endpoint may read the rest of the body after its answer.
		_ = a.conn.closeInOrder()
	default:
		_ = a.conn.Close()
	}
}

// Framed reports whether a length or chunks mark the end of the answer.
func (a *Answer) Framed() bool {
	return a.ContentLength >= 0 || chunked(a.Response)
}

func chunked(r *http.Response) bool {
	return len(r.TransferEncoding) > 0 && r.TransferEncoding[0] == "chunked"
}
