package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Mode is what a proxy does with bytes.
type Mode int

// Modes of a proxy.
const (
	// Pass passes all on.
	Pass Mode = iota
	// Delay passes all on late.
	Delay
	// CutThere swallows what goes to the server, CutBack what comes from it.
	CutThere
	CutBack
	// Silence swallows both ways.
	Silence
	// Refuse resets new connections.
	Refuse
	modes
)

// String returns the mode's name.
func (m Mode) String() string {
	return [...]string{"pass", "delay", "cutThere", "cutBack", "silence", "refuse"}[m]
}

// delayTime is how late bytes come in mode Delay.
const delayTime = 60 * time.Millisecond

// Proxy is a TCP proxy on the loopback network that misbehaves on demand.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  Mode
	conns map[*proxied]struct{}
	// lastFault is when the proxy last did anything but pass.
	lastFault time.Time
}

// proxied is one connection through a proxy.
type proxied struct {
	client, server net.Conn
	// stuck connections stay silent for good, whatever the proxy's mode.
	stuck bool
}

// NewProxy listens on address and passes connections on to target.
func NewProxy(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	p := &Proxy{listener: listener, target: target, conns: make(map[*proxied]struct{})}
	go p.accept()
	return p, nil
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

// Set sets the mode. A connection that is silenced or cut once stays so.
func (p *Proxy) Set(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	p.lastFault = time.Now()
	if m == Silence || m == CutThere || m == CutBack {
		for c := range p.conns {
			c.stuck = true
		}
	}
}

// Reset resets all connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastFault = time.Now()
	for c := range p.conns {
		reset(c.client)
		reset(c.server)
	}
}

// Calm returns for how long the proxy has only passed bytes on.
func (p *Proxy) Calm() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode != Pass {
		return 0
	}
	return time.Since(p.lastFault)
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
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
	c := &proxied{client: client, server: server, stuck: mode == Silence || mode == CutThere || mode == CutBack}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { p.copy(c, server, client, CutThere) })
	group.Go(func() { p.copy(c, client, server, CutBack) })
	group.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// copy passes bytes on in one direction. An orderly end is passed on as such, a
// reset as a reset.
func (p *Proxy) copy(c *proxied, to, from net.Conn, cut Mode) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && p.passes(c, cut) {
			if _, err := to.Write(buffer[:n]); err != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			p.end(to, err)
			return
		}
	}
}

func (p *Proxy) end(to net.Conn, err error) {
	if tcp, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
		_ = tcp.CloseWrite()
		return
	}
	reset(to)
}

// passes waits as the mode demands, and tells whether bytes go on.
func (p *Proxy) passes(c *proxied, cut Mode) bool {
	p.mu.Lock()
	mode, stuck := p.mode, c.stuck
	p.mu.Unlock()
	if mode == Delay {
		time.Sleep(delayTime)
	}
	if stuck && (mode == CutThere || mode == CutBack) {
		return mode != cut
	}
	return !stuck
}
