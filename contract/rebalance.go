package contract

import (
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// peerReportLifetime is the age up to which the reported shares of a member are used.
	peerReportLifetime = 3 * tickPeriod
	// fullReportRounds is the number of rounds after which a member reports all its shares
	// again, in case a message was lost.
	fullReportRounds = 8
	// minSurplus is the portion below which a surplus is not transferred.
	minSurplus = knapweedpulley.WholePortion / 64
)

// peer is the last reported state of another member's shares.
type peer struct {
	reportedAt knapweedpulley.Instant
	// fullySent is set once this member has reported all its own shares to the peer.
	fullySent bool
	shares    map[knapweedpulley.CustomerID]knapweedpulley.ShareDemand
}

// update stores the shares that a member reported. p is nil at the first report.
func (p *peer) update(now knapweedpulley.Instant, demands []knapweedpulley.ShareDemand) *peer {
	if p == nil {
		p = &peer{shares: make(map[knapweedpulley.CustomerID]knapweedpulley.ShareDemand, len(demands))}
	}
	p.reportedAt = now
	for _, d := range demands {
		p.shares[d.Customer] = d
	}
	return p
}

func (p *peer) age(now knapweedpulley.Instant) time.Duration {
	return now.Sub(p.reportedAt)
}

// rebalance grants surplus portions to the members that hold less than an even part of a
// contract. Members that need more at short notice pull it.
func (l *Limiter) rebalance(now knapweedpulley.Instant) {
	if l.departing {
		return
	}
	for _, s := range *l.shares.Load() {
		own := s.shareDemand(now)
		if own.Held == 0 {
			continue
		}
		for _, t := range transfers(own.Held, l.freshShares(now, s.customer)) {
			l.grant(now, t.to, s, t.portion, own.Level*float64(t.portion)/float64(own.Held))
		}
	}
}

// peerShare is the share of one contract that another member has reported.
type peerShare struct {
	member knapweedpulley.MemberID
	demand knapweedpulley.ShareDemand
}

// freshShares returns the shares of a contract that other members have reported within
// peerReportLifetime.
func (l *Limiter) freshShares(now knapweedpulley.Instant, customer knapweedpulley.CustomerID) []peerShare {
	var list []peerShare
	for id, p := range l.peers {
		if p.age(now) > peerReportLifetime {
			continue
		}
		if d, ok := p.shares[customer]; ok {
			list = append(list, peerShare{member: id, demand: d})
		}
	}
	return list
}

// transfer is a portion to be granted to a member.
type transfer struct {
	to      knapweedpulley.MemberID
	portion knapweedpulley.Portion
}

// transfers divides the own surplus among the members that hold less than an even part, in
// proportion to their deficits. Each member with a surplus transfers its own at the same time,
// so that together they cover the deficits.
func transfers(own knapweedpulley.Portion, others []peerShare) []transfer {
	evenPortion := knapweedpulley.WholePortion / knapweedpulley.Portion(len(others)+1)
	if own < evenPortion+minSurplus {
		return nil
	}
	totalDeficit := 0.0
	for _, s := range others {
		totalDeficit += deficit(s.demand.Held, evenPortion)
	}
	given := min(float64(own-evenPortion), totalDeficit)
	var list []transfer
	for _, s := range others {
		if p := given * deficit(s.demand.Held, evenPortion) / totalDeficit; p >= 1 {
			list = append(list, transfer{to: s.member, portion: knapweedpulley.Portion(p)})
		}
	}
	return list
}

// deficit returns how much of an even portion is not held.
func deficit(held, evenPortion knapweedpulley.Portion) float64 {
	return max(0, float64(evenPortion)-float64(held))
}
