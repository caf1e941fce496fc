package endpoint

import (
	"context"
	"sync"

	"github.com/knapweedpulley/knapweedpulley"
)

// Sync sends the other members what they haven't been told of: answers that clear
// suspects, and all that is known to a member that has just started or could not be
// reached. It returns once they have it or ctx ends.
func (s *Suspects) Sync(ctx context.Context) {
	members := s.otherMembers()
	answered := s.takeAnswered(members)
	var group sync.WaitGroup
	for _, m := range members {
		group.Go(func() { s.syncMember(ctx, m, answered) })
	}
	group.Wait()
}

// syncMember sends a member the answers, after all else if it isn't up to date.
func (s *Suspects) syncMember(ctx context.Context, m knapweedpulley.Member, answered knapweedpulley.SuspectReport) {
	var reports []knapweedpulley.SuspectReport
	if !s.isSynced(m) {
		reports = s.snapshot()
	}
	if len(answered.AnsweredContents) > 0 || len(answered.AnsweredParts) > 0 {
		reports = append(reports, answered)
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

// snapshot returns the refused parts, the unexplained crashes and the answered suspects.
func (s *Suspects) snapshot() []knapweedpulley.SuspectReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := knapweedpulley.SuspectReport{}
	for p := range s.refused {
		first.RefusedParts = append(first.RefusedParts, p)
	}
	var reports []knapweedpulley.SuspectReport
	if len(first.RefusedParts) > 0 {
		reports = append(reports, first)
	}
	v := s.view.Load()
	for _, id := range s.crashOrder[max(0, len(s.crashOrder)-maxWeighedCrashes):] {
		c := s.crashes[id]
		if c.explainedBy(s.refused) {
			continue
		}
		r := knapweedpulley.SuspectReport{Endpoint: id.endpoint, Start: id.start}
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

// takeAnswered returns the answers that the other members haven't been told of. It
// forgets members that have left.
func (s *Suspects) takeAnswered(members []knapweedpulley.Member) knapweedpulley.SuspectReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := make(knapweedpulley.Set[knapweedpulley.MemberID], len(members))
	for _, m := range members {
		if s.synced.Has(m.ID()) {
			current.Add(m.ID())
		}
	}
	s.synced = current
	answered := s.answered
	s.answered = knapweedpulley.SuspectReport{}
	return answered
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
