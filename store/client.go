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
	// defaultTimeout bounds a call. A watch may take its wait in addition.
	defaultTimeout = settings.Duration(2 * time.Second)
	// maxAnswerSize bounds the answer to one call, in bytes.
	maxAnswerSize = int64(16 * knapweedpulley.MiB)
	// maxHeadSize bounds the head of an answer and maxReasonSize the part of a refusal's body that
	// gets into an error, in bytes.
	maxHeadSize   = int64(64 * knapweedpulley.KiB)
	maxReasonSize = 200
	// maxIdleConnections bounds the number of idle connections.
	maxIdleConnections = 16
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 30 * time.Second

	headerIfMatch = "If-Match"
	serviceName   = "objectStore"
)

// Settings hold the address of the platform's service and the timeout of calls.
type Settings struct {
	// Address is the host and port of the service.
	Address string `json:"address"`
	// Timeout bounds a call. Zero stands for 2 s.
	Timeout settings.Duration `json:"timeout"`
}

// Check implements knapweedpulley.Checker.
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
	reads   httpc.Service
	writes  httpc.Service
}

// NewClient returns a client that encodes its calls in the project's own format. It
// returns an error if the settings are invalid. The clean-up closes the client's
// idle connections.
func NewClient(s Settings) (*Client, knapweedpulley.Cleanup, error) {
	return NewClientWithCodec(s, codec{})
}

// NewClientWithCodec returns a client that encodes its calls with a codec. Errors and
// clean-up are as in NewClient.
//
// The httpc service has a circuit breaker per service name. The breaker is switched
// off, because it would still refuse calls after an outage of the store has ended.
// The default HTTP client of httpc might send a call again after its connection
// broke. The services therefore get separate clients, which follow no redirects
// and whose writes have no body that can be sent again. Each write has a connection
// of its own, because answers don't name the call that they belong to.
func NewClientWithCodec(s Settings, codec knapweedpulley.StoreCodec) (*Client, knapweedpulley.Cleanup, error) {
	var f settings.Faults
	s.Check(&f)
	if err := f.Err(); err != nil {
		return nil, nil, err
	}
	if s.Timeout == 0 {
		s.Timeout = defaultTimeout
	}
	client := newHTTPClient(&http.Transport{
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	})
	writer := newHTTPClient(&http.Transport{DisableKeepAlives: true, DisableCompression: true})
	breaker.NoBreakerFor(serviceName)
	c := &Client{
		codec:   codec,
		base:    "http://" + s.Address,
		timeout: time.Duration(s.Timeout),
		client:  client,
		reads:   httpc.NewServiceWithClient(serviceName, client),
		writes:  httpc.NewServiceWithClient(serviceName, writer),
	}
	return c, client.CloseIdleConnections, nil
}

func newHTTPClient(t *http.Transport) *http.Client {
	t.MaxResponseHeaderBytes = maxHeadSize
	return &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Get implements knapweedpulley.ObjectStore.
func (c *Client) Get(ctx context.Context, kind knapweedpulley.Kind, name string) (knapweedpulley.Object, error) {
	a, err := c.read(ctx, c.timeout, c.codec.Get(kind, name))
	if err != nil {
		return knapweedpulley.Object{}, errors.Wrapf(err, "get %s/%s", kind, name)
	}
	o, err := c.codec.Object(kind, a.body)
	a.addEpochTo(&o)
	return o, err
}

// List implements knapweedpulley.ObjectStore. The pages of a listing may have
// different revisions. List returns that of the first page, so that a watch from
// there misses no change. It fails if the store begins another epoch meanwhile.
func (c *Client) List(ctx context.Context, kind knapweedpulley.Kind) (knapweedpulley.Listing, error) {
	var result knapweedpulley.Listing
	afterName := ""
	for {
		page, more, err := c.listPage(ctx, kind, afterName)
		if err != nil {
			return knapweedpulley.Listing{}, errors.Wrapf(err, "list %s", kind)
		}
		if afterName == "" {
			result.Revision = page.Revision
		}
		if page.Revision.Epoch() != result.Revision.Epoch() {
			return knapweedpulley.Listing{}, errors.Newf("list %s: the store has begun epoch %d meanwhile", kind, page.Revision.Epoch())
		}
		result.Objects = append(result.Objects, page.Objects...)
		next, continues := more.Get()
		if !continues {
			return result, nil
		}
		if next == afterName {
			return knapweedpulley.Listing{}, errors.Newf("list %s: the page after %q leads to itself", kind, afterName)
		}
		afterName = next
	}
}

// listPage returns the page of a listing after a name, and the name after which the listing continues.
func (c *Client) listPage(
	ctx context.Context, kind knapweedpulley.Kind, afterName string,
) (knapweedpulley.Listing, knapweedpulley.Option[string], error) {
	none := knapweedpulley.None[string]()
	a, err := c.read(ctx, c.timeout, c.codec.List(kind, afterName))
	if err != nil {
		return knapweedpulley.Listing{}, none, err
	}
	page, more, err := c.codec.Listing(kind, a.body)
	if err != nil {
		return knapweedpulley.Listing{}, none, err
	}
	for i := range page.Objects {
		a.addEpochTo(&page.Objects[i])
	}
	return page, more, a.addEpoch(&page.Revision)
}

// Watch implements knapweedpulley.ObjectStore. In another epoch than that of the given revision, the
// store may have assigned the revision to another change, so the changes after it say nothing.
func (c *Client) Watch(
	ctx context.Context, kind knapweedpulley.Kind, after knapweedpulley.Revision, wait time.Duration,
) ([]knapweedpulley.Change, knapweedpulley.Revision, error) {
	a, err := c.read(ctx, c.timeout+wait, c.codec.Watch(kind, after.Number(), wait))
	if err != nil {
		return nil, 0, errors.Wrapf(err, "watch %s", kind)
	}
	if a.epoch != after.Epoch() {
		return nil, 0, errors.Wrapf(knapweedpulley.ErrCompacted, "watch %s: the store is in epoch %d, not %d", kind, a.epoch, after.Epoch())
	}
	changes, revision, err := c.codec.Changes(kind, a.body)
	if err != nil {
		return nil, 0, err
	}
	for i := range changes {
		a.addEpochTo(&changes[i].Object)
	}
	return changes, revision, a.addEpoch(&revision)
}

// Put implements knapweedpulley.ObjectStore.
func (c *Client) Put(
	ctx context.Context, kind knapweedpulley.Kind, name string, value []byte, expected knapweedpulley.Revision,
) (knapweedpulley.Revision, error) {
	revision, err := c.write(ctx, c.codec.Put(kind, name, value, expected.Number()))
	return revision, errors.Wrapf(err, "put %s/%s", kind, name)
}

// Delete implements knapweedpulley.ObjectStore.
func (c *Client) Delete(
	ctx context.Context, kind knapweedpulley.Kind, name string, expected knapweedpulley.Revision,
) (knapweedpulley.Revision, error) {
	revision, err := c.write(ctx, c.codec.Delete(kind, name, expected.Number()))
	return revision, errors.Wrapf(err, "delete %s/%s", kind, name)
}

// Machines implements knapweedpulley.MachineList.
func (c *Client) Machines(ctx context.Context) (knapweedpulley.MachineListing, error) {
	a, err := c.read(ctx, c.timeout, knapweedpulley.StoreCall{Method: http.MethodGet, Target: "/machines"})
	if err != nil {
		return knapweedpulley.MachineListing{}, errors.Wrap(err, "list machines")
	}
	var l machineList
	err = decode(a.body, &l)
	return l.listing(), err
}

// answer is an answer of the store to a call that it carried out.
type answer struct {
	body  []byte
	epoch knapweedpulley.StoreEpoch
}

// addEpoch adds the epoch of the answer to one of its revisions.
func (a answer) addEpoch(r *knapweedpulley.Revision) error {
	revision, valid := r.InEpoch(a.epoch)
	if !valid {
		return errors.Newf("revision %d of the store is out of range", uint64(*r))
	}
	*r = revision
	return nil
}

// addEpochTo adds the epoch of the answer to the revision of an object. An object whose revision is out of
// range has no value.
func (a answer) addEpochTo(o *knapweedpulley.Object) {
	if a.addEpoch(&o.Revision) != nil {
		o.Revision, o.Value = 0, nil
		_ = a.addEpoch(&o.Revision)
	}
}

// read sends a call that changes nothing and returns the answer. If a connection was
// established and delivers no answer, the error is knapweedpulley.ErrConnectionLost.
func (c *Client) read(ctx context.Context, timeout time.Duration, call knapweedpulley.StoreCall) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ctx, connected := traceConnection(ctx)
	r, err := http.NewRequestWithContext(ctx, call.Method, c.base+call.Target, http.NoBody)
	if err != nil {
		return answer{}, errors.Wrap(err, "build request")
	}
	a, err := c.call(c.reads, r)
	if errors.Is(err, errNoAnswer) && connected.Load() {
		return answer{}, errors.Mark(err, knapweedpulley.ErrConnectionLost)
	}
	return a, err
}

// traceConnection returns a context for a request, and a value that becomes true once the request
// has a connection.
func traceConnection(ctx context.Context) (context.Context, *atomic.Bool) {
	connected := new(atomic.Bool)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}), connected
}

// write sends a conditional write and returns its revision. A failure after the
// write got a connection leaves its outcome unknown, unless the store's answer says
// that it refused the write.
func (c *Client) write(ctx context.Context, call knapweedpulley.StoreCall) (knapweedpulley.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	ctx, connected := traceConnection(ctx)
	r, err := http.NewRequestWithContext(ctx, call.Method, c.base+call.Target, bytes.NewReader(call.Body))
	if err != nil {
		return 0, errors.Wrap(err, "build request")
	}
	// Without GetBody, the transport can't send the body a second time.
	r.GetBody = nil
	r.Header.Set("Content-Type", "application/json")
	for _, h := range call.Header {
		r.Header.Set(h.Name, h.Value)
	}
	var revision knapweedpulley.Revision
	a, err := c.call(c.writes, r)
	if err == nil {
		// An answer without a length may be cut.
		revision, err = c.codec.Written(a.body)
	}
	if err == nil {
		err = a.addEpoch(&revision)
	}
	switch {
	case err == nil:
		return revision, nil
	case errors.Is(err, knapweedpulley.ErrObjectNotFound):
		return 0, errors.Mark(err, knapweedpulley.ErrConflict)
	case errors.Is(err, knapweedpulley.ErrConflict), errors.Is(err, errRefused), !connected.Load():
		return 0, err
	default:
		return 0, errors.Mark(err, knapweedpulley.ErrOutcomeUnknown)
	}
}

var (
	// errRefused marks 4xx answers, by which the store refuses a call as invalid.
	errRefused = errors.New("refused by the store")
	// errNoAnswer marks calls without a whole answer.
	errNoAnswer = errors.New("no answer from the store")
)

// call sends a request once and returns the answer.
func (c *Client) call(service httpc.Service, r *http.Request) (answer, error) {
	response, err := service.DoRequest(r)
	if err != nil {
		return answer{}, c.noAnswer(err, "call store")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(http.MaxBytesReader(nil, response.Body, maxAnswerSize))
	if err != nil {
		return answer{}, c.noAnswer(err, "read store answer")
	}
	if err := errorOf(response.StatusCode, body); err != nil {
		return answer{}, err
	}
	epoch, err := c.epochOf(response.Header)
	return answer{body: body, epoch: epoch}, err
}

// epochOf returns the epoch that the store states in an answer, zero if it states none.
func (c *Client) epochOf(h http.Header) (knapweedpulley.StoreEpoch, error) {
	text := h.Get(c.codec.EpochHeader())
	if text == "" {
		return 0, nil
	}
	epoch, err := strconv.ParseUint(text, 10, 16)
	return knapweedpulley.StoreEpoch(epoch), errors.Wrap(err, "decode the epoch of the store")
}

// noAnswer returns the error of a call without a whole answer. It closes the idle connections, because
// the cause may have broken them as well.
func (c *Client) noAnswer(err error, doing string) error {
	c.client.CloseIdleConnections()
	return errors.Mark(errors.Wrap(knapweedpulley.ShortenError(err), doing), errNoAnswer)
}

// errorOf returns the error that the status of an answer stands for, or nil for 200.
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
		return errors.Mark(errors.Newf("store answered with status %s: %s", strconv.Itoa(status), body[:min(len(body), maxReasonSize)]), errRefused)
	default:
		return errors.Newf("store answered with status %s", strconv.Itoa(status))
	}
}
