package processes

import (
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

// Outcome is how a request ended for its caller.
type Outcome int

// Outcomes of a request.
const (
	// Answered requests got their own complete answer.
	Answered Outcome = iota
	// Refused requests got a refusal with a verdict.
	Refused
	// Unreachable requests had their connection refused.
	Unreachable
	// Cut requests lost their connection before the answer was complete.
	Cut
	// Garbled requests got an incomplete answer or that of another request.
	Garbled
	// Unended requests did not end within their deadline and callerMargin.
	Unended
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"answered", "refused", "unreachable", "cut", "garbled", "unended"}[o]
}

// Request is a request that was sent, and its result.
type Request struct {
	Marker   string
	Kind     string
	Customer knapweedpulley.CustomerID
	Entry    knapweedpulley.EntryID
	// Once is set if the request must run at most once.
	Once bool
	// Sends is the number of times that its marker was sent.
	Sends   int
	Outcome Outcome
	Status  int
	Verdict string
	Text    string
	Tokens  knapweedpulley.Tokens
	Sent    time.Time
	Ended   time.Time
}
