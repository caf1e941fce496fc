// Package process runs an agent as a process for the endpoint in its settings: it binds the
// port, connects to the engine or the services, serves the entries and drains on shutdown.
//
// # Usage
//
//	cleanup, err := process.Start(settings, log)
package process

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"github.com/zeromicro/go-zero/rest"
	"google.golang.org/grpc"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/agent"
	"github.com/knapweedpulley/knapweedpulley/certificate"
	"github.com/knapweedpulley/knapweedpulley/engine"
	"github.com/knapweedpulley/knapweedpulley/link"
	"github.com/knapweedpulley/knapweedpulley/machine"
	"github.com/knapweedpulley/knapweedpulley/metric"
	"github.com/knapweedpulley/knapweedpulley/model"
	"github.com/knapweedpulley/knapweedpulley/service"
	"github.com/knapweedpulley/knapweedpulley/web"
)

// drainTimeout bounds the wait for running requests on shutdown.
const drainTimeout = 10 * time.Minute

// process is a running agent with the resources it owns.
type process struct {
	settings agent.Settings
	log      log.Interface
	cleanups []knapweedpulley.Cleanup
	// guard limits what readers of metrics hold.
	guard *web.Guard
}

// Start starts an agent. The clean-up drains it and stops it. Start returns an error if a
// certificate can't be loaded, an address can't be bound or the settings are invalid.
func Start(s agent.Settings, logger log.Interface) (knapweedpulley.Cleanup, error) {
	if s.MemoryMB > 0 {
		machine.LimitMemory(s.MemoryMB)
	}
	p := &process{settings: s, log: logger, guard: web.NewMachineGuard(s.MemoryMB, s.MaxFDs)}
	if err := p.start(); err != nil {
		p.cleanup()
		return nil, err
	}
	return p.cleanup, nil
}

func (p *process) start() error {
	keeper, err := certificate.NewReloader(p.settings.TLS)
	if err != nil {
		return err
	}
	// Bind the port first: while it is held, no other agent sends orders to the engine.
	listener, err := net.Listen("tcp", p.settings.Listen)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", p.settings.Listen)
	}
	p.deferCleanup(func() { _ = listener.Close() })
	scope, err := p.startMetrics()
	if err != nil {
		return err
	}
	clock := machine.NewClock()
	a, cleanup, err := agent.New(p.settings, p.newBackends(), clock, p.log, scope)
	if err != nil {
		return err
	}
	p.deferCleanup(cleanup)
	server, cleanup := link.NewAgentServer(a, a.Incarnation(), clock)
	p.deferCleanup(cleanup)
	_, cleanup, err = link.Serve(listener, keeper.ServerCredentials(), func(r grpc.ServiceRegistrar) {
		server.Register(r)
		link.RegisterDrain(r, p.settings.Endpoint, a)
	})
	if err != nil {
		return err
	}
	p.deferCleanup(cleanup)
	p.deferCleanup(func() { p.drain(a, server) })
	return nil
}

// startMetrics creates the metrics, and serves them if the settings have an address.
func (p *process) startMetrics() (tally.Scope, error) {
	scope, handler, cleanup := metric.New("agent", string(p.settings.Endpoint))
	p.deferCleanup(cleanup)
	p.deferCleanup(machine.Every(web.ReportPeriod, func() { p.guard.Report(scope, p.log) }))
	if p.settings.Metrics == "" {
		return scope, nil
	}
	stop, err := p.guard.Serve(p.settings.Metrics, nil, []rest.Route{
		{Method: http.MethodGet, Path: "/metrics", Handler: handler.ServeHTTP},
	})
	if err != nil {
		return nil, err
	}
	p.deferCleanup(stop)
	return scope, nil
}

// newBackends creates the clients of the engine or the services.
func (p *process) newBackends() agent.Backends {
	b := agent.Backends{Services: make(map[knapweedpulley.RouteID]knapweedpulley.Backend)}
	if e := p.settings.Engine; e != nil {
		client, cleanup := engine.NewClient(e.URL)
		p.deferCleanup(cleanup)
		b.Engine = client
		b.Eviction = model.NewEvictionPolicy(e.Memory)
	}
	for _, s := range p.settings.Services {
		client, cleanup := service.NewClient(s.URL)
		p.deferCleanup(cleanup)
		b.Services[s.Route] = client
	}
	return b
}

// drain waits until running requests have ended and the entries have fetched the answers.
func (p *process) drain(a *agent.Agent, server *link.AgentServer) {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if err := a.Drain(ctx); err != nil {
		p.log.WithError(err).Warn("drain did not finish in time; canceling the running requests")
	}
	server.AwaitDelivery(ctx)
}

func (p *process) deferCleanup(c knapweedpulley.Cleanup) {
	p.cleanups = append(p.cleanups, c)
}

// cleanup runs the clean-ups in reverse order of their registration.
func (p *process) cleanup() {
	for i := len(p.cleanups) - 1; i >= 0; i-- {
		p.cleanups[i]()
	}
	p.cleanups = nil
}
