package membership

import (
	"slices"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// LeaseTime is how long an entry process may act on a piece of evidence.
	LeaseTime = 3 * time.Second
	// heartbeatPeriod is the time between two heartbeats to a member.
	heartbeatPeriod = 500 * time.Millisecond
	// staleAfter is the age above which evidence isn't fresh. It leaves two heartbeat
	// periods to find a majority before the lease expires.
	staleAfter = LeaseTime - 2*heartbeatPeriod
	// maxClockDrift bounds how much faster another machine's clock may run until a lease
	// expires, with a margin.
	maxClockDrift = 500 * time.Millisecond
)

// answer is the last heartbeat that a member returned as an answer.
type answer struct {
	// sent is when the request was sent.
	sent      knapweedpulley.Instant
	heartbeat knapweedpulley.Heartbeat
}

// confirms reports whether the answer of a member supports the lease of self during an
// outage of the store: the member has no fresh evidence and knows of no eviction of self.
func (a answer) confirms(self knapweedpulley.MemberID) bool {
	return a.heartbeat.Age > staleAfter && !slices.Contains(a.heartbeat.Evicted, self)
}

// confirmedUntil returns the time until which a majority of the members supports the lease
// of self during an outage of the store, and false if there is no majority. The support of
// self for its own lease never ends, since the caller checks its own evidence.
func confirmedUntil(
	self knapweedpulley.MemberID, members []knapweedpulley.Member, answers map[knapweedpulley.MemberID]answer,
) (knapweedpulley.Instant, bool) {
	needed := majority(len(members)) - 1
	var sent []knapweedpulley.Instant
	for _, m := range members {
		if a, ok := answers[m.ID()]; ok && m.ID() != self && a.confirms(self) {
			sent = append(sent, a.sent)
		}
	}
	if len(sent) < needed {
		return 0, false
	}
	if needed == 0 {
		return knapweedpulley.Instant(1<<63 - 1), true
	}
	slices.Sort(sent)
	return sent[len(sent)-needed].Add(LeaseTime), true
}

// relayedUntil returns the time until which the evidence of another member supports the
// lease. The evidence counts only if both processes have the same view and configuration.
func relayedUntil(own knapweedpulley.Heartbeat, a answer) (knapweedpulley.Instant, bool) {
	h := a.heartbeat
	if h.View != own.View || h.Digest != own.Digest || h.Age > LeaseTime {
		return 0, false
	}
	return a.sent.Add(LeaseTime - h.Age), true
}
