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
	"github.com/knapweedpulley/knapweedpulley/holdback"
	"github.com/knapweedpulley/knapweedpulley/installation"
	"github.com/knapweedpulley/knapweedpulley/link"
	"github.com/knapweedpulley/knapweedpulley/logbook"
	"github.com/knapweedpulley/knapweedpulley/machine"
	"github.com/knapweedpulley/knapweedpulley/metric"
	"github.com/knapweedpulley/knapweedpulley/placement"
	"github.com/knapweedpulley/knapweedpulley/platform"
	"github.com/knapweedpulley/knapweedpulley/program"
	"github.com/knapweedpulley/knapweedpulley/store"
	"github.com/knapweedpulley/knapweedpulley/term"
	"github.com/knapweedpulley/knapweedpulley/web"
)

const (
	// minGrace is the shortest time from SIGTERM to SIGKILL in which a gateway can shut down in
	// an orderly way.
	minGrace = 3 * time.Second
	// deregistrationTime is the time that the platform's load balancer needs to stop routing to a
	// gateway that isn't ready: it probes once a second and acts on the second failure.
	deregistrationTime = 2500 * time.Millisecond
	// lingerTime is how long connections without a request stay open after the listener is closed,
	// so that what callers have just sent over them is read and answered.
	lingerTime = 500 * time.Millisecond
	// exitMargin is the time reserved between the last answer and SIGKILL, for the clean-up and the exit.
	exitMargin = 700 * time.Millisecond
	// cutMargin is the time reserved before exitMargin to answer the requests that are cut.
	cutMargin = 300 * time.Millisecond
	// headerTimeout, idleTimeout and maxHeaderBytes limit what callers may do before a request has
	// been read. They are several times the limits that operators set; the gateway logs a
	// warning if the configuration exceeds them.
	headerTimeout  = 10 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = int(64 * knapweedpulley.KiB)
	// sweepPeriod is the time between two sweeps that close unused connections.
	sweepPeriod = 2 * time.Second
	// gatewayCountPeriod is the time between two updates of the number of gateways.
	gatewayCountPeriod = 500 * time.Millisecond
	// minEvacuationTime is the shortest time within which an evacuation is in force at all gateways that
	// reach the store or another gateway, though those fail that they have it from: the time in which a
	// change of the endpoints is, and that for a connection to an endpoint.
	minEvacuationTime = 4 * time.Second
	// evacuationReportPeriod is the time between two reports of the requests in evacuated zones.
	evacuationReportPeriod = time.Second
	// queueLogPeriod is the time between two log lines for each scarce rate.
	queueLogPeriod = 10 * time.Second
)

// process is a running gateway.
type process struct {
	settings Settings
	log      log.Interface
	cleanups program.Cleanups
	// flush writes the log lines that still wait, after the clean-ups. step is the one that began last.
	flush      knapweedpulley.Cleanup
	step       atomic.Pointer[string]
	follower   *installation.Follower
	fleet      *fleet.Fleet
	placer     *placement.Placer
	allowances *contract.Allowances
	// term is how long the gateway holds its parts of what all gateways share. held is set while it
	// does, as far as that was logged.
	term   *term.Term
	held   bool
	roster *fleet.Roster
	// cold holds the endpoints that are logged as cold.
	cold      knapweedpulley.Set[knapweedpulley.EndpointID]
	budget    *gateway.RetryBudget
	peers     *gateway.Peers
	gateway   *gateway.Gateway
	startup   *gateway.Startup
	clock     knapweedpulley.Clock
	ingress   *platform.Ingress
	listener  net.Listener
	server    *http.Server
	serveDone chan struct{}
	// connections are those of callers. guard limits what all clients hold.
	connections *web.Connections
	guard       *web.Guard
	// cancelRequests cancels the contexts of all requests.
	cancelRequests context.CancelFunc
	// stopping is set when the shutdown begins.
	stopping atomic.Bool
}

func start(s Settings) (program.Process, error) {
	machine.LimitMemory(s.MemoryMB)
	output, flush := logbook.NewQueue(os.Stdout)
	p := &process{
		settings:    s,
		log:         logbook.New(output, logbook.Level(s.LogLevel), "gateway", s.ID),
		serveDone:   make(chan struct{}),
		connections: web.NewConnections(),
		guard:       web.NewMachineGuard(s.MemoryMB, s.MaxFDs),
	}
	p.flush = flush
	if err := p.build(); err != nil {
		p.log.WithError(err).Error("gateway failed to start; exiting")
		p.cleanups.Run()
		flush()
		return program.Process{}, err
	}
	p.log.WithField("zone", s.Zone).WithField("callers", s.Callers).Info("gateway started")
	return program.Process{Cleanup: p.stop, Reload: p.reload}, nil
}

// build constructs the parts of the process and starts the servers.
func (p *process) build() error {
	clock := machine.NewClock()
	objects, closeStore, err := store.NewClientWithCodec(p.settings.Store, platform.Codec{})
	if err != nil {
		return err
	}
	p.cleanups.Add(p.timed("store", closeStore))
	scope, metrics, closeMetrics := metric.New("gateway", p.settings.ID)
	p.cleanups.Add(p.timed("metrics", closeMetrics))
	pool, closePool := exchange.NewPool()
	connections, closeConnections := link.NewConnections(nil)
	demand, closeDemand := placement.NewDemand()
	p.cleanups.Add(p.timed("pool", closePool), p.timed("connections", closeConnections), p.timed("demand", closeDemand))
	p.fleet = fleet.New(clock, p.settings.Zone)
	self := knapweedpulley.Member{
		Entry: knapweedpulley.EntryID(p.settings.ID), Incarnation: knapweedpulley.Incarnation(clock.Now()),
		Zone: p.settings.Zone, Address: p.settings.Links,
	}
	p.buildShares(clock, self)
	suspects, sender := p.newSuspects(clock)
	exchanger := platform.NewExchanger(pool)
	placer, closePlacer := placement.NewPlacer(placement.Options{
		Fleet: p.fleet, Demand: demand, Link: link.NewKeepers(connections), Exchanger: exchanger, Clock: clock, Log: p.log,
		Port: p.settings.KeeperPort, RemoteLoads: p.settings.RemoteLoads, Gateways: p.settings.Gateways, Self: self,
		Permission: p.term,
	})
	p.placer = placer
	p.cleanups.Add(p.timed("placer", closePlacer))
	// The subscriptions have connections of their own, because they close those that have
	// stopped delivering data.
	feeds, closeFeeds := link.NewConnections(nil)
	p.cleanups.Add(p.timed("feeds", closeFeeds))
	follower, closeFollower := installation.NewFollower(installation.Options{
		Self: self, Peers: p.peers, Link: link.NewConfigurationClient(feeds), Evacuations: p.settings.EvacuationTime > 0,
		Objects: objects, Decoder: platform.InstallationDecoder{}, Clock: clock, Log: p.log,
		OnConfiguration: p.configure, OnEndpoints: p.fleet.Update,
	})
	p.follower = follower
	p.clock = clock
	meter := gateway.NewMeter(scope)
	p.beginStartup(suspects, sender)
	p.gateway = gateway.New(gateway.Options{
		Follower: follower, Fleet: p.fleet, Placer: placer, Demand: demand,
		RateLimiter:  gateway.NewRateLimiter(p.allowances, link.NewAllowanceBorrower(connections), p.peers, clock, p.log),
		CrashTracker: gateway.NewCrashTracker(suspects, exchanger, p.fleet, p.log),
		RetryBudget:  p.budget, HoldPolicy: holdback.Spread{}, Exchanger: exchanger, Clock: clock, Log: p.log,
		Meter: meter, Startup: p.startup,
	})
	p.ingress = platform.NewIngress(p.gateway, clock, p.guard)
	_, closeLinks, err := link.NewServer(p.settings.Links, nil, func(r grpc.ServiceRegistrar) {
		link.RegisterAllowances(r, p.allowances)
		link.RegisterSuspects(r, suspects)
		link.RegisterConfiguration(r, follower)
	})
	if err != nil {
		closeFollower()
		return err
	}
	// The follower is closed first: that ends the feeds of other gateways, for which the links wait.
	p.cleanups.Add(p.timed("links", closeLinks), p.timed("follower", closeFollower))
	p.cleanups.Add(machine.Every(web.ReportPeriod, func() { p.guard.Report(scope, p.log) }))
	p.startTimers(pool)
	p.reportEvacuations(meter)
	return p.serve(metrics)
}

// serve starts the servers for readiness probes, metrics and callers.
func (p *process) serve(metrics http.Handler) error {
	if err := p.serveReadinessAndMetrics(metrics); err != nil {
		return err
	}
	return p.serveCallers()
}

// startTimers starts what the process does periodically.
func (p *process) startTimers(pool *exchange.Pool) {
	p.cleanups.Add(
		p.timed("sweep", machine.Every(sweepPeriod, pool.Sweep)),
		p.timed("gatewayCount", machine.Every(gatewayCountPeriod, p.updateGatewayCount)),
	)
}

// buildShares constructs what the gateway shares with the others, and the list of them.
func (p *process) buildShares(clock knapweedpulley.Clock, self knapweedpulley.Member) {
	p.term, p.held = term.New(clock), true
	p.roster = fleet.NewRoster(clock, self.Entry, p.term)
	p.fleet.ShareWarmUp(self.Entry, p.term)
	p.cold = make(knapweedpulley.Set[knapweedpulley.EndpointID])
	p.peers = gateway.NewPeers(self)
	p.allowances = contract.NewAllowances(clock, self.Entry, p.settings.Gateways)
	p.allowances.Bind(p.term)
	if platform.QueuesScarceRates(p.settings.Contracts) {
		p.allowances.EnableQueues()
		p.cleanups.Add(machine.Every(queueLogPeriod, p.logQueues))
	}
	p.budget = gateway.NewRetryBudget(p.settings.repeatLimit(), p.settings.Gateways)
}

// reportEvacuations reports the requests in evacuated zones from now on if these are followed.
func (p *process) reportEvacuations(meter *gateway.Meter) {
	limit := time.Duration(p.settings.EvacuationTime)
	if limit <= 0 {
		return
	}
	entry := p.log.WithField("evacuationTime", limit.String())
	if limit < minEvacuationTime {
		entry.WithField("reached", minEvacuationTime.String()).Warn("following evacuated zones, but they may be in use for longer than is wanted")
	} else {
		entry.Info("following evacuated zones")
	}
	r := gateway.NewEvacuationReporter(p.fleet, meter, p.log)
	p.cleanups.Add(machine.Every(evacuationReportPeriod, r.Report))
}

// configure applies a configuration that came into force.
func (p *process) configure(s *installation.Snapshot) {
	ownLimits := knapweedpulley.CallerLimits{
		Header: knapweedpulley.Bytes(maxHeaderBytes), HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
	}
	if s.Limits.Exceeds(ownLimits) {
		p.log.WithField("version", s.Version).WithField("header", ownLimits.Header.String()).
			WithField("headerRead", ownLimits.HeaderTimeout.String()).WithField("idle", ownLimits.IdleTimeout.String()).
			Warn("configured limits for callers exceed those of the gateway; applying the narrower limits of the gateway")
	}
	contracts := make([]knapweedpulley.Contract, 0, len(s.Accounts))
	for _, a := range s.Accounts {
		c := a.Contract
		if a.CountsTokens && platform.QueuesScarceRates(p.settings.Contracts) {
			c.Slack = contract.QueueSlack
		}
		contracts = append(contracts, c)
	}
	p.allowances.Configure(contracts)
	p.placer.Configure(s.Services)
	limits := make(map[knapweedpulley.ServiceID]knapweedpulley.WarmUpLimit)
	for id, service := range s.Services {
		if limit, limited := service.WarmUp.Get(); limited {
			limits[id] = limit
		}
	}
	p.fleet.ConfigureWarmUp(limits)
}

// newSuspects returns the list of suspects of crashes, with connections of its own, and keeps the
// other gateways up to date.
func (p *process) newSuspects(clock knapweedpulley.Clock) (*endpoint.Suspects, *link.SuspectSender) {
	connections, closeConnections := link.NewConnections(nil)
	sender := link.NewSuspectSender(connections)
	suspects := endpoint.NewSuspects(endpoint.SuspectOptions{Group: p.peers, Peer: sender, Clock: clock, Log: p.log})
	p.cleanups.Add(
		p.timed("suspectConnections", closeConnections),
		p.timed("suspectSync", suspects.SyncRegularly()),
	)
	return suspects, sender
}

// updateGatewayCount takes the gateways from the reports of the keepers, and divides the rates and
// budgets that all gateways share among that many.
func (p *process) updateGatewayCount() {
	members, known := p.roster.Update(p.placer.Electors())
	p.logTerm(len(members))
	p.fleet.Tick()
	p.logCold()
	if !known {
		n, some := p.roster.Assumed()
		if !some {
			n = p.settings.Gateways
		}
		p.allowances.Assume(n)
		return
	}
	n := len(members)
	p.peers.SetMembers(members)
	p.fleet.SetGateways(members)
	p.allowances.Assign(members)
	p.budget.SetGatewayCount(n)
	p.placer.SetGatewayCount(n)
}

// logQueues logs the queues of the customers whose rates are scarce.
func (p *process) logQueues() {
	for _, s := range p.allowances.QueueStats() {
		p.log.WithFields(log.Fields{
			"customer": s.Customer, "waiting": s.Waiting, "places": s.Places, "next": s.Next, "granted": s.Granted,
			"refused": s.Refused, "returning": s.Returning, "longestReturnMs": s.LongestReturn.Milliseconds(),
		}).Info("requests queue for a customer's rate")
	}
}

// logTerm logs when the gateway's parts of the rates have lapsed, and when it holds them again.
func (p *process) logTerm(gateways int) {
	held := p.term.Held()
	if held == p.held {
		return
	}
	p.held = held
	entry := p.log.WithField("gateways", gateways)
	if held {
		entry.Info("parts of the customers' rates are held again")
	} else {
		entry.Warn("keepers don't confirm this gateway; its parts of the customers' rates have lapsed")
	}
}

// logCold logs which endpoints have become cold, with the gateway's share of the requests that they
// bear, and which are warm again.
func (p *process) logCold() {
	cold := p.fleet.Cold()
	for id, e := range cold {
		if !p.cold.Has(id) {
			p.cold.Add(id)
			p.log.WithField("endpoint", id).WithField("service", e.Registration().Service).WithField("share", e.Share).
				WithField("coldMs", e.WarmAt.Sub(p.clock.Now()).Milliseconds()).Info("endpoint is cold; its requests are limited")
		}
	}
	for id := range p.cold {
		if _, is := cold[id]; !is {
			p.cold.Remove(id)
			p.log.WithField("endpoint", id).Info("endpoint is no longer cold")
		}
	}
}

// serveReadinessAndMetrics starts the servers for the readiness probes of the platform's load
// balancer and for metrics.
func (p *process) serveReadinessAndMetrics(metrics http.Handler) error {
	closeReady, err := p.guard.Serve(p.settings.Ready, nil, []rest.Route{
		{Method: http.MethodGet, Path: platform.ReadyPath, Handler: p.ready},
	})
	if err != nil {
		return err
	}
	p.cleanups.Add(p.timed("ready", closeReady))
	closeMetrics, err := p.guard.Serve(p.settings.Metrics, nil, []rest.Route{
		{Method: http.MethodGet, Path: "/metrics", Handler: metrics.ServeHTTP},
	})
	if err != nil {
		return err
	}
	p.cleanups.Add(p.timed("metricsServer", closeMetrics))
	return nil
}

// ready answers a readiness probe.
func (p *process) ready(w http.ResponseWriter, _ *http.Request) {
	if p.stopping.Load() || !p.follower.Usable() || !p.startup.Ended() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveCallers starts the server for callers.
func (p *process) serveCallers() error {
	inner, err := net.Listen("tcp", p.settings.Callers)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", p.settings.Callers)
	}
	listener := p.guard.Listen(inner, p.connections, p.guard.Limits().Callers)
	ctx, cancelRequests := context.WithCancel(context.Background())
	p.cancelRequests = cancelRequests
	p.listener = listener
	p.cleanups.Add(knapweedpulley.Cleanup(cancelRequests))
	p.server = &http.Server{
		BaseContext: func(net.Listener) context.Context { return ctx },
		Handler:     p.ingress, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: p.connections.Track, ConnContext: web.ConnContext,
	}
	go func() {
		defer close(p.serveDone)
		if err := p.server.Serve(listener); !p.stopping.Load() {
			p.log.WithError(err).Error("server for callers failed; no more requests are accepted")
		}
	}()
	return nil
}

// reload logs that SIGHUP has no effect: the process keeps the settings with which it started.
func (p *process) reload() {
	p.log.Info("settings are not reloaded; changes take effect at the next start")
}

// stop shuts the process down without breaking off a request that can still be answered. Requests
// that come late over open connections are answered or refused.
func (p *process) stop() {
	began := time.Now()
	end := began.Add(time.Duration(p.settings.Grace) - exitMargin)
	cut := end.Add(-cutMargin)
	p.log.Info("gateway is stopping")
	p.stopping.Store(true)
	p.ingress.CloseConnections()
	now := p.clock.Now()
	p.gateway.BeginShutdown(now.Add(deregistrationTime), now.Add(time.Until(cut)))
	time.Sleep(min(deregistrationTime, time.Until(cut)))
	awaitAccepted(p.listener, cut)
	_ = p.listener.Close()
	<-p.serveDone
	time.Sleep(min(lingerTime, time.Until(cut)))
	ended := p.connections.AwaitRequests(cut)
	if !ended {
		p.cancelRequests()
	}
	p.connections.CloseUnused()
	p.connections.AwaitEnd(end)
	_ = p.server.Close()
	p.log.WithField("tookMs", time.Since(began).Milliseconds()).WithField("cut", !ended).Info("gateway stopped")
	p.cleanUp(began.Add(time.Duration(p.settings.Grace) - exitTime))
}
