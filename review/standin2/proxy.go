package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// proxy passes connections on to an address.
type proxy struct {
	target   string
	listener net.Listener
	mu       sync.Mutex
	open     []*proxied
}

// proxied is one connection over a proxy. While it is silent, nothing is passed on over it, and it stays open.
type proxied struct {
	near, far net.Conn
	silent    atomic.Bool
}

func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: l}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		c := &proxied{near: near, far: far}
		p.mu.Lock()
		p.open = append(p.open, c)
		p.mu.Unlock()
		go c.copy(near, far)
		go c.copy(far, near)
	}
}

func (c *proxied) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if c.silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = c.near.Close()
	_ = c.far.Close()
}

// silence lets all open connections go silent for good. New ones work.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.open {
		c.silent.Store(true)
	}
	n := len(p.open)
	p.open = nil
	return n
}

func (p *proxy) close() {
	_ = p.listener.Close()
}
