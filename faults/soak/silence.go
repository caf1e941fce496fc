package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// drainLimit is the time after which an endpoint whose registration was removed must get no request.
	drainLimit = 2 * time.Second
	// lingerTime is for how long such an endpoint goes on serving.
	lingerTime = 4500 * time.Millisecond
)

// SilenceOpen makes the open connections drop all bytes from now on. New ones are forwarded.
func (p *Proxy) SilenceOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disturbedAt = time.Now()
	for c := range p.conns {
		c.blackholed = true
	}
}

// leaveBehindSilence lets endpoints leave without draining, just after the open connections between the
// gateways and the store have gone silent, until ctx ends.
func (i *Injector) leaveBehindSilence(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(random.Int64N(int64(3 * time.Second))))
		s := i.cluster.backends[random.IntN(len(i.cluster.backends))]
		delay := time.Duration(random.Int64N(int64(100 * time.Millisecond)))
		if ctx.Err() != nil {
			return
		}
		i.inject("endpoint leaves behind silence", s, func() error { return i.cluster.leaveBehindSilence(s, delay) })
		time.Sleep(lingerTime)
	}
}

// leaveBehindSilence silences the open connections between the gateways and the store. After a delay, an
// endpoint leaves; it goes on serving for lingerTime. Then a new instance of it starts.
func (c *Cluster) leaveBehindSilence(s *Backend, delay time.Duration) error {
	for _, g := range c.gateways {
		g.storeProxy.SilenceOpen()
	}
	time.Sleep(delay)
	if err := s.Leave(); err != nil {
		return err
	}
	time.Sleep(lingerTime)
	return errors.CombineErrors(s.Crash(), s.Start())
}

// Leave removes the registration of the instance, which goes on serving.
func (e *Endpoint) Leave() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.running {
		return nil
	}
	if err := e.store.Delete(knapweedpulley.KindEndpoints, e.id); err != nil {
		return errors.Wrap(err, "remove the registration of an endpoint")
	}
	e.hasLeft = true
	e.recorder.recordLeaving(e.id)
	return nil
}

// recordLeaving records that the registration of an endpoint's instance was removed.
func (r *Recorder) recordLeaving(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left[id] = time.Now()
}

// leftAt returns when the registration of an endpoint's instance was removed, and false if it wasn't.
func (r *Recorder) leftAt(id string) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, left := r.left[id]
	return at, left
}

// checkLeaving checks that no run started at an endpoint later than drainLimit after its registration was
// removed, if the gateway had been undisturbed for recoveryTime when the request was sent.
func checkLeaving(cluster *Cluster, o Outcome, runs []Run) {
	for _, r := range runs {
		left, known := cluster.recorder.leftAt(r.Endpoint)
		undisturbed := o.UndisturbedAtEnd - o.Elapsed
		if known && o.Sent.Sub(left) > drainLimit && undisturbed > recoveryTime {
			cluster.recorder.RecordViolation("%s request %s ran at endpoint %s %s after its registration had been removed, at a gateway undisturbed for %s",
				o.Kind, o.ID, r.Endpoint, r.StartedAt.Sub(left), undisturbed)
		}
	}
}
