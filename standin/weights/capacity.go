package weights

import (
	"context"
	"sync"
	"time"
)

// sharedCapacity simulates a capacity that concurrent transfers share equally. Up to
// fullSpeedTransfers of them run at full speed; with more, the speed of each falls in
// proportion.
type sharedCapacity struct {
	mu                 sync.Mutex
	fullSpeedTransfers int
	// speed is the work that one transfer does per second at full speed.
	speed float64
	// active is the number of transfers in progress.
	active int
	// workDone is the work that a transfer would have done by updatedAt if it had run from
	// the beginning. A transfer ends once workDone has grown by its work.
	workDone  float64
	updatedAt time.Time
	changed   chan struct{}
}

func newSharedCapacity(parallel int, speed float64) *sharedCapacity {
	return &sharedCapacity{fullSpeedTransfers: parallel, speed: speed, updatedAt: time.Now(), changed: make(chan struct{})}
}

// setCapacity changes the capacity, also for transfers in progress.
func (s *sharedCapacity) setCapacity(parallel int, speed float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	s.fullSpeedTransfers = parallel
	s.speed = speed
	s.notifyChanged()
}

// transfer blocks until the work is done. It returns the error of ctx if ctx ends first.
func (s *sharedCapacity) transfer(ctx context.Context, work float64) error {
	target := s.begin(work)
	defer s.end()
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

// begin adds a transfer and returns the value of workDone at which it ends.
func (s *sharedCapacity) begin(work float64) (target float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	s.active++
	s.notifyChanged()
	return s.workDone + work
}

func (s *sharedCapacity) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	s.active--
	s.notifyChanged()
}

// remaining returns the time until workDone reaches target at the current rate, and a
// channel that is closed when the rate may have changed.
func (s *sharedCapacity) remaining(target float64) (time.Duration, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	seconds := (target - s.workDone) / s.transferRate()
	return time.Duration(seconds * float64(time.Second)), s.changed
}

// transferRate returns the current speed of one transfer, in work per second.
func (s *sharedCapacity) transferRate() float64 {
	return s.speed * float64(s.fullSpeedTransfers) / float64(max(s.active, s.fullSpeedTransfers))
}

// advance adds the work done since updatedAt. The caller holds the lock.
func (s *sharedCapacity) advance() {
	now := time.Now()
	s.workDone += s.transferRate() * now.Sub(s.updatedAt).Seconds()
	s.updatedAt = now
}

func (s *sharedCapacity) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}
