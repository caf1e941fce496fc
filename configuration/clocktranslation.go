package configuration

import (
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

// maxClockDrift bounds the drift between the boot-time clocks of two machines, as a fraction of the
// elapsed time.
const maxClockDrift = 0.001

// clockTranslation translates instants of a remote clock to the local clock. The result is never
// later than the true instant.
//
// The remote machine reports the time on its clock when a ping arrived, which is after the ping
// was sent. Each ping therefore gives a lower bound for the offset between the clocks. The largest
// bound is the tightest one.
type clockTranslation struct {
	offset time.Duration
	at     knapweedpulley.Instant
	valid  bool
}

// observe records that the remote clock showed remote at some instant after sent on the local
// clock.
func (t *clockTranslation) observe(sent, remote knapweedpulley.Instant) {
	offset := sent.Sub(remote)
	if !t.valid || offset > t.offset-t.uncertainty(sent) {
		*t = clockTranslation{offset: offset, at: sent, valid: true}
	}
}

// toLocal returns an instant on the local clock that is no later than remote.
func (t *clockTranslation) toLocal(remote, now knapweedpulley.Instant) knapweedpulley.Instant {
	return remote.Add(t.offset - t.uncertainty(now))
}

func (t *clockTranslation) uncertainty(now knapweedpulley.Instant) time.Duration {
	return time.Duration(float64(max(0, now.Sub(t.at))) * maxClockDrift)
}
