package endpoint

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// crashesToRefuse is the number of crashes after which a content that ran
	// at each of them is refused.
	crashesToRefuse = 2
	// maxCrashes bounds the crashes that are remembered; the oldest go first.
	maxCrashes = 4096
)

// crash identifies one crash of an engine.
type crash struct {
	endpoint knapweedpulley.EndpointID
	start    uint64
}

// Suspects implements knapweedpulley.SuspectList. Reports merge by the crash
// they tell of, whatever their order and however often they come.
type Suspects struct {
	group  knapweedpulley.Group
	peer   knapweedpulley.SuspectPeer
	counts atomic.Pointer[map[knapweedpulley.Fingerprint]int]
	// mu is held to merge, never to read a state.
	mu      sync.Mutex
	crashes map[crash][]knapweedpulley.Fingerprint
	order   []crash
	// told is the number of suspects of a crash that the other members were
	// told of: a report can come before the crash is whole.
	told map[crash]int
}

// NewSuspects returns an empty list that tells the other members of crashes.
func NewSuspects(group knapweedpulley.Group, peer knapweedpulley.SuspectPeer) *Suspects {
	s := &Suspects{
		group:   group,
		peer:    peer,
		crashes: make(map[crash][]knapweedpulley.Fingerprint),
		told:    make(map[crash]int),
	}
	s.counts.Store(&map[knapweedpulley.Fingerprint]int{})
	return s
}

// State implements knapweedpulley.SuspectList.
func (s *Suspects) State(f knapweedpulley.Fingerprint) knapweedpulley.SuspectState {
	switch n := (*s.counts.Load())[f]; {
	case n >= crashesToRefuse:
		return knapweedpulley.SuspectRefuse
	case n > 0:
		return knapweedpulley.SuspectIsolate
	default:
		return knapweedpulley.SuspectNone
	}
}

// Merge implements knapweedpulley.SuspectMerger.
func (s *Suspects) Merge(r knapweedpulley.SuspectReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := crash{endpoint: r.Endpoint, start: r.Start}
	added := newTo(s.crashes[c], r.Fingerprints)
	if len(added) == 0 {
		return
	}
	if len(s.crashes[c]) == 0 {
		s.order = append(s.order, c)
	}
	s.crashes[c] = append(s.crashes[c], added...)
	counts := maps.Clone(*s.counts.Load())
	for _, f := range added {
		counts[f]++
	}
	s.forget(counts)
	s.counts.Store(&counts)
}

// newTo returns the members of list that aren't in known, each once.
func newTo(known, list []knapweedpulley.Fingerprint) []knapweedpulley.Fingerprint {
	seen := knapweedpulley.NewSet(known...)
	var added []knapweedpulley.Fingerprint
	for _, f := range list {
		if !seen.Has(f) {
			seen.Add(f)
			added = append(added, f)
		}
	}
	return added
}

// Report implements knapweedpulley.SuspectList.
// An agent names a crash in each of its reports; the others are told once.
func (s *Suspects) Report(ctx context.Context, r knapweedpulley.SuspectReport) {
	s.Merge(r)
	if !s.tell(crash{endpoint: r.Endpoint, start: r.Start}, len(r.Fingerprints)) {
		return
	}
	self := s.group.Self().Entry
	var group sync.WaitGroup
	for _, m := range s.group.Members() {
		if m.Entry == self {
			continue
		}
		// An entry that can't be reached learns of the crash from the reports
		// of the agent.
		group.Go(func() { _ = s.peer.SendSuspects(ctx, m, r) })
	}
	group.Wait()
}

// tell reports whether the others are to be told of a crash with that many
// suspects now.
func (s *Suspects) tell(c crash, suspects int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if suspects <= s.told[c] {
		return false
	}
	s.told[c] = suspects
	return true
}

// forget drops the oldest crashes beyond the bound.
func (s *Suspects) forget(counts map[knapweedpulley.Fingerprint]int) {
	for len(s.order) > maxCrashes {
		c := s.order[0]
		s.order = s.order[1:]
		for _, f := range s.crashes[c] {
			counts[f]--
			if counts[f] == 0 {
				delete(counts, f)
			}
		}
		delete(s.crashes, c)
		delete(s.told, c)
	}
}
