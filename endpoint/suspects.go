package endpoint

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// refusalThreshold is the number of crashes after which content that ran at
	// each of them is refused.
	refusalThreshold = 2
	// maxCrashes bounds the number of crashes that are kept. The oldest are
	// dropped first.
	maxCrashes = 4096
)

// crashID identifies one crash of an engine by the endpoint and the engine start
// that ended in the crash.
type crashID struct {
	endpoint knapweedpulley.EndpointID
	start    uint64
}

// Suspects implements knapweedpulley.SuspectList. Reports are merged by their
// crash, so their order and repetitions don't matter.
type Suspects struct {
	group  knapweedpulley.Group
	peer   knapweedpulley.SuspectPeer
	counts atomic.Pointer[map[knapweedpulley.Fingerprint]int]
	// mu guards the fields below. State reads counts without it.
	mu         sync.Mutex
	crashes    map[crashID][]knapweedpulley.Fingerprint
	crashOrder []crashID
	// notified holds, for each crash, the number of suspects in the last report
	// that was sent to the other members. A later report can name more suspects.
	notified map[crashID]int
}

// NewSuspects returns an empty list that sends reported crashes to the other
// members of the group.
func NewSuspects(group knapweedpulley.Group, peer knapweedpulley.SuspectPeer) *Suspects {
	s := &Suspects{
		group:    group,
		peer:     peer,
		crashes:  make(map[crashID][]knapweedpulley.Fingerprint),
		notified: make(map[crashID]int),
	}
	s.counts.Store(&map[knapweedpulley.Fingerprint]int{})
	return s
}

// State implements knapweedpulley.SuspectList.
func (s *Suspects) State(f knapweedpulley.Fingerprint) knapweedpulley.SuspectState {
	switch n := (*s.counts.Load())[f]; {
	case n >= refusalThreshold:
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
	c := crashID{endpoint: r.Endpoint, start: r.Start}
	added := missingFrom(s.crashes[c], r.Fingerprints)
	if len(added) == 0 {
		return
	}
	if len(s.crashes[c]) == 0 {
		s.crashOrder = append(s.crashOrder, c)
	}
	s.crashes[c] = append(s.crashes[c], added...)
	counts := maps.Clone(*s.counts.Load())
	for _, f := range added {
		counts[f]++
	}
	s.evictOldest(counts)
	s.counts.Store(&counts)
}

// missingFrom returns the fingerprints in list that aren't in known, each once.
func missingFrom(known, list []knapweedpulley.Fingerprint) []knapweedpulley.Fingerprint {
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
// An agent repeats a crash in each of its reports. It is sent to the other members
// once, and again when more suspects of it are known.
func (s *Suspects) Report(ctx context.Context, r knapweedpulley.SuspectReport) {
	s.Merge(r)
	if !s.startNotification(crashID{endpoint: r.Endpoint, start: r.Start}, len(r.Fingerprints)) {
		return
	}
	self := s.group.Self().Entry
	var group sync.WaitGroup
	for _, m := range s.group.Members() {
		if m.Entry == self {
			continue
		}
		// An entry that can't be reached gets the crash from the agent's own
		// reports.
		group.Go(func() { _ = s.peer.SendSuspects(ctx, m, r) })
	}
	group.Wait()
}

// startNotification reports whether a crash with that many suspects has yet to be
// sent to the other members, and if so records it as sent.
func (s *Suspects) startNotification(c crashID, suspects int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if suspects <= s.notified[c] {
		return false
	}
	s.notified[c] = suspects
	return true
}

// evictOldest drops the oldest crashes beyond maxCrashes, and subtracts them from
// counts.
func (s *Suspects) evictOldest(counts map[knapweedpulley.Fingerprint]int) {
	for len(s.crashOrder) > maxCrashes {
		c := s.crashOrder[0]
		s.crashOrder = s.crashOrder[1:]
		for _, f := range s.crashes[c] {
			counts[f]--
			if counts[f] == 0 {
				delete(counts, f)
			}
		}
		delete(s.crashes, c)
		delete(s.notified, c)
	}
}
