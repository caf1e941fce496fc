package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the model server, as on the pages.
const (
	serverMb   = 220000.0
	modelMb    = 65100.0
	adapterMb  = 12.0
	diskLoad   = 990 * time.Millisecond
	downTime   = 2 * time.Second
	lateAfter  = 10 * time.Second
	lateNumber = 3
)

// order is an order to a model server.
type order struct {
	OpType, Model, Adapter, Holder string
	Precondition, FencingToken     uint64
}

func (o order) String() string {
	name := o.Model
	if o.Adapter != "" {
		name += "/" + o.Adapter
	}
	return fmt.Sprintf("%s %s, precondition %d, fence number %d", o.OpType, name, o.Precondition, o.FencingToken)
}

// orderServer is a stand-in for a model server that carries out orders. It restarts empty under the
// id that it had.
type orderServer struct {
	record  *record
	store   *store
	id      string
	address string

	mu     sync.Mutex
	server *http.Server
	born   int64
	seq    uint64
	busy   bool
	// onDisk lists the models on the server's disk.
	onDisk []string
	// loadTime is how long a load takes.
	loadTime time.Duration
	// onRun is called with each request that the server runs, unless it is nil.
	onRun func(r *http.Request)
	// models holds the adapters of each model that is present.
	models   map[string][]string
	breaches []string
}

func (s *orderServer) start(models ...string) error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.born, s.seq, s.busy, s.models = time.Now().UnixMilli(), 0, false, make(map[string][]string)
	for _, m := range models {
		s.models[m] = nil
	}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func(h *http.Server) { _ = h.Serve(listener) }(s.server)
	s.record.printf("server %s starts, born %d, holds %v", s.id, s.born, models)
	return nil
}

func (s *orderServer) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.printf("server %s crashes at seq %d", s.id, s.seq)
	_ = s.server.Close()
	s.server = nil
}

// beat writes the server's entry while it runs.
func (s *orderServer) beat(stop <-chan struct{}) {
	for {
		s.mu.Lock()
		if s.server != nil {
			s.store.put("servers", s.id, map[string]any{
				"service": "huvo11a", "address": s.address, "zone": "cuyo-a", "version": "v1", "slots": 64, "state": "ready",
				"coldLeftMs": 0, "stage": "both", "models": s.entries(), "seq": s.seq, "born": s.born, "atHand": s.atHand(),
			})
		}
		s.mu.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (s *orderServer) atHand() map[string]any {
	return map[string]any{"inMemory": []string{}, "onDisk": s.onDisk}
}

func (s *orderServer) entries() []map[string]any {
	list := make([]map[string]any, 0, len(s.models))
	for m, adapters := range s.models {
		list = append(list, map[string]any{"name": m, "version": 1, "adapters": append([]string{}, adapters...)})
	}
	return list
}

func (s *orderServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/api/report":
		s.mu.Lock()
		report := map[string]any{
			"stage": "both", "models": s.entries(), "busy": s.busy, "seq": s.seq, "queued": 0, "running": 0, "kvUsed": 0,
			"kvTotal": 120388, "handles": 0, "born": s.born, "atHand": s.atHand(), "coming": []string{},
		}
		s.mu.Unlock()
		writeJSON(w, report)
	case "/api/order":
		s.serveOrder(w, r)
	default:
		s.serveRequest(w, r)
	}
}

func (s *orderServer) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	if r.Header.Get("X-Expect-Instance") != s.id {
		s.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status := s.carryOut(o)
	s.mu.Unlock()
	w.WriteHeader(status)
}

// carryOut carries out an order and returns the status of the answer. The caller holds mu.
func (s *orderServer) carryOut(o order) int {
	status := http.StatusAccepted
	adapters, held := s.models[o.Model]
	switch {
	case s.busy || o.Precondition != s.seq:
		status = http.StatusConflict
	case o.OpType == "unload" && o.Adapter == "":
		s.seq++
		delete(s.models, o.Model)
	case o.OpType == "unload":
		s.seq++
		s.models[o.Model] = nil
	case o.Adapter != "" && held:
		s.seq++
		s.models[o.Model] = append(adapters, o.Adapter)
	case held:
		status = http.StatusOK
	default:
		s.seq++
		used := modelMb
		for _, a := range s.models {
			used += modelMb + float64(len(a))*adapterMb
		}
		if used > serverMb {
			s.breaches = append(s.breaches, fmt.Sprintf("LIMIT: server %s is ordered to load %s while it holds %d models: %.0f MB, it has %.0f",
				s.id, o.Model, len(s.models), used, serverMb))
		}
		s.busy = true
		born := s.born
		time.AfterFunc(s.loadTime, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.born == born {
				s.busy = false
				s.models[o.Model] = nil
			}
		})
	}
	s.record.printf("server %s gets the order at seq %d: %v -> %d", s.id, s.seq, o, status)
	return status
}

func (s *orderServer) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	model, adapter, _ := strings.Cut(r.Header.Get("X-Model"), "/")
	s.mu.Lock()
	adapters, held := s.models[model]
	runs := held && r.Header.Get("X-Expect-Instance") == s.id
	if adapter != "" {
		runs = runs && strings.Contains(strings.Join(adapters, " "), adapter)
	}
	s.mu.Unlock()
	w.Header().Set("X-Request-Id", id)
	if !runs {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.onRun != nil {
		s.onRun(r)
	}
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("X-Server-Stamp", s.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = fmt.Fprintf(w, "id: 1\ndata: tokens of %s\n\n", id)
}

// orderDelay forwards channels from a keeper to its server. It can delay one channel: that of the next
// order to load a model.
type orderDelay struct {
	record *record
	target string
	mu     sync.Mutex
	// model is that of the next order to delay, empty if none is.
	model string
	delay time.Duration
	// delayed is closed when an order is being delayed.
	delayed chan struct{}
}

func (p *orderDelay) serve(client net.Conn) {
	defer func() { _ = client.Close() }()
	first := make([]byte, 64<<10)
	n, err := client.Read(first)
	if err != nil {
		return
	}
	if p.delays(string(first[:n])) {
		// The keeper gives the order up and closes the channel; its bytes are on their way.
		p.record.printf("an order to load a model is delayed on its way")
		time.Sleep(p.delay)
		p.record.printf("the order arrives that was delayed")
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	if _, err := server.Write(first[:n]); err != nil {
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = io.Copy(server, client)
		_ = server.(*net.TCPConn).CloseWrite()
	}()
	_, _ = io.Copy(client, server)
	_ = client.Close()
	<-done
}

// delays reports whether a channel that begins with the given bytes is delayed.
func (p *orderDelay) delays(first string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.model == "" || !strings.HasPrefix(first, "POST /api/order") || !strings.Contains(first, `"model":"`+p.model+`"`) {
		return false
	}
	p.model = ""
	close(p.delayed)
	return true
}

// lateOrder checks rule LIMIT where an order is carried out late, after the server has restarted.
func lateOrder(d *deployment, trouble bool) ([]string, error) {
	s := &orderServer{
		record: d.record, store: d.store, id: "i-1", address: d.ip(30, 1) + ":8080", onDisk: []string{"m0", "m1", "m2", "m3"},
		loadTime: diskLoad,
	}
	if err := s.start("m0"); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	d.closers = append(d.closers, func() { close(stop) })
	go s.beat(stop)
	d.store.put("config", "main", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-1", "host": "ficu95.example", "pathPrefix": "/lohu930/", "kind": "streaming", "timeoutMs": 15000,
			"targetLatencyMs": 3000, "priority": 2, "service": "huvo11a", "maxAttempts": 2, "public": false, "sticky": true,
			"resumable": true, "gapAimMs": 300,
		}},
		"services": []map[string]any{engineService("huvo11a", []string{"m0", "m1", "m2", "m3"})},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []map[string]any{{"name": "hule930", "apiKeys": []string{"key-1"}, "priority": 1}},
	})
	p := &orderDelay{record: d.record, target: s.address, delay: lateAfter, delayed: make(chan struct{})}
	path := d.ip(30, 2) + ":8080"
	listener, err := net.Listen("tcp", path)
	if err != nil {
		return nil, err
	}
	d.closers = append(d.closers, func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	k, err := d.newKeeper(1, d.ip(30, 1), path)
	if err != nil {
		return nil, err
	}
	g, err := d.newGateway(1, "cuyo-a", d.storeAddress())
	if err != nil {
		return nil, err
	}
	if err := k.start(); err != nil {
		return nil, err
	}
	if err := g.start(); err != nil {
		return nil, err
	}
	if err := g.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	var answered, count atomic.Int64
	send := func(model string) {
		id := fmt.Sprintf("9c41d07b%08x", count.Add(1))
		status, err := ask(g.callers, id, model)
		if status == http.StatusOK && err == nil {
			answered.Add(1)
		}
		d.record.printf("client of %s (%s) gets status %d, error %v", id, model, status, err)
	}
	// Callers use a model until stop is closed.
	use := func(stop <-chan struct{}, models ...string) {
		for _, m := range models {
			go func() {
				for {
					send(m)
					select {
					case <-stop:
						return
					case <-time.After(400 * time.Millisecond):
					}
				}
			}()
		}
	}
	used := make(chan struct{})
	defer close(used)
	send("m0/a1")
	send("m0/a2")
	use(used, "m0")
	send("m1")
	use(used, "m1")
	s.mu.Lock()
	if s.seq != lateNumber {
		s.mu.Unlock()
		return nil, fmt.Errorf("the server is at seq %d before the order, want %d", s.seq, lateNumber)
	}
	s.mu.Unlock()
	if trouble {
		p.mu.Lock()
		p.model = "m2"
		p.mu.Unlock()
	}
	send("m2")
	if trouble {
		select {
		case <-p.delayed:
		default:
			return nil, fmt.Errorf("the server got no order to load m2")
		}
		s.crash()
	}
	time.Sleep(downTime)
	if trouble {
		if err := s.start(); err != nil {
			return nil, err
		}
	}
	send("m3")
	use(used, "m3")
	time.Sleep(lateAfter)
	time.Sleep(time.Second)
	if answered.Load() < 5 {
		return nil, fmt.Errorf("only %d requests were answered", answered.Load())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.breaches, nil
}
