package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// engine is a stand-in for a model server. It runs each request at once, and answers with a few
// events.
type engine struct {
	record    *record
	id        string
	service   string
	zone      string
	address   string
	models    []string
	born      int64
	eventGap  time.Duration
	onArrival func(r *http.Request)

	mu      sync.Mutex
	seq     int
	running int
}

// engineService returns the configuration of a service of model servers.
func engineService(name string, models []string) map[string]any {
	list := make([]map[string]any, 0, len(models))
	for _, m := range models {
		list = append(list, map[string]any{
			"name": m, "weightsMb": modelMb, "loadTimeS": 6.0, "adapters": 2, "adapterMb": adapterMb, "warmS": 0.76, "diskS": 0.99,
		})
	}
	return map[string]any{
		"name": name, "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 64, "kvCapacity": 120388, "weightsMb": serverMb, "adapterSlots": 8, "loadsPerS": 4.5, "models": list,
		},
	}
}

// startEngine starts an engine and registers it in the store, with a report every heartbeat.
func (d *deployment) startEngine(e *engine) error {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: e, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	stop := make(chan struct{})
	d.closers = append(d.closers, func() { close(stop); _ = server.Close() })
	go func() {
		for {
			d.store.put("servers", e.id, e.entry())
			select {
			case <-stop:
				return
			case <-time.After(heartbeat):
			}
		}
	}()
	return nil
}

func (e *engine) entry() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 64, "state": "ready", "coldLeftMs": 0,
		"stage": "both", "models": e.modelEntries(), "seq": e.seq, "born": e.born,
	}
}

func (e *engine) modelEntries() []map[string]any {
	list := make([]map[string]any, 0, len(e.models))
	for _, m := range e.models {
		list = append(list, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return list
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/api/report":
		e.mu.Lock()
		report := map[string]any{
			"stage": "both", "models": e.modelEntries(), "busy": false, "seq": e.seq, "queued": 0, "running": e.running,
			"kvUsed": 0, "kvTotal": 120388, "handles": 0, "born": e.born, "atHand": map[string]any{"onDisk": e.models},
		}
		e.mu.Unlock()
		writeJSON(w, report)
	case "/api/order":
		e.serveOrder(w, r)
	default:
		e.serveRequest(w, r)
	}
}

// serveOrder answers that what is ordered holds already, or that another order is in progress.
func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o struct{ OpType, Model string }
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if o.OpType == "load" && slices.Contains(e.models, o.Model) {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusConflict)
}

func (e *engine) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if r.Header.Get("X-Expect-Instance") != e.id || !slices.Contains(e.models, r.Header.Get("X-Model")) {
		w.Header().Set("X-Instance-Id", e.id)
		w.Header().Set("X-Request-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.onArrival(r)
	e.mu.Lock()
	e.running++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Server-Stamp", e.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := range 3 {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(e.eventGap):
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: tokens of %s\n\n", n+1, id)
		_ = control.Flush()
	}
}
