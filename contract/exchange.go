package contract

import (
	"context"
	"sync"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

// run exchanges messages with the other members until stop is closed.
func (l *Limiter) run(stop <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	var rounds sync.WaitGroup
	defer rounds.Wait()
	defer cancel()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			l.tick(ctx, &rounds)
		}
	}
}

// tick starts a round and sends a message to each other member. It does nothing while the
// member has no valid lease.
func (l *Limiter) tick(ctx context.Context, rounds *sync.WaitGroup) {
	if !l.registry.Valid() {
		return
	}
	for _, m := range l.startRound() {
		rounds.Go(func() {
			round, cancel := context.WithTimeout(ctx, exchangeTimeout)
			defer cancel()
			l.exchange(round, m, l.message(m.ID(), true))
		})
	}
}

// startRound updates the demand of the shares, advances the recount, rebalances the portions
// and determines the shares to report. It returns the other members.
func (l *Limiter) startRound() []knapweedpulley.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	elapsed := now.Sub(l.lastTick)
	l.lastTick = now
	for _, s := range *l.shares.Load() {
		s.updateDemand(elapsed)
	}
	l.refreshView()
	l.advanceRecount(now)
	l.rebalance(now)
	l.round++
	l.changed = l.changed[:0:0]
	for _, s := range *l.shares.Load() {
		if demand, ok := s.changed(now); ok {
			l.changed = append(l.changed, demand)
		}
	}
	return l.otherMembers()
}

// message returns the next message to a member. The message of a tick includes the member's
// own demands.
func (l *Limiter) message(to knapweedpulley.MemberID, tick bool) knapweedpulley.ShareMessage {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.protocol.Message(to)
	m.Departing = l.departing
	if tick {
		l.addDemands(&m)
	}
	return m
}

// exchange sends m to a member and processes the answer. A late answer does no harm.
func (l *Limiter) exchange(ctx context.Context, to knapweedpulley.Member, m knapweedpulley.ShareMessage) {
	answer, err := l.link.Exchange(ctx, to, m)
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.receive(answer)
}

// HandleShares implements knapweedpulley.ShareService.
func (l *Limiter) HandleShares(m knapweedpulley.ShareMessage) knapweedpulley.ShareMessage {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.receive(m)
	l.servePulls(m)
	answer := l.protocol.Message(m.From)
	answer.Departing = l.departing
	if m.Counting {
		if r, ok := l.protocol.Report(m.Epoch); ok {
			answer.Report = knapweedpulley.Some(r)
		}
	}
	if m.Tick {
		l.addDemands(&answer)
	}
	return answer
}

// receive applies a message or an answer. The caller holds the mutex.
func (l *Limiter) receive(m knapweedpulley.ShareMessage) {
	now := l.clock.Now()
	l.refreshView()
	l.addGrants(now, l.protocol.Receive(m))
	switch {
	case !l.protocol.active(m.From) || m.To != l.protocol.self:
	case m.Departing:
		delete(l.peers, m.From)
	case m.Tick:
		l.peers[m.From] = l.peers[m.From].update(now, m.Demands)
	}
	if l.protocol.Recounting() {
		l.claimFree(now)
	}
}

// addDemands adds the shares that have changed to the message of a tick. Every fullReportRounds
// rounds, and in the messages to a member to which not all shares have been reported yet, it
// adds all shares.
func (l *Limiter) addDemands(m *knapweedpulley.ShareMessage) {
	m.Tick = true
	m.Demands = l.changed
	p, ok := l.peers[m.To]
	if !ok || !p.fullySent || l.round%fullReportRounds == 0 {
		m.Demands = l.demands()
	}
	if ok {
		p.fullySent = true
	}
}

// demands returns the state of all own shares.
func (l *Limiter) demands() []knapweedpulley.ShareDemand {
	now := l.clock.Now()
	all := *l.shares.Load()
	list := make([]knapweedpulley.ShareDemand, 0, len(all))
	for _, s := range all {
		list = append(list, s.shareDemand(now))
	}
	return list
}
