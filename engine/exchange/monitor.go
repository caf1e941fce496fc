package exchange

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/machine"
)

const (
	// monitorPeriod is the time between two looks at the connections in use.
	monitorPeriod = 500 * time.Millisecond
	// goneLooks is the number of looks in a row at which the machine of a peer has left bytes
	// unacknowledged, after which the peer is gone.
	goneLooks = 6
	// goneSilence is the silence after which a segment has to have been sent to show that a peer is
	// gone, and acknowledgmentTime how long its acknowledgment may take. The kernel doubles the time
	// between its attempts, so a peer may have missed some and be back before the next.
	goneSilence        = 2500 * time.Millisecond
	acknowledgmentTime = 250 * time.Millisecond
)

// monitor closes connections in use whose peer is gone. A peer that doesn't read is not gone: its
// kernel acknowledges the probes of the closed window. TCP_USER_TIMEOUT doesn't tell the two apart.
type monitor struct {
	conns    sync.Map // of *conn
	lastLook time.Time
}

func newMonitor() (*monitor, knapweedpulley.Cleanup) {
	m := &monitor{lastLook: time.Now()}
	return m, machine.Every(monitorPeriod, m.look)
}

func (m *monitor) add(c *conn) {
	m.conns.Store(c, nil)
}

func (m *monitor) remove(c *conn) {
	m.conns.Delete(c)
}

func (m *monitor) look() {
	elapsed := time.Since(m.lastLook)
	m.lastLook = m.lastLook.Add(elapsed)
	m.conns.Range(func(key, _ any) bool {
		if c, ok := key.(*conn); ok && c.sending.inUse.Load() && c.sending.isLost(c.wire, elapsed) {
			c.lost.Store(true)
			_ = c.Close()
		}
		return true
	})
}

// transmission is the sending of a request over a connection.
type transmission struct {
	inUse atomic.Bool
	// number counts the requests over the connection.
	number atomic.Uint64
	// size is the number of bytes of the request. It is zero until all have been written.
	size atomic.Int64

	// unansweredLooks is the number of looks in a row at the request lastNumber at which bytes were
	// unacknowledged. probedLooks is what it was when lastProbes, the number of probes of a closed
	// window, had changed. Only the monitor uses these.
	unansweredLooks int
	probedLooks     int
	lastProbes      uint8
	lastNumber      uint64
}

// begin starts the sending of a request.
func (t *transmission) begin() {
	t.number.Add(1)
	t.size.Store(0)
	t.inUse.Store(true)
}

// complete records that the whole request has been written.
func (t *transmission) complete(size int) {
	t.size.Store(int64(size))
}

// isWritten reports whether the whole request has been written.
func (t *transmission) isWritten() bool {
	return t.size.Load() > 0
}

// end records that the connection is not in use.
func (t *transmission) end() {
	t.inUse.Store(false)
}

// isLost looks at the connection and reports whether its peer is gone. Elapsed is the time since the
// last look.
func (t *transmission) isLost(w *wire, elapsed time.Duration) bool {
	if n := t.number.Load(); n != t.lastNumber {
		t.lastNumber, t.unansweredLooks, t.probedLooks, t.lastProbes = n, 0, 0, 0
	}
	info := w.info()
	if !t.isUnanswered(w, info, elapsed) {
		t.unansweredLooks, t.probedLooks, t.lastProbes = 0, 0, 0
		return false
	}
	t.unansweredLooks++
	if info == nil || info.Segs_in == 0 {
		return t.unansweredLooks >= goneLooks
	}
	if info.Probes == 0 || info.Unacked > 0 {
		return t.unansweredLooks >= goneLooks && isConfirmed(info)
	}
	if info.Probes != t.lastProbes {
		t.lastProbes, t.probedLooks = info.Probes, t.unansweredLooks
	}
	return t.probedLooks >= goneLooks && t.unansweredLooks > t.probedLooks
}

// isConfirmed reports whether the last segment was sent after a long silence and is unacknowledged.
func isConfirmed(info *unix.TCPInfo) bool {
	silence, sent := time.Duration(info.Last_ack_recv)*time.Millisecond, time.Duration(info.Last_data_sent)*time.Millisecond
	return silence-sent >= goneSilence && sent >= acknowledgmentTime
}

// isUnanswered reports whether the machine of the peer has acknowledged nothing since the last look
// although it had to.
func (t *transmission) isUnanswered(w *wire, info *unix.TCPInfo, elapsed time.Duration) bool {
	if info == nil || info.Segs_in == 0 {
		// An emulated network stack may not report acknowledgments. The window is open at the first
		// byte of a request, because the peer has read all earlier requests.
		size := t.size.Load()
		return size > 0 && int64(w.unacknowledged()) >= size
	}
	if time.Duration(info.Last_ack_recv)*time.Millisecond < elapsed {
		return false
	}
	return info.Probes > 0 || (info.Unacked > 0 && info.Last_data_sent < info.Last_ack_recv)
}
