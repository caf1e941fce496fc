package endpoint_test

import (
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/endpoint"
)

const sound = deadly + 1

// shrinkingGroup is a group that members can leave.
type shrinkingGroup struct{ members []knapweedpulley.Member }

// groupMember is a shrinkingGroup as seen from one of its members.
type groupMember struct {
	*shrinkingGroup
	self knapweedpulley.Member
}

func (g groupMember) Self() knapweedpulley.Member      { return g.self }
func (g groupMember) Members() []knapweedpulley.Member { return g.members }

// reportCrash reports to one entry that an endpoint crashed with prompt parts.
func reportCrash(t *testing.T, s *endpoint.Suspects, id int, parts ...knapweedpulley.PartFingerprint) {
	t.Helper()
	s.Report(t.Context(), knapweedpulley.SuspectReport{
		Endpoint: knapweedpulley.EndpointID(strconv.Itoa(id)), Start: 1, Parts: parts,
	})
}

// restartOne replaces entry one by a new run of it.
func (f *promptFleet) restartOne() {
	f.members = append([]knapweedpulley.Member(nil), f.members...)
	f.members[0].Incarnation++
	f.one = newSuspects(changingGroup{0, &f.members}, f)
	f.peers["one"] = f.one
}

// sync syncs both entries.
func (f *promptFleet) sync(t *testing.T) {
	t.Helper()
	f.one.Sync(t.Context())
	f.two.Sync(t.Context())
}

// assertServedAgain asserts that both entries serve a part in the end if engines answer it.
func assertServedAgain(t *testing.T, f *promptFleet, p knapweedpulley.PartFingerprint) {
	t.Helper()
	parts := []knapweedpulley.PartFingerprint{p}
	for range 600 {
		for _, s := range []*endpoint.Suspects{f.one, f.two} {
			if !s.IsRefused(p) || s.TryProbe(parts) {
				s.RecordAnswer(0, parts)
			}
		}
		f.sync(t)
		time.Sleep(time.Second)
	}
	assertRefused(t, f, p, false)
}

// arrivals counts the requests with a part that reach endpoints within an hour, each of which
// crashes one.
func arrivals(t *testing.T, f *promptFleet, p knapweedpulley.PartFingerprint, entries ...*endpoint.Suspects) int {
	t.Helper()
	n := 0
	for range 3600 {
		for _, s := range entries {
			if !s.IsRefused(p) || s.TryProbe([]knapweedpulley.PartFingerprint{p}) {
				n++
				f.crashes++
				reportCrash(t, s, f.crashes, p)
			}
			s.Sync(t.Context())
		}
		time.Sleep(time.Second)
	}
	return n
}

func TestPartRefusedInErrorIsServedAgain(t *testing.T) {
	// Only the first entry sent probes, and it got no request with the part.
	inBubble("a part that is requested only at an entry that isn't the first", t, func(t *testing.T, f *promptFleet) {
		f.crashUntilRefused(t)
		parts := []knapweedpulley.PartFingerprint{deadly}
		for range 60 {
			if !f.two.IsRefused(deadly) || f.two.TryProbe(parts) {
				f.two.RecordAnswer(0, parts)
			}
			f.sync(t)
			time.Sleep(time.Second)
		}
		assertRefused(t, f, deadly, false)
	})
	inBubble("a part that a cut off entry refused", t, func(t *testing.T, f *promptFleet) {
		f.cut = true
		for i := range 3 {
			reportCrash(t, f.one, i, deadly)
			reportCrash(t, f.two, i, sound)
			time.Sleep(time.Second)
		}
		time.Sleep(3 * time.Second)
		f.sync(t)
		f.cut = false
		assertServedAgain(t, f, sound)
	})
	inBubble("a part that was refused before the first entry restarted", t, func(t *testing.T, f *promptFleet) {
		for i := range 3 {
			reportCrash(t, f.one, i, sound)
			time.Sleep(time.Second)
		}
		time.Sleep(3 * time.Second)
		f.sync(t)
		assertRefused(t, f, sound, true)
		f.restartOne()
		f.two.Sync(t.Context())
		assertRefused(t, f, sound, true)
		assertServedAgain(t, f, sound)
	})
	inBubble("a part whose refusal ended after another entry had learned what was known", t, func(t *testing.T, f *promptFleet) {
		for i := range 3 {
			reportCrash(t, f.one, i, sound)
			time.Sleep(time.Second)
		}
		f.restartTwo(t)
		for i := range 4 {
			reportCrash(t, f.one, i, deadly)
		}
		is.New(t).True(!f.one.IsRefused(sound))
		f.sync(t)
		assertRefused(t, f, sound, false)
	})
	inBubble("a part that was answered while an entry was cut off", t, func(t *testing.T, f *promptFleet) {
		for i := range 5 {
			reportCrash(t, f.one, i, deadly, sound)
			time.Sleep(time.Second)
		}
		f.sync(t)
		f.cut = true
		time.Sleep(time.Second)
		is.New(t).True(f.one.TryProbe([]knapweedpulley.PartFingerprint{sound}))
		f.one.RecordAnswer(0, []knapweedpulley.PartFingerprint{sound})
		f.sync(t)
		time.Sleep(time.Minute)
		f.sync(t)
		f.cut = false
		f.sync(t)
		assertRefused(t, f, sound, false)
		assertRefused(t, f, deadly, true)
	})
	inBubble("a part whose refusal arrives after its answer", t, func(t *testing.T, f *promptFleet) {
		f.crashUntilRefused(t)
		f.one.RecordAnswer(0, []knapweedpulley.PartFingerprint{deadly})
		f.sync(t)
		late := knapweedpulley.SuspectReport{PartStates: []knapweedpulley.PartState{{Part: deadly, Round: 1}}}
		f.two.Merge(late)
		f.one.Merge(late)
		assertRefused(t, f, deadly, false)
	})
	inBubble("an entry that still refuses a part is told of its answer", t, func(t *testing.T, f *promptFleet) {
		f.crashUntilRefused(t)
		f.one.RecordAnswer(0, []knapweedpulley.PartFingerprint{deadly})
		f.sync(t)
		f.two = newSuspects(changingGroup{1, &f.members}, f)
		f.peers["two"] = f.two
		f.two.Merge(knapweedpulley.SuspectReport{PartStates: []knapweedpulley.PartState{{Part: deadly, Round: 1}}})
		is.New(t).True(f.two.IsRefused(deadly))
		f.two.Sync(t.Context())
		f.one.Sync(t.Context())
		assertRefused(t, f, deadly, false)
	})
}

func TestDeadlyPartIsRefusedEverywhere(t *testing.T) {
	inBubble("a part at an entry that was cut off until shortly after the refusal", t, func(t *testing.T, f *promptFleet) {
		f.cut = true
		for i := range 5 {
			reportCrash(t, f.one, i, deadly, sound)
			time.Sleep(time.Second)
		}
		f.one.RecordAnswer(0, []knapweedpulley.PartFingerprint{sound})
		f.cut = false
		f.sync(t)
		time.Sleep(2 * time.Second)
		f.sync(t)
		assertRefused(t, f, deadly, true)
		assertRefused(t, f, sound, false)
	})
	inBubble("a part that crashes endpoints after its answer", t, func(t *testing.T, f *promptFleet) {
		f.crashUntilRefused(t)
		f.one.RecordAnswer(0, []knapweedpulley.PartFingerprint{deadly})
		f.sync(t)
		assertRefused(t, f, deadly, false)
		f.crashUntilRefused(t)
		time.Sleep(3 * time.Second)
		f.sync(t)
		assertRefused(t, f, deadly, true)
		f.restartTwo(t)
		assertRefused(t, f, deadly, true)
	})
}

func TestProbesOfAllEntries(t *testing.T) {
	inBubble("the entry that comes first when the first one leaves goes on with its count", t, func(t *testing.T, f *promptFleet) {
		group := &shrinkingGroup{members: pair}
		f.one, f.two = newSuspects(groupMember{group, pair[0]}, f), newSuspects(groupMember{group, pair[1]}, f)
		f.peers["one"], f.peers["two"] = f.one, f.two
		f.crashUntilRefused(t)
		n := arrivals(t, f, deadly, f.one, f.two)
		group.members = pair[1:]
		n += arrivals(t, f, deadly, f.two)
		is.New(t).True(n <= 3)
	})
	inBubble("an entry that restarts after each probe doesn't count anew", t, func(t *testing.T, f *promptFleet) {
		f.crashUntilRefused(t)
		n := 0
		for range 5 {
			n += arrivals(t, f, deadly, f.one, f.two)
			f.restartOne()
			f.two.Sync(t.Context())
		}
		is.New(t).True(n <= 3)
	})
}

func TestReturnedProbe(t *testing.T) {
	inBubble("one probe that didn't run is made up for, and no more", t, func(t *testing.T, f *promptFleet) {
		f.crashUntilRefused(t)
		probes := 0
		for range 3600 {
			if f.one.TryProbe([]knapweedpulley.PartFingerprint{system, deadly}) {
				probes++
				f.one.ReturnProbe([]knapweedpulley.PartFingerprint{system, deadly})
			}
			f.sync(t)
			time.Sleep(time.Second)
		}
		is.New(t).Equal(probes, 3)
	})
}

func TestConcurrentReports(t *testing.T) {
	p := peers{}
	entries := []*endpoint.Suspects{newSuspects(pairMembership{0}, p), newSuspects(pairMembership{1}, p)}
	p["one"], p["two"] = entries[0], entries[1]
	var group sync.WaitGroup
	for w := range 8 {
		group.Go(func() {
			for i := range 100 {
				s := entries[(w+i)%2]
				part := knapweedpulley.PartFingerprint(i % 17)
				reportCrash(t, s, w*1000+i, part, sound)
				_ = s.IsRefused(part)
				_ = s.TryProbe([]knapweedpulley.PartFingerprint{part, sound})
				s.RecordAnswer(knapweedpulley.Fingerprint(i), []knapweedpulley.PartFingerprint{part})
				s.Sync(t.Context())
			}
		})
	}
	group.Wait()
}
