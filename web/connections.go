package web

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/knapweedpulley/knapweedpulley/intake"
)

// Connections are the open connections of an http.Server. A stop uses them in place of
// http.Server.Shutdown, which drops each request that it reads from then on without an answer.
type Connections struct {
	// open holds the *openConnection of each connection.
	open sync.Map
	// count is the number of connections, active that of connections with an open request.
	count  atomic.Int64
	active atomic.Int64
	// ended receives a value when one of these has become zero.
	ended chan struct{}
	// closing is the number of connections that are being closed for new ones. freed receives a value when
	// a connection has ended.
	closing atomic.Int64
	freed   chan struct{}
}

// openConnection is one connection.
type openConnection struct {
	// surplus is set if its request is refused.
	surplus bool
	active  atomic.Bool
	// served is set once the connection has had a request.
	served atomic.Bool
	// waitsSince is when it began to wait for a request, in nanoseconds since 1970.
	waitsSince atomic.Int64
	// closing is set when it is being closed for a new one.
	closing atomic.Bool
}

const (
	// minSlack is the least number of connections beyond the maximum: those that are closing while new ones
	// are accepted in their place, and those that only get a refusal.
	minSlack = 4
	// closingTimeout bounds the wait for one of them to end. In a burst, connections are accepted faster
	// than those that they replace end.
	closingTimeout = 100 * time.Millisecond
	// firstRequestTime is how long the first request of a connection may take to arrive before the
	// connection is closed rather than one between two requests. Callers connect in order to send.
	firstRequestTime = time.Second
)

// NewConnections returns the connections of a server that hasn't started.
func NewConnections() *Connections {
	return &Connections{ended: make(chan struct{}, 1), freed: make(chan struct{}, 1)}
}

// Track records the state of a connection. It is the ConnState hook of the server.
func (c *Connections) Track(connection net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		c.count.Add(1)
		o := &openConnection{}
		if g := guardOf(connection); g != nil {
			o.surplus = g.surplus
		}
		o.waitsSince.Store(time.Now().UnixNano())
		c.open.Store(connection, o)
	case http.StateClosed, http.StateHijacked:
		if g := guardOf(connection); g != nil {
			g.endHead()
		}
		if o, known := c.open.LoadAndDelete(connection); known {
			c.setActive(o, false)
			if o, ok := o.(*openConnection); ok {
				c.endClosing(o)
			}
			c.decrement(&c.count)
			select {
			case c.freed <- struct{}{}:
			default:
			}
		}
	default:
		if o, known := c.open.Load(connection); known {
			c.setActive(o, state == http.StateActive)
		}
		if g := guardOf(connection); g != nil {
			g.setInHead(state == http.StateIdle)
		}
	}
}

// guardOf returns the guarded connection below a connection, or nil.
func guardOf(connection net.Conn) *guardedConn {
	if t, ok := connection.(*tls.Conn); ok {
		connection = t.NetConn()
	}
	g, _ := connection.(*guardedConn)
	return g
}

// admission is what becomes of a new connection.
type admission int

const (
	// admitted connections are used, surplus ones only for a refusal, because all others have a request.
	// rejected ones are closed.
	admitted admission = iota
	surplus
	rejected
)

// slack returns how many connections may be open beyond the maximum.
func slack(maximum int) int64 {
	return int64(max(minSlack, maximum/intake.SurplusDivisor))
}

// makeRoom closes a connection for a new one if maximum are open. It reports whether it closes one, and
// what becomes of the new one. Only one goroutine may call it.
func (c *Connections) makeRoom(maximum int) (replaced bool, a admission) {
	most := int64(maximum) + slack(maximum)
	var timeout <-chan time.Time
	for {
		count := c.count.Load()
		if count < int64(maximum) {
			return replaced, admitted
		}
		if !replaced && count-c.closing.Load() >= int64(maximum) {
			switch {
			case c.closeOldest():
				replaced = true
			case count < most:
				return false, surplus
			default:
				return false, rejected
			}
		}
		if count < most {
			return replaced, admitted
		}
		if timeout == nil {
			timer := time.NewTimer(closingTimeout)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-c.freed:
		case <-timeout:
			return replaced, rejected
		}
	}
}

// closeOldest closes the connection without a request that a new one replaces, and reports whether there
// is one.
func (c *Connections) closeOldest() bool {
	now := time.Now().UnixNano()
	var oldest *openConnection
	var oldestConn net.Conn
	c.open.Range(func(key, value any) bool {
		o, isOpen := value.(*openConnection)
		connection, isConn := key.(net.Conn)
		if isOpen && isConn && o.replaceable(now) && (oldest == nil || o.goesBefore(oldest, now)) {
			oldest, oldestConn = o, connection
		}
		return true
	})
	if oldest == nil {
		return false
	}
	c.closing.Add(1)
	oldest.closing.Store(true)
	if oldest.active.Load() {
		// Its request arrived meanwhile.
		c.endClosing(oldest)
	}
	if t, ok := oldestConn.(*tls.Conn); ok {
		// Closing it in order would wait for a client that doesn't read.
		oldestConn = t.NetConn()
	}
	closeUnused(oldestConn)
	return true
}

// replaceable reports whether a connection has no request. A surplus one has firstRequestTime for it.
func (o *openConnection) replaceable(now int64) bool {
	return !o.active.Load() && !o.closing.Load() && (!o.surplus || o.rank(now) == 0)
}

// goesBefore reports whether a connection is closed before another: first those that have waited for their
// first request for longer than firstRequestTime, then those that wait for their next one, then new ones.
func (o *openConnection) goesBefore(other *openConnection, now int64) bool {
	if rank, otherRank := o.rank(now), other.rank(now); rank != otherRank {
		return rank < otherRank
	}
	return o.waitsSince.Load() < other.waitsSince.Load()
}

func (o *openConnection) rank(now int64) int {
	switch {
	case o.served.Load():
		return 1
	case now-o.waitsSince.Load() >= int64(firstRequestTime):
		return 0
	default:
		return 2
	}
}

// endClosing records that a connection has ended, or has a request although it was to be closed.
func (c *Connections) endClosing(o *openConnection) {
	if o.closing.Swap(false) {
		c.closing.Add(-1)
	}
}

func (c *Connections) setActive(value any, active bool) {
	o, ok := value.(*openConnection)
	if !ok || o.active.Swap(active) == active {
		return
	}
	if active {
		c.endClosing(o)
		o.served.Store(true)
		c.active.Add(1)
		return
	}
	o.waitsSince.Store(time.Now().UnixNano())
	c.decrement(&c.active)
}

func (c *Connections) decrement(number *atomic.Int64) {
	if number.Add(-1) > 0 {
		return
	}
	select {
	case c.ended <- struct{}{}:
	default:
	}
}

// AwaitRequests waits until no connection has an open request, but not past the given time. It
// reports whether none has. Only one goroutine may wait.
func (c *Connections) AwaitRequests(until time.Time) bool {
	return c.awaitZero(&c.active, until)
}

// AwaitEnd waits until there are no connections, but not past the given time. Only one goroutine may
// wait.
func (c *Connections) AwaitEnd(until time.Time) {
	c.awaitZero(&c.count, until)
}

func (c *Connections) awaitZero(number *atomic.Int64, until time.Time) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for number.Load() > 0 {
		select {
		case <-c.ended:
		case <-timer.C:
			return number.Load() == 0
		}
	}
	return true
}

// CloseUnused makes the server close the connections without an open request, unless it has read one
// by now or is reading it. Such a request can still be answered.
func (c *Connections) CloseUnused() {
	c.open.Range(func(connection, value any) bool {
		if o, ok := value.(*openConnection); ok && o.active.Load() {
			return true
		}
		if open, ok := connection.(net.Conn); ok {
			closeUnused(open)
		}
		return true
	})
}

// closeUnused makes the server close a connection, unless it has read a request by now or is reading it.
func closeUnused(connection net.Conn) {
	if half, ok := connection.(interface{ CloseRead() error }); ok {
		_ = half.CloseRead()
		return
	}
	_ = connection.Close()
}
