package soak

import (
	"bytes"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// EndpointFault is a fault of an endpoint that goes on serving.
type EndpointFault int

// Faults of endpoints.
const (
	// Silent makes an endpoint send nothing, in the middle of an answer too, and then go on.
	Silent EndpointFault = iota
	// Unframed makes an endpoint send some answers with neither a length nor chunks.
	Unframed
	// BrokenOff makes an endpoint close or reset some connections in the middle of an answer, in
	// streams within an event, or in the middle of an answer's head.
	BrokenOff
	// ResumeFails makes an engine answer requests to resume a stream with an error.
	ResumeFails
	// RepeatedRefusal makes an endpoint refuse some requests and write the refusal once more.
	RepeatedRefusal
	// Slow makes an endpoint take up to maxSlowRun for an answer.
	Slow
	// Endless makes an endpoint answer some requests without end.
	Endless
	// EarlyAnswer makes an endpoint answer some requests with long bodies without a length, some of them
	// slowly, and read the body after the answer.
	EarlyAnswer
	// LateOrders makes an engine carry out some orders seconds later, without an answer.
	LateOrders
	endpointFaultCount
)

// String returns the name of the fault in reports.
func (f EndpointFault) String() string {
	return [...]string{
		"silent", "unframed", "breaks off", "fails to resume", "repeats refusals", "slow", "sends without end", "answers early",
		"carries out orders late",
	}[f]
}

// Inject begins a fault that ends after d. Seed determines its random choices.
func (e *Endpoint) Inject(f EndpointFault, d time.Duration, seed uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faultEnds[f], e.faultSeeds[f] = time.Now().Add(d), seed
}

// faultLeft returns the time until a fault ends. It is negative if there is no such fault.
func (e *Endpoint) faultLeft(f EndpointFault) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Until(e.faultEnds[f])
}

// choices returns the source of the random choices of a fault for a request.
func (e *Endpoint) choices(f EndpointFault, request, purpose string) *rand.Rand {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := fnv.New64a()
	_, _ = h.Write([]byte(request + " " + purpose))
	return rand.New(rand.NewPCG(e.faultSeeds[f], h.Sum64())) //nolint:gosec // It needs no secrecy.
}

// chooses reports whether there is a fault and it affects a request, which half of them are.
func (e *Endpoint) chooses(f EndpointFault, request string) bool {
	return e.faultLeft(f) > 0 && e.choices(f, request, "").IntN(2) == 0
}

// answersEarly reports whether the endpoint answers a request before it reads its body.
func (e *Endpoint) answersEarly(r *http.Request) bool {
	return r.ContentLength >= longBodySize && e.chooses(EarlyAnswer, r.Header.Get("X-Request-Id"))
}

// longestEarlyInterval is the longest time before a part of an early answer.
const longestEarlyInterval = 1700 * time.Millisecond

// earlyInterval returns the time before each part of the early answer to a request.
func (e *Endpoint) earlyInterval(request string) time.Duration {
	if e.choices(EarlyAnswer, request, "slow").IntN(3) == 0 {
		return longestEarlyInterval
	}
	return plainRequestTime
}

// errorText is the body of an endpoint's errors.
const errorText = "the endpoint failed\n"

// refuse answers that the endpoint does not run the request.
func refuse(w http.ResponseWriter) {
	w.Header().Set("X-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w, errorText)
}

// breakOff returns the parts of a body up to the middle of one of them.
func (e *Endpoint) breakOff(parts []string, request string) []string {
	if len(parts) == 0 {
		return nil
	}
	last := e.choices(BrokenOff, request, "part").IntN(len(parts))
	half := parts[last][:len(parts[last])/2]
	return append(parts[:last:last], half)
}

// cutsHead reports whether the endpoint breaks off the answer to a request in its head.
func (e *Endpoint) cutsHead(request string) bool {
	return e.chooses(BrokenOff, request) && e.choices(BrokenOff, request, "head").IntN(3) == 0
}

// cutHead sends a part of an answer's head and closes or resets the connection.
func (e *Endpoint) cutHead(w http.ResponseWriter, r *http.Request) {
	var head bytes.Buffer
	head.WriteString("HTTP/1.1 200 OK\r\n")
	// Writing to a buffer doesn't fail.
	_ = w.Header().Write(&head)
	head.WriteString("Content-Length: 10\r\n\r\n")
	request := r.Header.Get("X-Request-Id")
	head.Truncate(e.choices(BrokenOff, request, "head length").IntN(head.Len()))
	c, _ := r.Context().Value(connectionKey{}).(*connection)
	// The peer may have closed the connection.
	_, _ = c.conn.Write(head.Bytes())
	if e.choices(BrokenOff, request, "reset").IntN(2) == 0 {
		setReset(r.Context())
	}
	panic(http.ErrAbortHandler)
}

// refusesOddly refuses a request if there is a fault by which that is done in an odd way.
func (e *Endpoint) refusesOddly(w http.ResponseWriter, r *http.Request) bool {
	request := r.Header.Get("X-Request-Id")
	if e.chooses(RepeatedRefusal, request) && e.recorder.recordRefusal(request) {
		// The peer may have closed the connection.
		_ = e.repeatRefusal(w, r)
		return true
	}
	if e.chooses(Endless, request) && len(e.recorder.Runs(request)) == 0 && e.choices(Endless, request, "refusal").IntN(4) == 0 {
		newEndlessRefusal(request).send(r.Context())
		panic(http.ErrAbortHandler)
	}
	return false
}

// repeatRefusal refuses a request and writes the refusal once more: at once, while the connection is
// idle, or when the next request arrives on it.
func (e *Endpoint) repeatRefusal(w http.ResponseWriter, r *http.Request) error {
	request := r.Header.Get("X-Request-Id")
	w.Header().Set("Content-Length", strconv.Itoa(len(errorText)))
	refuse(w)
	if err := http.NewResponseController(w).Flush(); err != nil {
		return err
	}
	refusal := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: %d\r\n\r\n%s",
		request, len(errorText), errorText)
	c, _ := r.Context().Value(connectionKey{}).(*connection)
	c.mu.Lock()
	defer c.mu.Unlock()
	random := e.choices(RepeatedRefusal, request, "time")
	switch random.IntN(3) {
	case 0:
		_, err := io.WriteString(c.conn, refusal)
		return err
	case 1:
		c.timer = time.AfterFunc(time.Duration(20+random.IntN(300))*time.Millisecond, c.writePending)
	}
	c.pending = refusal
	return nil
}

// connection is a connection to an endpoint.
type connection struct {
	conn net.Conn

	mu sync.Mutex
	// pending is a refusal to write once more. Timer, if set, writes it on the idle connection.
	pending string
	timer   *time.Timer
}

// beginRequest writes the pending refusal at the arrival of a request.
func (c *connection) beginRequest() {
	c.mu.Lock()
	if c.timer != nil {
		c.timer.Stop()
	}
	c.mu.Unlock()
	c.writePending()
}

func (c *connection) writePending() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending != "" {
		// The connection may be closed.
		_, _ = io.WriteString(c.conn, c.pending)
	}
	c.pending = ""
}

// connectionKey is the key of the connection in the context of a request.
type connectionKey struct{}

func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, &connection{conn: c})
}

// setReset makes the close of the connection of a request a reset.
func setReset(ctx context.Context) {
	c, _ := ctx.Value(connectionKey{}).(*connection)
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
