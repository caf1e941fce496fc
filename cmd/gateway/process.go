package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/zeromicro/go-zero/rest"
	"google.golang.org/grpc"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/contract"
	"github.com/knapweedpulley/knapweedpulley/endpoint"
	"github.com/knapweedpulley/knapweedpulley/engine/exchange"
	"github.com/knapweedpulley/knapweedpulley/fleet"
	"github.com/knapweedpulley/knapweedpulley/gateway"
	"github.com/knapweedpulley/knapweedpulley/installation"
	"github.com/knapweedpulley/knapweedpulley/link"
	"github.com/knapweedpulley/knapweedpulley/logbook"
	"github.com/knapweedpulley/knapweedpulley/machine"
	"github.com/knapweedpulley/knapweedpulley/metric"
	"github.com/knapweedpulley/knapweedpulley/placement"
	"github.com/knapweedpulley/knapweedpulley/platform"
	"github.com/knapweedpulley/knapweedpulley/program"
	"github.com/knapweedpulley/knapweedpulley/store"
	"github.com/knapweedpulley/knapweedpulley/web"
)

const (
	// leastGrace is the shortest time in which a gateway can stop in an orderly
	// way.
	leastGrace = 3 * time.Second
	// deregister is the time in which the platform's balancer takes a gateway
	// out: it asks once a second and goes by the second miss.
	deregister = 2500 * time.Millisecond
	// lastEnd is the time kept between the last answer and SIGKILL.
	lastEnd = 700 * time.Millisecond
	// lastAnswers is the time kept before that for the refusal of what waits.
	lastAnswers = 600 * time.Millisecond
	// headerTimeout, idleTimeout and maxHeader bound what callers may do before
	// a request is read. They are several times the limits that operators set;
	// a gateway that is told of wider ones says so.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	maxHeader     = int(64 * knapweedpulley.KiB)
	// sweepPeriod is the time between two sweeps of unused connections.
	sweepPeriod = 2 * time.Second
	// dividePeriod is the time between two counts of the gateways.
	dividePeriod = 500 * time.Millisecond
)

// process is a running gateway.
type process struct {
	settings   Settings
	log        log.Interface
	cleanups   program.Cleanups
	follower   *installation.Follower
	fleet      *fleet.Fleet
	placer     *placement.Placer
	allowances *contract.Allowances
	budget     *gateway.RetryBudget
	peers      *gateway.Peers
	gateway    *gateway.Gateway
	clock      knapweedpulley.Clock
	ingress    *platform.Ingress
	server     *http.Server
	served     chan struct{}
	// abandon ends all requests.
	abandon context.CancelFunc
	leaving atomic.Bool
}

func start(s Settings) (program.Process, error) {
	machine.LimitMemory(s.MemoryMB)
	lines, flush := logbook.NewQueue(os.Stdout)
	p := &process{
		settings: s,
		log:      logbook.New(lines, logbook.Level(s.LogLevel), "gateway", s.ID),
		served:   make(chan struct{}),
	}
	p.cleanups.Add(flush)
	if err := p.build(); err != nil {
		p.log.WithError(err).Error("gateway can't start")
		p.cleanups.Run()
		return program.Process{}, err
	}
	p.log.WithField("zone", s.Zone).WithField("callers", s.Callers).Info("gateway started")
	return program.Process{Cleanup: p.stop, Reload: p.reload}, nil
}

func (p *process) build() error {
	clock := machine.NewClock()
	objects, closeStore, err := store.NewClientOf(p.settings.Store, platform.Codec{})
	if err != nil {
		return err
	}
	p.cleanups.Add(closeStore)
	scope, metrics, closeMetrics := metric.New("gateway", p.settings.ID)
	p.cleanups.Add(closeMetrics)
	pool, closePool := exchange.NewPool()
	connections, closeConnections := link.NewConnections(nil)
	demand, closeDemand := placement.NewDemand()
	p.cleanups.Add(closePool, closeConnections, closeDemand)
	p.fleet = fleet.New(clock, p.settings.Zone)
	p.allowances = contract.NewAllowances(clock, p.settings.Gateways)
	self := knapweedpulley.Member{
		Entry: knapweedpulley.EntryID(p.settings.ID), Incarnation: knapweedpulley.Incarnation(clock.Now()),
		Zone: p.settings.Zone, Address: p.settings.Links,
	}
	p.peers = gateway.NewPeers(self)
	suspects := endpoint.NewSuspects(p.peers, link.NewSuspectSender(connections))
	p.budget = gateway.NewBudget(p.settings.RepeatSlack, p.settings.Gateways)
	placer, closePlacer := placement.NewPlacer(placement.Options{
		Fleet: p.fleet, Demand: demand, Link: link.NewKeepers(connections), Clock: clock, Log: p.log,
		Port: p.settings.KeeperPort, RemoteLoads: p.settings.RemoteLoads, Gateways: p.settings.Gateways, Self: self,
	})
	p.placer = placer
	p.cleanups.Add(closePlacer)
	follower, closeFollower := installation.NewFollower(
		objects, platform.Translator{}, clock, p.log, p.configure, p.fleet.Update)
	p.follower = follower
	p.cleanups.Add(closeFollower)
	exchanger := platform.NewExchanger(pool)
	p.clock = clock
	p.gateway = gateway.New(gateway.Options{
		Follower: follower, Fleet: p.fleet, Placer: placer, Demand: demand,
		Rates:   gateway.NewRates(p.allowances, link.NewAllowanceBorrower(connections), p.peers, clock, p.log),
		Crashes: gateway.NewCrashes(suspects, exchanger, p.fleet, p.log),
		Budget:  p.budget, Exchanger: exchanger, Clock: clock, Log: p.log,
		Meter: gateway.NewMeter(scope),
	})
	p.ingress = platform.NewIngress(p.gateway, clock)
	_, closeLinks, err := link.NewServer(p.settings.Links, nil, func(r grpc.ServiceRegistrar) {
		link.RegisterAllowances(r, p.allowances)
		link.RegisterSuspects(r, suspects)
	})
	if err != nil {
		return err
	}
	p.cleanups.Add(closeLinks)
	p.cleanups.Add(machine.Every(sweepPeriod, pool.Sweep), machine.Every(dividePeriod, p.divide))
	if err := p.serveOperators(metrics); err != nil {
		return err
	}
	return p.serveCallers()
}

// configure takes over a configuration that came into force.
func (p *process) configure(s *installation.Snapshot) {
	own := knapweedpulley.CallerLimits{
		Header: knapweedpulley.Bytes(maxHeader), HeaderRead: headerTimeout, IdleTimeout: idleTimeout,
	}
	if s.Limits.Exceeds(own) {
		p.log.WithField("version", s.Version).WithField("header", own.Header.String()).
			WithField("headerRead", own.HeaderRead.String()).WithField("idle", own.IdleTimeout.String()).
			Warn("callers are held to the gateway's own limits, which are narrower than the configuration's")
	}
	contracts := make([]knapweedpulley.Contract, 0, len(s.Accounts))
	for _, a := range s.Accounts {
		contracts = append(contracts, a.Contract)
	}
	p.allowances.Configure(contracts)
	p.placer.Configure(s.Services)
}

// divide counts the gateways and divides what all have together.
func (p *process) divide() {
	members, known := p.fleet.Gateways()
	if !known {
		return
	}
	n := len(members)
	p.peers.SetMembers(members)
	p.allowances.Divide(n)
	p.budget.SetGatewayCount(n)
	p.placer.Divide(n)
}

// serveOperators answers the platform's balancer and the readers of metrics.
func (p *process) serveOperators(metrics http.Handler) error {
	closeReady, err := web.Serve(p.settings.Ready, nil, []rest.Route{
		{Method: http.MethodGet, Path: platform.ReadyPath, Handler: p.ready},
	})
	if err != nil {
		return err
	}
	p.cleanups.Add(closeReady)
	closeMetrics, err := web.Serve(p.settings.Metrics, nil, []rest.Route{
		{Method: http.MethodGet, Path: "/metrics", Handler: metrics.ServeHTTP},
	})
	if err != nil {
		return err
	}
	p.cleanups.Add(closeMetrics)
	return nil
}

func (p *process) ready(w http.ResponseWriter, _ *http.Request) {
	if p.leaving.Load() || !p.follower.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (p *process) serveCallers() error {
	listener, err := net.Listen("tcp", p.settings.Callers)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", p.settings.Callers)
	}
	ctx, abandon := context.WithCancel(context.Background())
	p.abandon = abandon
	p.cleanups.Add(knapweedpulley.Cleanup(abandon))
	p.server = &http.Server{
		BaseContext: func(net.Listener) context.Context { return ctx },
		Handler:     p.ingress, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
	}
	go func() {
		defer close(p.served)
		if err := p.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			p.log.WithError(err).Error("callers can't be served any more")
		}
	}()
	return nil
}

// reload tells of a signal. The settings in use are those of the start.
func (p *process) reload() {
	p.log.Info("settings hold from the next start on")
}

// stop ends the process without cutting a request that can still be answered.
func (p *process) stop() {
	began := time.Now()
	p.log.Info("gateway stops")
	p.leaving.Store(true)
	p.ingress.Leave()
	last := time.Duration(p.settings.Grace) - lastEnd - lastAnswers
	p.gateway.BeginShutdown(p.clock.Now().Add(last))
	giveUp := time.AfterFunc(last, p.abandon)
	defer giveUp.Stop()
	time.Sleep(deregister)
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(time.Duration(p.settings.Grace)-lastEnd))
	defer cancel()
	err := p.server.Shutdown(ctx)
	if err == nil {
		<-p.served
	}
	p.log.WithField("tookMs", time.Since(began).Milliseconds()).WithField("cut", err != nil).Info("gateway stopped")
	p.cleanups.Run()
}
