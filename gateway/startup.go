package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/machine"
)

const (
	// startupTimeout bounds the startup of a gateway. Most callers of streams wait two seconds for
	// the first event.
	startupTimeout = 1500 * time.Millisecond
	// startupPollPeriod is the time between two looks at the list of the other gateways.
	startupPollPeriod = 25 * time.Millisecond
	// maxFetchAttempts bounds the attempts to ask one gateway, which may be frozen.
	maxFetchAttempts = 3
	// maxAskedGateways bounds the gateways whose answers are awaited or have arrived. All gateways tell
	// each other what they know, and an answer can have 400 KB.
	maxAskedGateways = 8
)

// StartupOptions holds the dependencies of a startup.
type StartupOptions struct {
	Self knapweedpulley.EntryID
	// Listed returns the gateways that are known so far, and whether there are no others.
	Listed func() (gateways []knapweedpulley.Member, complete bool)
	// Fetch takes over what another gateway knows of suspects of crashes.
	Fetch func(ctx context.Context, from knapweedpulley.Member) error
	Clock knapweedpulley.Clock
	Log   log.Interface
}

// Startup is the time from the start of a gateway until it has learned from the others which contents
// and prompt parts crash endpoints. Calls wait for its end, which is bounded, because the gateway would
// send those that the others refuse.
type Startup struct {
	StartupOptions
	began knapweedpulley.Instant
	ended chan struct{}
	// fetched counts the gateways that were asked successfully, missed those that weren't.
	fetched atomic.Int32
	missed  atomic.Int32
}

// NewStartup begins a startup. The clean-up ends it.
func NewStartup(o StartupOptions) (*Startup, knapweedpulley.Cleanup) {
	s := &Startup{StartupOptions: o, began: o.Clock.Now(), ended: make(chan struct{})}
	ctx, cancel := context.WithTimeout(context.Background(), startupTimeout)
	go s.run(ctx)
	return s, func() {
		cancel()
		<-s.ended
	}
}

// Ended reports whether the startup has ended. A gateway without a startup has none to wait for.
func (s *Startup) Ended() bool {
	if s == nil {
		return true
	}
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}

// end returns when the startup ends at the latest.
func (s *Startup) end() knapweedpulley.Instant {
	return s.began.Add(startupTimeout)
}

// run asks the gateways that are listed until enough have answered or there are no others, or ctx ends.
func (s *Startup) run(ctx context.Context) {
	complete := false
	defer func() {
		s.Log.WithField("gateways", s.fetched.Load()).WithField("missed", s.missed.Load()).WithField("complete", complete).
			WithField("tookMs", s.Clock.Now().Sub(s.began).Milliseconds()).Info("asked the other gateways for suspects of crashes")
		close(s.ended)
	}()
	asked := knapweedpulley.NewSet(s.Self)
	answered := make(chan struct{})
	for open := 0; ; {
		var gateways []knapweedpulley.Member
		gateways, complete = s.Listed()
		for _, g := range gateways {
			if !asked.Has(g.Entry) && open+int(s.fetched.Load()) < maxAskedGateways {
				asked.Add(g.Entry)
				open++
				go func() {
					s.ask(ctx, g)
					select {
					case answered <- struct{}{}:
					case <-ctx.Done():
					}
				}()
			}
		}
		if open == 0 && (complete || s.fetched.Load() >= maxAskedGateways) {
			return
		}
		timer := time.NewTimer(startupPollPeriod)
		select {
		case <-answered:
			open--
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// ask asks a gateway until it answers, has ended or has been asked maxFetchAttempts times.
func (s *Startup) ask(ctx context.Context, g knapweedpulley.Member) {
	for range maxFetchAttempts {
		err := s.Fetch(ctx, g)
		if err == nil {
			s.fetched.Add(1)
			return
		}
		if errors.Is(err, knapweedpulley.ErrNoListener) || machine.Pause(ctx, startupPollPeriod) != nil {
			break
		}
	}
	s.missed.Add(1)
}

// awaitStartup waits until the startup has ended. It refuses the call if it couldn't be answered in
// time then.
func (h *callHandler) awaitStartup(ctx context.Context) error {
	if h.Startup.Ended() {
		return nil
	}
	until := min(h.Startup.end(), h.callerPatienceEnd().Add(-firstEventReserve))
	timer := time.NewTimer(until.Sub(h.Clock.Now()))
	defer timer.Stop()
	select {
	case <-h.Startup.ended:
		return nil
	case <-timer.C:
	case <-ctx.Done():
		return knapweedpulley.NewRefusal(knapweedpulley.CodeCanceled, knapweedpulley.NotRun,
			"the caller disconnected while the gateway was starting")
	}
	if wait := h.Startup.end().Sub(h.Clock.Now()); wait > 0 {
		return knapweedpulley.NewRefusal(knapweedpulley.CodeNotReady, knapweedpulley.NotRun,
			"the gateway doesn't know yet which requests crash endpoints").WithRetryAfter(wait)
	}
	return nil
}
