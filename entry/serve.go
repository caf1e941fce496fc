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
	"github.com/knapweedpulley/knapweedpulley/metric"
	"github.com/knapweedpulley/knapweedpulley/web"
)

// measureAll sets up the metrics and returns the handler that shows them.
func (e *Entry) measureAll() http.Handler {
	e.history = burn.NewHistory(time.Now)
	scope, handler, cleanup := metric.New("entry", string(e.settings.ID), e.history)
	e.defers(cleanup)
	e.scope = scope
	return handler
}

// serveLink serves the other entries.
func (e *Entry) serveLink() error {
	_, cleanup, err := link.Serve(e.listener, e.keeper.ServerCredentials(), func(r grpc.ServiceRegistrar) {
		link.RegisterConfiguration(r, e.configuration)
		link.RegisterMembers(r, e.members)
		link.RegisterShares(r, e.ledger.Load())
		link.RegisterSuspects(r, e.suspects)
		link.RegisterLoads(r, e.wakes)
		link.RegisterTransfers(r, e.transfers)
		link.RegisterClaims(r, e.claims)
	})
	if err != nil {
		return err
	}
	e.defers(cleanup)
	return nil
}

// serveAdmin serves operators and the reader of the metrics.
func (e *Entry) serveAdmin(metrics http.Handler) error {
	registered := &registered{members: e.members}
	calls := link.NewConfigurationClient(e.calls)
	handler := admin.NewHandler(admin.HandlerOptions{
		Editor: admin.NewEditor(admin.EditorOptions{
			Objects:    e.objects,
			Directory:  e.directory,
			Acceptance: admin.NewAcceptance(registered, calls),
			Log:        e.log,
			Now:        time.Now,
		}),
		Survey:    admin.NewSurvey(registered, calls),
		Drainer:   link.NewDrainSender(e.calls, e.links.Load().Address),
		Burn:      func() burn.Document { return e.history.Document(string(e.settings.ID)) },
		Operators: e.settings.Operators,
	})
	routes := append(handler.Routes(),
		rest.Route{Method: http.MethodGet, Path: "/metrics", Handler: metrics.ServeHTTP})
	cleanup, err := web.Serve(e.settings.Admin, e.keeper.ServerConfig(false), routes)
	if err != nil {
		return err
	}
	e.defers(cleanup)
	return nil
}

// serveCallers serves callers once all else works.
func (e *Entry) serveCallers(dispatcher *dispatch.Dispatcher) error {
	f := &front{
		directory:  e.directory,
		dispatcher: dispatcher,
		callers:    e.callers,
		ready:      e.ready,
		scope:      e.scope,
		meter:      burn.NewMeter(e.scope),
		log:        e.log,
	}
	cleanup, err := web.Serve(e.settings.Listen, nil, f.routes(),
		web.Prefix{Path: servicePrefix, Handler: f.service})
	if err != nil {
		return err
	}
	e.defers(cleanup)
	return nil
}

// registered lists the registered entries. It implements
// knapweedpulley.PeerList.
type registered struct {
	members knapweedpulley.Registry
}

// Peers implements knapweedpulley.PeerList.
func (r *registered) Peers() []knapweedpulley.Member {
	return r.members.Members()
}
