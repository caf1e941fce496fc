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
)

const (
	// balancerPause is the time that a leaving entry gives the balancer to
	// notice, before it refuses connections.
	balancerPause = 2 * time.Second
	// departTimeout bounds the removal of a leaving entry's registration.
	departTimeout = 2 * time.Second
)

// Entry is an entry process.
type Entry struct {
	settings Settings
	self     knapweedpulley.Member
	log      log.Interface
	clock    knapweedpulley.Clock
	scope    tally.Scope
	history  *burn.History
	keeper   *certificate.Reloader
	// objects and machines are the platform's services.
	objects  *store.Client
	machines *store.Client
	// listener holds the port for the other entries from before the
	// registration to the end of the process.
	listener net.Listener
	calls    *link.Connections

	configuration *configuration.Configuration
	directory     *customer.Directory
	templates     *templates
	permits       *model.Permits
	view          *machineView

	members *membership.Members
	ledger  atomic.Pointer[contract.Limiter]
	claims  *claim.Ledger

	fleet     *endpoint.Fleet
	gone      *endpoint.Departures
	suspects  *endpoint.Suspects
	links     atomic.Pointer[link.Table]
	wakes     *model.LoadMerger
	transfers *model.TransferOwner

	callers *callers
	// joined is set once there are members.
	joined   atomic.Bool
	leaving  atomic.Bool
	cleanups []knapweedpulley.Cleanup
	running  sync.WaitGroup
}

// New starts an entry process. It returns once the process is registered in the
// store. The clean-up drains and stops it.
func New(s Settings, logger log.Interface) (*Entry, knapweedpulley.Cleanup, error) {
	e := &Entry{
		settings:  s,
		log:       logger,
		clock:     machine.NewClock(),
		directory: customer.NewDirectory(),
		templates: newTemplates(),
		permits:   model.NewPermits(),
		view:      &machineView{},
		callers:   &callers{},
		self: knapweedpulley.Member{
			Entry:       s.ID,
			Incarnation: knapweedpulley.Incarnation(time.Now().UnixNano()),
			Machine:     s.Machine,
			Zone:        s.Zone,
			Address:     s.Link,
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.defers(func() {
		cancel()
		e.running.Wait()
	})
	if err := e.start(ctx); err != nil {
		e.cleanup()
		return nil, nil, err
	}
	return e, e.stop, nil
}

// start builds the parts in the order in which they depend on each other.
func (e *Entry) start(ctx context.Context) error {
	if err := e.connect(); err != nil {
		return err
	}
	e.follow(ctx)
	if err := e.join(ctx); err != nil {
		return err
	}
	dispatcher := e.decide()
	if err := e.serveLink(); err != nil {
		return err
	}
	e.defers(e.depart)
	metrics := e.measureAll()
	if err := e.serveAdmin(metrics); err != nil {
		return err
	}
	return e.serveCallers(dispatcher)
}

// connect opens what the entry calls, and binds its port.
func (e *Entry) connect() error {
	var err error
	if e.keeper, err = certificate.NewReloader(e.settings.TLS); err != nil {
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
	e.defers(func() { _ = e.listener.Close() })
	var cleanup knapweedpulley.Cleanup
	e.calls, cleanup = link.NewConnections(e.keeper.ClientCredentials())
	e.defers(cleanup)
	return nil
}

func (e *Entry) client(s store.Settings) (*store.Client, error) {
	c, cleanup, err := store.NewClient(s)
	if err != nil {
		return nil, err
	}
	e.defers(cleanup)
	return c, nil
}

// join registers the process and takes its part in the division of rates.
func (e *Entry) join(ctx context.Context) error {
	members, cleanup, err := membership.Register(ctx, membership.Options{
		Clock:    e.clock,
		Evidence: e.configuration,
		Store:    e.objects,
		Machines: e.view,
		Link:     link.NewHeartbeatSender(e.calls),
		Self:     e.self,
	})
	if err != nil {
		return err
	}
	e.members = members
	e.joined.Store(true)
	e.defers(cleanup)
	ledger, cleanup := contract.NewLimiter(e.clock, members, link.NewShareSender(e.calls))
	e.defers(cleanup)
	e.ledger.Store(ledger)
	e.setContracts()
	return nil
}

// depart hands over the shares of rates and removes the registration, so that
// the others need not wait for the lease to lapse. Nothing is charged any more
// by then, and the port is still open: a closed one tells that the process is
// over.
func (e *Entry) depart() {
	ctx, cancel := context.WithTimeout(context.Background(), departTimeout)
	defer cancel()
	if err := e.ledger.Load().Depart(ctx); err != nil {
		e.log.WithError(err).Warn("shares not handed over")
	}
	if err := e.members.Depart(ctx); err != nil {
		e.log.WithError(err).Warn("registration not removed")
	}
}

// Ended is closed when the process may never act again: it was evicted. A new
// one has to take its place.
func (e *Entry) Ended() <-chan struct{} {
	return e.members.Ended()
}

// ready returns why the balancer should send no requests here, or nil.
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
		return refuse(knapweedpulley.CodeDraining, "this entry is leaving")
	case !e.members.Valid():
		return refuse(knapweedpulley.CodeNotReady, "this entry has lost touch with the others")
	default:
		return nil
	}
}

// stop lets the balancer notice, waits for the open requests and ends the
// process's parts.
func (e *Entry) stop() {
	e.leaving.Store(true)
	time.Sleep(balancerPause)
	e.cleanup()
}

func (e *Entry) defers(c knapweedpulley.Cleanup) {
	e.cleanups = append(e.cleanups, c)
}

// cleanup runs the clean-ups in the reverse order of the constructors.
func (e *Entry) cleanup() {
	for i := len(e.cleanups) - 1; i >= 0; i-- {
		e.cleanups[i]()
	}
	e.cleanups = nil
}
