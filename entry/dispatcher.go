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

// newDispatcher creates the dispatcher of requests and its dependencies: the list of
// suspects, the links to the agents, the claims and the loader of models.
func (e *Entry) newDispatcher() *dispatch.Dispatcher {
	crashReports, cleanup := link.NewConnections(e.certificates.ClientCredentials())
	e.addCleanup(cleanup)
	e.suspects = endpoint.NewSuspects(endpoint.SuspectOptions{
		Group: e.members, Peer: link.NewSuspectSender(crashReports), Clock: e.clock, Log: e.log,
	})
	e.addCleanup(e.suspects.SyncRegularly())
	links, cleanup := link.NewTable(link.EndpointSettings{
		Self:        e.self,
		Connections: e.connections,
		Clock:       e.clock,
		Lease:       e.members,
		Receiver:    &statusReceiver{fleet: e.fleet, departures: e.departures, suspects: e.suspects},
		Log:         e.log,
	})
	e.addCleanup(cleanup)
	e.links.Store(links)
	e.claims, cleanup = claim.NewLedger(e.objects, claim.DefaultSettings())
	e.addCleanup(cleanup)
	return dispatch.NewDispatcher(dispatch.Dependencies{
		Lease:     e.members,
		Admission: e.directory,
		Suspects:  e.suspects,
		Limiter:   e.limiter.Load(),
		Claimer:   claim.NewClaimer(e.claims, e.members, link.NewClaimSender(e.connections)),
		Chooser:   e.fleet,
		Waker:     e.newModelLoader(),
		Links:     links,
		Zone:      e.settings.Zone,
		Log:       e.log,
	})
}

// newModelLoader creates the loader of models that are not in memory, and starts to
// reconcile the models that this entry owns.
func (e *Entry) newModelLoader() knapweedpulley.ModelLoader {
	sources := model.Sources{
		Endpoints:   e.fleet,
		Links:       e.links.Load(),
		Permits:     e.permits,
		Checkpoints: e.catalog,
		Clock:       e.clock,
		Entry:       e.settings.ID,
	}
	e.transfers = model.NewTransferOwner(e.clock,
		model.DefaultLimits(knapweedpulley.TransferModel), model.DefaultLimits(knapweedpulley.TransferAdapter))
	transferRouter := model.NewTransferRouter(e.members, e.transfers, link.NewTransferSender(e.connections))
	estimator := model.NewEstimator()
	policy := model.NewLoadPolicy(e.fleet, zone.NewDistances(e.settings.Distances), estimator)
	loader := model.NewLoader(sources, policy, estimator, transferRouter)

	var cleanup knapweedpulley.Cleanup
	e.loadMerger, cleanup = model.NewLoadMerger(loader, e.clock)
	e.addCleanup(cleanup)
	planner := model.NewPlanner(e.fleet, e.departures, e.permits, e.catalog)
	placer := model.NewPlacer(planner, e.permits, e.objects, e.links.Load(), e.clock)
	_, cleanup = model.NewReconciler(
		e.members, e.catalog, e.permits, placer, model.NewScaler(loader), model.NewPrefetcher(loader))
	e.addCleanup(cleanup)
	return model.NewRouter(e.members, e.loadMerger, link.NewLoadSender(e.connections), e.fleet, e.clock)
}
