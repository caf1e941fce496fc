package knapweedpulley

import (
	"context"
	"time"
)

// RequestKind distinguishes chat completions from calls of a plain service.
type RequestKind int

// Kinds of requests.
const (
	KindChat RequestKind = iota + 1
	KindService
)

// HeaderField is one HTTP header field that is forwarded.
type HeaderField struct {
	Name  string
	Value string
}

// IsHopByHopField reports whether a header field is hop-by-hop: it concerns one
// connection only and is never forwarded. The name is in canonical form.
func IsHopByHopField(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	default:
		return false
	}
}

// Request is a caller's request after its key has been checked. It carries the
// customer and the id of the key, never the key.
type Request struct {
	ID RequestID
	// Attempt counts the attempts of the request, from 1.
	Attempt  int
	Kind     RequestKind
	Customer CustomerID
	Key      KeyID
	// Idempotency is the id that the caller gave. It doesn't leave the entry.
	Idempotency Option[IdempotencyKey]
	Model       ModelID
	Adapter     Option[AdapterID]
	Route       RouteID
	Method      string
	Path        string
	Query       string
	Header      []HeaderField
	Body        []byte
	Stream      bool
	// Charge is the upper bound of the tokens that the request can use.
	Charge Tokens
	Weight Weight
	// Priority orders the requests of one customer; higher runs first.
	Priority int
	// Idempotent requests may run more than once.
	Idempotent bool
	// Isolated requests run alone on their engine.
	Isolated    bool
	Fingerprint Fingerprint
	// Prefix identifies the start of the prompt, for prefix caches.
	Prefix Fingerprint
	// Timeout is the time that is left until the deadline.
	Timeout time.Duration
	// ColdStart is the time for which the request waited for its model to be
	// loaded. It doesn't leave the entry.
	ColdStart time.Duration
}

// Usage is the number of tokens that a back end reports for a request.
type Usage struct {
	Prompt     Tokens
	Completion Tokens
	// Cached is the part of Prompt that was found in a prefix cache.
	Cached Tokens
}

// Total returns the tokens that count against the customer's rate.
func (u Usage) Total() Tokens {
	return u.Prompt + u.Completion
}

// AnswerHead is the status and the header of an answer.
type AnswerHead struct {
	Status int
	Header []HeaderField
}

// Bounds of the statuses of HTTP that end an exchange. Lower ones are informational.
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// IsFinalStatus reports whether HTTP defines a status as the end of an exchange. Package net/http reads
// statuses that HTTP doesn't define, such as 000, and panics if one of them is to be written.
func IsFinalStatus(status int) bool {
	return minFinalStatus <= status && status <= maxFinalStatus
}

// AnswerWriter receives an answer. The calls come in order from one goroutine.
type AnswerWriter interface {
	// WriteHead receives the status and header, once, before the first bytes.
	WriteHead(head AnswerHead) error
	// Write receives the next bytes of the body.
	Write(p []byte) (int, error)
}

// Backend runs requests: an engine, a plain service, or a link to one.
type Backend interface {
	// Run runs a request and writes its answer to w. An error is a *Refusal if
	// the verdict is known. Run returns once nothing more will be written.
	Run(ctx context.Context, r Request, w AnswerWriter) (Usage, error)
}
