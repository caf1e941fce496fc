package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// modelSpec describes a model in the configuration.
type modelSpec struct {
	Name      string  `json:"name"`
	WeightsMb float64 `json:"weightsMb"`
	LoadTimeS float64 `json:"loadTimeS"`
	Adapters  int     `json:"adapters"`
	AdapterMb float64 `json:"adapterMb"`
	WarmS     float64 `json:"warmS"`
	DiskS     float64 `json:"diskS"`
}

// orderBody is the body of an order.
type orderBody struct {
	OpType       string  `json:"opType"`
	Model        string  `json:"model"`
	Adapter      string  `json:"adapter"`
	Precondition *uint64 `json:"precondition"`
	Holder       string  `json:"holder"`
	FencingToken *uint64 `json:"fencingToken"`
}

// engine is a stand-in for a model server.
type engine struct {
	record  *record
	store   *platformStore
	id      string
	service string
	address string
	zone    string
	memory  float64
	specs   map[string]modelSpec
	// leaveUnanswered reports whether an order is left unanswered, and after which time it is carried out.
	leaveUnanswered func(orderBody) (time.Duration, bool)

	mu       sync.Mutex
	up       bool
	run      int
	born     int64
	held     map[string]bool
	busy     bool
	seq      uint64
	running  int
	stopRun  chan struct{}
	listener net.Listener
	server   *http.Server
	onDisk   map[string]bool
	crashes  int
}

func (e *engine) start() error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.up, e.run, e.born = true, e.run+1, time.Now().UnixMilli()
	e.held, e.busy, e.seq, e.running = make(map[string]bool), false, 0, 0
	e.stopRun = make(chan struct{})
	e.listener, e.server = l, &http.Server{Handler: e}
	server := e.server
	e.mu.Unlock()
	e.record.printf("server %s: run %d begins, it holds nothing, seq 0", e.id, e.run)
	go func() { _ = server.Serve(l) }()
	e.register()
	go e.beat(e.stopRun)
	return nil
}

// stop ends the run without a word.
func (e *engine) stop() {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.up = false
	close(e.stopRun)
	server := e.server
	e.mu.Unlock()
	_ = server.Close()
}

func (e *engine) beat(stop <-chan struct{}) {
	ticker := time.NewTicker(1200 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			e.register()
		}
	}
}

func (e *engine) models() []map[string]any {
	list := []map[string]any{}
	for m := range e.held {
		list = append(list, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return list
}

func (e *engine) atHand() map[string]any {
	disk := []string{}
	for m := range e.onDisk {
		disk = append(disk, m)
	}
	return map[string]any{"inMemory": []string{}, "onDisk": disk}
}

func (e *engine) register() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up {
		return
	}
	e.store.put("servers", e.id, map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 48, "state": "ready",
		"coldLeftMs": 0, "stage": "both", "models": e.models(), "seq": e.seq, "born": e.born, "atHand": e.atHand(),
	})
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/api/report":
		e.report(w)
	case r.URL.Path == "/api/order" && r.Method == http.MethodPost:
		e.order(w, r)
	case r.URL.Path == "/healthz":
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusOK)
	default:
		e.serveStream(w, r)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	data, _ := json.Marshal(map[string]any{
		"stage": "both", "models": e.models(), "busy": e.busy, "seq": e.seq, "queued": 0, "running": e.running,
		"kvUsed": 1000, "kvTotal": 117992, "handles": 0, "born": e.born, "atHand": e.atHand(), "coming": []string{},
	})
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o orderBody
	data, _ := io.ReadAll(r.Body)
	if err := json.Unmarshal(data, &o); err != nil || o.Holder == "" || o.FencingToken == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if d, late := e.leaveUnanswered(o); late {
		e.record.printf("server %s: order %s %s, precondition %s: no answer, to be carried out %s later", e.id, o.OpType, o.Model,
			precondition(o), d)
		time.AfterFunc(d, func() {
			status := e.carryOut(o, "late ")
			e.record.printf("server %s: late order %s %s, precondition %s: result %d", e.id, o.OpType, o.Model, precondition(o), status)
		})
		// The caller gets no answer on this channel.
		<-r.Context().Done()
		return
	}
	status := e.carryOut(o, "")
	e.record.printf("server %s: order %s %s, precondition %s: answered %d", e.id, o.OpType, o.Model, precondition(o), status)
	w.WriteHeader(status)
}

func precondition(o orderBody) string {
	if o.Precondition == nil {
		return "none"
	}
	return strconv.FormatUint(*o.Precondition, 10)
}

// carryOut carries out an order and returns the status of its answer.
func (e *engine) carryOut(o orderBody, label string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	spec, known := e.specs[o.Model]
	switch {
	case !e.up:
		return http.StatusServiceUnavailable
	case !known || o.Adapter != "" || (o.OpType != "load" && o.OpType != "unload"):
		return http.StatusBadRequest
	case o.OpType == "load" && e.held[o.Model], o.OpType == "unload" && !e.held[o.Model]:
		return http.StatusOK
	case e.busy, o.Precondition != nil && *o.Precondition != e.seq:
		return http.StatusConflict
	}
	e.seq++
	e.busy = true
	run := e.run
	if o.OpType == "unload" {
		time.AfterFunc(50*time.Millisecond, func() { e.finish(run, func() { delete(e.held, o.Model) }) })
		return http.StatusAccepted
	}
	total := spec.WeightsMb
	for m := range e.held {
		total += e.specs[m].WeightsMb
	}
	if total > e.memory {
		e.crashes++
		e.record.breach("LIMIT: the %sorder to load %s brings server %s to %.0f of %.0f MB beside %v; the server crashes with %d requests running",
			label, o.Model, e.id, total, e.memory, e.names(), e.running)
		go e.stop()
		return http.StatusAccepted
	}
	e.record.printf("server %s: load of %s begins beside %v, %.0f of %.0f MB, seq %d", e.id, o.Model, e.names(), total, e.memory, e.seq)
	took := spec.LoadTimeS
	if e.onDisk[o.Model] {
		took = spec.DiskS
	}
	time.AfterFunc(time.Duration(took*float64(time.Second)), func() {
		e.finish(run, func() {
			e.held[o.Model], e.onDisk[o.Model] = true, true
			e.record.printf("server %s: holds %v", e.id, e.names())
		})
	})
	return http.StatusAccepted
}

func (e *engine) names() []string {
	list := []string{}
	for m := range e.held {
		list = append(list, m)
	}
	return list
}

func (e *engine) finish(run int, change func()) {
	e.mu.Lock()
	if e.run == run && e.up {
		e.busy = false
		change()
	}
	e.mu.Unlock()
}

// serveStream runs a request: it sends an event every 200 ms.
func (e *engine) serveStream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	_, _ = io.ReadAll(r.Body)
	model, _, _ := strings.Cut(r.Header.Get("X-Model"), "/")
	e.mu.Lock()
	if !e.held[model] {
		e.mu.Unlock()
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.running++
	running, stop := e.running, e.stopRun
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running = max(0, e.running-1)
		e.mu.Unlock()
	}()
	_, tokens, _ := strings.Cut(r.Header.Get("X-Token-Counts"), ",")
	n, _ := strconv.Atoi(tokens)
	n /= 3
	first := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last
	}
	e.record.printf("server %s: runs request %s for %s, events %d to %d", e.id, id, model, first+1, n)
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Request-Id", id)
	h.Set("X-Server-Stamp", "stamp-"+e.id)
	h.Set("X-Server-Load", fmt.Sprintf("%d,0,48", running))
	flush := http.NewResponseController(w)
	for i := first + 1; i <= n; i++ {
		select {
		case <-time.After(200 * time.Millisecond):
		case <-r.Context().Done():
			return
		case <-stop:
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: token\n\n", i)
		_ = flush.Flush()
	}
}
