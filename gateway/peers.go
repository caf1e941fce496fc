package gateway

import (
	"sync/atomic"

	"github.com/knapweedpulley/knapweedpulley"
)

// Peers implements knapweedpulley.Group and knapweedpulley.PeerList for the gateways that are currently known.
type Peers struct {
	self    knapweedpulley.Member
	members atomic.Pointer[[]knapweedpulley.Member]
}

// NewPeers returns a group that consists of self only.
func NewPeers(self knapweedpulley.Member) *Peers {
	p := &Peers{self: self}
	p.members.Store(&[]knapweedpulley.Member{self})
	return p
}

// SetMembers replaces the known gateways. The slice must not be changed afterwards.
func (p *Peers) SetMembers(list []knapweedpulley.Member) {
	p.members.Store(&list)
}

// Peers implements knapweedpulley.PeerList.
func (p *Peers) Peers() []knapweedpulley.Member {
	return p.Members()
}

// Self implements knapweedpulley.Group.
func (p *Peers) Self() knapweedpulley.Member {
	return p.self
}

// Members implements knapweedpulley.Group.
func (p *Peers) Members() []knapweedpulley.Member {
	return *p.members.Load()
}
