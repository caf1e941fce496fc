package agent

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/knapweedpulley/knapweedpulley"
)

// meter records the metrics of an agent.
type meter struct {
	scope    tally.Scope
	answered tally.Counter
	wait     tally.Timer
	crashes  tally.Counter
	orders   tally.Counter
	silent   tally.Gauge
}

func newMeter(scope tally.Scope) meter {
	return meter{
		scope:    scope,
		answered: scope.Counter("answered"),
		wait:     scope.Timer("wait"),
		crashes:  scope.Counter("engineCrashes"),
		orders:   scope.Counter("orders"),
		silent:   scope.Gauge("engineSilent"),
	}
}

// countRefusal counts err by the code and verdict of its refusal, and returns err.
func (m meter) countRefusal(err error) error {
	r := knapweedpulley.RefusalOf(err, knapweedpulley.CodeEngineFailed)
	m.scope.Tagged(map[string]string{"code": string(r.Code), "verdict": r.Verdict.String()}).Counter("refused").Inc(1)
	return err
}

func (m meter) recordWait(d time.Duration) {
	m.wait.Record(d)
}
