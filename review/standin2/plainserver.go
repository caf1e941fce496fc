package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// plainServer is a stand-in for a server of a service without models.
type plainServer struct {
	record  *record
	store   *platformStore
	id      string
	service string
	address string
	zone    string
	// crashes reports whether a request crashes the server when it begins to run. downTime is how long it is down then.
	crashes  func(*http.Request) bool
	downTime time.Duration
	// workTime is how long a request runs.
	workTime time.Duration
	// onRun is called for each request that begins to run.
	onRun func(*http.Request, *plainServer)

	mu     sync.Mutex
	up     bool
	born   int64
	leaves bool
	stop   chan struct{}
	server *http.Server
}

func (p *plainServer) start() error {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.up, p.born, p.stop = true, time.Now().UnixMilli(), make(chan struct{})
	p.server = &http.Server{Handler: p}
	server, stop := p.server, p.stop
	p.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	p.register()
	go func() {
		ticker := time.NewTicker(1200 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				p.register()
			}
		}
	}()
	return nil
}

func (p *plainServer) register() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.up && !p.leaves {
		p.store.put("servers", p.id, map[string]any{
			"service": p.service, "address": p.address, "zone": p.zone, "version": "v1", "slots": 6, "state": "ready",
			"coldLeftMs": 0, "seq": 0, "born": p.born,
		})
	}
}

// leave removes the server's entry from the store, as a server does that never reports draining.
func (p *plainServer) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaves = true
	p.store.remove("servers", p.id)
}

func (p *plainServer) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.up {
		p.up = false
		close(p.stop)
		_ = p.server.Close()
	}
}

// ServeHTTP implements http.Handler.
func (p *plainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != p.id {
		w.Header().Set("X-Instance-Id", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", p.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	p.onRun(r, p)
	if p.crashes(r) {
		p.end()
		time.AfterFunc(p.downTime, func() {
			if err := p.start(); err != nil {
				p.record.printf("server %s can't start again: %v", p.id, err)
				return
			}
			p.record.printf("server %s is back", p.id)
		})
		panic(http.ErrAbortHandler)
	}
	_, _ = io.ReadAll(r.Body)
	time.Sleep(max(15*time.Millisecond, p.workTime))
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Server-Stamp", "stamp-"+p.id)
	w.Header().Set("X-Server-Load", "1,0,6")
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]string{"posted": r.Header.Get("X-Request-Id")})
}
