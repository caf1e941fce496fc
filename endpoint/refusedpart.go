package endpoint

import (
	"sync/atomic"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// firstProbeDelay is the time after which one request with a refused part is sent
	// as a probe, nextProbeDelay the time until the next one.
	firstProbeDelay = 6 * time.Second
	nextProbeDelay  = time.Minute
	maxProbes       = 2
	// maxReturnedProbes is the number of a part's probes that may be returned. One that an
	// endpoint refused has still reached it.
	maxReturnedProbes = 1
	// ambiguousProbeDelay replaces firstProbeDelay for parts that can't be told apart.
	ambiguousProbeDelay = time.Second
	// jointProbeDelay is the time after which a request with several refused parts can
	// be a probe. Until then, each is probed by a request without the others.
	jointProbeDelay = 12 * time.Second
	// settleTime is the time in which other evidence can end the refusal of a part.
	settleTime = 3 * time.Second
)

// refusedPart is a prompt part that is refused.
type refusedPart struct {
	since knapweedpulley.Instant
	// adopted is set if another member refuses the part.
	adopted bool
	// ambiguous is set if the part was refused together with others.
	ambiguous bool
	// nextProbe is when the next probe may be sent, probes the number of probes so far
	// that weren't returned.
	nextProbe atomic.Int64
	probes    atomic.Uint32
}

func newRefusedPart(since knapweedpulley.Instant, ambiguous bool, probes uint32) *refusedPart {
	r := &refusedPart{since: since, ambiguous: ambiguous}
	r.probes.Store(probes)
	r.nextProbe.Store(int64(since.Add(r.firstDelay())))
	return r
}

func newAdoptedPart(since knapweedpulley.Instant, probes uint32) *refusedPart {
	r := newRefusedPart(since, false, probes)
	r.adopted = true
	return r
}

func (r *refusedPart) firstDelay() time.Duration {
	if r.ambiguous {
		return ambiguousProbeDelay
	}
	return firstProbeDelay
}

// isSettled reports whether only an answer can end the refusal.
func (r *refusedPart) isSettled(now knapweedpulley.Instant) bool {
	return r.adopted || now.Sub(r.since) >= settleTime
}

// mayProbe reports whether a probe may be sent now.
func (r *refusedPart) mayProbe(now knapweedpulley.Instant) bool {
	return r.probes.Load() < maxProbes && now >= knapweedpulley.Instant(r.nextProbe.Load())
}

// setProbes sets the number of probes, the last of which is sent now.
func (r *refusedPart) setProbes(probes uint32, now knapweedpulley.Instant) {
	r.probes.Store(probes)
	r.nextProbe.Store(int64(now.Add(nextProbeDelay)))
}

// mayProbe reports whether a request with these refused parts may be a probe now.
func mayProbe(refused map[knapweedpulley.PartFingerprint]*refusedPart, now knapweedpulley.Instant) bool {
	for _, r := range refused {
		if !r.mayProbe(now) || (len(refused) > 1 && now.Sub(r.since) < jointProbeDelay) {
			return false
		}
	}
	return true
}

// historySize is the number of prompt parts that a partHistory remembers at most.
const historySize = 4096

// partHistory remembers prompt parts that were answered lately. A part may displace
// another one.
type partHistory struct {
	slots [historySize]atomic.Uint64
}

func (h *partHistory) add(p knapweedpulley.PartFingerprint) {
	slot := &h.slots[p%historySize]
	if slot.Load() != uint64(p) {
		slot.Store(uint64(p))
	}
}

func (h *partHistory) has(p knapweedpulley.PartFingerprint) bool {
	return h.slots[p%historySize].Load() == uint64(p)
}
