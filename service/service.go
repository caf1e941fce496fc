// Package service sends requests to a plain service: a back end that is not a model
// engine and that routes lead to as well.
//
// # Usage
//
//	client, cleanup := service.NewClient("http://127.0.0.1:9000")
//	defer cleanup()
//	_, err := client.Run(ctx, request, writer)
package service

import (
	"context"
	"net/http"
	"strings"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/engine/exchange"
)

// requestIDHeader is the header field that carries the id of a request.
const requestIDHeader = "X-Request-Id"

// Client sends requests to one plain service over HTTP.
type Client struct {
	url    string
	client *exchange.Client
}

// NewClient returns a client of the service at a base URL. The clean-up closes
// its connections.
func NewClient(url string) (*Client, knapweedpulley.Cleanup) {
	client, cleanup := exchange.NewClient("service")
	return &Client{url: strings.TrimSuffix(url, "/"), client: client}, cleanup
}

// Run implements knapweedpulley.Backend. It sends the request once.
func (c *Client) Run(
	ctx context.Context, r knapweedpulley.Request, w knapweedpulley.AnswerWriter,
) (knapweedpulley.Usage, error) {
	response, err := c.client.Send(ctx, exchange.Call{
		Method: methodOf(r),
		URL:    c.urlOf(r),
		Header: append(r.Header[:len(r.Header):len(r.Header)],
			knapweedpulley.HeaderField{Name: requestIDHeader, Value: string(r.ID)}),
		Body: r.Body,
	})
	if err != nil {
		return knapweedpulley.Usage{}, err
	}
	defer func() { _ = response.Body.Close() }()
	return knapweedpulley.Usage{}, exchange.Relay(ctx, response, w, nil)
}

func methodOf(r knapweedpulley.Request) string {
	if r.Method == "" {
		return http.MethodPost
	}
	return r.Method
}

func (c *Client) urlOf(r knapweedpulley.Request) string {
	url := c.url + "/" + strings.TrimPrefix(r.Path, "/")
	if r.Query != "" {
		url += "?" + r.Query
	}
	return url
}
