package fleet

import (
	"maps"
	"slices"

	"github.com/knapweedpulley/knapweedpulley"
)

// ListedGateways returns the gateways that the keepers of the electors have listed lately, in no
// order, and whether the list is complete because most electors have settled. Unlike a Roster it
// depends on the last reports only, and tells of gateways before the list is complete.
func ListedGateways(now knapweedpulley.Instant, electors []*Endpoint) (gateways []knapweedpulley.Member, complete bool) {
	byID := make(map[knapweedpulley.EntryID]knapweedpulley.Member)
	settled := 0
	for _, r := range recentReports(electors, now) {
		for _, m := range r.Gateways {
			byID[m.Entry] = m
		}
		if r.Uptime >= settleTime {
			settled++
		}
	}
	return slices.Collect(maps.Values(byID)), 2*settled > len(electors)
}
