package agent

import (
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// paceSamples is the number of requests after which an estimate is used.
	paceSamples = 8
	// paceGain is the weight of the newest request in the estimate.
	paceGain = 0.1
)

// pace estimates how long requests run, from those that ended.
type pace struct {
	samples  int
	perToken time.Duration
}

// record takes over the time that a request with a charge took.
func (p *pace) record(charge knapweedpulley.Tokens, took time.Duration) {
	if charge <= 0 || took <= 0 {
		return
	}
	sample := took / time.Duration(charge)
	p.samples++
	if p.samples == 1 {
		p.perToken = sample
		return
	}
	p.perToken += time.Duration(paceGain * float64(sample-p.perToken))
}

// estimate returns the time that n tokens take in one slot, and false while too
// little is known.
func (p *pace) estimate(n knapweedpulley.Tokens) (time.Duration, bool) {
	return p.perToken * time.Duration(n), p.samples >= paceSamples
}
