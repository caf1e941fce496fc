// Package exchange sends HTTP requests to back ends at most once each. For the clients of
// engines and services, it decides from the state of the connection whether a failed request
// may have run.
//
// Go's HTTP transport silently resends a request when a kept-alive connection breaks and the
// request has an idempotent method, carries an Idempotency-Key field or has a body that can
// be rewound. To prevent this, the requests of a Client never have a rewindable body and
// never carry such a field. Redirects are not followed and proxies are not used. The circuit
// breaker of httpc is disabled, because it would fail a request without a verdict.
//
// The transport can't tell which request an answer belongs to. Each call of a Client therefore
// gets a new connection, over which no answer to an earlier call can arrive.
//
// A Pool doesn't use that transport: it writes requests to its own connections and checks
// which request an answer belongs to.
//
// # Usage
//
//	client, cleanup := exchange.NewClient("engine")
//	defer cleanup()
//	response, err := client.Send(ctx, exchange.Call{Method: http.MethodGet, URL: url})
//
// The error is a *knapweedpulley.Refusal. Its verdict is NotRun only if no connection to the
// back end was made.
package exchange

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// dialTimeout bounds the wait for a connection. A back end runs on the same machine or
	// close to it.
	dialTimeout = time.Second
)

// Call is one HTTP request to a back end.
type Call struct {
	Method string
	URL    string
	Header []knapweedpulley.HeaderField
	Body   []byte
}

// Client sends calls to one back end, each over a new connection.
type Client struct {
	service httpc.Service
}

// NewClient returns a client whose name identifies it in logs. The clean-up closes its
// connections.
func NewClient(name string) (*Client, knapweedpulley.Cleanup) {
	breaker.NoBreakerFor(name)
	client := newHTTPClient()
	return &Client{service: httpc.NewServiceWithClient(name, client)}, client.CloseIdleConnections
}

// Send sends the call once and returns the answer as soon as its head has arrived. The
// caller closes the body of the answer.
func (c *Client) Send(ctx context.Context, l Call) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := newRequest(httptrace.WithClientTrace(ctx, trace), l)
	if err != nil {
		return nil, knapweedpulley.NewRefusal(knapweedpulley.CodeInvalidRequest, knapweedpulley.NotRun, "%v", err)
	}
	response, err := c.service.DoRequest(request)
	if err != nil {
		return nil, Refuse(ctx, knapweedpulley.ShortenError(err), verdictFor(connected.Load()))
	}
	if !knapweedpulley.IsFinalStatus(response.StatusCode) {
		_ = response.Body.Close()
		return nil, Refuse(ctx, errOddStatus(response), knapweedpulley.MayHaveRun)
	}
	return response, nil
}

// Refuse returns the refusal for a failed exchange. The error of ctx distinguishes a
// canceled request and a passed deadline from a failed back end.
func Refuse(ctx context.Context, err error, v knapweedpulley.Verdict) *knapweedpulley.Refusal {
	code := knapweedpulley.CodeEngineFailed
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		code = knapweedpulley.CodeDeadlineExceeded
	case errors.Is(ctx.Err(), context.Canceled):
		code = knapweedpulley.CodeCanceled
	}
	return knapweedpulley.NewRefusal(code, v, "%v", err)
}

func verdictFor(connected bool) knapweedpulley.Verdict {
	if connected {
		return knapweedpulley.MayHaveRun
	}
	return knapweedpulley.NotRun
}

func newRequest(ctx context.Context, l Call) (*http.Request, error) {
	var body io.Reader
	if len(l.Body) > 0 || retriedByTransport(l.Method) {
		body = nonRewindableReader{bytes.NewReader(l.Body)}
	}
	request, err := http.NewRequestWithContext(ctx, l.Method, l.URL, body)
	if err != nil {
		return nil, errors.Wrap(err, "build the request")
	}
	request.ContentLength = int64(len(l.Body))
	for _, h := range l.Header {
		if !IsDropped(h.Name) {
			request.Header.Add(h.Name, h.Value)
		}
	}
	return request, nil
}

// retriedByTransport reports whether net/http may retry a request without a body.
func retriedByTransport(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, "":
		return true
	}
	return false
}

// nonRewindableReader hides the type of a reader, so that net/http can't rewind it.
type nonRewindableReader struct {
	io.Reader
}

// IsDropped reports whether a caller's header field is withheld from back ends: credentials,
// hop-by-hop fields, and fields that make the transport retry a request. The same fields are
// removed from answers.
func IsDropped(name string) bool {
	name = http.CanonicalHeaderKey(name)
	switch name {
	case "Authorization", "Proxy-Authorization", "Cookie", "X-Api-Key", "Api-Key",
		"Idempotency-Key", "X-Idempotency-Key",
		"Content-Length", "Host", "Expect", "Accept-Encoding":
		return true
	}
	return knapweedpulley.IsHopByHopField(name)
}

func newHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				w, err := dialWire(ctx, dialer, network, address)
				if err != nil {
					return nil, err
				}
				return transportWire{w}, nil
			},
			DisableKeepAlives:      true,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeadSize,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}
