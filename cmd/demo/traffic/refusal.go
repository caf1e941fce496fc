package traffic

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/knapweedpulley/knapweedpulley"
)

// refusal is a refusal as a caller receives it: the status, the Retry-After header
// field and the body.
type refusal struct {
	Status     int
	RetryAfter string
	Error      struct {
		Message string `json:"message"`
		Type    string `json:"type"`
		Code    string `json:"code"`
		Verdict string `json:"verdict"`
	} `json:"error"`
}

// parseRefusal returns the refusal in a response. If the body isn't one, the message
// says so and the other fields of the body are empty.
func parseRefusal(status int, header http.Header, body []byte) refusal {
	r := refusal{Status: status, RetryAfter: header.Get("Retry-After")}
	if err := json.Unmarshal(body, &r); err != nil {
		r.Error.Message = fmt.Sprintf("not a refusal: %q", body)
	}
	return r
}

// String returns status, code, verdict and message of the refusal.
func (r refusal) String() string {
	return fmt.Sprintf("%d %s %s: %s", r.Status, r.Error.Code, r.Error.Verdict, r.Error.Message)
}

// hasVerdict reports whether the verdict of the refusal is notRun or mayHaveRun.
func (r refusal) hasVerdict() bool {
	return r.Error.Verdict == knapweedpulley.NotRun.String() || r.Error.Verdict == knapweedpulley.MayHaveRun.String()
}

// judgeUnexpected returns the outcome of a request that was refused although it should
// have been answered.
func (r refusal) judgeUnexpected() Outcome {
	overload := r.Status == http.StatusTooManyRequests || r.Status == http.StatusServiceUnavailable
	if overload && r.hasVerdict() && r.RetryAfter != "" {
		return RefusedUnderLoad
	}
	return Wrong
}

// expectation is the refusal that a request must get.
type expectation struct {
	status  int
	code    knapweedpulley.Code
	verdict knapweedpulley.Verdict
}

// judge returns Refused if a refusal is the expected one, else Wrong.
func (e expectation) judge(r refusal) Outcome {
	if r.Status == e.status && r.Error.Code == string(e.code) &&
		r.Error.Verdict == e.verdict.String() && r.Error.Type != "" && r.Error.Message != "" {
		return Refused
	}
	return Wrong
}
