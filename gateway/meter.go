package gateway

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/knapweedpulley/knapweedpulley"
)

// Meter counts what becomes of calls.
type Meter struct {
	scope tally.Scope
}

// NewMeter returns a meter that counts in a scope.
func NewMeter(scope tally.Scope) *Meter {
	return &Meter{scope: scope}
}

// buckets are the bounds of the histograms of latency.
func buckets() tally.DurationBuckets {
	return tally.DurationBuckets{
		20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond,
		300 * time.Millisecond, 600 * time.Millisecond, time.Second, 2 * time.Second,
		4 * time.Second, 8 * time.Second, 16 * time.Second, 32 * time.Second,
	}
}

// record counts the end of a call.
func (m *Meter) record(p *passage, err error) {
	outcome := "answered"
	var refusal *knapweedpulley.Refusal
	switch {
	case err == nil:
	case errors.Is(err, ErrBroken):
		outcome = "broken"
	case errors.As(err, &refusal):
		outcome = string(refusal.Code)
	}
	scope := m.scope.Tagged(map[string]string{"route": string(p.admission.Route.ID)})
	scope.Tagged(map[string]string{"outcome": outcome}).Counter("requests").Inc(1)
	if p.first > 0 {
		scope.Histogram("first_answer", buckets()).RecordDuration(p.first)
	}
	if p.sends > 1 {
		scope.Counter("repeats").Inc(int64(p.sends - 1))
	}
}
