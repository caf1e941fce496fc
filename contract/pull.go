package contract

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// pullTimeout bounds the time that one pull waits for other members.
	pullTimeout = 50 * time.Millisecond
	// minPullPause and maxPullPause bound the pause after a pull that yielded too few tokens.
	minPullPause = 20 * time.Millisecond
	maxPullPause = tickPeriod
	// maxPulledMembers bounds the members from which one pull requests tokens.
	maxPulledMembers = 3
	// pullAhead is the time for whose expected demand a pull requests tokens in advance.
	pullAhead = 250 * time.Millisecond
)

// pull requests the tokens that the share lacks from other members. It reports whether a charge
// of n tokens should be attempted again. Concurrent charges of a customer wait for the same
// pull.
func (l *Limiter) pull(s *share, n float64) bool {
	s.mu.Lock()
	if flight := s.pulling; flight != nil {
		s.mu.Unlock()
		<-flight
		return true
	}
	now := l.clock.Now()
	if n > float64(s.contract.Burst) || s.pausedUntil.After(now) {
		s.mu.Unlock()
		return false
	}
	flight := make(chan struct{})
	s.pulling = flight
	s.mu.Unlock()
	enough := l.pullFromPeers(s, n)
	if !enough {
		s.pausePulls(l.clock.Now(), n)
	}
	s.mu.Lock()
	s.pulling = nil
	s.mu.Unlock()
	close(flight)
	return enough
}

// pullFromPeers requests tokens from the members with the most tokens, one after the other,
// until the share holds n tokens. It reports whether the share holds them.
func (l *Limiter) pullFromPeers(s *share, n float64) bool {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	for _, m := range l.pullCandidates(s.customer) {
		own := l.Share(s.customer)
		lacking := n - own.Level
		if lacking <= 0 {
			return true
		}
		message := l.message(m.ID(), false)
		message.Pulls = []knapweedpulley.SharePull{{
			Customer: s.customer, Tokens: lacking, Extra: own.Rate.Over(pullAhead),
		}}
		l.exchange(ctx, m, message)
	}
	return l.Share(s.customer).Level >= n
}

// pullCandidates returns the members that hold the most tokens by their last reports, at most
// maxPulledMembers of them, and none while this member departs.
func (l *Limiter) pullCandidates(customer knapweedpulley.CustomerID) []knapweedpulley.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.departing {
		return nil
	}
	shares := l.freshShares(l.clock.Now(), customer)
	slices.SortFunc(shares, func(s, t peerShare) int {
		return cmp.Or(
			cmp.Compare(t.demand.Level, s.demand.Level),
			cmp.Compare(t.demand.Held, s.demand.Held),
			cmp.Compare(s.member.Entry, t.member.Entry),
		)
	})
	var list []knapweedpulley.Member
	for _, s := range shares[:min(len(shares), maxPulledMembers)] {
		for _, m := range l.registry.Members() {
			if m.ID() == s.member && s.demand.Held > 0 {
				list = append(list, m)
			}
		}
	}
	return list
}

// servePulls grants the tokens that another member requests, as far as this member holds them,
// along with a portion whose burst can hold them.
func (l *Limiter) servePulls(m knapweedpulley.ShareMessage) {
	if !l.protocol.active(m.From) || m.To != l.protocol.self {
		return
	}
	now := l.clock.Now()
	all := *l.shares.Load()
	for _, p := range m.Pulls {
		s, ok := all[p.Customer]
		if !ok {
			continue
		}
		if tokens := grantedTokens(p, s.shareDemand(now).Level); tokens > 0 {
			l.grant(now, m.From, s, s.portionHolding(tokens), tokens)
		}
	}
}

// grantedTokens returns how many of the tokens at the given level are granted to a pull: those
// that are needed now, as far as they are available, and the extra ones as long as half of the
// level is left.
func grantedTokens(p knapweedpulley.SharePull, level float64) float64 {
	return min(level, max(p.Tokens, min(p.Tokens+p.Extra, level/2)))
}

// portionHolding returns the smallest portion whose burst holds the given tokens.
func (s *share) portionHolding(tokens float64) knapweedpulley.Portion {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.contract.Burst <= 0 {
		return 0
	}
	return knapweedpulley.Portion(math.Ceil(tokens / float64(s.contract.Burst) * float64(knapweedpulley.WholePortion)))
}
