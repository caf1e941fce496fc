package burn

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

// Event is the end of one request.
type Event struct {
	Customer knapweedpulley.CustomerID
	// Err is nil if the request was answered.
	Err error
	// Charge is the upper bound of the number of tokens of the request.
	Charge knapweedpulley.Tokens
	// ColdStart is the time that the request waited for its model to be loaded. It is zero if the
	// model was loaded already.
	ColdStart time.Duration
	// ColdStartTarget is the customer's limit for ColdStart. It is zero if the customer has none.
	ColdStartTarget time.Duration
}

// outcome is the category of an event that the objectives count it in.
type outcome int

const (
	// outcomeAnswered is an answer in time.
	outcomeAnswered outcome = iota + 1
	// outcomeRefused is a refusal in time for a reason other than the caller's fault or rate.
	outcomeRefused
	// outcomeOverRate is a refusal because the customer's rate limit is used up.
	outcomeOverRate
	// outcomeFailed is an answer that was late, was cut off or was never sent.
	outcomeFailed
	// outcomeCallerFault is the result of a caller's action or fault, such as an invalid request or
	// a cancellation. No objective counts it.
	outcomeCallerFault
)

// outcome returns the outcome that the error of the event stands for.
func (e Event) outcome() outcome {
	if e.Err == nil {
		return outcomeAnswered
	}
	var refusal *knapweedpulley.Refusal
	if !errors.As(e.Err, &refusal) {
		return outcomeFailed
	}
	switch refusal.Code {
	case knapweedpulley.CodeInvalidRequest,
		knapweedpulley.CodeInvalidKey,
		knapweedpulley.CodeForbidden,
		knapweedpulley.CodeModelNotFound,
		knapweedpulley.CodeRouteNotFound,
		knapweedpulley.CodeBodyTooLarge,
		knapweedpulley.CodeCanceled,
		knapweedpulley.CodeDuplicate,
		knapweedpulley.CodeConflict,
		knapweedpulley.CodeCrashSuspect:
		return outcomeCallerFault
	case knapweedpulley.CodeRateExceeded:
		return outcomeOverRate
	case knapweedpulley.CodeDeadlineExceeded:
		return outcomeFailed
	}
	if refusal.Verdict == knapweedpulley.NotRun {
		return outcomeRefused
	}
	return outcomeFailed
}

// coldStart reports whether the cold start objective counts the request, which is so if the request
// waited for its model and the customer has a target, and whether it waited longer than the target.
func (e Event) coldStart() (counted, slow bool) {
	counted = e.ColdStart > 0 && e.ColdStartTarget > 0
	return counted, counted && e.ColdStart > e.ColdStartTarget
}
