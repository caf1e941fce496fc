package gateway

import (
	"sync/atomic"

	"github.com/knapweedpulley/knapweedpulley"
)

// Peers implements knapweedpulley.Group: the gateways that are known at present.
type Peers struct {
	self    knapweedpulley.Member
	members atomic.Pointer[[]knapweedpulley.Member]
}

// NewPeers returns a group of one.
func NewPeers(self knapweedpulley.Member) *Peers {
	p := &Peers{self: self}
	p.members.Store(&[]knapweedpulley.Member{self})
	return p
}

// Replace takes over the gateways that are known now.
func (p *Peers) Replace(list []knapweedpulley.Member) {
	p.members.Store(&list)
}

// Self implements knapweedpulley.Group.
func (p *Peers) Self() knapweedpulley.Member {
	return p.self
}

// Members implements knapweedpulley.Group.
func (p *Peers) Members() []knapweedpulley.Member {
	return *p.members.Load()
}
