package keeper

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

// gatewayTimeout is the time without a note after which the stream of a gateway
// is closed and its demands no longer count: three of the gateway's sending intervals.
const gatewayTimeout = 3 * time.Second

const (
	// reportsPerLifetime is the number of reports that are due within the
	// lifetime of one.
	reportsPerLifetime = 3
	// gatewaysAtFullRate is the number of gateways below which each gets a report
	// of a changed load every idlePollInterval. With more gateways the interval
	// grows, so that the keeper's work stays about constant.
	gatewaysAtFullRate = 8
	// listingSlack is the time for which a gateway is listed after its last note, in addition to two
	// reports: it covers the gateway's sending interval, the way, and a stall.
	listingSlack = 3 * time.Second
)

// listing is a gateway that the reports list until an instant.
type listing struct {
	gateway knapweedpulley.Member
	until   knapweedpulley.Instant
}

// session is the state of one gateway's stream.
type session struct {
	gateway    knapweedpulley.Member
	reports    chan knapweedpulley.EngineReport
	demands    map[knapweedpulley.Resident]knapweedpulley.ModelDemand
	lastNoteAt knapweedpulley.Instant
	// heard is when the gateway sent its last note, on its own clock. listing is the time for which
	// the gateway is listed after that note.
	heard      knapweedpulley.Instant
	listing    time.Duration
	lastReport knapweedpulley.EngineReport
	lastSentAt knapweedpulley.Instant
}

// ServeGateway implements knapweedpulley.EngineKeeper.
func (k *Keeper) ServeGateway(ctx context.Context, stream knapweedpulley.GatewayStream) error {
	s := &session{reports: make(chan knapweedpulley.EngineReport, 1)}
	k.mu.Lock()
	k.sessions.Add(s)
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.sessions.Remove(s)
		if len(s.demands) > 0 {
			k.lostSessions.Add(s)
		}
	}()
	k.triggerReconcile()
	receiveErr := make(chan error, 1)
	noteReceived := make(chan struct{}, 1)
	go func() { receiveErr <- k.receive(s, stream, noteReceived) }()
	idleTimer := time.NewTimer(gatewayTimeout)
	defer idleTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-receiveErr:
			return err
		case <-noteReceived:
			idleTimer.Reset(gatewayTimeout)
		case <-idleTimer.C:
			return errors.New("no note received within the gateway timeout")
		case r := <-s.reports:
			if err := stream.Send(r); err != nil {
				return err
			}
		}
	}
}

// triggerReconcile starts a reconcile pass without waiting for the poll interval.
func (k *Keeper) triggerReconcile() {
	select {
	case k.trigger <- struct{}{}:
	default:
	}
}

func (k *Keeper) receive(s *session, stream knapweedpulley.GatewayStream, noteReceived chan<- struct{}) error {
	for {
		note, err := stream.Receive()
		if err != nil {
			return err
		}
		select {
		case noteReceived <- struct{}{}:
		default:
		}
		k.applyNote(s, note)
		if len(note.LoadRequests) > 0 {
			k.triggerReconcile()
		}
	}
}

// applyNote takes over the engine's configuration, the demands and the load
// requests of a gateway.
func (k *Keeper) applyNote(s *session, note knapweedpulley.GatewayMessage) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.endpoint = note.Endpoint
	now := k.clock.Now()
	s.gateway, s.lastNoteAt = note.Gateway, now
	k.list(s, note, now)
	if spec, present := note.Engine.Get(); present {
		k.spec = &spec
	}
	if note.HasDemands {
		s.demands = make(map[knapweedpulley.Resident]knapweedpulley.ModelDemand, len(note.Demands))
		for _, d := range note.Demands {
			s.demands[d.Resident] = d
		}
		k.removeLostSessions(note.Gateway.Entry)
	}
	for _, wake := range note.LoadRequests {
		if wake.Expires == 0 {
			k.withdraw(wake.Resident)
			continue
		}
		k.enqueue(loadRequest{ResidentLoadRequest: wake, expiresAt: now.Add(wake.Expires)})
	}
}

// list takes note that a gateway is to be listed from now on. Visitors are not listed.
func (k *Keeper) list(s *session, note knapweedpulley.GatewayMessage, now knapweedpulley.Instant) {
	id := note.Gateway.Entry
	if id == "" {
		return
	}
	s.heard, s.listing = note.Sent, k.listingTime()
	until := max(k.listings[id].until, now.Add(s.listing))
	k.listings[id] = listing{gateway: note.Gateway, until: until}
}

// listingTime returns how long a gateway is listed after a note.
func (k *Keeper) listingTime() time.Duration {
	return 2*k.reportInterval() + listingSlack
}

// reportInterval returns the longest time between two reports to a gateway.
func (k *Keeper) reportInterval() time.Duration {
	return max(maxReportInterval, k.loadInterval())
}

// loadInterval returns the shortest time between two reports to a gateway that differ only in load.
func (k *Keeper) loadInterval() time.Duration {
	return idlePollInterval * time.Duration(1+len(k.listings)/gatewaysAtFullRate)
}

func (k *Keeper) pruneListings(now knapweedpulley.Instant) {
	for id, l := range k.listings {
		if !l.until.After(now) {
			delete(k.listings, id)
		}
	}
}

// removeLostSessions removes the lost sessions of a gateway that has connected again.
// Gateways that visit have no name, so theirs stay until they expire.
func (k *Keeper) removeLostSessions(id knapweedpulley.EntryID) {
	if id == "" {
		return
	}
	for s := range k.lostSessions {
		if s.gateway.Entry == id {
			k.lostSessions.Remove(s)
		}
	}
}

func (k *Keeper) pruneLostSessions(now knapweedpulley.Instant) {
	for s := range k.lostSessions {
		if now.Sub(s.lastNoteAt) >= gatewayTimeout {
			k.lostSessions.Remove(s)
		}
	}
}

// enqueue adds a load request behind those of the same or a higher priority. A
// request for a model or adapter that is already queued is merged with the queued
// one, which keeps its place and gets the later expiry and the higher priority of
// the two.
func (k *Keeper) enqueue(request loadRequest) {
	for i, q := range k.queue {
		if q.Resident == request.Resident {
			k.queue[i].expiresAt = max(q.expiresAt, request.expiresAt)
			k.queue[i].Priority = min(q.Priority, request.Priority)
			return
		}
	}
	at := slices.IndexFunc(k.queue, func(q loadRequest) bool { return q.Priority > request.Priority })
	if at < 0 {
		at = len(k.queue)
	}
	k.queue = slices.Insert(k.queue, at, request)
}

// withdraw removes a load request from the queue, whichever gateways have sent it: they withdraw it
// because the engine's zone is evacuated, and all of them know soon. A load in progress goes on.
func (k *Keeper) withdraw(resident knapweedpulley.Resident) {
	before := len(k.queue)
	k.queue = slices.DeleteFunc(k.queue, func(q loadRequest) bool { return q.Resident == resident })
	if len(k.queue) < before {
		k.log.WithField("model", resident.Model).WithField("adapter", resident.Adapter).Info("load request withdrawn; removed from the queue")
	}
}

// publish sends the current state to the gateways whose last report is outdated.
// A report that the stream has not sent yet is replaced.
func (k *Keeper) publish() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	r := k.buildReport(now)
	loadInterval := k.loadInterval()
	r.Lifetime = k.reportInterval() * reportsPerLifetime
	for s := range k.sessions {
		sinceReport := now.Sub(s.lastSentAt)
		if sinceReport < r.Lifetime/reportsPerLifetime && !reportChanged(&r, &s.lastReport, sinceReport >= loadInterval) {
			continue
		}
		select {
		case <-s.reports:
		default:
		}
		r.Heard, r.Listing = s.heard, s.listing
		s.reports <- r
		s.lastReport, s.lastSentAt = r, now
	}
}

// reportChanged reports whether the current report could change a gateway's
// decisions, compared with the last one that was sent to it. Request counts are
// compared only if includeLoad is set. The list of gateways is not compared and
// goes out with the next regular report: its changes come in bursts, and each
// would be sent to all gateways.
func reportChanged(current, last *knapweedpulley.EngineReport, includeLoad bool) bool {
	if !knapweedpulley.SameModels(current.Models, last.Models) || !slices.Equal(current.Queue, last.Queue) ||
		len(current.Loading) != len(last.Loading) {
		return true
	}
	return includeLoad && (current.Running != last.Running || current.Waiting != last.Waiting)
}

// listedGateways lists the gateways that have sent a note recently, ordered by id.
func (k *Keeper) listedGateways(now knapweedpulley.Instant) []knapweedpulley.Member {
	var list []knapweedpulley.Member
	for _, l := range k.listings {
		if l.until.After(now) {
			list = append(list, l.gateway)
		}
	}
	slices.SortFunc(list, func(a, b knapweedpulley.Member) int { return cmp.Compare(a.Entry, b.Entry) })
	return list
}

// buildReport returns the report of the current state.
func (k *Keeper) buildReport(now knapweedpulley.Instant) knapweedpulley.EngineReport {
	r := k.reading.EngineReport
	r.Age = now.Sub(k.readAt)
	r.Gateways = k.listedGateways(now)
	r.Uptime = now.Sub(k.startedAt)
	r.Queue = make([]knapweedpulley.Resident, 0, len(k.queue))
	for _, q := range k.queue {
		if k.loading == nil || q.Resident != k.loading.Resident {
			r.Queue = append(r.Queue, q.Resident)
		}
	}
	if l := k.loading; l != nil {
		r.Loading = []knapweedpulley.LoadInProgress{{
			Resident: l.Resident, Tier: l.tier, Remaining: max(0, l.expected-k.readAt.Sub(l.startedAt)),
		}}
	}
	if k.spec == nil {
		return r
	}
	r.Free = k.freeMemory() - k.reserve(knapweedpulley.Resident{}).memory
	for _, m := range k.reading.Models {
		u := k.usage(m.Model)
		if u.active > 0 || k.recentlyLoaded(m.Model, now) {
			continue
		}
		r.Evictable += k.spec.Models[m.Model].Size
		if u.spare {
			r.Redundant += k.spec.Models[m.Model].Size
		}
	}
	return r
}
