// Package fault injects faults into the HTTP requests of a stand-in: delays, dropped
// connections, lost responses, refusals and freezes.
//
// # Usage
//
// A stand-in wraps its handler; a test then sets a fault:
//
//	faults := fault.NewInjector()
//	server := httptest.NewServer(faults.Wrap(handler))
//	faults.Set(fault.Fault{LoseAnswer: true, Count: 1})
//
// Over HTTP, POST /fault sets a fault and DELETE /fault clears it. The exempt paths that are
// passed to Wrap are never affected.
package fault

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/knapweedpulley/knapweedpulley/settings"
	"github.com/knapweedpulley/knapweedpulley/standin/web"
)

// pathFault is the path at which faults are set and cleared.
const pathFault = "/fault"

// Fault describes how requests to a stand-in fail. Its zero value is no fault.
type Fault struct {
	// Delay is the time before a request is processed. The request is processed even if its
	// caller has disconnected by then.
	Delay settings.Duration `json:"delay,omitempty"`
	// Drop is the share of requests, from 0 to 1, whose connection is closed before they are
	// processed.
	Drop float64 `json:"drop,omitempty"`
	// LoseAnswer processes a request and closes its connection without a response.
	LoseAnswer bool `json:"loseAnswer,omitempty"`
	// Refuse responds with 503 without processing the request.
	Refuse bool `json:"refuse,omitempty"`
	// Freeze delays requests and responses until the fault is cleared, as a suspended process
	// does. Requests are processed after that.
	Freeze bool `json:"freeze,omitempty"`
	// Seed makes the choice of dropped requests reproducible.
	Seed uint64 `json:"seed,omitempty"`
	// Count bounds the number of affected requests; zero means no bound.
	Count int `json:"count,omitempty"`
}

// Injector applies a fault to the requests of a handler.
type Injector struct {
	mu        sync.Mutex
	fault     Fault
	remaining int
	random    *rand.Rand
	unfrozen  chan struct{}
}

// NewInjector returns an injector without a fault.
func NewInjector() *Injector {
	return &Injector{}
}

// Set replaces the fault and ends a freeze of the previous one.
func (i *Injector) Set(f Fault) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.fault = f
	i.remaining = f.Count
	i.random = rand.New(rand.NewPCG(f.Seed, f.Seed)) //nolint:gosec // The choice must be reproducible.
	i.unfreeze()
	if f.Freeze {
		i.unfrozen = make(chan struct{})
	}
}

// Clear removes the fault and lets frozen requests and responses proceed.
func (i *Injector) Clear() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.fault = Fault{}
	i.unfreeze()
}

func (i *Injector) unfreeze() {
	if i.unfrozen != nil {
		close(i.unfrozen)
		i.unfrozen = nil
	}
}

// next returns the fault to apply to one request, and whether to drop the request.
func (i *Injector) next() (f Fault, drop bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.fault == (Fault{}) {
		return Fault{}, false
	}
	if i.fault.Count > 0 && i.remaining == 0 {
		return Fault{}, false
	}
	drop = i.fault.Drop > 0 && i.random.Float64() < i.fault.Drop
	if i.fault.Drop == 0 || drop {
		i.remaining--
	}
	return i.fault, drop
}

// frozen returns a channel that is closed when the freeze ends, or nil if there is none.
func (i *Injector) frozen() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.unfrozen
}

// waitWhileFrozen blocks while the stand-in is frozen.
func (i *Injector) waitWhileFrozen() {
	for frozen := i.frozen(); frozen != nil; frozen = i.frozen() {
		<-frozen
	}
}

// Wrap returns a handler that applies the fault to requests to next, except on the exempt
// paths, and that serves /fault.
func (i *Injector) Wrap(next http.Handler, exempt ...string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == pathFault:
			i.serveControl(w, r)
		case slices.Contains(exempt, r.URL.Path):
			next.ServeHTTP(w, r)
		default:
			i.apply(next, w, r)
		}
	})
}

func (i *Injector) serveControl(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodPost:
		var f Fault
		if !web.Read(w, r, &f) {
			return
		}
		i.Set(f)
	case http.MethodDelete:
		i.Clear()
	default:
		web.WriteError(w, http.StatusMethodNotAllowed, "invalidRequest", "use POST or DELETE")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (i *Injector) apply(next http.Handler, w http.ResponseWriter, r *http.Request) {
	f, drop := i.next()
	if drop {
		panic(http.ErrAbortHandler)
	}
	if f.Refuse {
		web.WriteError(w, http.StatusServiceUnavailable, "refused", "the stand-in is set to refuse requests")
		return
	}
	if f.Delay > 0 || f.Freeze {
		bufferBody(r)
		time.Sleep(time.Duration(f.Delay))
		i.waitWhileFrozen()
	}
	if f.LoseAnswer {
		next.ServeHTTP(newDiscardWriter(), r)
		panic(http.ErrAbortHandler)
	}
	next.ServeHTTP(&freezableWriter{ResponseWriter: w, injector: i}, r)
}

// bufferBody reads the body into memory, so that the request can be processed after its
// caller has disconnected.
func bufferBody(r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
}

// freezableWriter writes a response, but blocks while the stand-in is frozen.
type freezableWriter struct {
	http.ResponseWriter
	injector *Injector
}

// Write implements http.ResponseWriter.
func (h *freezableWriter) Write(p []byte) (int, error) {
	h.injector.waitWhileFrozen()
	return h.ResponseWriter.Write(p)
}

// Unwrap gives http.ResponseController access to the underlying writer.
func (h *freezableWriter) Unwrap() http.ResponseWriter {
	return h.ResponseWriter
}

// discardWriter discards the response that is written to it.
type discardWriter struct {
	header http.Header
}

func newDiscardWriter() *discardWriter {
	return &discardWriter{header: make(http.Header)}
}

// Header implements http.ResponseWriter.
func (d *discardWriter) Header() http.Header {
	return d.header
}

// Write implements http.ResponseWriter.
func (d *discardWriter) Write(p []byte) (int, error) {
	return len(p), nil
}

// WriteHeader implements http.ResponseWriter.
func (d *discardWriter) WriteHeader(int) {}

// Flush implements http.Flusher.
func (d *discardWriter) Flush() {}
