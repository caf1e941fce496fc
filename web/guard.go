package web

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/intake"
	"github.com/knapweedpulley/knapweedpulley/machine"
)

// ReportPeriod is the time between two reports of a guard, and so between its log lines.
const ReportPeriod = 10 * time.Second

// surplusRetryAfter is when a request may return that found all connections in use. Many requests end within
// a second.
const surplusRetryAfter = time.Second

// Guard applies the limits of a process to the clients of its servers: the number of their connections,
// the memory of their heads and bodies, and their progress.
type Guard struct {
	limits   intake.Limits
	budget   *intake.Budget
	recorder *intake.Recorder
	clock    knapweedpulley.Clock
}

// NewGuard returns a guard of the given limits.
func NewGuard(l intake.Limits, clock knapweedpulley.Clock) *Guard {
	r := intake.NewRecorder()
	return &Guard{limits: l, budget: intake.NewBudget(l, clock, r), recorder: r, clock: clock}
}

// NewMachineGuard returns a guard for a process with settings of its memory in megabytes and of its
// descriptors. For those that are zero, it takes what the machine has.
func NewMachineGuard(memoryMB int64, descriptors int) *Guard {
	return NewGuard(intake.NewLimits(machine.MemoryOf(memoryMB), machine.Descriptors(descriptors)), machine.NewClock())
}

// Limits returns the limits.
func (g *Guard) Limits() intake.Limits {
	return g.limits
}

// Report adds what was limited since the last report to the counters of scope, and logs one line if there
// was anything. Only one goroutine may call it.
func (g *Guard) Report(scope tally.Scope, logger log.Interface) {
	g.recorder.Report(scope, logger)
}

// Listen returns a listener whose connections are guarded. At most maximum are open at a time: for a new
// one, one without a request is closed. If there is none, a few more are accepted, whose requests the handler
// must refuse with [SurplusRefusal], and others are closed. Connections.Track must be the ConnState hook of the
// server and [ConnContext] its hook of that name.
func (g *Guard) Listen(l net.Listener, c *Connections, maximum int) net.Listener {
	return &listener{Listener: l, guard: g, connections: c, maximum: maximum}
}

// listener is the listener of a guarded server.
type listener struct {
	net.Listener
	guard       *Guard
	connections *Connections
	maximum     int
}

// SyscallConn implements syscall.Conn, by which a stop sees connections that wait to be accepted.
func (l *listener) SyscallConn() (syscall.RawConn, error) {
	c, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, errors.New("the listener has no file descriptor")
	}
	return c.SyscallConn()
}

// Accept implements net.Listener. It returns the errors of the listener below: the server waits after a
// temporary one, as when no descriptor is left.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		replaced, admission := l.connections.makeRoom(l.maximum)
		if replaced {
			l.guard.recorder.Record(intake.ConnectionReplaced)
		}
		if admission != admitted {
			l.guard.recorder.Record(intake.ConnectionRefused)
		}
		if admission == rejected {
			_ = c.Close()
			continue
		}
		guarded := newGuardedConn(c, l.guard)
		guarded.surplus = admission == surplus
		return guarded, nil
	}
}

// surplusKey is the key of a context of a surplus connection.
type surplusKey struct{}

// ConnContext marks the contexts of requests of surplus connections.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if g := guardOf(c); g != nil && g.surplus {
		return context.WithValue(ctx, surplusKey{}, true)
	}
	return ctx
}

// SurplusRefusal returns the refusal for a request of a connection that is only there for that, or nil. The
// connection is closed after it.
func SurplusRefusal(w http.ResponseWriter, r *http.Request) *knapweedpulley.Refusal {
	if r.Context().Value(surplusKey{}) == nil {
		return nil
	}
	w.Header().Set("Connection", "close")
	LeaveBody(w)
	return knapweedpulley.NewRefusal(knapweedpulley.CodeOverloaded, knapweedpulley.NotRun,
		"all connections have requests").WithRetryAfter(surplusRetryAfter)
}
