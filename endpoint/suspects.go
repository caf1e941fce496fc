package endpoint

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/apex/log"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// refusalThreshold is the number of crashes after which content that ran at
	// each of them is refused.
	refusalThreshold = 2
	// maxCrashes bounds the number of crashes that are kept. The oldest are
	// dropped first.
	maxCrashes = 512
	// maxWeighedCrashes is the number of last crashes from which prompt parts are judged.
	maxWeighedCrashes = 64
	// maxRefusedParts bounds the refused prompt parts. The oldest are dropped first.
	maxRefusedParts = 256
	// maxPartStates bounds the prompt parts whose states are kept. The oldest are dropped first.
	maxPartStates = 1024
)

// SuspectOptions holds the dependencies of a list of suspects.
type SuspectOptions struct {
	Group knapweedpulley.Group
	Peer  knapweedpulley.SuspectPeer
	Clock knapweedpulley.Clock
	Log   log.Interface
}

// suspectView is what requests read of the list of suspects. It isn't changed once it
// is published.
type suspectView struct {
	// contents counts the crashes that are held against each content.
	contents map[knapweedpulley.Fingerprint]int
	// parts are the prompt parts that are suspects of a crash, or refused.
	parts   knapweedpulley.Set[knapweedpulley.PartFingerprint]
	refused map[knapweedpulley.PartFingerprint]*refusedPart
	// refusedContents are keyed by contentKey.
	refusedContents map[knapweedpulley.PartFingerprint]*refusedPart
}

// Suspects implements knapweedpulley.PromptSuspectList. Reports are merged by their
// crash, so their order and repetitions don't matter.
//
// A prompt part that crashes engines is found by elimination: it is a suspect of many
// crashes, and no request with it is ever answered. Once it is refused, its crashes are
// held against no other part or content.
type Suspects struct {
	SuspectOptions
	view    atomic.Pointer[suspectView]
	history partHistory
	// probeRequested is set while the member waits for the answer to a request for a probe.
	// The next request is sent from nextProbeRequest on.
	probeRequested   atomic.Bool
	nextProbeRequest atomic.Int64
	// mu guards the fields below. Requests read view without it.
	mu         sync.Mutex
	crashes    map[crashID]*crash
	crashOrder []crashID
	refused    map[knapweedpulley.PartFingerprint]*refusedPart
	// refusedContents are keyed by contentKey, as their states are.
	refusedContents map[knapweedpulley.PartFingerprint]*refusedPart
	// contentProbes are the probes of this member whose results aren't known yet.
	contentProbes map[knapweedpulley.Fingerprint]contentProbe
	states        *partStates
	// notified holds, for each crash, the number of suspects that were known when a
	// report was last sent to the other members. A later report can name more suspects.
	notified map[crashID]int
	// answered and the changes in states are what the other members haven't been told of yet.
	answered knapweedpulley.SuspectReport
	// synced are the members that have got all that they need to know.
	synced knapweedpulley.Set[knapweedpulley.MemberID]
}

// NewSuspects returns an empty list that sends reported crashes to the other
// members of the group.
func NewSuspects(o SuspectOptions) *Suspects {
	s := &Suspects{
		SuspectOptions: o,
		crashes:        make(map[crashID]*crash),
		refused:        make(map[knapweedpulley.PartFingerprint]*refusedPart),
		contentProbes:  make(map[knapweedpulley.Fingerprint]contentProbe),
		states:         newPartStates(),
		notified:       make(map[crashID]int),
		synced:         make(knapweedpulley.Set[knapweedpulley.MemberID]),
	}
	s.publish()
	return s
}

// State implements knapweedpulley.SuspectList.
func (s *Suspects) State(f knapweedpulley.Fingerprint) knapweedpulley.SuspectState {
	switch n := s.view.Load().contents[f]; {
	case n >= refusalThreshold:
		return knapweedpulley.SuspectRefuse
	case n > 0:
		return knapweedpulley.SuspectIsolate
	default:
		return knapweedpulley.SuspectNone
	}
}

// IsRefused implements knapweedpulley.PromptSuspectList.
func (s *Suspects) IsRefused(p knapweedpulley.PartFingerprint) bool {
	return s.view.Load().refused[p] != nil
}

// TryProbe implements knapweedpulley.PromptSuspectList.
func (s *Suspects) TryProbe(parts []knapweedpulley.PartFingerprint) bool {
	refused, now := s.refusedOf(parts), s.Clock.Now()
	return s.mayProbeParts(refused, now) && s.obtainProbe(knapweedpulley.ProbeRequest{Parts: slices.Collect(maps.Keys(refused))})
}

// ReturnProbe implements knapweedpulley.PromptSuspectList.
func (s *Suspects) ReturnProbe(parts []knapweedpulley.PartFingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range parts {
		if r := s.refused[p]; r != nil && s.states.returnProbe(p, maxReturnedProbes) {
			r.probes.Store(s.states.countedProbes(p))
		}
	}
}

// MayProbe implements knapweedpulley.PromptSuspectList.
func (s *Suspects) MayProbe(parts []knapweedpulley.PartFingerprint) bool {
	return s.mayProbeParts(s.refusedOf(parts), s.Clock.Now())
}

func (s *Suspects) mayProbeParts(refused map[knapweedpulley.PartFingerprint]*refusedPart, now knapweedpulley.Instant) bool {
	return len(refused) > 0 && mayProbe(refused, now) && s.mayRequestProbe(now)
}

// refusedOf returns the parts that are refused.
func (s *Suspects) refusedOf(parts []knapweedpulley.PartFingerprint) map[knapweedpulley.PartFingerprint]*refusedPart {
	known := s.view.Load().refused
	refused := make(map[knapweedpulley.PartFingerprint]*refusedPart)
	for _, p := range parts {
		if r := known[p]; r != nil {
			refused[p] = r
		}
	}
	return refused
}

// RecordAnswer implements knapweedpulley.PromptSuspectList.
func (s *Suspects) RecordAnswer(f knapweedpulley.Fingerprint, parts []knapweedpulley.PartFingerprint) {
	v := s.view.Load()
	answered := knapweedpulley.SuspectReport{}
	if v.contents[f] > 0 {
		answered.AnsweredContents = append(answered.AnsweredContents, f)
	}
	for _, p := range parts {
		s.history.add(p)
		if v.parts.Has(p) {
			answered.AnsweredParts = append(answered.AnsweredParts, p)
		}
	}
	if len(answered.AnsweredContents) == 0 && len(answered.AnsweredParts) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.clear(answered) {
		s.answered.AnsweredContents = append(s.answered.AnsweredContents, answered.AnsweredContents...)
		s.answered.AnsweredParts = append(s.answered.AnsweredParts, answered.AnsweredParts...)
		s.update()
	}
}

// Merge implements knapweedpulley.SuspectMerger.
func (s *Suspects) Merge(r knapweedpulley.SuspectReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.merge(r) {
		s.update()
	}
}

// merge adds a report and reports whether the prompt parts have to be judged anew.
func (s *Suspects) merge(r knapweedpulley.SuspectReport) bool {
	changed, cleared, added := s.mergeStates(r.PartStates), s.clear(r), s.addCrash(r)
	return changed || cleared || added
}

// addCrash adds the suspects of a crash and reports whether one of them is new.
func (s *Suspects) addCrash(r knapweedpulley.SuspectReport) bool {
	if len(r.Fingerprints) == 0 && len(r.Parts) == 0 {
		return false
	}
	id := crashID{endpoint: r.Endpoint, start: r.Start}
	c := s.crashes[id]
	if c == nil {
		c = newCrash(s.Clock.Now().Add(-max(0, r.Age)))
		s.crashes[id] = c
		// The crashes that another member tells of may be older than those known here.
		i := len(s.crashOrder)
		for i > 0 && s.crashes[s.crashOrder[i-1]].at > c.at {
			i--
		}
		s.crashOrder = slices.Insert(s.crashOrder, i, id)
		s.evictOldest()
	}
	return c.add(r)
}

// clear removes contents and parts that were answered from the suspects, and reports
// whether one of them was a suspect.
func (s *Suspects) clear(r knapweedpulley.SuspectReport) bool {
	cleared := false
	for _, c := range s.crashes {
		for _, f := range r.AnsweredContents {
			if c.contents[f] {
				c.contents[f], cleared = false, true
			}
		}
		for _, p := range r.AnsweredParts {
			if c.parts[p] {
				c.parts[p], cleared = false, true
			}
		}
	}
	for _, p := range r.AnsweredParts {
		if s.refused[p] != nil {
			s.logAnswered(p)
			delete(s.refused, p)
			s.states.recordAnswer(p)
			cleared = true
		}
	}
	return cleared
}

func (s *Suspects) logAnswered(p knapweedpulley.PartFingerprint) {
	s.Log.WithField("part", p.String()).Info("prompt part was answered; no longer refusing it")
}

// mergeStates merges the states that another member holds and reports whether one of
// them replaces what is known here.
func (s *Suspects) mergeStates(states []knapweedpulley.PartState) bool {
	now := s.Clock.Now()
	changed := false
	for _, st := range states {
		p := st.Part
		later := s.states.merge(st)
		r := s.refused[p]
		switch {
		case later && !st.IsRefused():
			if r != nil {
				s.logAnswered(p)
			}
			delete(s.refused, p)
			s.clear(knapweedpulley.SuspectReport{AnsweredParts: []knapweedpulley.PartFingerprint{p}})
		case later && r == nil:
			s.refused[p] = newAdoptedPart(now, s.states.countedProbes(p))
		case later:
			r.adopted = true
		}
		s.setCountedProbes(p, now)
		changed = changed || later
	}
	return changed
}

// settle records the refusals that only an answer can end from now on, and the results of
// probes, for the other members. A refusal that other evidence may still end isn't sent to them.
func (s *Suspects) settle() {
	now := s.Clock.Now()
	for p, r := range s.refused {
		if r.isSettled(now) {
			s.states.refuse(p)
		}
	}
	s.settleContentProbes()
}

// settled returns the refused parts that the other members are told of.
func (s *Suspects) settled() map[knapweedpulley.PartFingerprint]*refusedPart {
	settled := make(map[knapweedpulley.PartFingerprint]*refusedPart, len(s.refused))
	for p, r := range s.refused {
		if s.states.byPart[p].IsRefused() {
			settled[p] = r
		}
	}
	return settled
}

// update judges the prompt parts anew and publishes the result. A crash is reported by
// several members one after the other, so that a later report can show that a part was
// refused in error.
func (s *Suspects) update() {
	now := s.Clock.Now()
	refused := make(map[knapweedpulley.PartFingerprint]*refusedPart, len(s.refused))
	for p, r := range s.refused {
		if r.isSettled(now) {
			refused[p] = r
		}
	}
	for {
		parts, crashes := s.strongestSuspects(refused)
		if len(parts) == 0 {
			break
		}
		for _, p := range parts {
			if refused[p] = s.refused[p]; refused[p] == nil {
				refused[p] = newRefusedPart(now, len(parts) > 1, s.states.countedProbes(p))
				s.Log.WithField("part", p.String()).WithField("crashes", crashes).
					Warn("endpoints crashed on a prompt part and answered no request with it; refusing it")
			}
		}
	}
	for p := range s.refused {
		if refused[p] == nil {
			s.Log.WithField("part", p.String()).Info("another prompt part explains the crashes; no longer refusing this one")
		}
	}
	s.refused = refused
	s.evictOldestRefused()
	s.publish()
}

// strongestSuspects returns the part that is a suspect of most crashes that the refused
// parts don't explain, among those against which the evidence is sufficient, and the
// number of these crashes. Parts that no engine has answered take precedence. Parts that
// are suspects of equally many crashes are returned together, but none of them before
// there are maxAmbiguousCrashes.
func (s *Suspects) strongestSuspects(
	refused map[knapweedpulley.PartFingerprint]*refusedPart,
) ([]knapweedpulley.PartFingerprint, int) {
	byPart := make(map[knapweedpulley.PartFingerprint]evidence)
	for _, id := range s.crashOrder[max(0, len(s.crashOrder)-maxWeighedCrashes):] {
		c := s.crashes[id]
		if c.explainedBy(refused) {
			continue
		}
		for _, p := range c.heldParts() {
			e := byPart[p]
			e.add(c.at)
			byPart[p] = e
		}
	}
	var strongest []knapweedpulley.PartFingerprint
	var best evidence
	for p, e := range byPart {
		e.answeredBefore = s.history.has(p)
		if !e.isSufficient() {
			continue
		}
		switch order := e.compare(best); {
		case len(strongest) == 0 || order > 0:
			strongest, best = []knapweedpulley.PartFingerprint{p}, e
		case order == 0:
			strongest = append(strongest, p)
		}
	}
	if len(strongest) > 1 && best.crashes < maxAmbiguousCrashes {
		return nil, 0
	}
	return strongest, best.crashes
}

// evictOldestRefused drops the oldest refused parts beyond maxRefusedParts.
func (s *Suspects) evictOldestRefused() {
	if len(s.refused) <= maxRefusedParts {
		return
	}
	bySince := slices.SortedFunc(maps.Keys(s.refused), func(p, q knapweedpulley.PartFingerprint) int {
		return cmp.Compare(s.refused[p].since, s.refused[q].since)
	})
	for _, p := range bySince[:len(bySince)-maxRefusedParts] {
		delete(s.refused, p)
		s.states.drop(p)
	}
}

// publish replaces the view of the requests.
func (s *Suspects) publish() {
	v := &suspectView{
		contents: make(map[knapweedpulley.Fingerprint]int),
		parts:    make(knapweedpulley.Set[knapweedpulley.PartFingerprint]),
		refused:  make(map[knapweedpulley.PartFingerprint]*refusedPart, len(s.refused)),
	}
	for _, c := range s.crashes {
		if c.explainedBy(s.refused) {
			continue
		}
		for _, f := range c.heldContents() {
			v.contents[f]++
		}
		for _, p := range c.heldParts() {
			v.parts.Add(p)
		}
	}
	for p, r := range s.refused {
		v.parts.Add(p)
		v.refused[p] = r
	}
	s.refuseContents(v.contents)
	v.refusedContents = s.refusedContents
	s.view.Store(v)
}

// evictOldest drops the oldest crashes beyond maxCrashes.
func (s *Suspects) evictOldest() {
	for len(s.crashOrder) > maxCrashes {
		c := s.crashOrder[0]
		s.crashOrder = slices.Delete(s.crashOrder, 0, 1)
		delete(s.crashes, c)
		delete(s.notified, c)
	}
}

// Report implements knapweedpulley.SuspectList.
// An agent repeats a crash in each of its reports. It is sent to the other members
// once, and again when more suspects of it are known.
func (s *Suspects) Report(ctx context.Context, r knapweedpulley.SuspectReport) {
	s.Merge(r)
	if !s.startNotification(crashID{endpoint: r.Endpoint, start: r.Start}) {
		return
	}
	var group sync.WaitGroup
	for _, m := range s.otherMembers() {
		group.Go(func() { s.send(ctx, m, r) })
	}
	group.Wait()
}

// startNotification reports whether a crash has suspects that have yet to be sent to the
// other members, and if so records them as sent. Two reports of a crash can name equally
// many suspects and not the same ones.
func (s *Suspects) startNotification(id crashID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.crashes[id]
	if c == nil || len(c.contents)+len(c.parts) <= s.notified[id] {
		return false
	}
	s.notified[id] = len(c.contents) + len(c.parts)
	return true
}
