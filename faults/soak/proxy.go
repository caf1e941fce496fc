package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Mode is how a proxy treats connections and their bytes.
type Mode int

// Modes of a proxy.
const (
	// Pass forwards all bytes.
	Pass Mode = iota
	// Delay forwards all bytes after forwardDelay.
	Delay
	// CutToServer drops bytes to the server, CutFromServer drops bytes from it.
	CutToServer
	CutFromServer
	// Silence drops bytes in both directions.
	Silence
	// Refuse resets new connections. Existing ones continue.
	Refuse
	modeCount
)

// String returns the name of the mode in reports.
func (m Mode) String() string {
	return [...]string{"pass", "delay", "cutThere", "cutBack", "silence", "refuse"}[m]
}

const (
	// forwardDelay is the added latency per read in mode Delay.
	forwardDelay = 60 * time.Millisecond
	// releaseTime is how long an address may stay in use after its listener was closed. A trial on a busy
	// machine saw up to 0.8 s. releaseCheckPeriod is the time between two tries to use it again.
	releaseTime        = 3 * time.Second
	releaseCheckPeriod = 10 * time.Millisecond
	// proxyBufferSize is the size in bytes of the kernel's buffers of a connection.
	proxyBufferSize = 64 << 10
)

// listen opens a listener at an address that a listener of this process may have used until now. A
// program that the process is starting inherits the closed listener until its exec, so that the address
// stays in use.
func listen(address string) (net.Listener, error) {
	end := time.Now().Add(releaseTime)
	for {
		listener, err := net.Listen("tcp", address)
		if err == nil || !errors.Is(err, unix.EADDRINUSE) || time.Now().After(end) {
			return listener, errors.Wrapf(err, "listen on %s", address)
		}
		time.Sleep(releaseCheckPeriod)
	}
}

// Proxy is a TCP proxy that injects faults into the connections through it.
type Proxy struct {
	address string
	target  string

	mu sync.Mutex
	// listener is nil while the proxy does not listen.
	listener net.Listener
	mode     Mode
	conns    map[*proxyConnection]struct{}
	// disturbedAt is when the mode last changed or connections were last reset.
	disturbedAt time.Time
}

// proxyConnection is a client's connection and the matching one to the server.
type proxyConnection struct {
	client, server net.Conn
	// blackholed is set for good once the connection was silenced or cut. The connection
	// then drops bytes in both directions, whatever the mode, except that it forwards the
	// other direction while the mode is CutToServer or CutFromServer.
	blackholed bool
}

// NewProxy listens on address and forwards connections to target.
func NewProxy(address, target string) (*Proxy, error) {
	p := &Proxy{address: address, target: target, conns: make(map[*proxyConnection]struct{})}
	return p, p.Listen()
}

// Listen opens the listener if it is closed.
func (p *Proxy) Listen() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		return nil
	}
	listener, err := listen(p.address)
	if err != nil {
		return err
	}
	p.listener = listener
	go p.accept(listener)
	return nil
}

// StopListening closes the listener, so that new connections are refused.
func (p *Proxy) StopListening() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
	}
	p.listener = nil
}

// Close closes the listener and resets all connections.
func (p *Proxy) Close() {
	p.StopListening()
	p.Reset()
}

// SetMode sets the mode. A connection that exists while the proxy is silent or cut in one
// direction is blackholed, and stays so when the mode changes again.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	p.disturbedAt = time.Now()
	if m == Silence || m == CutToServer || m == CutFromServer {
		for c := range p.conns {
			c.blackholed = true
		}
	}
}

// Reset resets all connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disturbedAt = time.Now()
	for c := range p.conns {
		reset(c.client)
		reset(c.server)
	}
}

// UndisturbedFor returns the time since the proxy went back to mode Pass or last reset its
// connections. It is zero in any other mode.
func (p *Proxy) UndisturbedFor() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode != Pass {
		return 0
	}
	return time.Since(p.disturbedAt)
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

func (p *Proxy) serve(client net.Conn) {
	p.mu.Lock()
	mode := p.mode
	p.mu.Unlock()
	if mode == Refuse {
		reset(client)
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(client)
		return
	}
	setBuffers(client)
	setBuffers(server)
	c := &proxyConnection{client: client, server: server, blackholed: mode == Silence || mode == CutToServer || mode == CutFromServer}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { p.forward(c, server, client, CutToServer) })
	group.Go(func() { p.forward(c, client, server, CutFromServer) })
	group.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// setBuffers makes the buffers of a connection small, so that a server that doesn't read is felt by the
// client as without a proxy.
func setBuffers(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(proxyBufferSize)
		_ = tcp.SetWriteBuffer(proxyBufferSize)
	}
}

// forward copies bytes in one direction, which is dropped in mode cut. It propagates an
// orderly end as an orderly end and a reset as a reset, unless it dropped bytes before or
// drops them now: TCP does not deliver an end before the bytes that precede it.
func (p *Proxy) forward(c *proxyConnection, to, from net.Conn, cut Mode) {
	buffer := make([]byte, 16<<10)
	dropped := false
	for {
		n, err := from.Read(buffer)
		forwards := p.shouldForward(c, cut)
		dropped = dropped || !forwards
		if n > 0 && forwards {
			if _, err := to.Write(buffer[:n]); err != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			if !dropped {
				propagateEnd(to, from, err)
			}
			return
		}
	}
}

func propagateEnd(to, from net.Conn, err error) {
	if tcp, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) && !isReset(from) {
		_ = tcp.CloseWrite()
		return
	}
	reset(to)
}

// isReset reports whether a connection whose end has been read is reset. The end looks orderly if a
// write got the error.
func isReset(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	var info *unix.TCPInfo
	if err := raw.Control(func(fd uintptr) { info, _ = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil {
		return true
	}
	return info != nil && info.State == unix.BPF_TCP_CLOSE
}

// shouldForward reports whether bytes are forwarded in the direction that is dropped in
// mode cut. In mode Delay, it first waits for forwardDelay.
func (p *Proxy) shouldForward(c *proxyConnection, cut Mode) bool {
	p.mu.Lock()
	mode, blackholed := p.mode, c.blackholed
	p.mu.Unlock()
	if mode == Delay {
		time.Sleep(forwardDelay)
	}
	if blackholed && (mode == CutToServer || mode == CutFromServer) {
		return mode != cut
	}
	return !blackholed
}
