package intake

import (
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// paceWindow is the time over which progress is measured. minRate is the slowest transfer of a
	// window. A link of 10 Mbit/s that a thousand callers share gives each about that much.
	paceWindow = 10 * time.Second
	minRate    = knapweedpulley.KiB
	// pauseTolerance is how late the end of a window may be noticed. A process that was frozen notices it
	// later, and then the client isn't to blame.
	pauseTolerance = time.Second
)

// Pace watches the progress of one transfer.
type Pace struct {
	end   knapweedpulley.Instant
	bytes knapweedpulley.Bytes
}

// NewPace returns the pace of a transfer that begins now.
func NewPace(now knapweedpulley.Instant) Pace {
	return Pace{end: now.Add(paceWindow)}
}

// Deadline returns the end of the current window.
func (p *Pace) Deadline() knapweedpulley.Instant {
	return p.end
}

// Advance records n bytes. It reports whether the transfer is fast enough and whether a new window has
// begun.
func (p *Pace) Advance(now knapweedpulley.Instant, n knapweedpulley.Bytes) (sufficient, renewed bool) {
	p.bytes += n
	late := now.Sub(p.end)
	if late < 0 {
		return true, false
	}
	sufficient = p.bytes >= minRate*knapweedpulley.Bytes(paceWindow/time.Second) || late > pauseTolerance
	*p = NewPace(now)
	return sufficient, true
}
