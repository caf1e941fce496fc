package configuration

import "sync"

// signal wakes all waiting goroutines on each broadcast.
type signal struct {
	mu sync.Mutex
	ch chan struct{}
}

func newSignal() *signal {
	return &signal{ch: make(chan struct{})}
}

// wait returns a channel that is closed at the next broadcast.
func (s *signal) wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ch
}

func (s *signal) broadcast() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.ch)
	s.ch = make(chan struct{})
}
