package agent

import (
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// minSamples is the number of completed requests before an estimate is used.
	minSamples = 8
	// newestSampleWeight is the weight of the newest sample in the moving average.
	newestSampleWeight = 0.1
)

// durationEstimator estimates how long requests run, as a moving average of the time per
// token of completed requests.
type durationEstimator struct {
	samples  int
	perToken time.Duration
}

// record adds the duration of a request with the given charge.
func (p *durationEstimator) record(charge knapweedpulley.Tokens, duration time.Duration) {
	if charge <= 0 || duration <= 0 {
		return
	}
	sample := duration / time.Duration(charge)
	p.samples++
	if p.samples == 1 {
		p.perToken = sample
		return
	}
	p.perToken += time.Duration(newestSampleWeight * float64(sample-p.perToken))
}

// estimate returns the time that tokens take in one slot. It returns false until there are
// enough samples.
func (p *durationEstimator) estimate(tokens knapweedpulley.Tokens) (time.Duration, bool) {
	return p.perToken * time.Duration(tokens), p.samples >= minSamples
}
