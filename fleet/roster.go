package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/term"
)

// joinTime is added to the time between two reports to give the time in which all gateways learn of
// one that the keepers list again.
const joinTime = 1250 * time.Millisecond

const (
	// settleTime is the uptime of a keeper from which on it lists all gateways that can reach it: they
	// connect again within two seconds.
	settleTime = 2250 * time.Millisecond
	// unlistedGateways is the number of gateways that a gateway that has just started assumes beside
	// those that are listed, until enough keepers have settled.
	unlistedGateways = 4
)

// Roster is the list of the gateways that share the customers' rates, as one of them knows it from the
// keepers. The keepers that count are the electors, on which all gateways agree. A gateway renews its
// own term by the echoes of a third of them, and drops another gateway only if so many of them don't
// list it that the rest is too few to renew the term of that gateway. So two gateways that reach
// different keepers don't drop each other, and a gateway that nobody lists is dropped when its term has
// ended. A Roster is not safe for concurrent use.
type Roster struct {
	clock   knapweedpulley.Clock
	self    knapweedpulley.EntryID
	term    *term.Term
	members map[knapweedpulley.EntryID]knapweedpulley.Member
	known   bool
	// reported is set if an elector has reported recently.
	reported bool
}

// NewRoster returns the roster of a gateway, which renews the given term.
func NewRoster(clock knapweedpulley.Clock, self knapweedpulley.EntryID, t *term.Term) *Roster {
	return &Roster{clock: clock, self: self, term: t, members: make(map[knapweedpulley.EntryID]knapweedpulley.Member)}
}

// Update applies the last reports of the electors and returns the gateways, ordered by id. It returns
// false until most electors have settled.
func (r *Roster) Update(electors []*Endpoint) ([]knapweedpulley.Member, bool) {
	now := r.clock.Now()
	reports := recentReports(electors, now)
	r.reported = len(reports) > 0
	renewing := (len(electors) + 2) / 3
	dropping := len(electors) - renewing + 1
	settled := 0
	absent := make(map[knapweedpulley.EntryID]int)
	for _, report := range reports {
		for _, m := range report.Gateways {
			r.members[m.Entry] = m
		}
		if report.Uptime >= settleTime {
			settled++
		}
	}
	for _, report := range reports {
		if report.Uptime >= report.Listing {
			countAbsent(absent, r.members, report.Gateways)
		}
	}
	for id, n := range absent {
		if n >= dropping && id != r.self {
			delete(r.members, id)
		}
	}
	r.known = r.known || (2*settled > len(electors) && len(r.members) > 0)
	if !r.known {
		return nil, false
	}
	r.renew(now, reports, len(electors), renewing)
	list := slices.SortedFunc(maps.Values(r.members), func(a, b knapweedpulley.Member) int { return cmp.Compare(a.Entry, b.Entry) })
	return list, true
}

// Assumed returns the number of gateways to assume while Update returns false, and false if no elector
// reports any.
func (r *Roster) Assumed() (int, bool) {
	return len(r.members) + unlistedGateways, r.reported && len(r.members) > 0
}

// renew extends the gateway's term to what enough electors have promised. Without electors nobody's
// list can change.
func (r *Roster) renew(now knapweedpulley.Instant, reports []*receivedReport, electors, renewing int) {
	if electors == 0 {
		r.term.Renew(now.Add(joinTime), joinTime)
		return
	}
	var ends []knapweedpulley.Instant
	var interval time.Duration
	for _, report := range reports {
		if report.Heard != 0 {
			ends = append(ends, report.Heard.Add(report.Listing-term.DriftMargin))
			interval = max(interval, report.Lifetime/lifetimeIntervals)
		}
	}
	if len(ends) < renewing {
		return
	}
	slices.SortFunc(ends, func(a, b knapweedpulley.Instant) int { return cmp.Compare(b, a) })
	r.term.Renew(ends[renewing-1], interval+joinTime)
}

// lifetimeIntervals is the number of reports that are due within the lifetime of one.
const lifetimeIntervals = 3

// recentReports returns the reports of the endpoints whose keepers are not silent, though the endpoints
// may be.
func recentReports(endpoints []*Endpoint, now knapweedpulley.Instant) []*receivedReport {
	var list []*receivedReport
	for _, e := range endpoints {
		if report := e.report.Load(); report != nil && now.Sub(report.at) < report.Lifetime {
			list = append(list, report)
		}
	}
	return list
}

// countAbsent counts the members that a list lacks.
func countAbsent(
	absent map[knapweedpulley.EntryID]int, members map[knapweedpulley.EntryID]knapweedpulley.Member, list []knapweedpulley.Member,
) {
	listed := make(knapweedpulley.Set[knapweedpulley.EntryID], len(list))
	for _, m := range list {
		listed.Add(m.Entry)
	}
	for id := range members {
		if !listed.Has(id) {
			absent[id]++
		}
	}
}
