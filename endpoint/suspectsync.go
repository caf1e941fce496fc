package endpoint

import (
	"context"
	"sync"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/machine"
)

const (
	// SyncPeriod is the pause between two synchronizations of the suspects of crashes with the other
	// members.
	SyncPeriod = 250 * time.Millisecond
	// SyncTimeout bounds one synchronization.
	SyncTimeout = time.Second
)

// Sync sends the other members what they haven't been told of: answers that clear
// suspects, changed states of prompt parts, and all that is known to a member that has
// just started or could not be reached. It returns once they have it or ctx ends.
func (s *Suspects) Sync(ctx context.Context) {
	members := s.otherMembers()
	changes := s.takeChanges(members)
	var group sync.WaitGroup
	for _, m := range members {
		group.Go(func() { s.syncMember(ctx, m, changes) })
	}
	group.Wait()
}

// SyncRegularly tells the other members what they haven't been told of, several times a second. The
// clean-up doesn't wait for members that don't answer.
func (s *Suspects) SyncRegularly() knapweedpulley.Cleanup {
	ctx, cancel := context.WithCancel(context.Background())
	stop := machine.Every(SyncPeriod, func() {
		ctx, cancel := context.WithTimeout(ctx, SyncTimeout)
		defer cancel()
		s.Sync(ctx)
	})
	return func() {
		cancel()
		stop()
	}
}

// syncMember sends a member the changes, after all else if it isn't up to date.
func (s *Suspects) syncMember(ctx context.Context, m knapweedpulley.Member, changes knapweedpulley.SuspectReport) {
	var reports []knapweedpulley.SuspectReport
	if !s.isSynced(m) {
		reports = s.Snapshot()
	}
	if len(changes.AnsweredContents) > 0 || len(changes.AnsweredParts) > 0 || len(changes.PartStates) > 0 {
		reports = append(reports, changes)
	}
	s.setSynced(m)
	for _, r := range reports {
		if !s.send(ctx, m, r) {
			return
		}
	}
}

// send sends a report to a member and reports whether it has arrived. A member that
// can't be reached is sent everything once it can.
func (s *Suspects) send(ctx context.Context, m knapweedpulley.Member, r knapweedpulley.SuspectReport) bool {
	err := s.Peer.SendSuspects(ctx, m, r)
	if err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.synced.Remove(m.ID())
	}
	return err == nil
}

// Fetch takes over what another member knows.
func (s *Suspects) Fetch(ctx context.Context, fetcher knapweedpulley.SuspectFetcher, from knapweedpulley.Member) error {
	reports, err := fetcher.FetchSuspects(ctx, from)
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for _, r := range reports {
		changed = s.merge(r) || changed
	}
	if changed {
		s.update()
	}
	return err
}

// Snapshot implements knapweedpulley.SuspectStore. It returns the states of prompt parts, the
// unexplained crashes and the answered suspects. The crashes have their age, as a refusal that
// isn't settled is told only by them.
func (s *Suspects) Snapshot() []knapweedpulley.SuspectReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	var reports []knapweedpulley.SuspectReport
	if states := s.states.all(); len(states) > 0 {
		reports = append(reports, knapweedpulley.SuspectReport{PartStates: states})
	}
	settled := s.settled()
	v := s.view.Load()
	for _, id := range s.crashOrder[max(0, len(s.crashOrder)-maxWeighedCrashes):] {
		c := s.crashes[id]
		if c.explainedBy(settled) {
			continue
		}
		r := knapweedpulley.SuspectReport{Endpoint: id.endpoint, Start: id.start, Age: now.Sub(c.at)}
		for f, held := range c.contents {
			if held {
				r.Fingerprints = append(r.Fingerprints, f)
			} else if v.contents[f] == 0 {
				r.AnsweredContents = append(r.AnsweredContents, f)
			}
		}
		for p, held := range c.parts {
			if held {
				r.Parts = append(r.Parts, p)
			} else if !v.parts.Has(p) {
				r.AnsweredParts = append(r.AnsweredParts, p)
			}
		}
		reports = append(reports, r)
	}
	return reports
}

// takeChanges returns the answers and states that the other members haven't been told of.
// It forgets members that have left.
func (s *Suspects) takeChanges(members []knapweedpulley.Member) knapweedpulley.SuspectReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := make(knapweedpulley.Set[knapweedpulley.MemberID], len(members))
	for _, m := range members {
		if s.synced.Has(m.ID()) {
			current.Add(m.ID())
		}
	}
	s.synced = current
	s.settle()
	changes := s.answered
	changes.PartStates = s.states.takeChanged()
	s.answered = knapweedpulley.SuspectReport{}
	return changes
}

func (s *Suspects) isSynced(m knapweedpulley.Member) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.synced.Has(m.ID())
}

func (s *Suspects) setSynced(m knapweedpulley.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.synced.Add(m.ID())
}

// otherMembers returns the members of the group without this process.
func (s *Suspects) otherMembers() []knapweedpulley.Member {
	self := s.Group.Self().Entry
	var others []knapweedpulley.Member
	for _, m := range s.Group.Members() {
		if m.Entry != self {
			others = append(others, m)
		}
	}
	return others
}
