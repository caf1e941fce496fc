package web

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/knapweedpulley/knapweedpulley"
)

// statusClientClosed is the status that is customary for a request whose caller disconnected before
// the answer.
const statusClientClosed = 499

// ErrorBody is the JSON body of a refusal.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says why a request was refused and whether it may have run.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Verdict string `json:"verdict"`
}

// NewErrorBody returns the JSON body for a refusal.
func NewErrorBody(r *knapweedpulley.Refusal) ErrorBody {
	return ErrorBody{Error: ErrorDetail{
		Message: r.Message,
		Type:    errorType(StatusOf(r.Code)),
		Code:    string(r.Code),
		Verdict: r.Verdict.String(),
	}}
}

// StatusOf returns the HTTP status for the code of a refusal.
func StatusOf(code knapweedpulley.Code) int {
	switch code {
	case knapweedpulley.CodeInvalidRequest, knapweedpulley.CodeConfigurationFaulty:
		return http.StatusBadRequest
	case knapweedpulley.CodeInvalidKey:
		return http.StatusUnauthorized
	case knapweedpulley.CodeForbidden:
		return http.StatusForbidden
	case knapweedpulley.CodeModelNotFound, knapweedpulley.CodeRouteNotFound,
		knapweedpulley.CodeCustomerNotFound, knapweedpulley.CodeEndpointNotFound:
		return http.StatusNotFound
	case knapweedpulley.CodeDuplicate, knapweedpulley.CodeConflict:
		return http.StatusConflict
	case knapweedpulley.CodeBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case knapweedpulley.CodeTooSlow:
		return http.StatusRequestTimeout
	case knapweedpulley.CodeRateExceeded:
		return http.StatusTooManyRequests
	case knapweedpulley.CodeDeadlineExceeded:
		return http.StatusGatewayTimeout
	case knapweedpulley.CodeCanceled:
		return statusClientClosed
	case knapweedpulley.CodeInternal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}

// WriteRefusal answers a request with a refusal. It sets the Retry-After header for the statuses
// 429 and 503. The rest of the request's body is read for a moment only.
func WriteRefusal(w http.ResponseWriter, r *knapweedpulley.Refusal) {
	LeaveBody(w)
	status := StatusOf(r.Code)
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfter(r))
	}
	writeError(w, status, r)
}

func writeError(w http.ResponseWriter, status int, r *knapweedpulley.Refusal) {
	WriteJSON(w, status, NewErrorBody(r))
}

// WriteJSON answers a request with a status and a JSON value.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

// retryAfter returns the delay in whole seconds, at least one, as the Retry-After header requires.
func retryAfter(r *knapweedpulley.Refusal) string {
	return strconv.Itoa(max(1, int(math.Ceil(r.RetryAfter.Seconds()))))
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized || status == http.StatusForbidden:
		return "authentication_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}
