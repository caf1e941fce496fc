package store

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/settings"
)

const (
	// defaultTimeout bounds a call, beside the wait of a watch.
	defaultTimeout = settings.Duration(2 * time.Second)
	// maxAnswer bounds the answer to one call.
	maxAnswer = int64(64 * knapweedpulley.MiB)
	// idleConnections is the number of connections that are kept.
	idleConnections = 16
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = 30 * time.Second

	headerIfMatch = "If-Match"
	serviceName   = "objectStore"
)

// Settings says where the platform's service is.
type Settings struct {
	// Address is the host and port of the service.
	Address string `json:"address"`
	// Timeout bounds a call; zero stands for two seconds.
	Timeout settings.Duration `json:"timeout"`
}

// Check implements knapweedpulley.Checked.
func (s *Settings) Check(f knapweedpulley.FieldErrors) {
	f.Address("address", s.Address)
	if s.Timeout < 0 {
		f.Addf("timeout", time.Duration(s.Timeout), "must not be below 0")
	}
}

// Client calls the platform's service over HTTP. It implements
// knapweedpulley.ObjectStore and knapweedpulley.MachineList.
type Client struct {
	codec   knapweedpulley.StoreCodec
	base    string
	timeout time.Duration
	client  *http.Client
	service httpc.Service
}

// NewClient returns a client of the project's own spelling of the calls. The
// clean-up closes its connections.
func NewClient(s Settings) (*Client, knapweedpulley.Cleanup, error) {
	return NewClientOf(s, codec{})
}

// NewClientOf returns a client that spells its calls by a codec.
//
// The client of httpc has a circuit breaker per service name, which would turn
// an outage of the store into refusals that outlast it; it is switched off. Its
// default client might send a call again on a broken connection, hence a client
// of our own whose writes can't be rewound and which follows no redirects.
func NewClientOf(s Settings, codec knapweedpulley.StoreCodec) (*Client, knapweedpulley.Cleanup, error) {
	var f settings.Faults
	s.Check(&f)
	if err := f.Err(); err != nil {
		return nil, nil, err
	}
	if s.Timeout == 0 {
		s.Timeout = defaultTimeout
	}
	client := &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	breaker.NoBreakerFor(serviceName)
	c := &Client{
		codec:   codec,
		base:    "http://" + s.Address,
		timeout: time.Duration(s.Timeout),
		client:  client,
		service: httpc.NewServiceWithClient(serviceName, client),
	}
	return c, client.CloseIdleConnections, nil
}

// Get implements knapweedpulley.ObjectStore.
func (c *Client) Get(ctx context.Context, kind knapweedpulley.Kind, name string) (knapweedpulley.Object, error) {
	body, err := c.read(ctx, c.timeout, c.codec.Get(kind, name))
	if err != nil {
		return knapweedpulley.Object{}, errors.Wrapf(err, "get %s/%s", kind, name)
	}
	return c.codec.Object(kind, body)
}

// List implements knapweedpulley.ObjectStore. The parts of a listing may be of
// different revisions; the first one's is returned, so that a watch from there
// on misses nothing.
func (c *Client) List(ctx context.Context, kind knapweedpulley.Kind) (knapweedpulley.Listing, error) {
	var whole knapweedpulley.Listing
	behind := ""
	for {
		body, err := c.read(ctx, c.timeout, c.codec.List(kind, behind))
		if err != nil {
			return knapweedpulley.Listing{}, errors.Wrapf(err, "list %s", kind)
		}
		part, more, err := c.codec.Listing(kind, body)
		if err != nil {
			return knapweedpulley.Listing{}, errors.Wrapf(err, "list %s", kind)
		}
		if behind == "" {
			whole.Revision = part.Revision
		}
		whole.Objects = append(whole.Objects, part.Objects...)
		next, goesOn := more.Get()
		if !goesOn {
			return whole, nil
		}
		behind = next
	}
}

// Watch implements knapweedpulley.ObjectStore.
func (c *Client) Watch(
	ctx context.Context, kind knapweedpulley.Kind, after knapweedpulley.Revision, wait time.Duration,
) ([]knapweedpulley.Change, knapweedpulley.Revision, error) {
	body, err := c.read(ctx, c.timeout+wait, c.codec.Watch(kind, after, wait))
	if err != nil {
		return nil, 0, errors.Wrapf(err, "watch %s", kind)
	}
	return c.codec.Changes(kind, body)
}

// Put implements knapweedpulley.ObjectStore.
func (c *Client) Put(
	ctx context.Context, kind knapweedpulley.Kind, name string, value []byte, expected knapweedpulley.Revision,
) (knapweedpulley.Revision, error) {
	revision, err := c.write(ctx, c.codec.Put(kind, name, value, expected))
	return revision, errors.Wrapf(err, "put %s/%s", kind, name)
}

// Delete implements knapweedpulley.ObjectStore.
func (c *Client) Delete(
	ctx context.Context, kind knapweedpulley.Kind, name string, expected knapweedpulley.Revision,
) (knapweedpulley.Revision, error) {
	revision, err := c.write(ctx, c.codec.Delete(kind, name, expected))
	return revision, errors.Wrapf(err, "delete %s/%s", kind, name)
}

// Machines implements knapweedpulley.MachineList.
func (c *Client) Machines(ctx context.Context) (knapweedpulley.MachineListing, error) {
	body, err := c.read(ctx, c.timeout, knapweedpulley.StoreCall{Method: http.MethodGet, Target: "/machines"})
	if err != nil {
		return knapweedpulley.MachineListing{}, errors.Wrap(err, "list machines")
	}
	var l machineList
	err = decode(body, &l)
	return l.listing(), err
}

// read makes a call that changes nothing.
func (c *Client) read(ctx context.Context, timeout time.Duration, l knapweedpulley.StoreCall) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, l.Method, c.base+l.Target, http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	return c.call(r)
}

// write makes a conditional write. A failure after a connection was used for it
// leaves the outcome unknown.
func (c *Client) write(ctx context.Context, l knapweedpulley.StoreCall) (knapweedpulley.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	r, err := http.NewRequestWithContext(ctx, l.Method, c.base+l.Target, bytes.NewReader(l.Body))
	if err != nil {
		return 0, errors.Wrap(err, "build request")
	}
	// Without GetBody the transport can't send the body a second time.
	r.GetBody = nil
	r.Header.Set("Content-Type", "application/json")
	for _, h := range l.Header {
		r.Header.Set(h.Name, h.Value)
	}
	body, err := c.call(r)
	switch {
	case err == nil:
		return c.codec.Written(body)
	case errors.Is(err, knapweedpulley.ErrObjectNotFound):
		return 0, errors.Mark(err, knapweedpulley.ErrConflict)
	case errors.Is(err, knapweedpulley.ErrConflict), errors.Is(err, errRefused), !sent.Load():
		return 0, err
	default:
		return 0, errors.Mark(err, knapweedpulley.ErrOutcomeUnknown)
	}
}

// errRefused marks answers which say that the call was refused as it stands.
var errRefused = errors.New("refused by the store")

// call sends a request once and returns the body of its answer.
func (c *Client) call(r *http.Request) ([]byte, error) {
	response, err := c.service.DoRequest(r)
	if err != nil {
		// What made this connection fail may have silenced the others too.
		c.client.CloseIdleConnections()
		return nil, errors.Wrap(err, "call the store")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return nil, errors.Wrap(err, "read the store's answer")
	}
	return body, errorOf(response.StatusCode, body)
}

// errorOf returns the error that an answer stands for.
func errorOf(status int, body []byte) error {
	switch {
	case status == http.StatusOK:
		return nil
	case status == http.StatusConflict || status == http.StatusPreconditionFailed:
		return knapweedpulley.ErrConflict
	case status == http.StatusNotFound:
		return knapweedpulley.ErrObjectNotFound
	case status == http.StatusGone:
		return knapweedpulley.ErrCompacted
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return errors.Mark(errors.Newf("status %s: %s", strconv.Itoa(status), body), errRefused)
	default:
		return errors.Newf("status %s", strconv.Itoa(status))
	}
}
