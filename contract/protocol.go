package contract

import (
	"slices"

	"github.com/knapweedpulley/knapweedpulley"
)

// peerGrants is the state of the grants that a member exchanges with one other member.
type peerGrants struct {
	// unacknowledged holds the sent grants that the other member has not acknowledged, ordered
	// by number.
	unacknowledged []knapweedpulley.Grant
	// lastSent is the number of the last grant sent to the other member.
	lastSent uint64
	// lastApplied is the number of the last grant from the other member that was applied.
	lastApplied uint64
}

// Protocol is the state of the share protocol at one member: the portions that it holds, the
// grants that it has sent and applied, and the recount in progress. It decides which messages
// take effect. It isn't safe for concurrent use.
type Protocol struct {
	self knapweedpulley.MemberID
	view knapweedpulley.EntryView
	// states holds the state of each process in the view.
	states       map[knapweedpulley.MemberID]knapweedpulley.EntryState
	held         map[knapweedpulley.CustomerID]knapweedpulley.Portion
	grantsByPeer map[knapweedpulley.MemberID]*peerGrants
	epoch        knapweedpulley.Epoch
	report       knapweedpulley.ShareReport
	recount      *recount
}

// NewProtocol returns the state of a member that holds nothing.
func NewProtocol(self knapweedpulley.MemberID) *Protocol {
	return &Protocol{
		self:         self,
		held:         make(map[knapweedpulley.CustomerID]knapweedpulley.Portion),
		grantsByPeer: make(map[knapweedpulley.MemberID]*peerGrants),
	}
}

// Held returns the portion of a contract that the member holds.
func (p *Protocol) Held(customer knapweedpulley.CustomerID) knapweedpulley.Portion {
	return p.held[customer]
}

// SetView replaces the view of the entry processes if v is later. Grants to processes that
// have certainly ended are discarded and never returned to this member, because the receiver
// may have passed them on.
func (p *Protocol) SetView(v knapweedpulley.EntryView) {
	if v.Revision <= p.view.Revision {
		return
	}
	changed := !sameEntries(v.Entries, p.view.Entries)
	p.view = v
	if !changed {
		return
	}
	p.recount = nil
	p.states = make(map[knapweedpulley.MemberID]knapweedpulley.EntryState, len(v.Entries))
	for _, e := range v.Entries {
		p.states[e.ID()] = e.State
	}
	for id := range p.grantsByPeer {
		if !p.registered(id) {
			delete(p.grantsByPeer, id)
		}
	}
}

// Grant removes a portion from what the member holds and records it as sent. It returns false
// and changes nothing if the member doesn't hold the portion, or if the receiver is not an
// active member or is the member itself.
func (p *Protocol) Grant(to knapweedpulley.MemberID, g knapweedpulley.Grant) bool {
	if !p.active(to) || to == p.self || p.held[g.Customer] < g.Portion {
		return false
	}
	p.held[g.Customer] -= g.Portion
	grants := p.peerGrants(to)
	grants.lastSent++
	g.Number = grants.lastSent
	grants.unacknowledged = append(grants.unacknowledged, g)
	return true
}

// Message returns the next message to another member. It repeats each grant until the grant
// is acknowledged.
func (p *Protocol) Message(to knapweedpulley.MemberID) knapweedpulley.ShareMessage {
	m := knapweedpulley.ShareMessage{From: p.self, To: to, Epoch: p.epoch}
	if grants, ok := p.grantsByPeer[to]; ok {
		m.Taken = grants.lastApplied
		m.Grants = append(m.Grants, grants.unacknowledged...)
	}
	if p.recount != nil && !p.recount.has(to) {
		m.Counting = true
	}
	return m
}

// Receive applies a message and returns the grants from it that took effect.
//
// A member joins a later epoch before it processes the acknowledgments in the same message. An
// acknowledgment carries the epoch of the member that sends it. So if the receiver of a grant
// applies it after its own report, the giver still lists the grant as unacknowledged in the
// report that it makes on joining the epoch.
func (p *Protocol) Receive(m knapweedpulley.ShareMessage) []knapweedpulley.Grant {
	if m.To != p.self || !p.active(m.From) || !p.joinEpoch(m.Epoch) {
		return nil
	}
	p.acknowledge(m)
	if r, ok := m.Report.Get(); ok && p.recount != nil {
		p.recount.add(m.From, r)
	}
	return p.applyGrants(m)
}

func (p *Protocol) acknowledge(m knapweedpulley.ShareMessage) {
	grants, ok := p.grantsByPeer[m.From]
	if !ok {
		return
	}
	for len(grants.unacknowledged) > 0 && grants.unacknowledged[0].Number <= m.Taken {
		grants.unacknowledged = grants.unacknowledged[1:]
	}
}

// applyGrants applies the grants that directly follow the last one applied, in order of their
// numbers.
func (p *Protocol) applyGrants(m knapweedpulley.ShareMessage) []knapweedpulley.Grant {
	if len(m.Grants) == 0 {
		return nil
	}
	grants := p.peerGrants(m.From)
	var applied []knapweedpulley.Grant
	for _, g := range m.Grants {
		if g.Number != grants.lastApplied+1 {
			continue
		}
		grants.lastApplied = g.Number
		p.held[g.Customer] += g.Portion
		applied = append(applied, g)
	}
	return applied
}

// hasUnacknowledged reports whether a member has yet to acknowledge grants of this member.
func (p *Protocol) hasUnacknowledged(to knapweedpulley.MemberID) bool {
	grants, ok := p.grantsByPeer[to]
	return ok && len(grants.unacknowledged) > 0
}

// peerGrants returns the grants exchanged with a member, and adds them if there are none yet.
func (p *Protocol) peerGrants(id knapweedpulley.MemberID) *peerGrants {
	grants, ok := p.grantsByPeer[id]
	if !ok {
		grants = &peerGrants{}
		p.grantsByPeer[id] = grants
	}
	return grants
}

// sameEntries reports whether two lists name the same processes in the same states.
func sameEntries(a, b []knapweedpulley.RegisteredEntry) bool {
	return slices.EqualFunc(a, b, func(x, y knapweedpulley.RegisteredEntry) bool {
		return x.ID() == y.ID() && x.State == y.State
	})
}

// registered reports whether the view names a run of a process. A run that it doesn't name has
// certainly ended, or is later than the view.
func (p *Protocol) registered(id knapweedpulley.MemberID) bool {
	_, ok := p.states[id]
	return ok
}

// active reports whether a process is registered and has not been evicted.
func (p *Protocol) active(id knapweedpulley.MemberID) bool {
	return p.states[id] == knapweedpulley.EntryActive
}
