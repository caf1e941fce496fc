package entry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/burn"
	"github.com/knapweedpulley/knapweedpulley/certificate"
	"github.com/knapweedpulley/knapweedpulley/claim"
	"github.com/knapweedpulley/knapweedpulley/configuration"
	"github.com/knapweedpulley/knapweedpulley/contract"
	"github.com/knapweedpulley/knapweedpulley/customer"
	"github.com/knapweedpulley/knapweedpulley/endpoint"
	"github.com/knapweedpulley/knapweedpulley/link"
	"github.com/knapweedpulley/knapweedpulley/machine"
	"github.com/knapweedpulley/knapweedpulley/membership"
	"github.com/knapweedpulley/knapweedpulley/model"
	"github.com/knapweedpulley/knapweedpulley/store"
	"github.com/knapweedpulley/knapweedpulley/web"
)

const (
	// balancerDelay is the time that a leaving entry stays unready before it refuses
	// connections, so that the load balancer stops sending requests first.
	balancerDelay = 2 * time.Second
	// departTimeout bounds the removal of a leaving entry's registration.
	departTimeout = 2 * time.Second
)

// Entry is an entry process.
type Entry struct {
	settings     Settings
	self         knapweedpulley.Member
	log          log.Interface
	clock        knapweedpulley.Clock
	scope        tally.Scope
	history      *burn.History
	certificates *certificate.Reloader
	// objects and machines are the platform's services.
	objects  *store.Client
	machines *store.Client
	// listener keeps the port for the other entries bound from before the
	// registration until the process ends.
	listener    net.Listener
	connections *link.Connections

	configuration *configuration.Configuration
	directory     *customer.Directory
	catalog       *modelCatalog
	permits       *model.Permits
	machineList   *machineListCache

	members *membership.Members
	limiter atomic.Pointer[contract.Limiter]
	claims  *claim.Ledger

	fleet      *endpoint.Fleet
	departures *endpoint.Departures
	suspects   *endpoint.Suspects
	links      atomic.Pointer[link.Table]
	loadMerger *model.LoadMerger
	transfers  *model.TransferOwner

	requests *activeRequests
	// guard limits what clients hold.
	guard *web.Guard
	// joined is set once members is set.
	joined     atomic.Bool
	leaving    atomic.Bool
	cleanups   []knapweedpulley.Cleanup
	background sync.WaitGroup
}

// New starts an entry process. It returns once the process is registered in the
// store and serves callers. The clean-up drains and stops it.
func New(s Settings, logger log.Interface) (*Entry, knapweedpulley.Cleanup, error) {
	e := &Entry{
		settings:    s,
		log:         logger,
		clock:       machine.NewClock(),
		directory:   customer.NewDirectory(),
		catalog:     newModelCatalog(),
		permits:     model.NewPermits(),
		machineList: &machineListCache{},
		requests:    &activeRequests{},
		guard:       web.NewMachineGuard(s.MemoryMB, s.MaxFDs),
		self: knapweedpulley.Member{
			Entry:       s.ID,
			Incarnation: knapweedpulley.Incarnation(time.Now().UnixNano()),
			Machine:     s.Machine,
			Zone:        s.Zone,
			Address:     s.Link,
		},
	}
	if s.MemoryMB > 0 {
		machine.LimitMemory(s.MemoryMB)
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.addCleanup(func() {
		cancel()
		e.background.Wait()
	})
	if err := e.start(ctx); err != nil {
		e.cleanup()
		return nil, nil, err
	}
	return e, e.stop, nil
}

// start creates the components in the order in which they depend on each other.
func (e *Entry) start(ctx context.Context) error {
	if err := e.connect(); err != nil {
		return err
	}
	e.startWatching(ctx)
	if err := e.join(ctx); err != nil {
		return err
	}
	dispatcher := e.newDispatcher()
	if err := e.serveLink(); err != nil {
		return err
	}
	e.addCleanup(e.depart)
	metrics := e.startMetrics()
	if err := e.serveAdmin(metrics); err != nil {
		return err
	}
	return e.serveCallers(dispatcher)
}

// connect creates the clients of the platform's services and of the other entries,
// and binds the port for the other entries.
func (e *Entry) connect() error {
	var err error
	if e.certificates, err = certificate.NewReloader(e.settings.TLS); err != nil {
		return err
	}
	if e.objects, err = e.client(e.settings.Store); err != nil {
		return err
	}
	if e.machines, err = e.client(e.settings.Machines); err != nil {
		return err
	}
	if e.listener, err = net.Listen("tcp", e.settings.Link); err != nil {
		return errors.Wrapf(err, "listen on %s", e.settings.Link)
	}
	e.addCleanup(func() { _ = e.listener.Close() })
	var cleanup knapweedpulley.Cleanup
	e.connections, cleanup = link.NewConnections(e.certificates.ClientCredentials())
	e.addCleanup(cleanup)
	return nil
}

func (e *Entry) client(s store.Settings) (*store.Client, error) {
	c, cleanup, err := store.NewClient(s)
	if err != nil {
		return nil, err
	}
	e.addCleanup(cleanup)
	return c, nil
}

// join registers the process and starts to share the customers' rates with the other
// entries.
func (e *Entry) join(ctx context.Context) error {
	members, cleanup, err := membership.Register(ctx, membership.Options{
		Clock:    e.clock,
		Evidence: e.configuration,
		Store:    e.objects,
		Machines: e.machineList,
		Link:     link.NewHeartbeatSender(e.connections),
		Self:     e.self,
	})
	if err != nil {
		return err
	}
	e.members = members
	e.joined.Store(true)
	e.addCleanup(cleanup)
	limiter, cleanup := contract.NewLimiter(e.clock, members, link.NewShareSender(e.connections))
	e.addCleanup(cleanup)
	e.limiter.Store(limiter)
	e.setContracts()
	return nil
}

// depart hands over the shares of rates and removes the registration, so that the
// other entries need not wait for the lease to expire. It runs once nothing is
// charged any more and while the port is still open, because a closed port proves
// to the other entries that the process has ended.
func (e *Entry) depart() {
	ctx, cancel := context.WithTimeout(context.Background(), departTimeout)
	defer cancel()
	if err := e.limiter.Load().Depart(ctx); err != nil {
		e.log.WithError(err).Warn("shares of rates not handed over to the other entries")
	}
	if err := e.members.Depart(ctx); err != nil {
		e.log.WithError(err).Warn("registration not removed; the other entries wait for the lease to expire")
	}
}

// Ended is closed when the process was evicted. It must then serve no more requests
// and be replaced by a new process.
func (e *Entry) Ended() <-chan struct{} {
	return e.members.Ended()
}

// ready returns a refusal if the load balancer should send no requests to this
// entry, otherwise nil.
func (e *Entry) ready() error {
	refuse := func(code knapweedpulley.Code, message string) error {
		return errors.WithStack(knapweedpulley.NewRefusal(code, knapweedpulley.NotRun, "%s", message))
	}
	select {
	case <-e.configuration.Ready():
	default:
		return refuse(knapweedpulley.CodeNotReady, "this entry has no configuration yet")
	}
	switch {
	case e.leaving.Load():
		return refuse(knapweedpulley.CodeDraining, "this entry is draining")
	case !e.members.Valid():
		return refuse(knapweedpulley.CodeNotReady, "the lease of this entry has expired")
	default:
		return nil
	}
}

// stop reports the entry as unready, gives the load balancer time to react, waits
// for the requests in progress and stops the components.
func (e *Entry) stop() {
	e.leaving.Store(true)
	time.Sleep(balancerDelay)
	e.cleanup()
}

func (e *Entry) addCleanup(c knapweedpulley.Cleanup) {
	e.cleanups = append(e.cleanups, c)
}

// cleanup runs the clean-ups in the reverse order of the constructors.
func (e *Entry) cleanup() {
	for i := len(e.cleanups) - 1; i >= 0; i-- {
		e.cleanups[i]()
	}
	e.cleanups = nil
}
