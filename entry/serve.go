package entry

import (
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/rest"
	"google.golang.org/grpc"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/admin"
	"github.com/knapweedpulley/knapweedpulley/burn"
	"github.com/knapweedpulley/knapweedpulley/dispatch"
	"github.com/knapweedpulley/knapweedpulley/link"
	"github.com/knapweedpulley/knapweedpulley/machine"
	"github.com/knapweedpulley/knapweedpulley/metric"
	"github.com/knapweedpulley/knapweedpulley/web"
)

// startMetrics creates the metrics and returns the handler that exports them.
func (e *Entry) startMetrics() http.Handler {
	e.history = burn.NewHistory(time.Now)
	scope, handler, cleanup := metric.New("entry", string(e.settings.ID), e.history)
	e.addCleanup(cleanup)
	e.scope = scope
	e.addCleanup(machine.Every(web.ReportPeriod, func() { e.guard.Report(scope, e.log) }))
	return handler
}

// serveLink serves the other entries over gRPC.
func (e *Entry) serveLink() error {
	_, cleanup, err := link.Serve(e.listener, e.certificates.ServerCredentials(), func(r grpc.ServiceRegistrar) {
		link.RegisterConfiguration(r, e.configuration)
		link.RegisterMembers(r, e.members)
		link.RegisterShares(r, e.limiter.Load())
		link.RegisterSuspects(r, e.suspects)
		link.RegisterLoads(r, e.loadMerger)
		link.RegisterTransfers(r, e.transfers)
		link.RegisterClaims(r, e.claims)
	})
	if err != nil {
		return err
	}
	e.addCleanup(cleanup)
	return nil
}

// serveAdmin serves the admin API and the metrics.
func (e *Entry) serveAdmin(metrics http.Handler) error {
	registered := &registeredPeers{members: e.members}
	configurationClient := link.NewConfigurationClient(e.connections)
	handler := admin.NewHandler(admin.HandlerOptions{
		Editor: admin.NewEditor(admin.EditorOptions{
			Objects:    e.objects,
			Directory:  e.directory,
			Acceptance: admin.NewAcceptance(registered, configurationClient),
			Log:        e.log,
			Now:        time.Now,
		}),
		Survey:    admin.NewSurvey(registered, configurationClient),
		Drainer:   link.NewDrainSender(e.connections, e.links.Load().Address),
		Burn:      func() burn.Document { return e.history.Document(string(e.settings.ID)) },
		Operators: e.settings.Operators,
	})
	routes := append(handler.Routes(),
		rest.Route{Method: http.MethodGet, Path: "/metrics", Handler: metrics.ServeHTTP})
	cleanup, err := e.guard.Serve(e.settings.Admin, e.certificates.ServerConfig(false), routes)
	if err != nil {
		return err
	}
	e.addCleanup(cleanup)
	return nil
}

// serveCallers serves callers. It is called once all other components are running.
func (e *Entry) serveCallers(dispatcher *dispatch.Dispatcher) error {
	f := &frontEnd{
		directory:  e.directory,
		dispatcher: dispatcher,
		requests:   e.requests,
		ready:      e.ready,
		scope:      e.scope,
		meter:      burn.NewMeter(e.scope),
		guard:      e.guard,
		log:        e.log,
	}
	cleanup, err := e.guard.ServeCallers(e.settings.Listen, f.routes(),
		web.Prefix{Path: servicePrefix, Handler: f.service})
	if err != nil {
		return err
	}
	e.addCleanup(cleanup)
	return nil
}

// registeredPeers lists the registered entries. It implements
// knapweedpulley.PeerList.
type registeredPeers struct {
	members knapweedpulley.Registry
}

// Peers implements knapweedpulley.PeerList.
func (r *registeredPeers) Peers() []knapweedpulley.Member {
	return r.members.Members()
}
