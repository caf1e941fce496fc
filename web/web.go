// Package web serves HTTP with the router of go-zero's rest package, so that only the
// handlers decide on a request. A [Guard] limits what the clients of a process's servers hold.
//
// The engine of rest can time out or shed a request, open a circuit breaker, and refuse
// or decompress a body on its own. Each of these would end a request without a verdict.
// Therefore only the router is used. A server stops when its clean-up is called. The
// clean-up waits for open requests.
//
// # Usage
//
//	routes := []rest.Route{{Method: http.MethodGet, Path: "/health", Handler: health}}
//	guard := web.NewMachineGuard(settings.MemoryMB, settings.MaxFDs)
//	cleanup, err := guard.ServeCallers("127.0.0.1:8080", routes)
package web

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/router"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// headerTimeout bounds the time in which a client must send the request header, bodyTimeout that for a
	// body that isn't read with ReadBody, idleTimeout that between two requests. maxHeaderBytes bounds
	// the header. An operator's body has up to 1 MiB.
	headerTimeout  = 10 * time.Second
	bodyTimeout    = 30 * time.Second
	idleTimeout    = time.Minute
	maxHeaderBytes = int(64 * knapweedpulley.KiB)
	// shutdownTimeout bounds how long a clean-up waits for open requests.
	shutdownTimeout = 10 * time.Minute
	// closeTimeout bounds how long it then waits for a request that has just been read.
	closeTimeout = time.Second
)

// Prefix serves all paths below a prefix, with any method. It exists because paths of rest's router
// have a fixed number of segments.
type Prefix struct {
	Path    string
	Handler http.HandlerFunc
}

// Serve listens on address and serves the routes and prefixes to few clients, such as operators, probes and
// readers of metrics, within the limits of the machine. See [Guard.Serve].
func Serve(
	address string, tlsConfig *tls.Config, routes []rest.Route, prefixes ...Prefix,
) (knapweedpulley.Cleanup, error) {
	return NewMachineGuard(0, 0).Serve(address, tlsConfig, routes, prefixes...)
}

// Serve listens on address and serves the routes and prefixes to few clients, such as operators, probes and
// readers of metrics. If tlsConfig is nil, it serves plain HTTP. The clean-up stops accepting
// connections and waits for open requests. Serve returns an error if a route is invalid or the address
// can't be listened on.
func (g *Guard) Serve(
	address string, tlsConfig *tls.Config, routes []rest.Route, prefixes ...Prefix,
) (knapweedpulley.Cleanup, error) {
	return g.serve(address, tlsConfig, g.limits.Auxiliary, routes, prefixes)
}

// ServeCallers listens on address and serves the routes and prefixes to callers, as [Guard.Serve] does.
// The handlers read bodies with [Guard.ReadBody].
func (g *Guard) ServeCallers(address string, routes []rest.Route, prefixes ...Prefix) (knapweedpulley.Cleanup, error) {
	return g.serve(address, nil, g.limits.Callers, routes, prefixes)
}

func (g *Guard) serve(
	address string, tlsConfig *tls.Config, maximum int, routes []rest.Route, prefixes []Prefix,
) (knapweedpulley.Cleanup, error) {
	handler, err := newHandler(routes, prefixes)
	if err != nil {
		return nil, err
	}
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	connections := NewConnections()
	listener := g.Listen(inner, connections, maximum)
	var stopping atomic.Bool
	server := &http.Server{
		Handler: askToClose(&stopping, refuseSurplus(limitBody(handler))), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, TLSConfig: tlsConfig, ConnState: connections.Track, ConnContext: ConnContext,
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if tlsConfig != nil {
			_ = server.ServeTLS(listener, "", "")
			return
		}
		_ = server.Serve(listener)
	}()
	return func() {
		stopping.Store(true)
		server.SetKeepAlivesEnabled(false)
		_ = listener.Close()
		<-done
		connections.AwaitRequests(time.Now().Add(shutdownTimeout))
		connections.CloseUnused()
		connections.AwaitEnd(time.Now().Add(closeTimeout))
		_ = server.Close()
	}, nil
}

// refuseSurplus refuses the requests of surplus connections.
func refuseSurplus(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if refusal := SurplusRefusal(w, r); refusal != nil {
			WriteRefusal(w, refusal)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// limitBody bounds the time for bodies that a handler reads itself, or that no handler reads: the server
// reads some of them after the answer, before the connection's next request.
func limitBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			control := http.NewResponseController(w)
			_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
			body := r.Body
			r.Body = &timedBody{ReadCloser: body, control: control}
			// The server waits before it closes a connection whose client still sends, so that the client
			// can read the answer. It does so only if it finds its own body.
			defer func() { r.Body = body }()
		}
		next.ServeHTTP(w, r)
	})
}

// timedBody is a body whose deadline ends with it. The deadline would otherwise cancel the request, as if
// its client had left.
type timedBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF { //nolint:errorlint // Only the end of the body itself counts.
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// askToClose asks callers to close their connections if the server is stopping. An HTTP/2 connection
// then takes no further requests, as SetKeepAlivesEnabled closes it only once it has none.
func askToClose(stopping *atomic.Bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// newHandler returns the handler for all routes and prefixes. A handler that panics results in an
// answer with status 500.
func newHandler(routes []rest.Route, prefixes []Prefix) (http.Handler, error) {
	mux := router.NewRouter()
	mux.SetNotFoundHandler(prefixHandler(prefixes))
	mux.SetNotAllowedHandler(http.HandlerFunc(notAllowed))
	for _, r := range routes {
		if err := mux.Handle(r.Method, r.Path, r.Handler); err != nil {
			return nil, errors.Wrapf(err, "route %s %s", r.Method, r.Path)
		}
	}
	return recoverPanics(mux), nil
}

// recoverPanics answers with a refusal if a handler panics before it has begun an answer, without the
// header that the handler has set for its answer. It breaks the connection if an answer has begun, so
// that the partial answer doesn't look complete; a handler does that itself with http.ErrAbortHandler.
func recoverPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		begun := &answerTracker{ResponseWriter: w}
		defer func() {
			switch cause := recover(); {
			case cause == nil:
			case begun.answered || cause == http.ErrAbortHandler: //nolint:errorlint // net/http compares it in the same way.
				panic(http.ErrAbortHandler)
			default:
				clear(w.Header())
				WriteRefusal(w, knapweedpulley.NewRefusal(knapweedpulley.CodeInternal, knapweedpulley.MayHaveRun,
					"internal error"))
			}
		}()
		next.ServeHTTP(begun, r)
	})
}

// answerTracker records whether an answer has begun.
type answerTracker struct {
	http.ResponseWriter
	answered bool
}

// WriteHeader implements http.ResponseWriter. It panics, as package net/http does, if the status is
// none of HTTP; the answer has not begun then.
func (t *answerTracker) WriteHeader(status int) {
	t.ResponseWriter.WriteHeader(status)
	t.answered = t.answered || status >= http.StatusOK
}

// Write implements http.ResponseWriter.
func (t *answerTracker) Write(p []byte) (int, error) {
	t.answered = true
	return t.ResponseWriter.Write(p)
}

// Unwrap returns the writer for http.ResponseController.
func (t *answerTracker) Unwrap() http.ResponseWriter {
	return t.ResponseWriter
}

// prefixHandler returns the handler for paths that match no route.
func prefixHandler(prefixes []Prefix) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		for _, p := range prefixes {
			if strings.HasPrefix(r.URL.Path, p.Path) {
				p.Handler(w, r)
				return
			}
		}
		notFound(w, r)
	}
}

func notFound(w http.ResponseWriter, r *http.Request) {
	WriteRefusal(w, knapweedpulley.NewRefusal(knapweedpulley.CodeRouteNotFound, knapweedpulley.NotRun,
		"no route for path %s", r.URL.Path))
}

func notAllowed(w http.ResponseWriter, r *http.Request) {
	refusal := knapweedpulley.NewRefusal(knapweedpulley.CodeRouteNotFound, knapweedpulley.NotRun,
		"method %s is not allowed for path %s", r.Method, r.URL.Path)
	writeError(w, http.StatusMethodNotAllowed, refusal)
}
