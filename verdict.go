package knapweedpulley

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Verdict says whether a request that was not answered may have run.
type Verdict int

const (
	// MayHaveRun means that a back end may have run the request. It is the zero
	// value, so that an error without a verdict is never treated as safe to retry.
	MayHaveRun Verdict = iota
	// NotRun means that no back end ran the request, nor ever will.
	NotRun
)

// String returns the verdict as it appears in the error body of an answer.
func (v Verdict) String() string {
	if v == NotRun {
		return "notRun"
	}
	return "mayHaveRun"
}

// Code is the machine-readable cause of a refusal.
type Code string

// Causes of refusals.
const (
	CodeInvalidRequest      Code = "invalidRequest"
	CodeInvalidKey          Code = "invalidKey"
	CodeForbidden           Code = "forbidden"
	CodeModelNotFound       Code = "modelNotFound"
	CodeRouteNotFound       Code = "routeNotFound"
	CodeCustomerNotFound    Code = "customerNotFound"
	CodeEndpointNotFound    Code = "endpointNotFound"
	CodeBodyTooLarge        Code = "bodyTooLarge"
	CodeTooSlow             Code = "tooSlow"
	CodeRateExceeded        Code = "rateExceeded"
	CodeQueueFull           Code = "queueFull"
	CodeOverloaded          Code = "overloaded"
	CodeHeldBack            Code = "heldBack"
	CodeDeadlineExceeded    Code = "deadlineExceeded"
	CodeCanceled            Code = "canceled"
	CodeDraining            Code = "draining"
	CodeNotReady            Code = "notReady"
	CodeNoEndpoint          Code = "noEndpoint"
	CodeEvacuated           Code = "evacuated"
	CodeNotPermitted        Code = "notPermitted"
	CodeOutOfMemory         Code = "outOfMemory"
	CodeFenced              Code = "fenced"
	CodeStale               Code = "stale"
	CodeUnreachable         Code = "unreachable"
	CodeLinkLost            Code = "linkLost"
	CodeEngineFailed        Code = "engineFailed"
	CodeCrashSuspect        Code = "crashSuspect"
	CodeDuplicate           Code = "duplicate"
	CodeStoreUnavailable    Code = "storeUnavailable"
	CodeConflict            Code = "conflict"
	CodeConfigurationFaulty Code = "configurationFaulty"
	CodeInternal            Code = "internal"
)

// Refusal is the error that ends a request without a whole answer. It carries
// the verdict across processes and to the caller.
type Refusal struct {
	Code    Code
	Verdict Verdict
	Message string
	// RetryAfter is the time after which a retry may succeed; zero if unknown.
	RetryAfter time.Duration
}

// NewRefusal returns a refusal with a formatted message.
func NewRefusal(code Code, verdict Verdict, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Verdict: verdict, Message: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Verdict, r.Message)
}

// WithRetryAfter returns a copy of the refusal that carries d.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	c := *r
	c.RetryAfter = d
	return &c
}

// VerdictOf returns the verdict that err carries. An error without one gives
// [MayHaveRun].
func VerdictOf(err error) Verdict {
	var r *Refusal
	if errors.As(err, &r) {
		return r.Verdict
	}
	return MayHaveRun
}

// RefusalOf returns the refusal that err carries, or one with the given code,
// verdict [MayHaveRun] and the message of err.
func RefusalOf(err error, code Code) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return &Refusal{Code: code, Verdict: MayHaveRun, Message: err.Error()}
}

// RefusalCause returns the refusal that is the cause of the end of ctx, or nil if there is none.
func RefusalCause(ctx context.Context) *Refusal {
	var r *Refusal
	if errors.As(context.Cause(ctx), &r) {
		return r
	}
	return nil
}
