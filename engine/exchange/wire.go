package exchange

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// wire is a TCP connection that keeps the error of a write. The kernel reports the error of a
// connection once: if a write gets it, the next read gets the end of the file, as after an orderly
// end.
type wire struct {
	net.Conn
	tcp *net.TCPConn
	// writing is held during a write.
	writing sync.Mutex
	failure error
	// lost is set if the connection was closed because its peer is gone.
	lost atomic.Bool
}

// errPeerGone means that the machine of a peer doesn't respond.
var errPeerGone = errors.New("the peer's machine acknowledges nothing")

func newWire(c net.Conn) (*wire, error) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil, errors.Newf("connection is a %T, want TCP", c)
	}
	return &wire{Conn: c, tcp: tcp}, nil
}

// dialWire connects to an address.
func dialWire(ctx context.Context, d *net.Dialer, network, address string) (*wire, error) {
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	w, err := newWire(c)
	if err != nil {
		return nil, errors.CombineErrors(err, c.Close())
	}
	return w, nil
}

// Write implements net.Conn.
func (w *wire) Write(b []byte) (int, error) {
	w.writing.Lock()
	defer w.writing.Unlock()
	n, err := w.Conn.Write(b)
	if err != nil && w.failure == nil {
		w.failure = err
	}
	return n, err
}

// Read implements net.Conn. It returns io.EOF only if the peer ended its side in order, and ends a
// write that is in progress then.
func (w *wire) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	switch {
	case err == nil:
	case w.lost.Load():
		err = errPeerGone
	case errors.Is(err, io.EOF):
		err = w.end()
	}
	return n, err
}

// end returns io.EOF, or the error of a write if that is why reading came to an end.
func (w *wire) end() error {
	if err := w.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return errors.Wrap(err, "end the write")
	}
	w.writing.Lock()
	defer w.writing.Unlock()
	switch {
	case w.failure == nil, errors.Is(w.failure, os.ErrDeadlineExceeded):
		return io.EOF
	case errors.Is(w.failure, syscall.EPIPE):
		// A reset that comes after the peer's orderly end.
		return io.EOF
	default:
		return errors.Wrap(w.failure, "connection broke during a write")
	}
}

// unacknowledged returns the number of bytes that were written and that the peer's machine has not
// acknowledged.
func (w *wire) unacknowledged() int {
	raw, err := w.tcp.SyscallConn()
	if err != nil {
		return 0
	}
	queued := 0
	_ = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			queued = n
		}
	})
	return queued
}

// info returns what the kernel knows of the connection, or nil.
func (w *wire) info() *unix.TCPInfo {
	raw, err := w.tcp.SyscallConn()
	if err != nil {
		return nil
	}
	var info *unix.TCPInfo
	_ = raw.Control(func(fd uintptr) {
		info, _ = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return info
}

// Close implements net.Conn. If the peer hasn't received everything, the connection is reset, because
// an orderly end would wait behind the bytes that the peer doesn't read.
func (w *wire) Close() error {
	if w.unacknowledged() > 0 {
		_ = w.tcp.SetLinger(0)
	}
	return w.Conn.Close()
}

// closeInOrder closes the connection. The peer can still read everything that has been written.
func (w *wire) closeInOrder() error {
	return w.Conn.Close()
}

// transportWire is the connection of an HTTP transport. A transport closes its connection at the error
// of a write and so loses the rest of an early answer; it learns of the error by reading instead.
type transportWire struct {
	*wire
}

// Write implements net.Conn.
func (w transportWire) Write(b []byte) (int, error) {
	_, _ = w.wire.Write(b)
	return len(b), nil
}
