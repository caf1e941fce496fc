package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/settings"
	"github.com/knapweedpulley/knapweedpulley/standin/fault"
	"github.com/knapweedpulley/knapweedpulley/standin/web"
)

const (
	pathSeen  = "/seen"
	pathLag   = "/lag"
	pathCrash = "/crash"
)

// Lag is the body of PUT /lag.
type Lag struct {
	Lag settings.Duration `json:"lag"`
}

// NewHandler returns the HTTP API of e, subject to the fault that is set in faults.
func NewHandler(e *Engine, faults *fault.Injector) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.chat)
	mux.HandleFunc("GET /state", e.serveState)
	mux.HandleFunc("POST /orders", e.serveOrder)
	mux.Handle("GET "+pathSeen, e.recorder)
	mux.HandleFunc("PUT "+pathLag, func(w http.ResponseWriter, r *http.Request) {
		var l Lag
		if !web.Read(w, r, &l) {
			return
		}
		e.SetLoadLag(time.Duration(l.Lag))
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST "+pathCrash, func(w http.ResponseWriter, _ *http.Request) {
		e.Crash()
		w.WriteHeader(http.StatusNoContent)
	})
	return faults.Wrap(mux, pathSeen, pathLag, pathCrash)
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	state, ok := e.State()
	if !ok {
		web.WriteError(w, http.StatusServiceUnavailable, "restarting", "the engine is restarting")
		return
	}
	web.Write(w, http.StatusOK, state)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if !web.Read(w, r, &o) {
		return
	}
	err := e.Order(r.Context(), o)
	var refused *OrderError
	switch {
	case err == nil:
		web.Write(w, http.StatusOK, o)
	case errors.As(err, &refused):
		web.WriteError(w, refused.Status, refused.Code, refused.Message)
	default:
		web.WriteError(w, http.StatusInternalServerError, "internal", err.Error())
	}
}

// NewFetch returns a function that transfers checkpoints and adapters from the weight store
// at a base URL, or nil if the URL is empty.
func NewFetch(base string) Fetch {
	if base == "" {
		return nil
	}
	return func(ctx context.Context, name string, size knapweedpulley.Bytes) error {
		target := fmt.Sprintf("%s/weights/%s?size=%d", base, url.PathEscape(name), size)
		if size == 0 {
			target = fmt.Sprintf("%s/adapters/%s", base, url.PathEscape(name))
		}
		return fetchFromStore(ctx, target)
	}
}

func fetchFromStore(ctx context.Context, target string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return errors.Wrap(err, "send request to weight store")
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Wrap(err, "send request to weight store")
	}
	defer func() { _ = answer.Body.Close() }()
	_, _ = io.Copy(io.Discard, answer.Body)
	if answer.StatusCode != http.StatusOK {
		return errors.Newf("weight store responded with %s, expected 200", answer.Status)
	}
	return nil
}
