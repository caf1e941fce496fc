package entry

import (
	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/claim"
	"github.com/knapweedpulley/knapweedpulley/dispatch"
	"github.com/knapweedpulley/knapweedpulley/endpoint"
	"github.com/knapweedpulley/knapweedpulley/link"
	"github.com/knapweedpulley/knapweedpulley/model"
	"github.com/knapweedpulley/knapweedpulley/zone"
)

// decide builds the parts that decide about requests and models.
func (e *Entry) decide() *dispatch.Dispatcher {
	e.suspects = endpoint.NewSuspects(e.members, link.NewSuspectSender(e.calls))
	links, cleanup := link.NewTable(link.EndpointSettings{
		Self:        e.self,
		Connections: e.calls,
		Clock:       e.clock,
		Lease:       e.members,
		Receiver:    &statusReceiver{fleet: e.fleet, gone: e.gone, suspects: e.suspects},
		Log:         e.log,
	})
	e.defers(cleanup)
	e.links.Store(links)
	e.claims, cleanup = claim.NewLedger(e.objects, claim.DefaultSettings())
	e.defers(cleanup)
	return dispatch.NewDispatcher(dispatch.Dependencies{
		Lease:    e.members,
		Suspects: e.suspects,
		Limiter:  e.ledger.Load(),
		Claimer:  claim.NewClaimer(e.claims, e.members, link.NewClaimSender(e.calls)),
		Chooser:  e.fleet,
		Waker:    e.newWaker(),
		Links:    links,
		Zone:     e.settings.Zone,
		Log:      e.log,
	})
}

// newWaker builds what has idle models loaded, and starts to take care of the
// models that this entry owns.
func (e *Entry) newWaker() knapweedpulley.ModelLoader {
	sources := model.Sources{
		Endpoints:   e.fleet,
		Links:       e.links.Load(),
		Permits:     e.permits,
		Checkpoints: e.templates,
		Clock:       e.clock,
		Entry:       e.settings.ID,
	}
	e.transfers = model.NewTransferOwner(e.clock,
		model.DefaultLimits(knapweedpulley.TransferModel), model.DefaultLimits(knapweedpulley.TransferAdapter))
	limiter := model.NewTransferRouter(e.members, e.transfers, link.NewTransferSender(e.calls))
	estimator := model.NewEstimator()
	choice := model.NewLoadPolicy(e.fleet, zone.NewDistances(e.settings.Distances), estimator)
	loader := model.NewLoader(sources, choice, estimator, limiter)

	var cleanup knapweedpulley.Cleanup
	e.wakes, cleanup = model.NewLoadMerger(loader, e.clock)
	e.defers(cleanup)
	planner := model.NewPlanner(e.fleet, e.gone, e.permits, e.templates)
	placer := model.NewPlacer(planner, e.permits, e.objects, e.links.Load(), e.clock)
	_, cleanup = model.NewReconciler(
		e.members, e.templates, e.permits, placer, model.NewScaler(loader), model.NewPrefetcher(loader))
	e.defers(cleanup)
	return model.NewRouter(e.members, e.wakes, link.NewLoadSender(e.calls), e.fleet, e.clock)
}
