package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// heartbeatInterval is the time between two writes of an endpoint's store entry.
	heartbeatInterval = 400 * time.Millisecond
	// modelLoadTime is how long an engine loads a model, eventInterval is the time
	// between two events of a stream, and plainRequestTime is how long a plain service
	// runs a request.
	modelLoadTime = 300 * time.Millisecond
	// maxSlowRun is shorter than the shortest timeout of a request.
	maxSlowRun       = 1800 * time.Millisecond
	eventInterval    = 8 * time.Millisecond
	plainRequestTime = 50 * time.Millisecond
	// modelsPerEngine is the number of models that fit into the memory of an engine.
	modelsPerEngine = 2
	// eventsPerStream is the number of events in a complete stream.
	eventsPerStream = 12
	modelSizeMB     = 100
)

// RunEnd is how a run of a request ended.
type RunEnd int

// Ends of runs.
const (
	// RunUnfinished is the end of a run that still goes on or that its endpoint's crash ended.
	RunUnfinished RunEnd = iota
	// RunCompleted is set once the endpoint has sent the whole answer.
	RunCompleted
	// RunCanceled is set if the connection was closed while the endpoint was at work.
	RunCanceled
	// RunBroken is set if the endpoint broke the answer off.
	RunBroken
)

// String returns the name of the end in reports.
func (e RunEnd) String() string {
	return [...]string{"unfinished", "completed", "canceled", "broken off"}[e]
}

// Run is one run of a request at an endpoint.
type Run struct {
	Endpoint  string
	Customer  string
	Key       string
	StartedAt time.Time
	// FirstEvent is the number of the first event that the run sends, from 1.
	FirstEvent int
	// Status is that of the endpoint's answer.
	Status   int
	End      RunEnd
	endpoint *Endpoint
}

// String returns where the run was and how it ended, for the description of a violation.
func (r Run) String() string {
	return fmt.Sprintf("%s at %s with status %d, %s", r.Endpoint, r.StartedAt.Format("04:05.000"), r.Status, r.End)
}

// Recorder collects the runs of requests at all endpoints, and the violations that the
// soak found.
type Recorder struct {
	mu      sync.Mutex
	runs    map[string][]Run
	refused map[string]bool
	// left holds the instances of endpoints whose registrations were removed.
	left       map[string]time.Time
	deadly     deadlyPart
	violations []string
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{runs: make(map[string][]Run), refused: make(map[string]bool), left: make(map[string]time.Time)}
}

// recordRun records that a run of a request has started. It returns a function that records its end.
func (r *Recorder) recordRun(id string, run Run) func(RunEnd) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := len(r.runs[id])
	r.runs[id] = append(r.runs[id], run)
	return func(end RunEnd) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.runs[id][n].End = end
	}
}

// recordRefusal records that an endpoint refuses a request, and reports whether it is the first time.
func (r *Recorder) recordRefusal(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := !r.refused[id]
	r.refused[id] = true
	return first
}

// RecordViolation records a broken guarantee.
func (r *Recorder) RecordViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// Violations returns a description of each broken guarantee.
func (r *Recorder) Violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.violations)
}

// Runs returns the runs of a request.
func (r *Recorder) Runs(id string) []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.runs[id])
}

// Endpoint is a fake of a model engine or of a plain service.
type Endpoint struct {
	service string
	zone    string
	// listenAddress is where the endpoint listens. publicAddress is the address of its
	// proxy, which its store entry names.
	listenAddress, publicAddress string
	proxy                        *Proxy
	recorder                     *Recorder
	store                        *Store
	isEngine                     bool
	// keeper is nil for a plain service.
	keeper *Process

	mu           sync.Mutex
	server       *http.Server
	id           string
	starts       int
	startedAtMs  int64
	loadedModels []string
	// adapters holds the adapters of each loaded model.
	adapters map[string][]string
	loading  bool
	sequence uint64
	// orderCount counts the orders, and highestToken is the highest fencing token of those that
	// reached the instance's id.
	orderCount    int
	highestToken  uint64
	lastLateOrder *order
	drainingSince time.Time
	// hasLeft is set if the registration of the running instance was removed.
	hasLeft bool
	running bool
	closed  bool
	// coldTime is how long the endpoint is cold after its start. coldArrivals are the arrivals of the
	// requests that it has admitted while it was cold.
	coldTime     time.Duration
	coldArrivals []time.Time
	// disturbedAt is when the endpoint last started or crashed.
	disturbedAt time.Time
	// faultEnds holds when each fault ends, faultSeeds the seed of its random choices.
	faultEnds  [endpointFaultCount]time.Time
	faultSeeds [endpointFaultCount]uint64
	// connections are the open connections.
	connections sync.Map
	stop        chan struct{}
}

// NewEndpoint returns an endpoint that has not started.
func NewEndpoint(service, listenAddress, publicAddress string, isEngine bool, store *Store, recorder *Recorder) *Endpoint {
	return &Endpoint{
		service: service, zone: zoneInUse, listenAddress: listenAddress, publicAddress: publicAddress, isEngine: isEngine, store: store, recorder: recorder,
	}
}

// Start starts a new instance of the endpoint with a new id and no loaded models.
func (e *Endpoint) Start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.start(false)
}

// start starts a new instance, with the id of the one before if keepID is set. It does nothing if the
// endpoint is running.
func (e *Endpoint) start(keepID bool) error {
	if e.running {
		return nil
	}
	listener, err := listen(e.listenAddress)
	if err != nil {
		return err
	}
	if err := e.proxy.Listen(); err != nil {
		return errors.CombineErrors(err, listener.Close())
	}
	if !keepID {
		e.starts++
		e.id = fmt.Sprintf("%s-%d", strings.ReplaceAll(e.publicAddress, ":", "-"), e.starts)
		e.highestToken = 0
	}
	e.running, e.hasLeft = true, false
	e.disturbedAt = time.Now()
	e.startedAtMs = e.disturbedAt.UnixMilli()
	e.loadedModels, e.adapters, e.loading, e.sequence, e.drainingSince = nil, make(map[string][]string), false, 0, time.Time{}
	e.stop = make(chan struct{})
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Second, ConnContext: withConnection, ConnState: e.trackConnection}
	go func(s *http.Server) { _ = s.Serve(listener) }(e.server)
	go e.sendHeartbeats(e.id, e.stop)
	return nil
}

// Crash closes the server, resets its connections and deletes the store entry of the
// instance.
func (e *Endpoint) Crash() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return errors.CombineErrors(e.end(), e.store.Delete(knapweedpulley.KindEndpoints, e.id))
}

// end closes the server and its connections. It does nothing if the endpoint is not running.
func (e *Endpoint) end() error {
	if !e.running {
		return nil
	}
	e.running = false
	close(e.stop)
	e.disturbedAt = time.Now()
	e.proxy.StopListening()
	return e.closeServer()
}

// trackConnection records the open connections.
func (e *Endpoint) trackConnection(c net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		e.connections.Store(c, nil)
	case http.StateClosed, http.StateHijacked:
		e.connections.Delete(c)
	}
}

// closeServer closes the server and resets its connections. An orderly end would complete an answer
// without a length.
func (e *Endpoint) closeServer() error {
	e.connections.Range(func(c, _ any) bool {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return true
	})
	return e.server.Close()
}

// Close ends the endpoint in any state, also if it never started or has crashed.
func (e *Endpoint) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	// The whole cluster shuts down, so an error here doesn't matter.
	_ = e.end()
	e.closed = true
}

// UndisturbedFor returns for how long the endpoint and its proxy have been free of faults that end
// requests.
func (e *Endpoint) UndisturbedFor() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return min(time.Since(e.disturbedAt), e.proxy.UndisturbedFor())
}

// Drain sets the state in the store entry to draining.
func (e *Endpoint) Drain() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.running || e.hasLeft {
		return nil
	}
	e.drainingSince = time.Now()
	return e.register()
}

func (e *Endpoint) sendHeartbeats(id string, stop <-chan struct{}) {
	for {
		e.mu.Lock()
		if e.id == id && e.running && !e.hasLeft {
			if err := e.register(); err != nil {
				e.recorder.RecordViolation("the fake store rejected the entry of an endpoint: %v", err)
			}
		}
		e.mu.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

func (e *Endpoint) register() error {
	state := "ready"
	if !e.drainingSince.IsZero() {
		state = "draining"
	}
	return e.store.Put(knapweedpulley.KindEndpoints, e.id, map[string]any{
		"service": e.service, "address": e.publicAddress, "zone": e.zone, "slots": 8, "state": state, "born": e.startedAtMs,
		"models": e.modelEntries(), "seq": e.sequence, "coldLeftMs": e.coldLeft().Milliseconds(),
	})
}

func (e *Endpoint) modelEntries() []map[string]any {
	list := make([]map[string]any, 0, len(e.loadedModels))
	for _, m := range e.loadedModels {
		list = append(list, map[string]any{"name": m, "adapters": slices.Concat([]string{}, e.adapters[m])})
	}
	return list
}

// ServeHTTP implements http.Handler.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/api/report":
		e.serveReport(w)
	case "/api/order":
		e.serveOrder(w, r)
	default:
		e.serveRequest(w, r)
	}
}

func (e *Endpoint) serveReport(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, map[string]any{
		"born": e.startedAtMs, "models": e.modelEntries(), "busy": e.loading, "seq": e.sequence, "kvTotal": 1000,
		"atHand": map[string]any{"onDisk": []string{"m0", "m1", "m2", "m3"}},
	})
}

// admits reports whether a request is for this instance and, if it names a model or an adapter,
// whether that is loaded. It returns the id of the instance, or answers with status 421 and
// the actual instance id if the request is not admitted.
func (e *Endpoint) admits(w http.ResponseWriter, r *http.Request) (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.running {
		panic(http.ErrAbortHandler)
	}
	model, adapter, _ := strings.Cut(r.Header.Get("X-Model"), "/")
	if r.Header.Get("X-Expect-Instance") != e.id || (model != "" && !slices.Contains(e.loadedModels, model)) ||
		(adapter != "" && !slices.Contains(e.adapters[model], adapter)) {
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return "", false
	}
	return e.id, true
}

func (e *Endpoint) serveRequest(w http.ResponseWriter, r *http.Request) {
	request := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", request)
	early := e.answersEarly(r)
	if early {
		// The server would read the body before it writes.
		_ = http.NewResponseController(w).EnableFullDuplex()
	} else if _, err := io.Copy(io.Discard, r.Body); err != nil {
		// The server notices that its peer closes the connection only once the body has been read.
		return
	}
	if c, ok := r.Context().Value(connectionKey{}).(*connection); ok {
		c.beginRequest()
	}
	// The run counts from before its admission, so that a crash in between counts as during the run.
	startedAt := time.Now()
	isDeadly := e.recorder.recordArrival(request, r.Header.Get("X-Prompt-Prefix"))
	id, runs := e.admits(w, r)
	if !runs {
		return
	}
	e.recordColdRequest()
	if !early && e.refusesOddly(w, r) {
		return
	}
	first := 1
	if _, err := fmt.Sscan(r.Header.Get("Last-Event-Id"), &first); err == nil {
		first++
	}
	status := http.StatusOK
	if first > 1 && e.faultLeft(ResumeFails) > 0 {
		status = []int{http.StatusInternalServerError, http.StatusServiceUnavailable, http.StatusNotFound}[e.choices(ResumeFails, request, "").IntN(3)]
	}
	if status == http.StatusServiceUnavailable {
		refuse(w)
		return
	}
	recordEnd := e.recorder.recordRun(request, Run{
		Endpoint: id, Customer: r.Header.Get("X-Tenant"), Key: r.Header.Get("Authorization"), StartedAt: startedAt, FirstEvent: first,
		Status: status, endpoint: e,
	})
	w.Header().Set("X-Server-Stamp", id+"/"+request)
	if isDeadly {
		e.crashForAWhile(request)
		return
	}
	if status != http.StatusOK {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, errorText)
		recordEnd(RunCompleted)
		return
	}
	e.serveAnswer(w, r, first, early, recordEnd)
}

// spoilAnswer cuts the answer's head or sends an answer without end if there is a fault that chooses
// the request. It doesn't return then.
func (e *Endpoint) spoilAnswer(w http.ResponseWriter, r *http.Request, isStream bool, first int, recordEnd func(RunEnd)) {
	request := r.Header.Get("X-Request-Id")
	if e.cutsHead(request) {
		recordEnd(RunBroken)
		e.cutHead(w, r)
	}
	if e.chooses(Endless, request) {
		e.newEndlessAnswer(request, w.Header().Get("X-Server-Stamp"), isStream, first).send(r.Context())
		recordEnd(RunBroken)
		panic(http.ErrAbortHandler)
	}
}

// serveAnswer sends the answer to a request, or that of a stream from event number first on. It reads
// the body of the request after an early answer.
func (e *Endpoint) serveAnswer(w http.ResponseWriter, r *http.Request, first int, early bool, recordEnd func(RunEnd)) {
	request := r.Header.Get("X-Request-Id")
	isStream := r.Header.Get("X-Model") != ""
	e.spoilAnswer(w, r, isStream, first, recordEnd)
	parts, interval := []string{"answer to ", request}, plainRequestTime/2
	if isStream {
		w.Header().Set("Content-Type", "text/event-stream")
		parts, interval = events(request, first), eventInterval
	}
	unframed := early || e.chooses(Unframed, request)
	if early {
		interval = e.earlyInterval(request)
	}
	switch {
	case unframed:
		// The server then ends the answer by closing the connection.
		w.Header().Set("Transfer-Encoding", "identity")
	case !isStream:
		w.Header().Set("Content-Length", strconv.Itoa(len("answer to "+request))) //nolint:gosec // Only one of the two is set.
	}
	broken := e.chooses(BrokenOff, request)
	if broken {
		parts = e.breakOff(parts, request)
	}
	if e.faultLeft(Slow) > 0 && len(parts) > 0 {
		interval = time.Duration(e.choices(Slow, request, "").Int64N(int64(maxSlowRun))) / time.Duration(len(parts))
	}
	if err := e.answer(r.Context(), w, parts, interval); err != nil {
		recordEnd(RunCanceled)
		return
	}
	if broken {
		recordEnd(RunBroken)
		// Without a length, only a reset shows that an answer other than a stream is incomplete.
		if (unframed && !isStream) || e.choices(BrokenOff, request, "reset").IntN(2) == 0 {
			setReset(r.Context())
		}
		panic(http.ErrAbortHandler)
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		recordEnd(RunCanceled)
		return
	}
	recordEnd(RunCompleted)
}

// events returns the events of a stream from number first on.
func events(request string, first int) []string {
	var list []string
	for n := first; n <= eventsPerStream; n++ {
		list = append(list, fmt.Sprintf("id: %d\ndata: %s\n\n", n, request))
	}
	return list
}

// answer sends the parts of a body, each after an interval.
func (e *Endpoint) answer(ctx context.Context, w http.ResponseWriter, parts []string, interval time.Duration) error {
	control := http.NewResponseController(w)
	for _, p := range parts {
		if err := sleep(ctx, max(interval, e.faultLeft(Silent))); err != nil {
			return err
		}
		_, err := io.WriteString(w, p) //nolint:gosec // No browser reads it.
		if err := errors.CombineErrors(err, control.Flush()); err != nil {
			return err
		}
	}
	return nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
