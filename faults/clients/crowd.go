package clients

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// pieceSize is the size of the pieces in which a body is sent.
	pieceSize = 64 << 10
	// tinyChunkSize is the size of a tiny chunk, whose framing is a third as large as its data.
	tinyChunkSize = 16
	// reconnectPause keeps a client whose connection is closed from using up the processor.
	reconnectPause = 50 * time.Millisecond
	// smallWindow is the receive buffer of clients that don't read, so that the answer doesn't fit
	// into the buffers of the kernel.
	smallWindow = 4 << 10
)

// Target is the request that a crowd sends.
type Target struct {
	// Address is that of the process under test.
	Address string
	// Host and Path are those of the request. Header holds further lines of its head.
	Host, Path, Header string
	// Body is the whole body of requests that are not about bodies.
	Body string
	// Limit is the largest body that the process accepts.
	Limit int
}

// head returns the head of a request with a line about its body.
func (t Target) head(framing string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: crowd\r\n%s%s\r\n\r\n", t.Path, t.Host, t.Header, framing)
}

// Behavior is what a client does with one connection. It returns when it has sent what it sends.
type Behavior func(c net.Conn, t Target) error

// Crowd is a set of clients that behave in the same way.
type Crowd struct {
	Clients int
	// Rounds is the number of connections that each client opens, one after the other: the next one
	// when the one before has been closed. The last one stays open.
	Rounds   int
	Behavior Behavior
	// Deaf clients never read.
	Deaf bool
}

// Start starts the crowd's clients. They close their connections when ctx ends. Settle returns when
// each client has either sent all or is blocked for a second; Stop waits for the clients' ends.
func (o Crowd) Start(ctx context.Context, t Target) (settle, stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var clients, sent sync.WaitGroup
	for range o.Clients {
		sent.Add(1)
		clients.Go(func() {
			var once sync.Once
			done := func() { once.Do(sent.Done) }
			defer done()
			for range o.Rounds {
				o.connect(ctx, t, done)
				pause(ctx, reconnectPause)
			}
		})
	}
	settle = func() {
		all := make(chan struct{})
		go func() { sent.Wait(); close(all) }()
		select {
		case <-all:
		case <-time.After(settleTime):
		}
	}
	return settle, func() { cancel(); clients.Wait() }
}

// settleTime is how long a crowd has for its first connections before the ordinary request is sent.
const settleTime = 3 * time.Second

// connect opens one connection and keeps it until the peer closes it or ctx ends.
func (o Crowd) connect(ctx context.Context, t Target, sent func()) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	if tcp, ok := c.(*net.TCPConn); ok && o.Deaf {
		_ = tcp.SetReadBuffer(smallWindow)
	}
	closed := make(chan struct{})
	if !o.Deaf {
		go func() {
			defer close(closed)
			_, _ = io.Copy(io.Discard, c)
			// A peer that has ended its side reads no more.
			_ = c.Close()
		}()
	}
	if o.Behavior(c, t) == nil {
		sent()
	}
	select {
	case <-closed:
	case <-ctx.Done():
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// send writes the head of a request and then n bytes of its body in pieces.
func send(c net.Conn, head string, n int) error {
	if _, err := io.WriteString(c, head); err != nil {
		return err
	}
	piece := bytes.Repeat([]byte("x"), pieceSize)
	for n > 0 {
		m, err := c.Write(piece[:min(n, len(piece))])
		if err != nil {
			return err
		}
		n -= m
	}
	return nil
}

// sendChunks writes the head of a request and then about n bytes of a chunked body, which it
// doesn't end.
func sendChunks(c net.Conn, head string, size, n int) error {
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", size, strings.Repeat("x", size))
	count := max(1, pieceSize/len(chunk))
	piece := bytes.Repeat(chunk, count)
	if _, err := io.WriteString(c, head); err != nil {
		return err
	}
	for ; n > 0; n -= count * size {
		if _, err := c.Write(piece); err != nil {
			return err
		}
	}
	return nil
}

// SendWhole sends a whole body of the limit.
func SendWhole(c net.Conn, t Target) error {
	return send(c, t.head(fmt.Sprint("Content-Length: ", t.Limit)), t.Limit)
}

// StopShort sends a body of the limit piece by piece, without its last byte.
func StopShort(c net.Conn, t Target) error {
	return send(c, t.head(fmt.Sprint("Content-Length: ", t.Limit)), t.Limit-1)
}

// SendLargeChunks sends a body just below the limit in large chunks, without its end.
func SendLargeChunks(c net.Conn, t Target) error {
	return sendChunks(c, t.head("Transfer-Encoding: chunked"), 4*pieceSize, t.Limit-4*pieceSize)
}

// SendTinyChunks sends a body just below the limit in tiny chunks, without its end.
func SendTinyChunks(c net.Conn, t Target) error {
	return sendChunks(c, t.head("Transfer-Encoding: chunked"), tinyChunkSize, t.Limit-2*pieceSize)
}

// AnnounceTooMuch announces a body of a GiB and sends four times the limit.
func AnnounceTooMuch(c net.Conn, t Target) error {
	return send(c, t.head(fmt.Sprint("Content-Length: ", 1<<30)), 4*t.Limit)
}

// SendTooMuch sends four times the limit in chunks.
func SendTooMuch(c net.Conn, t Target) error {
	return sendChunks(c, t.head("Transfer-Encoding: chunked"), pieceSize, 4*t.Limit)
}

// SendHalfHead sends a head of 8 KiB without its end.
func SendHalfHead(c net.Conn, t Target) error {
	_, err := io.WriteString(c, "POST "+t.Path+" HTTP/1.1\r\nHost: "+t.Host+"\r\n"+strings.Repeat("X-Filler: 0123456789\r\n", 370))
	return err
}

// SendRequest sends a whole request with the target's body.
func SendRequest(c net.Conn, t Target) error {
	_, err := io.WriteString(c, t.head(fmt.Sprint("Content-Length: ", len(t.Body)))+t.Body)
	return err
}
