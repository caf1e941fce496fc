package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
)

// proxy forwards channels to a target. While a process is cut off, what that process sends over the
// proxy, and what is sent to it, is dropped without a sign, and its new channels are left unanswered.
type proxy struct {
	target   string
	listener net.Listener
	mu       sync.Mutex
	// cutOff returns whether a process is cut off.
	cutOff func(pid int) bool
	// pids are the processes whose channels are told apart.
	pids func() []int
	open map[net.Conn]struct{}
}

func (d *deployment) newProxy(address, target string, pids func() []int, cutOff func(pid int) bool) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: listener, cutOff: cutOff, pids: pids, open: make(map[net.Conn]struct{})}
	d.closers = append(d.closers, p.close)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		_ = c.Close()
	}
}

func (p *proxy) track(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[c] = struct{}{}
}

func (p *proxy) drop(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, c)
}

func (p *proxy) serve(client net.Conn) {
	p.track(client)
	pid := ownerOf(client, p.pids())
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		p.drop(client)
		return
	}
	p.track(server)
	var group sync.WaitGroup
	group.Go(func() { p.copy(server, client, pid) })
	group.Go(func() { p.copy(client, server, pid) })
	group.Wait()
	p.drop(client)
	p.drop(server)
}

// copy forwards bytes until the channel ends. After a byte was dropped, the channel stays silent, as
// one whose bytes were lost.
func (p *proxy) copy(to, from net.Conn, pid int) {
	buffer := make([]byte, 32<<10)
	silent := false
	for {
		n, err := from.Read(buffer)
		silent = silent || p.cutOff(pid)
		if n > 0 && !silent {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if !silent {
				_ = to.Close()
			}
			return
		}
	}
}

// ownerOf returns which of the processes has the other end of a channel, or 0.
func ownerOf(c net.Conn, pids []int) int {
	remote, ok := c.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return 0
	}
	local, ok := c.LocalAddr().(*net.TCPAddr)
	if !ok {
		return 0
	}
	want := hexAddress(remote) + " " + hexAddress(local)
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	inode := ""
	for line := range strings.SplitSeq(string(table), "\n") {
		f := strings.Fields(line)
		if len(f) > 9 && f[1]+" "+f[2] == want {
			inode = f[9]
		}
	}
	if inode == "" {
		return 0
	}
	for _, pid := range pids {
		links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
		for _, l := range links {
			if t, err := os.Readlink(l); err == nil && t == "socket:["+inode+"]" {
				return pid
			}
		}
	}
	return 0
}

// hexAddress returns an address as in /proc/net/tcp on a little-endian machine.
func hexAddress(a *net.TCPAddr) string {
	ip := a.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
}
