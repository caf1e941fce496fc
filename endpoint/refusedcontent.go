package endpoint

import (
	"math"
	"strconv"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
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

// MayProbeContent implements knapweedpulley.ContentSuspectList.
func (s *Suspects) MayProbeContent(f knapweedpulley.Fingerprint) bool {
	r, now := s.view.Load().refusedContents[contentKey(f)], s.Clock.Now()
	return r != nil && r.mayProbe(now) && s.mayRequestProbe(now)
}

// TryProbeContent implements knapweedpulley.ContentSuspectList.
func (s *Suspects) TryProbeContent(f knapweedpulley.Fingerprint) bool {
	return s.MayProbeContent(f) && s.obtainProbe(knapweedpulley.ProbeRequest{Content: f})
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
