package contract

import (
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

// recountPeriod is the time after which the portions are recounted even if neither the members
// nor the contracts have changed.
const recountPeriod = time.Minute

// recountScope is the time of a recount, and the processes and contracts that it covered.
type recountScope struct {
	at        knapweedpulley.Instant
	entries   []knapweedpulley.RegisteredEntry
	customers knapweedpulley.Set[knapweedpulley.CustomerID]
}

// covers reports whether there is no reason for another recount: the last one is recent, the
// processes are the same, and it covered all current contracts.
func (r recountScope) covers(now knapweedpulley.Instant, view knapweedpulley.EntryView, current shares) bool {
	if now.Sub(r.at) > recountPeriod || !sameEntries(r.entries, view.Entries) {
		return false
	}
	for c := range current {
		if !r.customers.Has(c) {
			return false
		}
	}
	return true
}

// refreshView applies the registry's current view, and discards the state of peers that are no
// longer active.
func (l *Limiter) refreshView() {
	l.protocol.SetView(l.registry.View())
	for id := range l.peers {
		if !l.protocol.active(id) {
			delete(l.peers, id)
		}
	}
}

// advanceRecount starts a recount if portions may have become free, or claims the free portions
// if all members have reported. Only the first of the members recounts.
func (l *Limiter) advanceRecount(now knapweedpulley.Instant) {
	members := l.registry.Members()
	if len(members) == 0 || members[0].ID() != l.protocol.self {
		return
	}
	all := *l.shares.Load()
	if !l.protocol.Recounting() {
		if l.lastRecount.covers(now, l.protocol.view, all) {
			return
		}
		l.protocol.Recount()
	}
	l.claimFree(now)
}

// recountAlone recounts without waiting for a tick if this is the only entry process.
func (l *Limiter) recountAlone(now knapweedpulley.Instant) {
	if len(l.registry.View().Entries) == 1 && l.registry.Valid() {
		l.advanceRecount(now)
	}
}

// claimFree claims the free portions, if all members have reported, and grants each to the
// owner of its customer.
func (l *Limiter) claimFree(now knapweedpulley.Instant) {
	all := *l.shares.Load()
	customers := make([]knapweedpulley.CustomerID, 0, len(all))
	for c := range all {
		customers = append(customers, c)
	}
	free, ok := l.protocol.ClaimFree(customers)
	if !ok {
		return
	}
	l.lastRecount = recountScope{
		at: now, entries: l.protocol.view.Entries, customers: knapweedpulley.NewSet(customers...),
	}
	for _, f := range free {
		s := all[f.Customer]
		s.addPortion(now, f.Portion, l.initialTokens(s, f.Portion))
		if owner := l.registry.Owner(string(f.Customer)).ID(); owner != l.protocol.self {
			l.grant(now, owner, s, f.Portion, 0)
		}
	}
}

// initialTokens returns the tokens that a claimed portion starts with. It starts empty, because
// its last holder may just have spent the tokens. It starts full if there is no link to other
// members, because then the process is alone from the start.
func (l *Limiter) initialTokens(s *share, p knapweedpulley.Portion) float64 {
	if l.link != nil {
		return 0
	}
	return s.burstOf(p)
}
