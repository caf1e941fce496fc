package weights

import (
	"context"
	"sync"
	"time"
)

// share is a capacity that several transfers use at once. Up to parallel
// transfers go at full speed; more slow each other in proportion.
type share struct {
	mu       sync.Mutex
	parallel int
	// speed is the work that one transfer does in a second at full speed.
	speed float64
	// active counts the transfers.
	active int
	// done is the work that a transfer which started first would have done.
	done    float64
	at      time.Time
	changed chan struct{}
}

func newShare(parallel int, speed float64) *share {
	return &share{parallel: parallel, speed: speed, at: time.Now(), changed: make(chan struct{})}
}

// set changes the capacity, also for transfers under way.
func (s *share) set(parallel int, speed float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	s.parallel = parallel
	s.speed = speed
	s.wake()
}

// transfer returns once the work is done, or ctx ends.
func (s *share) transfer(ctx context.Context, work float64) error {
	target := s.join(work)
	defer s.leave()
	for {
		wait, changed := s.remaining(target)
		if wait <= 0 {
			return nil
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-changed:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
	}
}

func (s *share) join(work float64) (target float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	s.active++
	s.wake()
	return s.done + work
}

func (s *share) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	s.active--
	s.wake()
}

// remaining returns the time until target is reached if nothing changes, and a
// channel that is closed at the next change.
func (s *share) remaining(target float64) (time.Duration, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	seconds := (target - s.done) / s.rate()
	return time.Duration(seconds * float64(time.Second)), s.changed
}

// rate is the current speed of one transfer.
func (s *share) rate() float64 {
	return s.speed * float64(s.parallel) / float64(max(s.active, s.parallel))
}

func (s *share) advance() {
	now := time.Now()
	s.done += s.rate() * now.Sub(s.at).Seconds()
	s.at = now
}

func (s *share) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}
