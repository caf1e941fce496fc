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
	// Target is the path and query as the caller sent them.
	Target string
	Header []HeaderField
	Body   []byte
	// HasBody is set if the caller sent a body, even an empty one.
	HasBody bool
	Key     Option[KeyHash]
	// Arrived is when the head of the request had been read.
	Arrived Instant
	// Timeout is how long the caller waits, counted from Arrived.
	Timeout time.Duration
	Model   Option[ModelID]
	Adapter Option[AdapterID]
	// Prompt is the number of prompt tokens, Completion the upper bound of the
	// completion tokens.
	Prompt     Tokens
	Completion Tokens
	// HasTokenCounts is set if the caller gave the token counts.
	HasTokenCounts bool
	PromptParts    []PromptPart
	// LastEvent is the id of the last event that the caller has received.
	LastEvent string
	// Fingerprint identifies the path and body, and the customer once the call is admitted. It depends
	// neither on ID nor on which of its keys the customer uses.
	Fingerprint Fingerprint
}

// Weights returns the model or adapter that has to be loaded for the call.
func (c *Call) Weights() Resident {
	model, _ := c.Model.Get()
	adapter, _ := c.Adapter.Get()
	return Resident{Model: model, Adapter: adapter}
}

// SharedParts returns the prompt parts that other calls can have too. The last part is specific to
// the call or its session.
func (c *Call) SharedParts() []PromptPart {
	return c.PromptParts[:max(0, len(c.PromptParts)-1)]
}

// SharedFingerprints returns the fingerprints of the shared parts. Parts without an id are left out.
func (c *Call) SharedFingerprints() []PartFingerprint {
	parts := c.SharedParts()
	fingerprints := make([]PartFingerprint, 0, len(parts))
	for _, p := range parts {
		if p.ID != "" {
			fingerprints = append(fingerprints, NewPartFingerprint(p.ID))
		}
	}
	return fingerprints
}

// Attempt is one attempt to run a call at an endpoint.
type Attempt struct {
	*Call
	Endpoint EndpointID
	Address  string
	Customer Option[CustomerID]
	// Timeout is the time that is left until the call's deadline.
	Timeout time.Duration
	// LastEvent is the id of the last event that was forwarded to the caller.
	LastEvent string
	// FreshConnection requires a connection that is new or was used just now, as one
	// that was idle for long may be dead.
	FreshConnection bool
	// Priority ranks the call at the endpoint; zero is the most urgent.
	Priority int
}

// EndpointLoad is the load that an endpoint reports with an answer.
type EndpointLoad struct {
	Running int
	Waiting int
	Slots   int
	// Pace is how long work takes on the endpoint's VM at this moment. Few endpoints
	// state it.
	Pace Option[Pace]
}

// Pace is how long work takes at an endpoint in relation to the usual time, which is 1.
// Higher values are slower.
type Pace float64

// StreamEvent is one complete event of a stream, as it was received.
type StreamEvent struct {
	ID   string
	Data []byte
}

// Reply is the answer of an endpoint.
type Reply interface {
	// Head returns the status and the header.
	Head() AnswerHead
	// FromEndpoint reports whether the endpoint itself produced the answer.
	FromEndpoint() bool
	// NotRun reports whether the endpoint says that it did not run the call.
	NotRun() bool
	// Misdirected reports whether the address belongs to another endpoint, or the
	// endpoint doesn't hold the model.
	Misdirected() bool
	// Leaving reports whether the endpoint says that it is leaving. It takes no further
	// requests then, and finishes those that it has.
	Leaving() bool
	// RetryAfter returns for how long the endpoint wants no further requests from this
	// gateway, as it refused the call for lack of capacity. The error says why a time that
	// the endpoint gave is not used.
	RetryAfter() (Option[time.Duration], error)
	// Load returns the load that the endpoint reported with the answer.
	Load() Option[EndpointLoad]
	// Framed reports whether a length or chunks mark the end of the answer. Any other answer
	// ends with its connection, which the crash of an endpoint ends as well.
	Framed() bool
	// Keep reports whether the caller may keep n bytes of the answer's body at once, so that the
	// memory that all answers take stays bounded. Zero gives back what was granted.
	Keep(n Bytes) bool
	// Read reads the rest of the answer. It returns io.EOF only at the end of a complete
	// answer, or where the connection of an answer that is not framed ends.
	Read(p []byte) (int, error)
	// Event returns the next complete event, or io.EOF at the end of a complete
	// stream, or where the connection of a stream that is not framed ends between events.
	Event() (StreamEvent, error)
	// Close ends the exchange. It closes the connection if the answer wasn't read
	// to its end.
	Close()
}

// Exchanger sends calls to endpoints.
type Exchanger interface {
	// Exchange sends an attempt once and returns the answer as soon as its head
	// has arrived. An error is a *Refusal whose verdict says whether the call may
	// have run.
	Exchange(ctx context.Context, a Attempt) (Reply, error)
	// RefusesConnections reports whether nothing listens at an address any longer.
	RefusesConnections(ctx context.Context, address string) bool
}
