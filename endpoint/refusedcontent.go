package endpoint

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// contentProbeTurn is the time for which one member of the group may probe a refused
	// content before it is the next one's turn. The requests with a content may reach one
	// member only, and only a request can be a probe.
	contentProbeTurn = 4 * time.Second
	// contentProbeGap is the end of a turn in which no member probes. The next member has
	// to learn of a probe before its turn; states are exchanged several times a second.
	contentProbeGap = time.Second
	// contentProbeResult is the time after which a probe that is followed by no crash with
	// its content no longer counts. A content that crashes endpoints does so when the
	// endpoint begins to run it, and a crash is reported within two seconds.
	contentProbeResult = 10 * time.Second
	// contentProbeLimit doesn't limit the probes that are returned: those of a content are
	// returned only if no crash has followed them.
	contentProbeLimit = math.MaxUint32
)

// contentKey returns the key of a content in the states that the members agree on. These
// are kept by prompt part.
func contentKey(f knapweedpulley.Fingerprint) knapweedpulley.PartFingerprint {
	return knapweedpulley.NewPartFingerprint("content " + strconv.FormatUint(uint64(f), 16))
}

// contentProbe is a probe whose result isn't known yet.
type contentProbe struct {
	at knapweedpulley.Instant
	// crashes is the number of crashes that were held against the content before the probe.
	crashes int
}

// MayProbeContent implements knapweedpulley.PromptSuspectList. The members of the group take
// turns, so that requests that arrive at several of them at once are one probe.
func (s *Suspects) MayProbeContent(f knapweedpulley.Fingerprint) bool {
	r := s.view.Load().refusedContents[contentKey(f)]
	return r != nil && s.mayProbeContent(r, s.Clock.Now())
}

func (s *Suspects) mayProbeContent(r *refusedPart, now knapweedpulley.Instant) bool {
	if !r.mayProbe(now) {
		return false
	}
	members := s.Group.Members()
	self := s.Group.Self().Entry
	rank := slices.IndexFunc(members, func(m knapweedpulley.Member) bool { return m.Entry == self })
	if rank < 0 {
		return false
	}
	elapsed := now.Sub(knapweedpulley.Instant(r.nextProbe.Load()))
	turn := int(elapsed / contentProbeTurn)
	return turn%len(members) == rank && elapsed%contentProbeTurn < contentProbeTurn-contentProbeGap
}

// TryProbeContent implements knapweedpulley.PromptSuspectList.
func (s *Suspects) TryProbeContent(f knapweedpulley.Fingerprint) bool {
	if !s.MayProbeContent(f) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key, now := contentKey(f), s.Clock.Now()
	r := s.refusedContents[key]
	if r == nil || !s.mayProbeContent(r, now) {
		return false
	}
	s.states.countProbe(key)
	r.setProbes(s.states.countedProbes(key), now)
	s.contentProbes[f] = contentProbe{at: now, crashes: s.view.Load().contents[f]}
	return true
}

// settleContentProbes stops counting the probes of this member that no crash has followed.
func (s *Suspects) settleContentProbes() {
	now, contents := s.Clock.Now(), s.view.Load().contents
	for f, p := range s.contentProbes {
		crashed := contents[f] > p.crashes
		if !crashed && now.Sub(p.at) < contentProbeResult {
			continue
		}
		delete(s.contentProbes, f)
		if key := contentKey(f); !crashed && s.states.returnProbe(key, contentProbeLimit) {
			s.setCountedProbes(key, now)
		}
	}
}

// setCountedProbes takes over the number of a part's or content's probes from its state. The
// next probe is due later if there are more than before.
func (s *Suspects) setCountedProbes(key knapweedpulley.PartFingerprint, now knapweedpulley.Instant) {
	n := s.states.countedProbes(key)
	for _, r := range []*refusedPart{s.refused[key], s.refusedContents[key]} {
		switch {
		case r == nil:
		case n > r.probes.Load():
			r.setProbes(n, now)
		default:
			r.probes.Store(n)
		}
	}
}

// refuseContents determines the refused contents from the number of crashes held against each.
func (s *Suspects) refuseContents(crashes map[knapweedpulley.Fingerprint]int) {
	now := s.Clock.Now()
	refused := make(map[knapweedpulley.PartFingerprint]*refusedPart)
	for f, n := range crashes {
		if n < refusalThreshold {
			continue
		}
		key := contentKey(f)
		if refused[key] = s.refusedContents[key]; refused[key] == nil {
			refused[key] = newRefusedPart(now, false, s.states.countedProbes(key))
		}
	}
	s.refusedContents = refused
}
