// Package warmup bounds the requests that a gateway sends to endpoints that are cold. It is made for
// the load of all gateways together on endpoints that have just started: such an endpoint is slow, and
// crashes at a rate that it sustains later.
//
// Each gateway has a fixed share of the limit of an endpoint. All gateways compute the shares from
// their list alone, by rendezvous hashing, so that no message is needed and a gateway that is cut off,
// frozen or killed leaves its share unused. The share is spent against a sliding window of one second.
// A request that has to wait reserves the next part of the share, so that it is known at once whether
// it can be sent in time.
//
// The package has neither a network nor a clock of its own. Reading and taking a share uses atomics
// only.
//
// # Usage
//
//	e := warmup.NewEndpoint(id, gateways)
//	e.SetLimit(limit, now)
//	e.Register(warmup.Registration{Start: start, Arrived: now, ColdFor: coldFor}, now)
//	if ticket, taken := e.Take(e.MomentAt(now)); taken {
//		…
//	}
package warmup

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// window is the time in which an endpoint bears the requests of its limit.
	window = time.Second
	// maxLimit bounds the limit of an endpoint, and with it the memory for its window. A gateway serves
	// some hundreds of requests a second, so that a higher limit doesn't bind it.
	maxLimit = 1000
)

// limitOf returns the number of requests that a cold endpoint gets in any second. It is at least one, as
// an endpoint that gets none can't serve its callers.
func limitOf(requestsPerSecond float64) int {
	return int(min(max(math.Floor(requestsPerSecond), 1), maxLimit))
}

// Gateways is the list of the gateways as one of them knows it. It is immutable. A nil list gives no
// share.
type Gateways struct {
	self    knapweedpulley.EntryID
	members []knapweedpulley.EntryID
	// since is when the list came into use.
	since      knapweedpulley.Instant
	permission knapweedpulley.Permission
}

// NewGateways returns the list that a gateway uses from now on, for as long as the permission is held. A
// nil permission has no end.
func NewGateways(
	self knapweedpulley.EntryID, members []knapweedpulley.Member, permission knapweedpulley.Permission, now knapweedpulley.Instant,
) *Gateways {
	g := &Gateways{self: self, since: now, permission: permission, members: make([]knapweedpulley.EntryID, 0, len(members))}
	for _, m := range members {
		g.members = append(g.members, m.Entry)
	}
	slices.Sort(g.members)
	g.members = slices.Compact(g.members)
	return g
}

// Lists reports whether the list consists of these gateways.
func (g *Gateways) Lists(members []knapweedpulley.Member) bool {
	return g != nil && slices.Equal(g.members, NewGateways(g.self, members, nil, 0).members)
}

// confirmed reports whether the gateway may use its shares.
func (g *Gateways) confirmed() bool {
	return g != nil && (g.permission == nil || g.permission.Held())
}

// share returns the number of requests that the gateway may send to a cold endpoint in any second. Each
// gateway has the same whole number, and those that rank highest for the endpoint have one more, until
// the limit is used up.
func (g *Gateways) share(id knapweedpulley.EndpointID, limit int) int {
	if g == nil || !slices.Contains(g.members, g.self) {
		return 0
	}
	own, ahead := rank(id, g.self), 0
	for _, m := range g.members {
		if r := rank(id, m); r > own || (r == own && m < g.self) {
			ahead++
		}
	}
	share := limit / len(g.members)
	if ahead < limit%len(g.members) {
		share++
	}
	return share
}

// rank returns the rank of a gateway for an endpoint.
func rank(id knapweedpulley.EndpointID, gateway knapweedpulley.EntryID) uint64 {
	return xxhash.Sum64String(string(id) + "\x00" + string(gateway))
}
