package gateway

import (
	"sync"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// breaksToRefuse is the number of endpoints at which a content broke off
	// before it is refused.
	breaksToRefuse = 3
	// suspicion is how long a break is remembered.
	suspicion = time.Minute
	// maxSuspects bounds the contents that are remembered.
	maxSuspects = 4096
)

// suspects remembers contents that endpoints broke off on. Only requests with
// the same path, caller and body are the same content.
type suspects struct {
	clock knapweedpulley.Clock
	mu    sync.Mutex
	known map[knapweedpulley.Fingerprint]*record
}

// record is what is known of one content.
type record struct {
	breaks int
	last   knapweedpulley.Instant
}

func newSuspects(clock knapweedpulley.Clock) *suspects {
	return &suspects{clock: clock, known: make(map[knapweedpulley.Fingerprint]*record)}
}

// broken counts an answer that broke off.
func (s *suspects) broken(f knapweedpulley.Fingerprint, _ knapweedpulley.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.known) >= maxSuspects {
		s.forget()
	}
	r := s.known[f]
	if r == nil {
		r = &record{}
		s.known[f] = r
	}
	r.breaks++
	r.last = s.clock.Now()
}

// refused reports whether a content is not to be sent any more.
func (s *suspects) refused(f knapweedpulley.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.known[f]
	return r != nil && r.breaks >= breaksToRefuse && s.clock.Now().Sub(r.last) < suspicion
}

// forget drops the contents that broke long ago, or all if none did.
func (s *suspects) forget() {
	now := s.clock.Now()
	for f, r := range s.known {
		if now.Sub(r.last) >= suspicion {
			delete(s.known, f)
		}
	}
	if len(s.known) >= maxSuspects {
		clear(s.known)
	}
}
