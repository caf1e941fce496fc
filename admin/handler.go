package admin

import (
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/burn"
	"github.com/knapweedpulley/knapweedpulley/settings"
	"github.com/knapweedpulley/knapweedpulley/web"
)

const (
	// maxBody bounds the body of a request, in bytes. The store takes one megabyte.
	maxBody = int64(knapweedpulley.MiB)

	pathCustomer = "/admin/customers/:customer"
)

// HandlerOptions holds the dependencies of a handler.
type HandlerOptions struct {
	Editor *Editor
	Survey *Survey
	// Drainer drains endpoints. It may be nil; drains are then refused.
	Drainer knapweedpulley.Drainer
	// Burn returns this entry's counts for the report on the burn of error budgets.
	// It may be nil; the report is then refused.
	Burn      func() burn.Document
	Operators Operators
}

// Handler serves the admin API over HTTP.
type Handler struct {
	options HandlerOptions
}

// NewHandler returns a handler.
func NewHandler(o HandlerOptions) *Handler {
	return &Handler{options: o}
}

// Routes returns the routes of the API.
func (h *Handler) Routes() []rest.Route {
	return []rest.Route{
		h.route(http.MethodGet, "/admin/customers", h.list),
		h.route(http.MethodGet, pathCustomer, h.show),
		h.route(http.MethodPut, pathCustomer, h.apply),
		h.route(http.MethodGet, pathCustomer+"/history", h.history),
		h.route(http.MethodPost, pathCustomer+"/rollback", h.rollback),
		h.route(http.MethodPost, pathCustomer+"/keys", h.issueKey),
		h.route(http.MethodDelete, pathCustomer+"/keys/:key", h.withdrawKey),
		h.route(http.MethodGet, "/admin/status", h.status),
		h.route(http.MethodGet, "/admin/burn", h.burn),
		h.route(http.MethodPost, "/admin/endpoints/:endpoint/drain", h.drain),
	}
}

// operatorRequest is a request of an operator.
type operatorRequest struct {
	*http.Request
	operator knapweedpulley.OperatorID
}

func (c operatorRequest) variable(name string) string {
	return pathvar.Vars(c.Request)[name]
}

func (c operatorRequest) customer() knapweedpulley.CustomerID {
	return knapweedpulley.CustomerID(c.variable("customer"))
}

// response is the answer to an operator's request.
type response struct {
	status int
	body   any
}

// route returns a route that authenticates the operator first.
func (h *Handler) route(method, path string, handle func(operatorRequest) (response, error)) rest.Route {
	return rest.Route{Method: method, Path: path, Handler: func(w http.ResponseWriter, r *http.Request) {
		operator, ok := h.options.Operators.Authenticate(r)
		if !ok {
			web.WriteRefusal(w, knapweedpulley.NewRefusal(knapweedpulley.CodeInvalidKey, knapweedpulley.NotRun,
				"the request needs an operator's key; send one as Authorization: Bearer <key>"))
			return
		}
		answer, err := handle(operatorRequest{Request: r, operator: operator})
		if err != nil {
			web.WriteRefusal(w, knapweedpulley.RefusalOf(err, knapweedpulley.CodeInternal))
			return
		}
		web.WriteJSON(w, answer.status, answer.body)
	}}
}

func (h *Handler) list(operatorRequest) (response, error) {
	return response{http.StatusOK, CustomerList{Customers: h.options.Editor.Customers()}}, nil
}

func (h *Handler) show(c operatorRequest) (response, error) {
	r, err := h.options.Editor.Record(c.Context(), c.customer())
	return response{http.StatusOK, newCustomerDetail(r)}, err
}

func (h *Handler) history(c operatorRequest) (response, error) {
	r, err := h.options.Editor.Record(c.Context(), c.customer())
	return response{http.StatusOK, newHistory(r)}, err
}

func (h *Handler) apply(c operatorRequest) (response, error) {
	var body ApplyRequest
	if err := decode(c, &body); err != nil {
		return response{}, err
	}
	if len(body.Template) == 0 {
		return response{}, invalid(errors.New(`template: "" must not be empty`))
	}
	a := Application{Customer: c.customer(), Template: body.Template, Parameters: body.Parameters}
	var err error
	if a.Expected, err = expectedVersion(c); err != nil {
		return response{}, err
	}
	dryRun, err := boolParameter(c, "dryRun")
	if err != nil {
		return response{}, err
	}
	if dryRun {
		result, err := h.options.Editor.DryRun(c.Context(), a)
		return response{http.StatusOK, result}, err
	}
	result, err := h.options.Editor.Apply(c.Context(), c.operator, a)
	return response{statusOf(result), result}, err
}

func (h *Handler) rollback(c operatorRequest) (response, error) {
	var body RollbackRequest
	if err := decode(c, &body); err != nil {
		return response{}, err
	}
	result, err := h.options.Editor.Rollback(c.Context(), c.operator, c.customer(), body.Version)
	return response{statusOf(result), result}, err
}

func (h *Handler) issueKey(c operatorRequest) (response, error) {
	var body KeyRequest
	if err := decode(c, &body); err != nil {
		return response{}, err
	}
	key, err := h.options.Editor.IssueKey(c.Context(), c.operator, c.customer(), body.ID)
	return response{statusOf(key.Result), key}, err
}

func (h *Handler) withdrawKey(c operatorRequest) (response, error) {
	key := knapweedpulley.KeyID(c.variable("key"))
	result, err := h.options.Editor.WithdrawKey(c.Context(), c.operator, c.customer(), key)
	return response{statusOf(result), result}, err
}

func (h *Handler) status(c operatorRequest) (response, error) {
	return response{http.StatusOK, h.options.Survey.Status(c.Context())}, nil
}

func (h *Handler) burn(operatorRequest) (response, error) {
	if h.options.Burn == nil {
		return response{}, knapweedpulley.NewRefusal(knapweedpulley.CodeNotReady, knapweedpulley.NotRun,
			"this entry keeps no counts for the burn report")
	}
	return response{http.StatusOK, h.options.Burn()}, nil
}

func (h *Handler) drain(c operatorRequest) (response, error) {
	endpoint := knapweedpulley.EndpointID(c.variable("endpoint"))
	if h.options.Drainer == nil {
		return response{}, knapweedpulley.NewRefusal(knapweedpulley.CodeNotReady, knapweedpulley.NotRun,
			"this entry can't drain endpoints")
	}
	err := h.options.Drainer.Drain(c.Context(), endpoint)
	return response{http.StatusAccepted, DrainResult{Endpoint: endpoint, Draining: true}}, err
}

// statusOf returns 200 for an accepted change, and 202 for one that is stored but not
// yet accepted.
func statusOf(r Result) int {
	if r.Accepted {
		return http.StatusOK
	}
	return http.StatusAccepted
}

// decode decodes the JSON body of a request.
func decode(c operatorRequest, body any) error {
	data, err := io.ReadAll(io.LimitReader(c.Body, maxBody+1))
	if err != nil {
		return invalid(errors.Wrap(err, "read the request body"))
	}
	if int64(len(data)) > maxBody {
		return knapweedpulley.NewRefusal(knapweedpulley.CodeBodyTooLarge, knapweedpulley.NotRun,
			"the request body is larger than the limit of %d bytes", maxBody)
	}
	if err := settings.Decode(data, body); err != nil {
		return invalid(err)
	}
	return nil
}

// expectedVersion returns the version in the If-Match header.
func expectedVersion(c operatorRequest) (knapweedpulley.Option[knapweedpulley.Version], error) {
	text := strings.Trim(c.Header.Get("If-Match"), `"`)
	if text == "" {
		return knapweedpulley.None[knapweedpulley.Version](), nil
	}
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return knapweedpulley.None[knapweedpulley.Version](),
			invalid(errors.Newf("If-Match: %q must be a version, 0 for a new customer", text))
	}
	return knapweedpulley.Some(knapweedpulley.Version(v)), nil
}

// boolParameter returns a Boolean parameter of the query, false if it is absent.
func boolParameter(c operatorRequest, name string) (bool, error) {
	text := c.URL.Query().Get(name)
	if text == "" {
		return false, nil
	}
	v, err := strconv.ParseBool(text)
	if err != nil {
		return false, invalid(errors.Newf("%s: %q must be true or false", name, text))
	}
	return v, nil
}
