// Package lag reports values as they were some time ago.
//
// # Usage
//
//	load := lag.NewSeries(0)
//	load.SetLag(time.Second)
//	load.Put(3)
//	seen := load.Get() // 0 for another second
package lag

import (
	"sync"
	"time"
)

// Value is a value that is seen late.
type Value[T any] struct {
	mu     sync.Mutex
	lag    time.Duration
	points []point[T]
}

type point[T any] struct {
	at    time.Time
	value T
}

// NewValue returns a series that starts with a value and has no lag.
func NewValue[T any](start T) *Value[T] {
	return &Value[T]{points: []point[T]{{value: start}}}
}

// SetLag sets how late values are seen.
func (s *Value[T]) SetLag(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = d
}

// Put sets the value as of now.
func (s *Value[T]) Put(v T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trim()
	s.points = append(s.points, point[T]{at: time.Now(), value: v})
}

// Get returns the value that was current before the lag.
func (s *Value[T]) Get() T {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trim()
	return s.points[0].value
}

// trim drops the points that a later one has replaced.
func (s *Value[T]) trim() {
	limit := time.Now().Add(-s.lag)
	for len(s.points) > 1 && !s.points[1].at.After(limit) {
		s.points = s.points[1:]
	}
}
