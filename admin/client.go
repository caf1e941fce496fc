package admin

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/burn"
	"github.com/knapweedpulley/knapweedpulley/web"
)

const (
	// clientTimeout bounds a call: a write, the wait for its acceptance and a margin.
	clientTimeout = writeTimeout + acceptTimeout + 5*time.Second
	// maxAnswer bounds the body of an answer, in bytes.
	maxAnswer = int64(16 * knapweedpulley.MiB)

	serviceName = "admin"
)

// Client calls the admin API of one entry process. Its errors are
// *knapweedpulley.Refusal.
type Client struct {
	base    url.URL
	key     string
	service httpc.Service
}

// NewClient returns a client of the API at address for the operator with the
// given key. If tlsConfig is nil, it uses plain HTTP. Each call uses a new
// connection, so that no call is sent twice.
func NewClient(address, key string, tlsConfig *tls.Config) *Client {
	logx.Disable()
	breaker.NoBreakerFor(serviceName)
	client := &http.Client{
		Timeout:       clientTimeout,
		Transport:     &http.Transport{DisableKeepAlives: true, TLSClientConfig: tlsConfig},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	scheme := "http"
	if tlsConfig != nil {
		scheme = "https"
	}
	return &Client{
		base: url.URL{Scheme: scheme, Host: address}, key: key,
		service: httpc.NewServiceWithClient(serviceName, client),
	}
}

// Customers lists the customers that are in force at the entry.
func (c *Client) Customers(ctx context.Context) (CustomerList, error) {
	var l CustomerList
	return l, c.call(ctx, apiCall{method: http.MethodGet, path: "/admin/customers"}, &l)
}

// Customer returns the template and parameters of a customer.
func (c *Client) Customer(ctx context.Context, id knapweedpulley.CustomerID) (CustomerDetail, error) {
	var d CustomerDetail
	return d, c.call(ctx, apiCall{method: http.MethodGet, path: customerPath(id)}, &d)
}

// History returns the versions of a customer.
func (c *Client) History(ctx context.Context, id knapweedpulley.CustomerID) (History, error) {
	var h History
	return h, c.call(ctx, apiCall{method: http.MethodGet, path: customerPath(id) + "/history"}, &h)
}

// Apply applies a template, or with dryRun only returns what it would change.
func (c *Client) Apply(ctx context.Context, a Application, dryRun bool) (Result, error) {
	x := apiCall{
		method: http.MethodPut, path: customerPath(a.Customer),
		body: ApplyRequest{Template: a.Template, Parameters: a.Parameters},
	}
	if expected, ok := a.Expected.Get(); ok {
		x.expected = expected.String()
	}
	if dryRun {
		x.query = url.Values{"dryRun": {"true"}}
	}
	var r Result
	return r, c.call(ctx, x, &r)
}

// Rollback puts an earlier version in force again.
func (c *Client) Rollback(
	ctx context.Context, id knapweedpulley.CustomerID, version knapweedpulley.Version,
) (Result, error) {
	x := apiCall{method: http.MethodPost, path: customerPath(id) + "/rollback", body: RollbackRequest{Version: version}}
	var r Result
	return r, c.call(ctx, x, &r)
}

// IssueKey issues a key of a customer.
func (c *Client) IssueKey(
	ctx context.Context, id knapweedpulley.CustomerID, key knapweedpulley.KeyID,
) (IssuedKey, error) {
	x := apiCall{method: http.MethodPost, path: customerPath(id) + "/keys", body: KeyRequest{ID: key}}
	var k IssuedKey
	return k, c.call(ctx, x, &k)
}

// WithdrawKey withdraws a key of a customer.
func (c *Client) WithdrawKey(
	ctx context.Context, id knapweedpulley.CustomerID, key knapweedpulley.KeyID,
) (Result, error) {
	x := apiCall{method: http.MethodDelete, path: customerPath(id) + "/keys/" + url.PathEscape(string(key))}
	var r Result
	return r, c.call(ctx, x, &r)
}

// Status returns the versions that are in force at each entry.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	return s, c.call(ctx, apiCall{method: http.MethodGet, path: "/admin/status"}, &s)
}

// Drain starts to drain an endpoint.
func (c *Client) Drain(ctx context.Context, endpoint knapweedpulley.EndpointID) (DrainResult, error) {
	path := "/admin/endpoints/" + url.PathEscape(string(endpoint)) + "/drain"
	var d DrainResult
	return d, c.call(ctx, apiCall{method: http.MethodPost, path: path}, &d)
}

// Burn returns the entry's counts for the report on the burn of error budgets.
func (c *Client) Burn(ctx context.Context) (burn.Document, error) {
	var d burn.Document
	return d, c.call(ctx, apiCall{method: http.MethodGet, path: "/admin/burn"}, &d)
}

func customerPath(id knapweedpulley.CustomerID) string {
	return "/admin/customers/" + url.PathEscape(string(id))
}

// apiCall is one call of the API.
type apiCall struct {
	method, path string
	query        url.Values
	// expected is the version that a conditional change expects, or empty.
	expected string
	body     any
}

// call sends an exchange and decodes the answer.
func (c *Client) call(ctx context.Context, x apiCall, answer any) error {
	body, err := c.send(ctx, x)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return knapweedpulley.NewRefusal(knapweedpulley.CodeInternal, knapweedpulley.MayHaveRun,
			"the answer of the admin API can't be decoded: %s", err)
	}
	return nil
}

// send sends an exchange and returns the body of the answer.
func (c *Client) send(ctx context.Context, x apiCall) ([]byte, error) {
	r, err := c.request(ctx, x)
	if err != nil {
		return nil, invalid(err)
	}
	response, err := c.service.DoRequest(r)
	if err != nil {
		return nil, unreachable(c.base.Host, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return nil, unreachable(c.base.Host, err)
	}
	if response.StatusCode < http.StatusOK || response.StatusCode >= http.StatusMultipleChoices {
		return nil, refusalFromBody(response.StatusCode, body)
	}
	return body, nil
}

func (c *Client) request(ctx context.Context, x apiCall) (*http.Request, error) {
	data := []byte(nil)
	if x.body != nil {
		var err error
		if data, err = json.Marshal(x.body); err != nil {
			return nil, errors.Wrap(err, "encode request")
		}
	}
	u := c.base
	u.RawQuery = x.query.Encode()
	r, err := http.NewRequestWithContext(ctx, x.method, u.JoinPath(x.path).String(), bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	r.GetBody = nil
	r.Header.Set("Authorization", "Bearer "+c.key)
	if x.expected != "" {
		r.Header.Set("If-Match", x.expected)
	}
	return r, nil
}

// unreachable returns the refusal for a call without an answer. The call did not run
// if no connection was established.
func unreachable(address string, err error) error {
	verdict := knapweedpulley.MayHaveRun
	var o *net.OpError
	if errors.As(err, &o) && o.Op == "dial" {
		verdict = knapweedpulley.NotRun
	}
	return knapweedpulley.NewRefusal(knapweedpulley.CodeLinkLost, verdict, "no answer from %s: %s", address, err)
}

// refusalFromBody returns the refusal that the body of an answer contains.
func refusalFromBody(status int, body []byte) error {
	var b web.ErrorBody
	if err := json.Unmarshal(body, &b); err != nil || b.Error.Code == "" {
		return knapweedpulley.NewRefusal(knapweedpulley.CodeInternal, knapweedpulley.MayHaveRun,
			"the admin API answered with status %d and no refusal: %s", status, body)
	}
	verdict := knapweedpulley.MayHaveRun
	if b.Error.Verdict == knapweedpulley.NotRun.String() {
		verdict = knapweedpulley.NotRun
	}
	return knapweedpulley.NewRefusal(knapweedpulley.Code(b.Error.Code), verdict, "%s", b.Error.Message)
}
