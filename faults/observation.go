package faults

import (
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

// Observations holds what a row observed, with one list per invariant.
type Observations struct {
	Replicas       []Replica
	Memories       []Memory
	Waits          []Wait
	Owners         []Owner
	Exposures      []Exposure
	Withdrawals    []Withdrawal
	Rates          []Rate
	Answers        []Answer
	Refusals       []Refusal
	Repeats        []Repeat
	Departures     []Departure
	Shutdowns      []Shutdown
	Configurations []Configuration
}

// Replica is a model that an endpoint held, and whether a permit allowed it.
type Replica struct {
	Endpoint  knapweedpulley.EndpointID
	Model     knapweedpulley.ModelID
	Permitted bool
}

// Memory is the total memory of an endpoint and its peak use.
type Memory struct {
	Endpoint knapweedpulley.EndpointID
	Total    knapweedpulley.Bytes
	Peak     knapweedpulley.Bytes
}

// Wait is how long a caller waited for an answer or a refusal.
type Wait struct {
	Request knapweedpulley.RequestID
	Timeout time.Duration
	Took    time.Duration
	// Ended is false if the caller got neither an answer nor a refusal.
	Ended bool
}

// Owner is the customer whose key a request carried (Sent) and the customer for
// which a back end ran it (Ran).
type Owner struct {
	Request knapweedpulley.RequestID
	Sent    knapweedpulley.CustomerID
	Ran     knapweedpulley.CustomerID
}

// Exposure tells whether an endpoint received a caller's key.
type Exposure struct {
	Endpoint knapweedpulley.EndpointID
	KeySeen  bool
}

// Withdrawal is how long a key kept working after its withdrawal.
type Withdrawal struct {
	Key    knapweedpulley.KeyID
	Worked time.Duration
}

// Rate is the number of tokens that a customer got and the number that its rate and
// burst allow.
type Rate struct {
	Customer knapweedpulley.CustomerID
	Got      knapweedpulley.Tokens
	Allowed  knapweedpulley.Tokens
}

// Answer tells whether a caller got the complete answer to its own request.
type Answer struct {
	Request knapweedpulley.RequestID
	Whole   bool
}

// Refusal is the verdict of a refused request and the number of times that back ends
// ran it.
type Refusal struct {
	Request knapweedpulley.RequestID
	Verdict knapweedpulley.Verdict
	Runs    int
}

// Repeat is the number of times that a request ran which must not be repeated.
type Repeat struct {
	Request knapweedpulley.RequestID
	Runs    int
}

// Departure is the number of requests that a draining endpoint started after the grace
// period.
type Departure struct {
	Endpoint knapweedpulley.EndpointID
	Begun    int
}

// Shutdown is the number of requests that a graceful shutdown interrupted.
type Shutdown struct {
	Endpoint knapweedpulley.EndpointID
	Cut      int
}

// Configuration is an accepted change, the time until it was in force everywhere
// and whether an older state returned.
type Configuration struct {
	Name     string
	InForce  time.Duration
	Reverted bool
}
