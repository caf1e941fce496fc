// Package exchange sends an HTTP request to a back end at most once.
//
// Go's HTTP transport sends a request again, without a word, when a kept-alive
// connection breaks and the request is idempotent by its method, carries an
// Idempotency-Key field or has a body that can be rewound. A call that may not
// be repeated must not be open to that. The requests of this package therefore
// never have a body that can be rewound, and never carry such a field;
// redirects are not followed, proxies not used, and the circuit breaker of
// httpc is off, since it would end a request without a verdict.
//
// # Usage
//
//	client, cleanup := exchange.NewClient("engine")
//	defer cleanup()
//	response, err := client.Send(ctx, exchange.Call{Method: http.MethodGet, URL: url})
//
// The error is a *knapweedpulley.Refusal: its verdict is NotRun only if no
// connection to the back end was made.
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
	// dialTimeout bounds the wait for a connection; a back end is on the same
	// machine or beside it.
	dialTimeout = time.Second
	// idleTimeout closes kept connections before common servers do.
	idleTimeout = 2 * time.Second
	// maxIdle is the number of connections that are kept open to a back end.
	maxIdle = 64
)

// Call is one HTTP request to a back end.
type Call struct {
	Method string
	URL    string
	Header []knapweedpulley.HeaderField
	Body   []byte
	// Fresh asks for a new connection, so that the call can't fail because a
	// kept connection was closed or has gone silent.
	Fresh bool
}

// Client sends calls to one back end.
type Client struct {
	kept  httpc.Service
	fresh httpc.Service
}

// NewClient returns a client; name tells it apart in the logs. The clean-up
// closes its connections.
func NewClient(name string) (*Client, knapweedpulley.Cleanup) {
	breaker.NoBreakerFor(name)
	kept := newTransport(false)
	fresh := newTransport(true)
	c := &Client{
		kept:  httpc.NewServiceWithClient(name, newHTTPClient(kept)),
		fresh: httpc.NewServiceWithClient(name, newHTTPClient(fresh)),
	}
	return c, func() {
		kept.CloseIdleConnections()
		fresh.CloseIdleConnections()
	}
}

// Send sends the call once and returns the answer as soon as its head is there.
// The caller closes the body of the answer.
func (c *Client) Send(ctx context.Context, l Call) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := newRequest(httptrace.WithClientTrace(ctx, trace), l)
	if err != nil {
		return nil, knapweedpulley.NewRefusal(knapweedpulley.CodeInvalidRequest, knapweedpulley.NotRun, "%v", err)
	}
	service := c.kept
	if l.Fresh {
		service = c.fresh
	}
	response, err := service.DoRequest(request)
	if err != nil {
		return nil, Refuse(ctx, err, verdict(connected.Load()))
	}
	return response, nil
}

// Refuse returns the refusal for a failed exchange. The state of ctx tells a
// caller that went away and a passed deadline from a failed back end.
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

func verdict(connected bool) knapweedpulley.Verdict {
	if connected {
		return knapweedpulley.MayHaveRun
	}
	return knapweedpulley.NotRun
}

func newRequest(ctx context.Context, l Call) (*http.Request, error) {
	var body io.Reader
	if len(l.Body) > 0 || repeatable(l.Method) {
		body = onceReader{bytes.NewReader(l.Body)}
	}
	request, err := http.NewRequestWithContext(ctx, l.Method, l.URL, body)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	request.ContentLength = int64(len(l.Body))
	for _, h := range l.Header {
		if !Dropped(h.Name) {
			request.Header.Add(h.Name, h.Value)
		}
	}
	return request, nil
}

// repeatable reports whether net/http may repeat a request without a body.
func repeatable(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, "":
		return true
	}
	return false
}

// onceReader hides the type of a reader, so that net/http can't rewind it.
type onceReader struct {
	io.Reader
}

// Dropped reports whether a header field of a caller is never sent to a back
// end: credentials, fields of the connection, and those that make the transport
// repeat a request.
func Dropped(name string) bool {
	name = http.CanonicalHeaderKey(name)
	switch name {
	case "Authorization", "Proxy-Authorization", "Cookie", "X-Api-Key", "Api-Key",
		"Idempotency-Key", "X-Idempotency-Key",
		"Content-Length", "Host", "Expect", "Accept-Encoding":
		return true
	}
	return knapweedpulley.IsHopByHopField(name)
}

func newTransport(fresh bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		DisableKeepAlives:   fresh,
		DisableCompression:  true,
		MaxIdleConns:        maxIdle,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleTimeout,
	}
}

func newHTTPClient(t *http.Transport) *http.Client {
	return &http.Client{
		Transport: t,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}
