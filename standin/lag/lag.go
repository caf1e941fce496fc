// Package lag provides values that are read with a delay. It simulates systems that report
// their state late.
//
// # Usage
//
//	load := lag.NewValue(0)
//	load.SetLag(time.Second)
//	load.Put(3)
//	seen := load.Get() // Is 0 for another second.
package lag

import (
	"sync"
	"time"
)

// Value is a value whose changes become visible after a lag.
type Value[T any] struct {
	mu      sync.Mutex
	lag     time.Duration
	samples []sample[T]
}

type sample[T any] struct {
	at    time.Time
	value T
}

// NewValue returns a value without lag whose first value is start.
func NewValue[T any](start T) *Value[T] {
	return &Value[T]{samples: []sample[T]{{value: start}}}
}

// SetLag sets the delay until a change becomes visible. It also applies to earlier changes.
func (s *Value[T]) SetLag(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = d
}

// Put sets the value. Get returns it once the lag has passed.
func (s *Value[T]) Put(v T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.discardSuperseded()
	s.samples = append(s.samples, sample[T]{at: time.Now(), value: v})
}

// Get returns the value as it was before the lag.
func (s *Value[T]) Get() T {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.discardSuperseded()
	return s.samples[0].value
}

// discardSuperseded removes the samples before the one that is visible now. The caller holds
// the lock.
func (s *Value[T]) discardSuperseded() {
	cutoff := time.Now().Add(-s.lag)
	for len(s.samples) > 1 && !s.samples[1].at.After(cutoff) {
		s.samples = s.samples[1:]
	}
}
