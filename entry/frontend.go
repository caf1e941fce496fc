package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"github.com/zeromicro/go-zero/rest"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/burn"
	"github.com/knapweedpulley/knapweedpulley/customer"
	"github.com/knapweedpulley/knapweedpulley/dispatch"
	"github.com/knapweedpulley/knapweedpulley/web"
)

// frontEnd serves callers over HTTP.
type frontEnd struct {
	directory  *customer.Directory
	dispatcher *dispatch.Dispatcher
	requests   *activeRequests
	ready      func() error
	scope      tally.Scope
	meter      *burn.Meter
	guard      *web.Guard
	log        log.Interface
}

// routes returns the routes for callers, except those of plain services.
func (f *frontEnd) routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: "/v1/chat/completions", Handler: f.chat},
		{Method: http.MethodGet, Path: "/v1/models", Handler: f.models},
		{Method: http.MethodGet, Path: "/health", Handler: f.health},
		{Method: http.MethodGet, Path: "/ready", Handler: f.readiness},
	}
}

// serve dispatches a request and writes the answer to its caller.
func (f *frontEnd) serve(
	w http.ResponseWriter, r *http.Request, c *caller, request *knapweedpulley.Request, deadline time.Duration,
) {
	w.Header().Set("X-Request-Id", string(request.ID))
	if c.exposesKey(request) {
		f.refuse(w, c.customer.ID, invalid("the request contains the API key outside of the Authorization header"))
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	ctx, stop := context.WithTimeout(ctx, deadline)
	defer stop()
	defer f.requests.add(request.ID, c, cancel)()
	// The key may have been withdrawn while the body was read, before the request could be canceled.
	if c.key != "" && !f.directory.Current().KeyValid(c.customer.ID, c.key) {
		f.refuse(w, c.customer.ID, knapweedpulley.NewRefusal(knapweedpulley.CodeInvalidKey, knapweedpulley.NotRun, "%v", errKeyWithdrawn))
		return
	}

	start := time.Now()
	answer := newAnswerWriter(w, request.Stream)
	_, err := f.dispatcher.Serve(ctx, request, answer)
	f.recordOutcome(c.customer.ID, time.Since(start), err)
	f.meter.Record(burn.Event{
		Customer:        c.customer.ID,
		Err:             err,
		Charge:          request.Charge,
		ColdStart:       request.ColdStart,
		ColdStartTarget: coldStartTarget(c.customer, request.Model),
	})
	if err == nil {
		return
	}
	refusal := f.refusalFor(ctx, err)
	f.log.WithFields(log.Fields{
		"request": request.ID, "customer": c.customer.ID, "version": c.customer.Version, "code": refusal.Code,
		"verdict": refusal.Verdict.String(),
	}).Info(refusal.Message)
	answer.abort(refusal)
}

// coldStartTarget returns the customer's objective for the cold start of a model, or
// zero if there is none.
func coldStartTarget(c *customer.Customer, model knapweedpulley.ModelID) time.Duration {
	if m, ok := c.Models[model]; ok {
		return m.ColdStart
	}
	return 0
}

// refusalFor returns the refusal for err. If the entry itself canceled the request,
// the refusal gives the cause.
func (f *frontEnd) refusalFor(ctx context.Context, err error) *knapweedpulley.Refusal {
	refusal := *knapweedpulley.RefusalOf(err, knapweedpulley.CodeEngineFailed)
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errKeyWithdrawn):
		refusal.Code = knapweedpulley.CodeInvalidKey
		refusal.Message = cause.Error()
	case errors.Is(cause, errLeaseExpired):
		refusal.Code = knapweedpulley.CodeNotReady
		refusal.Message = cause.Error()
	}
	return &refusal
}

// refuse answers a request that never reached the dispatcher.
func (f *frontEnd) refuse(w http.ResponseWriter, id knapweedpulley.CustomerID, refusal *knapweedpulley.Refusal) {
	f.recordOutcome(id, 0, refusal)
	web.WriteRefusal(w, refusal)
}

// recordOutcome counts the outcome of a request for the service-level report.
func (f *frontEnd) recordOutcome(id knapweedpulley.CustomerID, took time.Duration, err error) {
	outcome := "answered"
	if err != nil {
		outcome = string(knapweedpulley.RefusalOf(err, knapweedpulley.CodeEngineFailed).Code)
	}
	scope := f.scope.Tagged(map[string]string{"customer": string(id), "outcome": outcome})
	scope.Counter("requests").Inc(1)
	scope.Timer("request_time").Record(took)
}

// health reports that the process is running.
func (f *frontEnd) health(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusNoContent)
}

// readiness reports whether the load balancer should send requests to this entry.
func (f *frontEnd) readiness(w http.ResponseWriter, _ *http.Request) {
	if err := f.ready(); err != nil {
		web.WriteRefusal(w, knapweedpulley.RefusalOf(err, knapweedpulley.CodeNotReady))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
