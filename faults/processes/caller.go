package processes

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/cmd/demo/fleet"
	"github.com/knapweedpulley/knapweedpulley/standin/engine"
	"github.com/knapweedpulley/knapweedpulley/standin/service"
)

const (
	// customerDeadline is the deadline of the customers. callerMargin is what a
	// caller adds to it to allow for a paused process and a busy machine.
	customerDeadline = 8 * time.Second
	callerMargin     = 12 * time.Second
	// requestPeriod is the period of the ticker that paces a loop of requests.
	requestPeriod = 60 * time.Millisecond
	chatTokens    = 24
)

// Caller sends requests and records their results.
type Caller struct {
	client *http.Client
	number atomic.Int64

	mu       sync.Mutex
	requests []Request
}

// NewCaller returns a caller that opens a new connection for each request, so that
// the HTTP client never resends a request on its own.
func NewCaller() *Caller {
	return &Caller{client: &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext:       (&net.Dialer{Timeout: customerDeadline}).DialContext,
	}}}
}

// Requests returns all requests that have ended.
func (c *Caller) Requests() []Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Request(nil), c.requests...)
}

// NewMarker returns a text that is unique to a request.
func (c *Caller) NewMarker() string {
	return fmt.Sprintf("[[request %d]]", c.number.Add(1))
}

// httpRequest is a request over HTTP and its timeout.
type httpRequest struct {
	entry       fleet.Entry
	method      string
	path        string
	key         string
	idempotency string
	body        string
	timeout     time.Duration
}

// httpAnswer is the status and the body of an answer.
type httpAnswer struct {
	status int
	body   string
}

func (c *Caller) exchange(ctx context.Context, m httpRequest) (httpAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, m.timeout)
	defer cancel()
	target := "http://" + m.entry.Listen + m.path
	r, err := http.NewRequestWithContext(ctx, m.method, target, strings.NewReader(m.body))
	if err != nil {
		return httpAnswer{}, err
	}
	r.Header.Set("Content-Type", "application/json")
	if m.key != "" {
		r.Header.Set("Authorization", "Bearer "+m.key)
	}
	if m.idempotency != "" {
		r.Header.Set("Idempotency-Key", m.idempotency)
	}
	answer, err := c.client.Do(r)
	if err != nil {
		return httpAnswer{}, err
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	return httpAnswer{status: answer.StatusCode, body: string(body)}, err
}

// send sends a request, classifies its answer by parse, and records the result.
func (c *Caller) send(ctx context.Context, r Request, m httpRequest, parse func(string) parsedAnswer) Request {
	r.Entry, r.Sent = m.entry.ID, time.Now()
	answer, err := c.exchange(ctx, m)
	r.Ended, r.Status = time.Now(), answer.status
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		r.Outcome, r.Text = Unreachable, err.Error()
	case errors.Is(err, context.DeadlineExceeded):
		r.Outcome, r.Text = Unended, err.Error()
	case err != nil:
		r.Outcome, r.Text = Cut, err.Error()
	case answer.status == http.StatusOK:
		p := parse(answer.body)
		r.Outcome, r.Verdict, r.Tokens, r.Text = p.outcome, p.verdict, p.tokens, p.text
	default:
		r.Outcome, r.Verdict, r.Text = parseRefusal(answer.body)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, r)
	return r
}

// parseRefusal decodes a refusal with a verdict.
func parseRefusal(body string) (Outcome, string, string) {
	var f refusalBody
	if json.Unmarshal([]byte(body), &f) != nil || f.Error == nil || !f.Error.hasVerdict() {
		return Garbled, "", "not a refusal: " + truncate(body)
	}
	return Refused, f.Error.Verdict, f.Error.Code + ": " + f.Error.Message
}

// refusalBody is the body of a refusal.
type refusalBody struct {
	Error *refusalDetail `json:"error"`
}

type refusalDetail struct {
	Message string `json:"message"`
	Code    string `json:"code"`
	Verdict string `json:"verdict"`
}

func (f refusalDetail) hasVerdict() bool {
	return f.Verdict == knapweedpulley.NotRun.String() || f.Verdict == knapweedpulley.MayHaveRun.String()
}

func truncate(text string) string {
	const most = 200
	return text[:min(most, len(text))]
}

// parsedAnswer is the result of parsing the body of an answer with status 200.
type parsedAnswer struct {
	outcome Outcome
	verdict string
	text    string
	tokens  knapweedpulley.Tokens
}

// chatBody is the body of a chat request.
type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
	Options   *chatOptions  `json:"stream_options,omitempty"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Chat is a chat request to send.
type Chat struct {
	Customer fleet.Customer
	Entry    fleet.Entry
	Model    string
	Stream   bool
	Tokens   int
	// Prompt is the text after the marker.
	Prompt string
	Marker string
	// Sends is the number of times that the marker is sent. Zero means one.
	Sends   int
	Kind    string
	Timeout time.Duration
}

// Chat sends a chat request.
func (c *Caller) Chat(ctx context.Context, h Chat) Request {
	if h.Marker == "" {
		h.Marker = c.NewMarker()
	}
	if h.Timeout == 0 {
		h.Timeout = customerDeadline + callerMargin
	}
	if h.Tokens == 0 {
		h.Tokens = chatTokens
	}
	prompt := h.Marker + " " + h.Prompt
	body := chatBody{
		Model: h.Model, Messages: []chatMessage{{Role: "user", Content: prompt}}, MaxTokens: h.Tokens, Stream: h.Stream,
	}
	parse := parseWhole
	if h.Stream {
		body.Options = &chatOptions{IncludeUsage: true}
		parse = parseStream
	}
	data, err := json.Marshal(body)
	if err != nil {
		return Request{Outcome: Garbled, Text: err.Error()}
	}
	want := engine.Answer(prompt, h.Tokens)
	return c.send(ctx, Request{Marker: h.Marker, Kind: h.Kind, Customer: h.Customer.ID, Sends: max(1, h.Sends)}, httpRequest{
		entry: h.Entry, method: http.MethodPost, path: "/v1/chat/completions", key: h.Customer.Key,
		body: string(data), timeout: h.Timeout,
	}, func(body string) parsedAnswer { return parse(body, want) })
}

// chatAnswer is a complete answer or one chunk of a stream.
type chatAnswer struct {
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		TotalTokens knapweedpulley.Tokens `json:"total_tokens"`
	} `json:"usage"`
	Error *refusalDetail `json:"error"`
}

func parseWhole(body, want string) parsedAnswer {
	var a chatAnswer
	if json.Unmarshal([]byte(body), &a) != nil || len(a.Choices) != 1 || a.Usage == nil {
		return parsedAnswer{outcome: Garbled, text: truncate(body)}
	}
	if got := a.Choices[0].Message.Content; got != want {
		return parsedAnswer{outcome: Garbled, text: fmt.Sprintf("got %q, want %q", truncate(got), truncate(want))}
	}
	return parsedAnswer{outcome: Answered, tokens: a.Usage.TotalTokens}
}

func parseStream(body, want string) parsedAnswer {
	var text strings.Builder
	var p parsedAnswer
	done := false
	for line := range strings.Lines(body) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var a chatAnswer
		if json.Unmarshal([]byte(data), &a) != nil {
			return parsedAnswer{outcome: Garbled, text: truncate(data)}
		}
		if a.Error != nil {
			return parseStreamError(*a.Error, text.String(), want)
		}
		for _, h := range a.Choices {
			text.WriteString(h.Delta.Content)
		}
		if a.Usage != nil {
			p.tokens = a.Usage.TotalTokens
		}
	}
	if !done || text.String() != want {
		return parsedAnswer{outcome: Garbled, text: fmt.Sprintf("done %t, got %q, want %q", done, truncate(text.String()), truncate(want))}
	}
	p.outcome = Answered
	return p
}

// parseStreamError classifies a stream that ended with an error event.
func parseStreamError(f refusalDetail, got, want string) parsedAnswer {
	if !strings.HasPrefix(want, got) || !f.hasVerdict() {
		return parsedAnswer{outcome: Garbled, text: fmt.Sprintf("got %q, then %+v", truncate(got), f)}
	}
	return parsedAnswer{outcome: Refused, verdict: f.Verdict, text: f.Code + ": " + f.Message}
}

// Call is a request to a plain service.
type Call struct {
	Customer    fleet.Customer
	Entry       fleet.Entry
	Route       string
	Open        bool
	Once        bool
	Idempotency string
	Marker      string
	Sends       int
	Kind        string
}

// Call sends a request to a plain service.
func (c *Caller) Call(ctx context.Context, l Call) Request {
	if l.Marker == "" {
		l.Marker = c.NewMarker()
	}
	m := httpRequest{
		entry: l.Entry, method: http.MethodPost, path: "/services/" + l.Route + "/items/7", key: l.Customer.Key,
		idempotency: l.Idempotency, body: fmt.Sprintf(`{"item":%q}`, l.Marker), timeout: customerDeadline + callerMargin,
	}
	if l.Open {
		m.key, m.method = "", http.MethodGet
	}
	r := Request{Marker: l.Marker, Kind: l.Kind, Customer: l.Customer.ID, Once: l.Once, Sends: max(1, l.Sends)}
	return c.send(ctx, r, m, func(body string) parsedAnswer {
		var b service.Booking
		if json.Unmarshal([]byte(body), &b) != nil || b.Marker != l.Marker || b.Path != "/items/7" {
			return parsedAnswer{outcome: Garbled, text: truncate(body)}
		}
		return parsedAnswer{outcome: Answered}
	})
}
