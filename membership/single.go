package membership

import (
	"github.com/knapweedpulley/knapweedpulley"
)

// Single is the membership of an entry process without others. Its lease is always valid.
type Single struct {
	members []knapweedpulley.Member
	view    knapweedpulley.EntryView
}

// NewSingle returns a membership whose only member is self.
func NewSingle(self knapweedpulley.Member) *Single {
	entry := knapweedpulley.RegisteredEntry{Member: self, State: knapweedpulley.EntryActive, Revision: 1}
	return &Single{
		members: []knapweedpulley.Member{self},
		view:    knapweedpulley.EntryView{Revision: 1, Entries: []knapweedpulley.RegisteredEntry{entry}},
	}
}

// Valid implements knapweedpulley.Lease.
func (*Single) Valid() bool {
	return true
}

// Self implements knapweedpulley.Membership.
func (s *Single) Self() knapweedpulley.Member {
	return s.members[0]
}

// Members implements knapweedpulley.Membership.
func (s *Single) Members() []knapweedpulley.Member {
	return s.members
}

// Owner implements knapweedpulley.Membership.
func (s *Single) Owner(string) knapweedpulley.Member {
	return s.members[0]
}

// View implements knapweedpulley.Registry.
func (s *Single) View() knapweedpulley.EntryView {
	return s.view
}
