package configuration

import (
	"cmp"
	"slices"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/membership"
)

// decodedEntries caches the registered entry processes decoded from one view.
type decodedEntries struct {
	view    *View
	entries knapweedpulley.EntryView
}

// Entries implements knapweedpulley.ConfigurationView. Objects that can't be decoded are logged and left
// out.
func (c *Configuration) Entries() knapweedpulley.EntryView {
	t := c.table(knapweedpulley.KindEntries)
	if t == nil {
		return knapweedpulley.EntryView{}
	}
	v := t.View()
	if r := c.decodedEntries.Load(); r != nil && r.view == v {
		return r.entries
	}
	r := &decodedEntries{view: v, entries: knapweedpulley.EntryView{Revision: v.Revision}}
	for _, o := range v.Objects {
		e, err := membership.DecodeEntry(o)
		if err != nil {
			c.log.WithError(err).WithField("entry", o.Name).Error("failed to decode entry registration, ignoring it")
			continue
		}
		r.entries.Entries = append(r.entries.Entries, e)
	}
	slices.SortFunc(r.entries.Entries, func(a, b knapweedpulley.RegisteredEntry) int {
		return cmp.Compare(a.Entry, b.Entry)
	})
	c.decodedEntries.Store(r)
	return r.entries
}

// peers returns the entry processes that may be reachable: the registered active ones and those
// listed in the options.
func (c *Configuration) peers() []knapweedpulley.Member {
	var members []knapweedpulley.Member
	for _, e := range c.Entries().Entries {
		if e.State == knapweedpulley.EntryActive {
			members = append(members, e.Member)
		}
	}
	if c.seeds != nil {
		members = append(members, c.seeds.Peers()...)
	}
	return members
}
