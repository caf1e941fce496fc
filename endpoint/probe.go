package endpoint

import (
	"context"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// probeRequestTimeout bounds a request for a probe. The caller of the refused request waits
	// for it.
	probeRequestTimeout = 250 * time.Millisecond
	// probeTerm is the time after its request for which a granted probe may be sent. A member
	// that was paused longer doesn't send it.
	probeTerm = time.Second
	// probeRequestPause is the time after which a member requests a probe again that it didn't
	// get. Until then it refuses requests at once.
	probeRequestPause = time.Second
)

// granter returns the member of the group that decides on probes. As it is only one, requests
// that arrive at several members at once, whatever their number, are one probe; and each member
// gets a probe, however few requests with a content or part reach the others.
func (s *Suspects) granter() (knapweedpulley.Member, bool) {
	members := s.Group.Members()
	if len(members) == 0 {
		return knapweedpulley.Member{}, false
	}
	return members[0], true
}

func (s *Suspects) isGranter() bool {
	m, known := s.granter()
	return known && m.Entry == s.Group.Self().Entry
}

// mayRequestProbe reports whether the member may ask for a probe now.
func (s *Suspects) mayRequestProbe(now knapweedpulley.Instant) bool {
	return s.isGranter() || (!s.probeRequested.Load() && now >= knapweedpulley.Instant(s.nextProbeRequest.Load()))
}

// obtainProbe reports whether a request may be sent as a probe, and counts it. Only one request
// of the member waits for the granter's answer; others aren't probes.
func (s *Suspects) obtainProbe(r knapweedpulley.ProbeRequest) bool {
	granter, known := s.granter()
	if !known {
		return false
	}
	if granter.Entry == s.Group.Self().Entry {
		return s.GrantProbe(r)
	}
	if !s.probeRequested.CompareAndSwap(false, true) {
		return false
	}
	defer s.probeRequested.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), probeRequestTimeout)
	defer cancel()
	began := s.Clock.Now()
	granted, err := s.Peer.RequestProbe(ctx, granter, r)
	now := s.Clock.Now()
	if err != nil {
		s.Log.WithError(err).WithField("granter", granter.Entry).Info("no answer to the request for a probe")
	}
	if err != nil || !granted || now.Sub(began) > probeTerm {
		s.nextProbeRequest.Store(int64(now.Add(probeRequestPause)))
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range probeKeys(r) {
		s.countProbe(key, now)
	}
	return true
}

// GrantProbe implements knapweedpulley.ProbeGranter. Only the first member of the group grants
// probes.
func (s *Suspects) GrantProbe(r knapweedpulley.ProbeRequest) bool {
	if !s.isGranter() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	known := s.refused
	if len(r.Parts) == 0 {
		known = s.refusedContents
	}
	refused := make(map[knapweedpulley.PartFingerprint]*refusedPart)
	for _, key := range probeKeys(r) {
		if known[key] == nil {
			return false
		}
		refused[key] = known[key]
	}
	if !mayProbe(refused, now) {
		return false
	}
	for key := range refused {
		s.countProbe(key, now)
	}
	if len(r.Parts) == 0 {
		s.contentProbes[r.Content] = contentProbe{at: now, crashes: s.view.Load().contents[r.Content]}
	}
	return true
}

// countProbe counts a probe that is sent now.
func (s *Suspects) countProbe(key knapweedpulley.PartFingerprint, now knapweedpulley.Instant) {
	s.states.countProbe(key)
	for _, r := range []*refusedPart{s.refused[key], s.refusedContents[key]} {
		if r != nil {
			r.setProbes(s.states.countedProbes(key), now)
		}
	}
}

// probeKeys returns the keys by which the states of what a probe is sent for are kept.
func probeKeys(r knapweedpulley.ProbeRequest) []knapweedpulley.PartFingerprint {
	if len(r.Parts) == 0 {
		return []knapweedpulley.PartFingerprint{contentKey(r.Content)}
	}
	return r.Parts
}
