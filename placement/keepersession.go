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
	// notePeriod is the time between two checks whether a note to a keeper is due.
	notePeriod = 300 * time.Millisecond
	// firstReportTimeout is how long a session waits for the first report before it considers
	// the stream dead. Each report carries the lifetime that applies from then on.
	firstReportTimeout = 1500 * time.Millisecond
	// keepAlivePeriod is the time after which a note is sent even if nothing has changed, so
	// that the keeper knows that the gateway is alive.
	keepAlivePeriod = time.Second
	// probeTimeout bounds the check whether an engine still listens.
	probeTimeout = 300 * time.Millisecond
	// rateChangeRatio is the ratio by which a rate must change to be sent again.
	// minRequestsPerSecond is the rate below which changes don't matter.
	rateChangeRatio      = 1.3
	minRequestsPerSecond = 0.1
	// minRetryDelay and maxRetryDelay bound the delay between two attempts to reach a keeper.
	// The delay doubles after each failure.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// requestsPerSecondPerHolder is the number of requests per second that one engine serves well,
	// given the time that it takes to read prompts. Holders of a model beyond that need are spare.
	requestsPerSecondPerHolder = 4.0
)

// keeperSession maintains the stream to the keeper of one engine.
type keeperSession struct {
	placer       *Placer
	endpoint     *fleet.Endpoint
	loadRequests chan knapweedpulley.ResidentLoadRequest
	// noteDue triggers a check whether a note must be sent.
	noteDue chan struct{}
	cancel  context.CancelFunc
	// visiting is set if the engine is outside the gateway's cell. The keeper then gets the
	// engine's configuration from the gateways of its own cell, and doesn't list this gateway.
	visiting bool
	openedAt knapweedpulley.Instant
}

// triggerNote makes the session send a note if the use of the models has changed.
func (s *keeperSession) triggerNote() {
	select {
	case s.noteDue <- struct{}{}:
	default:
	}
}

// run keeps a stream to the keeper open until ctx ends, and reconnects after failures.
func (s *keeperSession) run(ctx context.Context) {
	delay := minRetryDelay
	attempted := false
	for ctx.Err() == nil {
		reported, err := s.runStream(ctx)
		if ctx.Err() != nil {
			return
		}
		if reported || !attempted {
			s.placer.log.WithField("endpoint", s.endpoint.ID()).WithField("address", s.address()).
				WithError(err).Warn("stream to keeper failed; reconnecting")
		}
		attempted = true
		if reported {
			delay = minRetryDelay
			s.checkEngine(ctx)
		}
		_ = machine.Pause(ctx, delay)
		delay = min(2*delay, maxRetryDelay)
	}
}

// checkEngine excludes the engine if it no longer listens. Loads in progress at an engine that
// still does are waited for while its keeper is silent.
func (s *keeperSession) checkEngine(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if s.placer.exchanger.RefusesConnections(ctx, s.endpoint.Registration().Address) {
		s.placer.fleet.MarkUnreachable(s.endpoint)
	}
}

// address returns the host and port of the keeper, which runs on the engine's machine.
func (s *keeperSession) address() string {
	host, _, err := net.SplitHostPort(s.endpoint.Registration().Address)
	if err != nil {
		host = s.endpoint.Registration().Address
	}
	return net.JoinHostPort(host, strconv.Itoa(s.placer.port))
}

// runStream opens one stream and serves it until it fails. It reports whether the keeper has sent
// a report.
func (s *keeperSession) runStream(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := s.placer.link.OpenStream(ctx, s.address())
	if err != nil {
		return false, err
	}
	reportTimer := time.AfterFunc(firstReportTimeout, cancel)
	defer reportTimer.Stop()
	var sending sync.WaitGroup
	sending.Go(func() { s.sendNotes(ctx, stream) })
	defer sending.Wait()
	defer cancel()
	reported := false
	for {
		r, err := stream.Receive()
		if err != nil {
			return reported, err
		}
		reportTimer.Reset(r.Lifetime)
		if !reported {
			reported = true
			s.placer.log.WithField("endpoint", s.endpoint.ID()).WithField("start", r.Start).Info("connected to keeper")
		}
		s.placer.fleet.ApplyReport(s.endpoint, r)
	}
}

// sendNotes sends notes and load requests until the stream ends.
func (s *keeperSession) sendNotes(ctx context.Context, stream knapweedpulley.KeeperStream) {
	var spec *knapweedpulley.EngineSpec
	var last knapweedpulley.GatewayMessage
	var sent knapweedpulley.Instant
	for {
		n := s.buildNote()
		if now := s.placer.engineSpec(s.endpoint.Registration().Service); now != nil && now != spec && !s.visiting {
			n.Engine = knapweedpulley.Some(*now)
			spec, sent = now, 0
		}
		if now := s.placer.clock.Now(); now.Sub(sent) >= keepAlivePeriod || demandsDiffer(n.Demands, last.Demands) {
			n.Sent = now
			if err := stream.Send(n); err != nil {
				// runStream also gets an error from Receive, and returns it.
				return
			}
			last, sent = n, now
		}
		select {
		case <-ctx.Done():
			return
		case <-s.noteDue:
		case w := <-s.loadRequests:
			if w.Expires != withdrawn && s.endpoint.Evacuated() {
				// The zone was evacuated after the request was queued, or while it was.
				continue
			}
			if err := stream.Send(knapweedpulley.GatewayMessage{
				Gateway: s.sender(), Sent: s.placer.clock.Now(), Endpoint: s.endpoint.ID(), LoadRequests: []knapweedpulley.ResidentLoadRequest{w},
			}); err != nil {
				return
			}
		}
	}
}

// demandsDiffer reports whether the new demands differ enough to change a keeper's decisions.
func demandsDiffer(demands, last []knapweedpulley.ModelDemand) bool {
	return !slices.EqualFunc(demands, last, func(d, l knapweedpulley.ModelDemand) bool {
		more, less := max(d.Rate, l.Rate), min(d.Rate, l.Rate)
		return d.Resident == l.Resident && d.Redundant == l.Redundant && (d.Active > 0) == (l.Active > 0) &&
			(more < minRequestsPerSecond || more < rateChangeRatio*less)
	})
}

// buildNote returns a note on how the gateway uses the models of the engine.
func (s *keeperSession) buildNote() knapweedpulley.GatewayMessage {
	n := knapweedpulley.GatewayMessage{Gateway: s.sender(), Endpoint: s.endpoint.ID(), HasDemands: true}
	for _, m := range s.endpoint.Models() {
		n.Demands = append(n.Demands, s.demand(knapweedpulley.Resident{Model: m.Model}))
		for _, d := range m.Adapters {
			n.Demands = append(n.Demands, s.demand(knapweedpulley.Resident{Model: m.Model, Adapter: d.Adapter}))
		}
	}
	return n
}

// sender returns the gateway as the keeper is to list it. A keeper doesn't list visitors.
func (s *keeperSession) sender() knapweedpulley.Member {
	if s.visiting {
		return knapweedpulley.Member{}
	}
	return s.placer.self
}

// demand returns how the gateway uses a model or adapter of the engine.
func (s *keeperSession) demand(w knapweedpulley.Resident) knapweedpulley.ModelDemand {
	d := s.placer.demand
	holders := s.placer.fleet.Holders(s.endpoint.Registration().Service, w)
	rate := d.Rate(w)
	needed := max(1, int(math.Ceil(rate*float64(s.placer.gateways.Load())/requestsPerSecondPerHolder)))
	return knapweedpulley.ModelDemand{
		Resident:  w,
		Active:    d.Active(s.endpoint.ID(), w),
		Rate:      rate,
		Holders:   len(holders),
		Redundant: rankAmongHolders(holders, w, s.endpoint.ID()) >= needed,
	}
}

// rankAmongHolders returns how many holders precede an endpoint in the rendezvous order, on which
// all gateways agree.
func rankAmongHolders(holders []*fleet.Endpoint, w knapweedpulley.Resident, id knapweedpulley.EndpointID) int {
	ownRank := fleet.Rank(string(w.Model), id)
	before := 0
	for _, h := range holders {
		if h.ID() != id && fleet.Rank(string(w.Model), h.ID()) > ownRank {
			before++
		}
	}
	return before
}
