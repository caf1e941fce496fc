package knapweedpulley

import "context"

// Claim is the right to run a request that must run at most once and carries an
// idempotency key of its caller.
type Claim struct {
	Customer    CustomerID
	Route       RouteID
	Key         IdempotencyKey
	Request     RequestID
	Fingerprint Fingerprint
	// Attempt numbers the attempts to obtain the claim for one request through
	// different processes; a later attempt replaces an earlier one. Callers of a
	// Claimer leave it zero.
	Attempt uint32
}

// ClaimState is the state of a claimed request.
type ClaimState int

// States of a claim.
const (
	// ClaimGranted means that the claim is new: the holder may run the request.
	ClaimGranted ClaimState = iota + 1
	// ClaimRunning means that another attempt holds the claim and may run.
	ClaimRunning
	// ClaimAnswered means that the request was answered before.
	ClaimAnswered
	// ClaimMismatch means that the key was used with another request body.
	ClaimMismatch
)

// Answer is a complete answer, stored so that it can be returned again.
type Answer struct {
	Head AnswerHead
	Body []byte
}

// ClaimResult is the outcome of a request for a claim.
type ClaimResult struct {
	State  ClaimState
	Answer Answer
}

// Refusal returns the refusal of a request whose claim was not granted. It returns
// nil if the claim was granted or if the earlier answer can be returned again.
func (r ClaimResult) Refusal() *Refusal {
	switch {
	case r.State == ClaimRunning:
		return NewRefusal(CodeDuplicate, MayHaveRun, "a request with this idempotency key is running or may have run")
	case r.State == ClaimMismatch:
		return NewRefusal(CodeConflict, NotRun, "the idempotency key was used with another request")
	case r.State == ClaimAnswered && !IsFinalStatus(r.Answer.Head.Status):
		return NewRefusal(CodeDuplicate, MayHaveRun, "the request was answered before; its answer is not kept")
	default:
		return nil
	}
}

// Claimer grants claims that all entry processes respect.
type Claimer interface {
	// Claim requests the claim. If it returns an error, no claim was granted.
	Claim(ctx context.Context, c Claim) (ClaimResult, error)
	// RecordAnswer records the answer under a granted claim.
	RecordAnswer(ctx context.Context, c Claim, a Answer) error
	// Release gives up a granted claim after a verdict of NotRun. The same
	// request can't claim it again.
	Release(ctx context.Context, c Claim) error
}
