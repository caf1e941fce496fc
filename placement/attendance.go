package placement

import (
	"context"
	"math"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/fleet"
	"github.com/knapweedpulley/knapweedpulley/machine"
)

const (
	// notePeriod is the time between two notes to a keeper.
	notePeriod = 300 * time.Millisecond
	// firstSilence is the time without a first report after which a stream is
	// taken for dead. Later ones tell themselves how long they hold.
	firstSilence = 1500 * time.Millisecond
	// repeatPeriod is the time after which a note is sent though nothing has
	// changed, so that the keeper knows that the gateway is there.
	repeatPeriod = time.Second
	// rateChange is the ratio by which a rate has changed if it is told again,
	// and leastRate is the rate below which it doesn't matter.
	rateChange = 1.3
	leastRate  = 0.1
	// firstRetry and lastRetry bound the time between two attempts to reach a
	// keeper; the time doubles in between.
	firstRetry = 100 * time.Millisecond
	lastRetry  = 2 * time.Second
	// ratePerHolder is the requests a second that one engine serves well, by
	// its time to read prompts: holders beyond that are spare.
	ratePerHolder = 4.0
)

// attendance is the stream to the keeper of one engine.
type attendance struct {
	placer   *Placer
	endpoint *fleet.Endpoint
	wakes    chan knapweedpulley.ResidentWake
	// turns has the sender look whether there is something to tell.
	turns  chan struct{}
	cancel context.CancelFunc
}

// turn has the use of the models told if it has changed.
func (a *attendance) turn() {
	select {
	case a.turns <- struct{}{}:
	default:
	}
}

// run keeps a stream open until ctx ends.
func (a *attendance) run(ctx context.Context) {
	pause := firstRetry
	connected := false
	for ctx.Err() == nil {
		heard, err := a.attend(ctx)
		if ctx.Err() != nil {
			return
		}
		if heard || !connected {
			a.placer.log.WithField("endpoint", a.endpoint.ID()).WithField("address", a.address()).
				WithError(err).Warn("keeper doesn't answer")
		}
		connected = true
		if heard {
			pause = firstRetry
		}
		_ = machine.Pause(ctx, pause)
		pause = min(2*pause, lastRetry)
	}
}

func (a *attendance) address() string {
	host, _, err := net.SplitHostPort(a.endpoint.Entry().Address)
	if err != nil {
		host = a.endpoint.Entry().Address
	}
	return net.JoinHostPort(host, strconv.Itoa(a.placer.port))
}

// attend holds one stream until it fails, and tells whether a report came.
func (a *attendance) attend(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := a.placer.link.Attend(ctx, a.address())
	if err != nil {
		return false, err
	}
	dead := time.AfterFunc(firstSilence, cancel)
	defer dead.Stop()
	var sending sync.WaitGroup
	sending.Go(func() { a.send(ctx, stream) })
	defer sending.Wait()
	defer cancel()
	heard := false
	for {
		r, err := stream.Receive()
		if err != nil {
			return heard, err
		}
		dead.Reset(r.Lifetime)
		if !heard {
			heard = true
			a.placer.log.WithField("endpoint", a.endpoint.ID()).WithField("start", r.Start).Info("keeper answers")
		}
		a.placer.fleet.Hear(a.endpoint, r)
	}
}

// send sends notes until the stream ends.
func (a *attendance) send(ctx context.Context, stream knapweedpulley.KeeperStream) {
	var spec *knapweedpulley.EngineSpec
	var last knapweedpulley.GatewayNote
	var sent knapweedpulley.Instant
	for {
		n := a.note()
		if now := a.placer.engine(a.endpoint.Entry().Service); now != nil && now != spec {
			n.Engine = knapweedpulley.Some(*now)
			spec, sent = now, 0
		}
		if now := a.placer.clock.Now(); now.Sub(sent) >= repeatPeriod || changed(n.Demands, last.Demands) {
			if err := stream.Send(n); err != nil {
				// The receiving side sees the end of the stream and tells of it.
				return
			}
			last, sent = n, now
		}
		select {
		case <-ctx.Done():
			return
		case <-a.turns:
		case w := <-a.wakes:
			if err := stream.Send(knapweedpulley.GatewayNote{
				Gateway: a.placer.self, Endpoint: a.endpoint.ID(), Wakes: []knapweedpulley.ResidentWake{w},
			}); err != nil {
				return
			}
		}
	}
}

// changed reports whether a keeper would decide otherwise by the new demands.
func changed(demands, last []knapweedpulley.ModelDemand) bool {
	return !slices.EqualFunc(demands, last, func(d, l knapweedpulley.ModelDemand) bool {
		more, less := max(d.Rate, l.Rate), min(d.Rate, l.Rate)
		return d.Resident == l.Resident && d.Spare == l.Spare && (d.Active > 0) == (l.Active > 0) &&
			(more < leastRate || more < rateChange*less)
	})
}

// note tells how the models of the engine are used.
func (a *attendance) note() knapweedpulley.GatewayNote {
	n := knapweedpulley.GatewayNote{Gateway: a.placer.self, Endpoint: a.endpoint.ID(), Demanded: true}
	for _, m := range a.endpoint.Models() {
		n.Demands = append(n.Demands, a.demand(knapweedpulley.Resident{Model: m.Model}))
		for _, d := range m.Adapters {
			n.Demands = append(n.Demands, a.demand(knapweedpulley.Resident{Model: m.Model, Adapter: d.Adapter}))
		}
	}
	return n
}

func (a *attendance) demand(w knapweedpulley.Resident) knapweedpulley.ModelDemand {
	d := a.placer.demand
	holders := a.placer.fleet.Holders(a.endpoint.Entry().Service, w)
	rate := d.Rate(w)
	needed := max(1, int(math.Ceil(rate*float64(a.placer.gateways.Load())/ratePerHolder)))
	return knapweedpulley.ModelDemand{
		Resident: w,
		Active:   d.Active(a.endpoint.ID(), w),
		Rate:     rate,
		Holders:  len(holders),
		Spare:    rankAmong(holders, w, a.endpoint.ID()) >= needed,
	}
}

// rankAmong returns how many holders come before an endpoint in the order on
// which all gateways agree.
func rankAmong(holders []*fleet.Endpoint, w knapweedpulley.Resident, id knapweedpulley.EndpointID) int {
	own := fleet.Rank(string(w.Model), id)
	before := 0
	for _, h := range holders {
		if h.ID() != id && fleet.Rank(string(w.Model), h.ID()) > own {
			before++
		}
	}
	return before
}
