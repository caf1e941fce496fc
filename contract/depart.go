package contract

import (
	"context"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

// handOverRetryDelay is the time between two attempts to hand over the shares.
const handOverRetryDelay = 100 * time.Millisecond

// Depart grants all shares to the other members. It returns nil once they have acknowledged the
// grants, or the error of ctx if ctx ends first. From the call on, no customer can be charged
// at this member. After Depart has returned nil, the member may remove its object from the
// store.
func (l *Limiter) Depart(ctx context.Context) error {
	for {
		for _, m := range l.handOver() {
			l.exchange(ctx, m, l.message(m.ID(), false))
		}
		if len(l.handOver()) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(handOverRetryDelay):
		}
	}
}

// handOver grants all shares to the other members, and returns the members that have not
// acknowledged their grants.
func (l *Limiter) handOver() []knapweedpulley.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.departing = true
	l.refreshView()
	otherMembers := l.otherMembers()
	now := l.clock.Now()
	for _, s := range *l.shares.Load() {
		l.grantAll(now, s, otherMembers)
	}
	var pending []knapweedpulley.Member
	for _, m := range otherMembers {
		if l.protocol.hasUnacknowledged(m.ID()) {
			pending = append(pending, m)
		}
	}
	return pending
}

// grantAll grants a whole share in equal parts to the given members.
func (l *Limiter) grantAll(now knapweedpulley.Instant, s *share, others []knapweedpulley.Member) {
	for i, m := range others {
		own := s.shareDemand(now)
		left := len(others) - i
		l.grant(now, m.ID(), s, own.Held/knapweedpulley.Portion(left), own.Level/float64(left))
	}
}

// otherMembers returns all members but this one.
func (l *Limiter) otherMembers() []knapweedpulley.Member {
	var otherMembers []knapweedpulley.Member
	for _, m := range l.registry.Members() {
		if m.ID() != l.protocol.self {
			otherMembers = append(otherMembers, m)
		}
	}
	return otherMembers
}
