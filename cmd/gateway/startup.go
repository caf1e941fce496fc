package main

import (
	"context"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/endpoint"
	"github.com/knapweedpulley/knapweedpulley/fleet"
	"github.com/knapweedpulley/knapweedpulley/gateway"
	"github.com/knapweedpulley/knapweedpulley/link"
)

// minLooksWithoutKeepers is the number of looks at the list of gateways at which a deployment has no
// keepers before it counts as one without. The configuration, the endpoints and the engines among them
// become known one shortly after the other.
const minLooksWithoutKeepers = 4

// beginStartup has the other gateways asked for what they know of suspects of crashes.
func (p *process) beginStartup(suspects *endpoint.Suspects, sender *link.SuspectSender) {
	startup, end := gateway.NewStartup(gateway.StartupOptions{
		Self: knapweedpulley.EntryID(p.settings.ID), Listed: p.gatewayLister(), Clock: p.clock, Log: p.log,
		Fetch: func(ctx context.Context, from knapweedpulley.Member) error { return suspects.Fetch(ctx, sender, from) },
	})
	p.startup = startup
	p.cleanups.Add(p.timed("startup", end))
}

// gatewayLister returns a function that returns the gateways that the keepers list so far, and whether
// there are no others. A deployment without keepers tells of none. The function isn't safe for
// concurrent use.
func (p *process) gatewayLister() func() ([]knapweedpulley.Member, bool) {
	looksWithoutKeepers := 0
	return func() ([]knapweedpulley.Member, bool) {
		electors := p.placer.Electors()
		switch {
		case len(electors) > 0:
			return fleet.ListedGateways(p.clock.Now(), electors)
		case p.follower.Usable() && len(p.fleet.Endpoints()) > 0:
			looksWithoutKeepers++
		}
		return nil, looksWithoutKeepers >= minLooksWithoutKeepers
	}
}
