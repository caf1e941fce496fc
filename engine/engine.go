// Package engine is the client of a model engine's HTTP API for the agent: it sends chat
// completions and orders to load and unload, reads the engine's state, and decides from the
// engine's answer whether a failed request or order may have run.
//
// The bytes of an answer are passed on unchanged as they arrive, and the usage is parsed
// alongside. Every request is sent at most once.
//
// # Usage
//
//	client, cleanup := engine.NewClient("http://127.0.0.1:8000")
//	defer cleanup()
//	state, err := client.State(ctx)
package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/engine/exchange"
)

const (
	chatPath   = "/v1/chat/completions"
	statePath  = "/state"
	ordersPath = "/orders"

	requestIDHeader   = "X-Request-Id"
	contentTypeHeader = "Content-Type"
	contentTypeJSON   = "application/json"

	// maxStateBytes bounds the size of the state that an engine reports.
	maxStateBytes = 8 * int64(knapweedpulley.MiB)
	// maxReasonBytes bounds the part of an error body that is quoted for a failed order.
	maxReasonBytes = 4 * int64(knapweedpulley.KiB)
)

// Client is an HTTP client of one model engine.
type Client struct {
	url    string
	client *exchange.Client
}

// NewClient returns a client of the engine at the given base URL. The clean-up closes its
// connections.
func NewClient(url string) (*Client, knapweedpulley.Cleanup) {
	client, cleanup := exchange.NewClient("engine")
	return &Client{url: strings.TrimSuffix(url, "/"), client: client}, cleanup
}

// Run implements knapweedpulley.Backend. An error is a *knapweedpulley.Refusal.
func (c *Client) Run(
	ctx context.Context, r knapweedpulley.Request, w knapweedpulley.AnswerWriter,
) (knapweedpulley.Usage, error) {
	response, err := c.client.Send(ctx, exchange.Call{
		Method: http.MethodPost,
		URL:    c.url + chatPath,
		Header: []knapweedpulley.HeaderField{
			{Name: contentTypeHeader, Value: contentTypeJSON},
			{Name: requestIDHeader, Value: string(r.ID)},
		},
		Body: r.Body,
	})
	if err != nil {
		return knapweedpulley.Usage{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusInternalServerError {
		// The body of the answer has no verdict, so it must not reach a caller.
		return knapweedpulley.Usage{}, knapweedpulley.NewRefusal(knapweedpulley.CodeEngineFailed,
			knapweedpulley.MayHaveRun, "engine answered %s to request %s", response.Status, r.ID)
	}
	usage := NewUsageReader(r.Stream && response.StatusCode == http.StatusOK)
	err = exchange.Relay(ctx, response, w, usage.Observe)
	found, complete := usage.Usage()
	if err == nil && !complete {
		err = knapweedpulley.NewRefusal(knapweedpulley.CodeEngineFailed, knapweedpulley.MayHaveRun,
			"stream of request %s ended before its [DONE] event", r.ID)
	}
	return found, err
}

// State implements knapweedpulley.Engine.
func (c *Client) State(ctx context.Context) (knapweedpulley.EngineState, error) {
	var m stateMessage
	response, err := c.client.Send(ctx, exchange.Call{Method: http.MethodGet, URL: c.url + statePath})
	if err != nil {
		return knapweedpulley.EngineState{}, errors.Wrap(err, "read the engine's state")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return knapweedpulley.EngineState{}, errors.Newf("engine answered %s to a request for its state", response.Status)
	}
	body := io.LimitReader(response.Body, maxStateBytes)
	if err := json.NewDecoder(body).Decode(&m); err != nil {
		return knapweedpulley.EngineState{}, errors.Wrap(err, "decode the engine's state")
	}
	return m.state(), nil
}

// Order implements knapweedpulley.Engine. Only an error with the verdict NotRun means that
// the order had no effect.
func (c *Client) Order(ctx context.Context, o knapweedpulley.Order) error {
	body, err := json.Marshal(newOrderMessage(o))
	if err != nil {
		return knapweedpulley.NewRefusal(knapweedpulley.CodeInvalidRequest, knapweedpulley.NotRun, "encode order: %v", err)
	}
	response, err := c.client.Send(ctx, exchange.Call{
		Method: http.MethodPost,
		URL:    c.url + ordersPath,
		Header: []knapweedpulley.HeaderField{{Name: contentTypeHeader, Value: contentTypeJSON}},
		Body:   body,
	})
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return orderResult(response, o)
}

func orderResult(response *http.Response, o knapweedpulley.Order) error {
	if response.StatusCode == http.StatusOK {
		return nil
	}
	reason, _ := io.ReadAll(io.LimitReader(response.Body, maxReasonBytes))
	code, verdict := knapweedpulley.CodeEngineFailed, knapweedpulley.MayHaveRun
	switch response.StatusCode {
	case http.StatusConflict:
		code, verdict = knapweedpulley.CodeFenced, knapweedpulley.NotRun
	case http.StatusInsufficientStorage:
		code, verdict = knapweedpulley.CodeOutOfMemory, knapweedpulley.NotRun
	}
	return knapweedpulley.NewRefusal(code, verdict, "engine answered %s to %s of %s: %s",
		response.Status, o.Kind, o.Model, strings.TrimSpace(string(reason)))
}
