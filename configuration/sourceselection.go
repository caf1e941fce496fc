package configuration

import (
	"math"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// heartbeatPeriod is the maximum time between two updates to a subscriber.
	heartbeatPeriod = 500 * time.Millisecond
	// pingPeriod is the time between two pings of a subscriber.
	pingPeriod = 2 * heartbeatPeriod
	// silenceTimeout is the time without an update after which a subscription counts as failed.
	silenceTimeout = 3 * heartbeatPeriod
	// staleAfter is the age of evidence above which another source is tried.
	staleAfter = 2 * time.Second
	// freshnessTimeout is how long a new subscription may take to deliver fresh evidence.
	freshnessTimeout = 400 * time.Millisecond
	// exclusionTime is how long a candidate is excluded after its subscription failed or was stale.
	exclusionTime = 3 * time.Second
	// rankDelay is the delay by rank with which entry processes start to watch the store when no
	// reachable peer has fresh content.
	rankDelay = 500 * time.Millisecond
	// unknownAge is the age of content without evidence.
	unknownAge = time.Duration(math.MaxInt64)
)

// sourceInputs is the state from which an entry process chooses the source of its content: the
// store or a peer.
type sourceInputs struct {
	now       knapweedpulley.Instant
	startedAt knapweedpulley.Instant
	// storeFailing is set while the last call to the store for a collection has failed.
	storeFailing bool
	// maxTurn bounds the delays that grow with the rank.
	maxTurn  time.Duration
	position treePosition
	// storeEvidence is the oldest evidence of a collection that came directly from the store,
	// peerEvidence the evidence that came from a peer.
	storeEvidence knapweedpulley.Instant
	peerEvidence  knapweedpulley.Instant
	// lastPeerUpdate is the time of the last update from a peer.
	lastPeerUpdate knapweedpulley.Instant
}

// since returns the time since an instant, or since the start of the process if that is later.
func (s sourceInputs) since(i knapweedpulley.Instant) time.Duration {
	return s.now.Sub(max(i, s.startedAt))
}

// watchStore reports whether the entry process watches the store. The watchers of the zone always
// do. Another entry process does so once it has received nothing from its peers for staleAfter. If
// its peers send updates with stale evidence, the store may be down, so the entry processes start
// one after the other, by rank.
func (s sourceInputs) watchStore() bool {
	if s.position.watchesStore() {
		return true
	}
	stale := s.since(s.peerEvidence)
	if stale <= staleAfter {
		return false
	}
	turn := min(s.maxTurn, time.Duration(s.position.rank-watchersPerZone)*rankDelay)
	return s.since(s.lastPeerUpdate) > staleAfter || stale > staleAfter+turn
}

// subscribe reports whether the entry process subscribes to a peer. The watchers of the zone do so
// only while the store does not answer them. It may turn away all watchers of a zone and serve
// those of another.
func (s sourceInputs) subscribe() bool {
	return !s.position.watchesStore() || s.storeFailing || s.since(s.storeEvidence) > staleAfter
}

// storePause returns the pause after a failed call to the store. It grows with the rank, so that
// during an outage the total call rate of all entry processes grows only with the logarithm of
// their number.
func (s sourceInputs) storePause() time.Duration {
	return max(heartbeatPeriod, min(s.maxTurn, time.Duration(s.position.rank)*rankDelay))
}

// sourceSelector selects the peer to subscribe to and excludes candidates that failed recently.
type sourceSelector struct {
	excluded map[string]exclusion
}

// exclusion says until when a candidate is excluded.
type exclusion struct {
	until knapweedpulley.Instant
	// failed is set if the subscription failed and was not only stale. Failed candidates are not
	// selected even if there is no other.
	failed bool
}

func newSourceSelector() *sourceSelector {
	return &sourceSelector{excluded: make(map[string]exclusion)}
}

// exclude excludes a candidate until an instant.
func (s *sourceSelector) exclude(m knapweedpulley.Member, until knapweedpulley.Instant, failed bool) {
	s.excluded[m.Address] = exclusion{until: until, failed: failed}
}

// choose returns the first candidate that is not excluded. If there is none, it returns the stale
// candidate whose exclusion ends first.
func (s *sourceSelector) choose(
	candidates []knapweedpulley.Member, now knapweedpulley.Instant,
) (knapweedpulley.Member, bool) {
	for address, a := range s.excluded {
		if a.until <= now {
			delete(s.excluded, address)
		}
	}
	var best knapweedpulley.Member
	found := false
	for _, m := range candidates {
		a, excluded := s.excluded[m.Address]
		if !excluded {
			return m, true
		}
		if !a.failed && (!found || a.until < s.excluded[best.Address].until) {
			best, found = m, true
		}
	}
	return best, found
}
