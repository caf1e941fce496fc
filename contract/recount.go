package contract

import (
	"cmp"
	"maps"
	"slices"

	"github.com/knapweedpulley/knapweedpulley"
)

// recount is a recount of the portions: the epoch and the reports received so far.
type recount struct {
	epoch   knapweedpulley.Epoch
	reports map[knapweedpulley.MemberID]knapweedpulley.ShareReport
}

func (r *recount) has(id knapweedpulley.MemberID) bool {
	_, ok := r.reports[id]
	return ok
}

func (r *recount) add(from knapweedpulley.MemberID, report knapweedpulley.ShareReport) {
	if report.Epoch == r.epoch {
		r.reports[from] = report
	}
}

// Recount starts a recount of the portions held by the processes in the member's view. It
// replaces a recount in progress.
func (p *Protocol) Recount() {
	epoch := knapweedpulley.Epoch{Number: p.epoch.Number + 1, By: p.self, View: p.view.Revision}
	p.joinEpoch(epoch)
	p.recount = &recount{epoch: epoch, reports: make(map[knapweedpulley.MemberID]knapweedpulley.ShareReport)}
	p.recount.add(p.self, p.report)
}

// Recounting reports whether a recount that this member started is in progress.
func (p *Protocol) Recounting() bool {
	return p.recount != nil
}

// Report returns what the member held when it joined an epoch, and false if it has not joined
// the epoch or has joined a later one.
func (p *Protocol) Report(requested knapweedpulley.Epoch) (knapweedpulley.ShareReport, bool) {
	return p.report, p.epoch == requested && p.report.Epoch == requested
}

// joinEpoch joins an epoch, if it is later than the current one, and records what the member
// holds at that moment. It returns false if the member's view is older than the view of the
// epoch. With an older view, the member could still consider a process active that the recount
// assumes to have ended, and apply a grant from it after the report.
func (p *Protocol) joinEpoch(next knapweedpulley.Epoch) bool {
	if !p.epoch.Less(next) {
		return true
	}
	if p.view.Revision < next.View {
		return false
	}
	p.epoch = next
	p.recount = nil
	p.report = p.newReport()
	return true
}

// newReport returns a report of what the member now holds, has sent and has applied.
func (p *Protocol) newReport() knapweedpulley.ShareReport {
	r := knapweedpulley.ShareReport{Epoch: p.epoch, View: p.view.Revision}
	for c, portion := range p.held {
		r.Held = append(r.Held, knapweedpulley.HeldShare{Customer: c, Portion: portion})
	}
	for _, id := range p.grantPeers() {
		c := p.grantsByPeer[id]
		if len(c.unacknowledged) > 0 {
			grants := append([]knapweedpulley.Grant(nil), c.unacknowledged...)
			r.Sent = append(r.Sent, knapweedpulley.SentGrants{To: id, Grants: grants})
		}
		if c.lastApplied > 0 {
			r.Taken = append(r.Taken, knapweedpulley.TakenGrants{From: id, Number: c.lastApplied})
		}
	}
	return r
}

// grantPeers returns the members with which grants were exchanged, ordered by id.
func (p *Protocol) grantPeers() []knapweedpulley.MemberID {
	return slices.SortedFunc(maps.Keys(p.grantsByPeer), func(x, y knapweedpulley.MemberID) int {
		return cmp.Or(cmp.Compare(x.Entry, y.Entry), cmp.Compare(x.Incarnation, y.Incarnation))
	})
}

// ClaimFree completes a recount once all processes in the view have reported: the member takes
// the portions of the given contracts that no member holds, and returns them. It returns false
// while the report of a process in the view is missing, which may be an evicted process that
// can still act, or if a report was made with a later view.
func (p *Protocol) ClaimFree(customers []knapweedpulley.CustomerID) ([]knapweedpulley.HeldShare, bool) {
	if p.recount == nil || p.recount.epoch != p.epoch || !p.allReported() {
		return nil, false
	}
	counted := p.sumPortions()
	p.recount = nil
	var free []knapweedpulley.HeldShare
	for _, customer := range customers {
		if counted[customer] >= knapweedpulley.WholePortion {
			continue
		}
		portion := knapweedpulley.WholePortion - counted[customer]
		p.held[customer] += portion
		free = append(free, knapweedpulley.HeldShare{Customer: customer, Portion: portion})
	}
	return free, true
}

// allReported reports whether each process in the view has reported, none with a later view.
func (p *Protocol) allReported() bool {
	for _, e := range p.view.Entries {
		r, ok := p.recount.reports[e.ID()]
		if !ok || r.View > p.view.Revision {
			return false
		}
	}
	return true
}

// sumPortions returns the sum of the reported portions of each contract. An unacknowledged
// grant counts in the giver's report, unless the receiver's report already includes it or the
// receiver has certainly ended.
func (p *Protocol) sumPortions() map[knapweedpulley.CustomerID]knapweedpulley.Portion {
	sums := make(map[knapweedpulley.CustomerID]knapweedpulley.Portion)
	for id, r := range p.recount.reports {
		for _, h := range r.Held {
			sums[h.Customer] += h.Portion
		}
		for _, s := range r.Sent {
			taken, ok := p.lastAppliedGrant(id, s.To)
			for _, g := range s.Grants {
				if ok && g.Number > taken {
					sums[g.Customer] += g.Portion
				}
			}
		}
	}
	return sums
}

// lastAppliedGrant returns the number of the last grant from giver that receiver had applied
// when it reported, and false if receiver is no longer a member.
func (p *Protocol) lastAppliedGrant(giver, receiver knapweedpulley.MemberID) (uint64, bool) {
	r, ok := p.recount.reports[receiver]
	if !ok {
		return 0, false
	}
	for _, t := range r.Taken {
		if t.From == giver {
			return t.Number, true
		}
	}
	return 0, true
}
