package knapweedpulley

import (
	"context"
	"time"
)

// PromptPart is a part of a prompt that requests can share.
type PromptPart struct {
	ID     string
	Tokens Tokens
}

// Call is a caller's request to a route.
type Call struct {
	ID     RequestID
	Host   string
	Method string
	Path   string
	// Target is path and query as the caller sent them.
	Target string
	Header []HeaderField
	Body   []byte
	// HasBody is set if the caller sent a body, even an empty one.
	HasBody bool
	Key     Option[KeyHash]
	// Arrived is when the head of the request had been read.
	Arrived Instant
	// Timeout is the time that the caller waits from then on.
	Timeout time.Duration
	Model   Option[ModelID]
	Adapter Option[AdapterID]
	// Prompt and Completion are the tokens read and the most that are made.
	Prompt     Tokens
	Completion Tokens
	// Counted says that the caller gave the token counts.
	Counted bool
	Parts   []PromptPart
	// LastEvent is the id of the last event that the caller has.
	LastEvent string
	// Fingerprint identifies path, key and body, whatever the request's id.
	Fingerprint Fingerprint
}

// Weights returns what has to be loaded for the call.
func (c *Call) Weights() Resident {
	model, _ := c.Model.Get()
	adapter, _ := c.Adapter.Get()
	return Resident{Model: model, Adapter: adapter}
}

// Attempt is one sending of a call to an endpoint.
type Attempt struct {
	*Call
	Endpoint EndpointID
	Address  string
	Customer Option[CustomerID]
	// Timeout is the time that is left.
	Timeout time.Duration
	// LastEvent is the id of the last event that was passed on.
	LastEvent string
	// Fresh asks for a connection that was used just now or is new, as one that
	// was unused for long may be dead.
	Fresh bool
	// Priority ranks the call at the endpoint; zero is the most urgent.
	Priority int
}

// EndpointLoad is what an endpoint tells of its load with an answer.
type EndpointLoad struct {
	Running int
	Waiting int
	Slots   int
}

// StreamEvent is one whole event of a stream, as it was received.
type StreamEvent struct {
	ID   string
	Data []byte
}

// Reply is the answer of an endpoint.
type Reply interface {
	// Head returns the status and the header.
	Head() AnswerHead
	// Genuine reports whether the endpoint itself made the answer.
	Genuine() bool
	// NotRun reports whether the endpoint says that it did not run the call.
	NotRun() bool
	// Misdirected reports whether another endpoint has the address, or the
	// endpoint lacks the model.
	Misdirected() bool
	// Load returns the load that the endpoint told with the answer.
	Load() Option[EndpointLoad]
	// Body reads the rest of the answer. It fails if the answer is cut.
	Body() ([]byte, error)
	// Event returns the next whole event, or io.EOF after the whole stream.
	Event() (StreamEvent, error)
	// Close ends the exchange. An answer that wasn't read to its end takes its
	// connection with it.
	Close()
}

// Exchanger sends calls to endpoints.
type Exchanger interface {
	// Exchange sends an attempt once and returns the answer as soon as its head
	// is there. An error is a *Refusal that tells whether the call may have run.
	Exchange(ctx context.Context, a Attempt) (Reply, error)
	// Ended reports whether nothing listens at an address any more.
	Ended(ctx context.Context, address string) bool
}
