package soak

import (
	"context"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
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
	// streams within an event.
	BrokenOff
	// ResumeFails makes an engine answer requests to resume a stream with an error.
	ResumeFails
	endpointFaultCount
)

// String returns the name of the fault in reports.
func (f EndpointFault) String() string {
	return [...]string{"silent", "unframed", "breaks off", "fails to resume"}[f]
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

// connectionKey is the key of the connection in the context of a request.
type connectionKey struct{}

func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// setReset makes the close of the connection of a request a reset.
func setReset(ctx context.Context) {
	if tcp, ok := ctx.Value(connectionKey{}).(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
