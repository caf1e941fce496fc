package web

import (
	"bytes"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/intake"
	"github.com/knapweedpulley/knapweedpulley/machine"
)

const (
	// freeHead is the part of a head that doesn't count. Heads of ordinary requests are shorter.
	// headWeight is the memory that a byte takes: short fields are kept as strings, in lists and in a map.
	freeHead   = 2 * knapweedpulley.KiB
	headWeight = 32
	// stallTime is how long a client may take to read writePiece bytes of an answer. A thousand callers
	// that share a link of 10 Mbit/s take as long.
	stallTime = 15 * time.Second
	// stallCheckPeriod is the time between two looks at what a client has taken while a write waits. The
	// client's kernel takes some at once, from when on stallTime counts.
	stallCheckPeriod = 3 * time.Second
	writePiece       = int(16 * knapweedpulley.KiB)
	// sendBuffer is the kernel's send buffer of a connection, which the kernel doubles. It is small because
	// each client that doesn't read its answer holds one.
	sendBuffer = int(64 * knapweedpulley.KiB)
)

// headEnd is the end of a head.
var headEnd = []byte("\r\n\r\n")

// errHeadMemory ends a connection whose head takes more memory than there is.
var errHeadMemory = errors.New("request heads take too much memory")

// guardedConn is a connection of a client that isn't trusted.
type guardedConn struct {
	net.Conn
	guard *Guard
	// surplus is set if the connection's request is refused.
	surplus bool
	// inHead is set while the connection waits for a request or reads its head. headSize is the size of
	// that head, headTaken what it holds of the budget.
	inHead    atomic.Bool
	headSize  knapweedpulley.Bytes
	headTaken knapweedpulley.Bytes
	// writeLimit is the deadline that the server has set for writing, writeUntil the one in force, in
	// nanoseconds since 1970 or zero.
	writeLimit atomic.Int64
	writeUntil atomic.Int64
	// unacknowledged returns how many bytes the kernel still has for the client. written is how many it has
	// accepted, takenMark how many of them the client had taken when its time for the next piece began, at
	// markedAt.
	unacknowledged func() int
	written        atomic.Int64
	takenMark      atomic.Int64
	markedAt       atomic.Int64
}

func newGuardedConn(c net.Conn, g *Guard) *guardedConn {
	if tcp, ok := c.(*net.TCPConn); ok {
		// Without it, the kernel chooses the size.
		_ = tcp.SetWriteBuffer(sendBuffer)
	}
	guarded := &guardedConn{Conn: c, guard: g, unacknowledged: func() int { return machine.Unacknowledged(c) }}
	guarded.inHead.Store(true)
	return guarded
}

// CloseRead closes the reading side.
func (c *guardedConn) CloseRead() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseRead()
	}
	return c.Close()
}

// CloseWrite closes the writing side. The HTTP server uses it so that a client can read a refusal.
func (c *guardedConn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return c.Close()
}

// Read implements net.Conn.
func (c *guardedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 || !c.inHead.Load() {
		return n, err
	}
	// The body may follow in the same read. Where the end of the head is split between two reads, the rest
	// of the second one counts too, which is at most a buffer of the server.
	size := n
	if end := bytes.Index(b[:n], headEnd); end >= 0 {
		size = end + len(headEnd)
		c.inHead.Store(false)
	}
	c.headSize += knapweedpulley.Bytes(size)
	if want := headWeight * max(0, c.headSize-freeHead); want > c.headTaken {
		if !c.guard.budget.TakeHead(want - c.headTaken) {
			c.guard.recorder.Record(intake.HeadTooLarge)
			return 0, errHeadMemory
		}
		c.headTaken = want
	}
	return n, err
}

// setInHead records whether the next bytes are those of a head. The memory of a head is free when the
// next one begins.
func (c *guardedConn) setInHead(inHead bool) {
	if inHead {
		c.endHead()
		c.headSize = 0
	}
	c.inHead.Store(inHead)
}

// endHead gives back the memory of the head.
func (c *guardedConn) endHead() {
	if c.headTaken > 0 {
		c.guard.budget.TakeHead(-c.headTaken)
		c.headTaken = 0
	}
}

// SetWriteDeadline implements net.Conn.
func (c *guardedConn) SetWriteDeadline(t time.Time) error {
	limit := int64(0)
	if !t.IsZero() {
		limit = t.UnixNano()
	}
	c.writeLimit.Store(limit)
	c.writeUntil.Store(limit)
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *guardedConn) SetDeadline(t time.Time) error {
	return errors.CombineErrors(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Write implements net.Conn. It fails if the client reads too slowly.
func (c *guardedConn) Write(b []byte) (int, error) {
	written := 0
	for {
		if err := c.extendDeadline(); err != nil {
			return written, err
		}
		n, err := c.writeNext(b[written:min(len(b), written+writePiece)])
		written += n
		if err != nil {
			c.checkStall(err)
			return written, err
		}
		if written == len(b) {
			return written, nil
		}
	}
}

// writeNext writes one piece. The kernel accepts nothing until a third of its buffer is free, which is
// more than a slow client takes in stallTime. Therefore a client that has taken enough gets more time.
func (c *guardedConn) writeNext(b []byte) (int, error) {
	written := 0
	for {
		n, err := c.Conn.Write(b[written:])
		written += n
		c.written.Add(int64(n))
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.limitReached() {
			return written, err
		}
		now := time.Now().UnixNano()
		switch taken := c.taken(); {
		case taken-c.takenMark.Load() >= int64(writePiece):
			c.mark(now, taken)
		case now-c.markedAt.Load() >= int64(stallTime):
			return written, err
		}
		if err := c.setWriteUntil(now + int64(stallCheckPeriod)); err != nil {
			return written, err
		}
	}
}

// mark begins a new measurement of what the client takes.
func (c *guardedConn) mark(now, taken int64) {
	c.takenMark.Store(taken)
	c.markedAt.Store(now)
}

// taken returns how many bytes the client's kernel has taken.
func (c *guardedConn) taken() int64 {
	return c.written.Load() - int64(c.unacknowledged())
}

// limitReached reports whether the deadline that the server has set is over.
func (c *guardedConn) limitReached() bool {
	limit := c.writeLimit.Load()
	return limit > 0 && time.Now().UnixNano() >= limit
}

// setWriteUntil sets the deadline for writing, which isn't later than the server's.
func (c *guardedConn) setWriteUntil(next int64) error {
	if limit := c.writeLimit.Load(); limit > 0 {
		next = min(next, limit)
	}
	c.writeUntil.Store(next)
	return c.Conn.SetWriteDeadline(time.Unix(0, next))
}

// extendDeadline gives the client time to read the next piece. It changes the deadline only when half of
// the time until the next check has passed, so that few of the writes of a stream do.
func (c *guardedConn) extendDeadline() error {
	now := time.Now().UnixNano()
	until, limit := c.writeUntil.Load(), c.writeLimit.Load()
	next := now + int64(stallCheckPeriod)
	if limit > 0 {
		next = min(next, limit)
	}
	if until > 0 && until <= next && next-until < int64(stallCheckPeriod/2) {
		return nil
	}
	c.mark(now, c.taken())
	return c.setWriteUntil(next)
}

// checkStall records that the client has read too little, and lets the connection be reset, because the
// client doesn't read what the kernel still has for it.
func (c *guardedConn) checkStall(err error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) || c.limitReached() {
		return
	}
	c.guard.recorder.Record(intake.AnswerNotRead)
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
