package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// heartbeat is the time between two writes of an endpoint's entry.
	heartbeat = 400 * time.Millisecond
	// loadTime is what a load of a model takes, pieceTime an event, and
	// plainTime a request to a plain service.
	loadTime  = 300 * time.Millisecond
	pieceTime = 8 * time.Millisecond
	plainTime = 50 * time.Millisecond
	// places is the number of models that fit into an engine.
	places = 2
	// pieces is the number of events of a stream.
	pieces = 12
	// modelMB is the size of a model.
	modelMB = 100
)

// Run is one run of a request at an endpoint.
type Run struct {
	Endpoint string
	Customer string
	Key      string
	At       time.Time
	// First is the first event that the run made.
	First int
}

// Records is what all endpoints saw.
type Records struct {
	mu     sync.Mutex
	runs   map[string][]Run
	faults []string
}

// NewRecords returns empty records.
func NewRecords() *Records {
	return &Records{runs: make(map[string][]Run)}
}

func (r *Records) add(id string, run Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], run)
}

// Fault notes a broken promise.
func (r *Records) Fault(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, fmt.Sprintf(format, args...))
}

// Faults returns the broken promises.
func (r *Records) Faults() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.faults)
}

// Runs returns the runs of a request.
func (r *Records) Runs(id string) []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.runs[id])
}

// Endpoint is a stand-in of a model engine or a plain service of the platform.
type Endpoint struct {
	service string
	// listen is its own address, public the one that its entry names.
	listen, public string
	records        *Records
	store          *Store
	engine         bool

	mu       sync.Mutex
	server   *http.Server
	id       string
	starts   int
	born     int64
	models   []string
	busy     bool
	sequence uint64
	draining time.Time
	stop     chan struct{}
}

// NewEndpoint returns an endpoint that has not started.
func NewEndpoint(service, listen, public string, engine bool, store *Store, records *Records) *Endpoint {
	return &Endpoint{
		service: service, listen: listen, public: public, engine: engine, store: store, records: records,
	}
}

// Start starts a run of the endpoint under a new id.
func (e *Endpoint) Start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	listener, err := net.Listen("tcp", e.listen)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", e.listen)
	}
	e.starts++
	e.id = fmt.Sprintf("%s-%d", strings.ReplaceAll(e.public, ":", "-"), e.starts)
	e.born = time.Now().UnixMilli()
	e.models, e.busy, e.sequence, e.draining = nil, false, 0, time.Time{}
	e.stop = make(chan struct{})
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Second}
	go func(s *http.Server) { _ = s.Serve(listener) }(e.server)
	go e.beat(e.id, e.stop)
	return nil
}

// Crash ends the run at once. Its entry lapses a little later.
func (e *Endpoint) Crash() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.stop)
	err := e.server.Close()
	return errors.CombineErrors(err, e.store.Delete(knapweedpulley.KindEndpoints, e.id))
}

// Close ends the endpoint, whatever its state.
func (e *Endpoint) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server == nil {
		return
	}
	// The whole world ends; what fails here is of no interest.
	_ = e.server.Close()
	select {
	case <-e.stop:
	default:
		close(e.stop)
	}
}

// Drain has the endpoint tell that it leaves.
func (e *Endpoint) Drain() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = time.Now()
	return e.register()
}

func (e *Endpoint) beat(id string, stop <-chan struct{}) {
	for {
		e.mu.Lock()
		if e.id == id {
			if err := e.register(); err != nil {
				e.records.Fault("the soak's store failed: %v", err)
			}
		}
		e.mu.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (e *Endpoint) register() error {
	state := "ready"
	if !e.draining.IsZero() {
		state = "draining"
	}
	return e.store.Put(knapweedpulley.KindEndpoints, e.id, map[string]any{
		"service": e.service, "address": e.public, "zone": "a", "slots": 8, "state": state, "born": e.born,
		"models": e.held(), "seq": e.sequence,
	})
}

func (e *Endpoint) held() []map[string]any {
	list := make([]map[string]any, 0, len(e.models))
	for _, m := range e.models {
		list = append(list, map[string]any{"name": m, "adapters": []string{}})
	}
	return list
}

// ServeHTTP implements http.Handler.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/api/report":
		e.report(w)
	case "/api/order":
		e.order(w, r)
	default:
		e.run(w, r)
	}
}

func (e *Endpoint) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(w, map[string]any{
		"born": e.born, "models": e.held(), "busy": e.busy, "seq": e.sequence, "kvTotal": 1000,
		"atHand": map[string]any{"onDisk": []string{"m0", "m1", "m2", "m3"}},
	})
}

func (e *Endpoint) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		OpType       string
		Model        string
		Precondition uint64
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if want := r.Header.Get("X-Expect-Instance"); want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.busy || o.Precondition != e.sequence {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.sequence++
	if o.OpType == "unload" {
		e.models = slices.DeleteFunc(e.models, func(m string) bool { return m == o.Model })
		w.WriteHeader(http.StatusAccepted)
		return
	}
	if len(e.models) >= places {
		e.records.Fault("%s is ordered to load %s beside %v", e.id, o.Model, e.models)
	}
	e.busy = true
	id := e.id
	time.AfterFunc(loadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.id == id {
			e.busy = false
			e.models = append(e.models, o.Model)
		}
	})
	w.WriteHeader(http.StatusAccepted)
}

// admits tells whether the endpoint runs a request, and answers it if not.
func (e *Endpoint) admits(w http.ResponseWriter, r *http.Request) (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	model := r.Header.Get("X-Model")
	if r.Header.Get("X-Expect-Instance") != e.id || (model != "" && !slices.Contains(e.models, model)) {
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return "", false
	}
	return e.id, true
}

func (e *Endpoint) run(w http.ResponseWriter, r *http.Request) {
	request := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", request)
	id, runs := e.admits(w, r)
	if !runs {
		return
	}
	first := 1
	if _, err := fmt.Sscan(r.Header.Get("Last-Event-Id"), &first); err == nil {
		first++
	}
	e.records.add(request, Run{
		Endpoint: id, Customer: r.Header.Get("X-Tenant"), Key: r.Header.Get("Authorization"), At: time.Now(), First: first,
	})
	w.Header().Set("X-Server-Stamp", id+"/"+request)
	if r.Header.Get("X-Model") == "" {
		time.Sleep(plainTime)
		_, _ = fmt.Fprintf(w, "answer to %s", request) //nolint:gosec // No browser reads it.
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := first; n <= pieces; n++ {
		_, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, request) //nolint:gosec // No browser reads it.
		if err := errors.CombineErrors(err, control.Flush()); err != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(pieceTime):
		}
	}
}
