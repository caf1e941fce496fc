package endpoint_test

import (
	"context"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/endpoint"
)

const (
	deadly knapweedpulley.PartFingerprint = 13
	system knapweedpulley.PartFingerprint = 1
)

// unreliablePeers are peers that can't be reached while cut is set. They answer requests for probes
// after a delay.
type unreliablePeers struct {
	peers
	cut   bool
	delay time.Duration
}

func (u *unreliablePeers) SendSuspects(ctx context.Context, to knapweedpulley.Member, r knapweedpulley.SuspectReport) error {
	if u.cut {
		return errors.New("peer is cut off")
	}
	return u.peers.SendSuspects(ctx, to, r)
}

func (u *unreliablePeers) RequestProbe(ctx context.Context, to knapweedpulley.Member, r knapweedpulley.ProbeRequest) (bool, error) {
	if u.cut {
		return false, errors.New("peer is cut off")
	}
	time.Sleep(u.delay)
	return u.peers.RequestProbe(ctx, to, r)
}

// changingGroup is a group whose members can restart.
type changingGroup struct {
	self    int
	members *[]knapweedpulley.Member
}

func (g changingGroup) Self() knapweedpulley.Member      { return (*g.members)[g.self] }
func (g changingGroup) Members() []knapweedpulley.Member { return *g.members }

// promptFleet has two entry processes. Its endpoints crash on request.
type promptFleet struct {
	*unreliablePeers
	one, two *endpoint.Suspects
	members  []knapweedpulley.Member
	crashes  int
}

func newPromptFleet() *promptFleet {
	f := &promptFleet{unreliablePeers: &unreliablePeers{peers: peers{}}, members: slices.Clone(pair)}
	f.one = newSuspects(changingGroup{0, &f.members}, f)
	f.two = newSuspects(changingGroup{1, &f.members}, f)
	f.peers["one"], f.peers["two"] = f.one, f.two
	return f
}

// restartTwo replaces entry two by a new run of it, and syncs entry one.
func (f *promptFleet) restartTwo(t *testing.T) {
	t.Helper()
	f.members = slices.Clone(f.members)
	f.members[1].Incarnation++
	f.two = newSuspects(changingGroup{1, &f.members}, f)
	f.peers["two"] = f.two
	f.one.Sync(t.Context())
}

// crash reports to entry one that an endpoint crashed with a content and prompt parts.
func (f *promptFleet) crash(t *testing.T, content knapweedpulley.Fingerprint, parts ...knapweedpulley.PartFingerprint) {
	t.Helper()
	f.crashes++
	f.one.Report(t.Context(), knapweedpulley.SuspectReport{
		Endpoint: knapweedpulley.EndpointID(strconv.Itoa(f.crashes)), Start: 1,
		Fingerprints: []knapweedpulley.Fingerprint{content}, Parts: parts,
	})
}

// crashUntilRefused has a part crash endpoints as often as it takes to have it refused.
func (f *promptFleet) crashUntilRefused(t *testing.T) {
	t.Helper()
	for i := range knapweedpulley.Fingerprint(5) {
		f.crash(t, 100+i, system, deadly)
		f.one.RecordAnswer(0, []knapweedpulley.PartFingerprint{system})
		time.Sleep(time.Second)
	}
	f.one.Sync(t.Context())
}

func assertRefused(t *testing.T, f *promptFleet, p knapweedpulley.PartFingerprint, want bool) {
	t.Helper()
	is.New(t).Equal(f.one.IsRefused(p), want)
	is.New(t).Equal(f.two.IsRefused(p), want)
}

// inBubble runs a subtest in virtual time.
func inBubble(name string, t *testing.T, f func(t *testing.T, fleet *promptFleet)) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { f(t, newPromptFleet()) })
	})
}

func TestPromptParts(t *testing.T) {
	inBubble("a part that ran at all crashes and was never answered is refused at each entry", t, func(t *testing.T, f *promptFleet) {
		f.crashUntilRefused(t)
		assertRefused(t, f, deadly, true)
		assertRefused(t, f, system, false)
	})
	inBubble("parts that ran at crashes at the same time are not refused", t, func(t *testing.T, f *promptFleet) {
		for i := range knapweedpulley.Fingerprint(20) {
			f.crash(t, i, system)
		}
		assertRefused(t, f, system, false)
	})
	inBubble("a part that is answered between crashes is not refused", t, func(t *testing.T, f *promptFleet) {
		for i := range knapweedpulley.Fingerprint(20) {
			f.crash(t, i, system)
			time.Sleep(time.Second)
			f.two.RecordAnswer(0, []knapweedpulley.PartFingerprint{system})
			f.two.Sync(t.Context())
		}
		assertRefused(t, f, system, false)
	})
	inBubble("a part that was answered earlier is refused once it crashes endpoints", t, func(t *testing.T, f *promptFleet) {
		f.one.RecordAnswer(0, []knapweedpulley.PartFingerprint{deadly})
		f.two.RecordAnswer(0, []knapweedpulley.PartFingerprint{deadly})
		f.crashUntilRefused(t)
		assertRefused(t, f, deadly, true)
	})
	inBubble("a refused part that an engine answers is no longer refused at any entry", t, func(t *testing.T, f *promptFleet) {
		f.crashUntilRefused(t)
		f.two.RecordAnswer(0, []knapweedpulley.PartFingerprint{deadly})
		f.two.Sync(t.Context())
		assertRefused(t, f, deadly, false)
	})
	inBubble("crashes that a refused part explains are held against no other content or part", t, func(t *testing.T, f *promptFleet) {
		f.crash(t, 7, deadly)
		f.crash(t, 7, deadly)
		assertState(t, f.one, 7, knapweedpulley.SuspectRefuse)
		f.crashUntilRefused(t)
		for range 5 {
			f.crash(t, 7, system, deadly)
			time.Sleep(time.Second)
		}
		assertState(t, f.one, 7, knapweedpulley.SuspectNone)
		assertState(t, f.two, 7, knapweedpulley.SuspectNone)
		assertRefused(t, f, system, false)
	})
	inBubble("a second part that crashes endpoints is refused as well", t, func(t *testing.T, f *promptFleet) {
		f.crashUntilRefused(t)
		for i := range knapweedpulley.Fingerprint(5) {
			f.crash(t, 200+i, deadly+1)
			time.Sleep(time.Second)
		}
		assertRefused(t, f, deadly, true)
		assertRefused(t, f, deadly+1, true)
	})
}

func TestAnsweredContentIsServed(t *testing.T) {
	inBubble("content that ran at two crashes and was answered since is not suspected", t, func(t *testing.T, f *promptFleet) {
		f.crash(t, 7)
		f.crash(t, 7)
		assertState(t, f.two, 7, knapweedpulley.SuspectRefuse)
		f.one.RecordAnswer(7, nil)
		f.one.Sync(t.Context())
		assertState(t, f.one, 7, knapweedpulley.SuspectNone)
		assertState(t, f.two, 7, knapweedpulley.SuspectNone)
	})
}

func TestRefusedPartsOutliveRestartsAndCuts(t *testing.T) {
	inBubble("an entry that has just started learns the refused parts", t, func(t *testing.T, f *promptFleet) {
		f.crashUntilRefused(t)
		f.restartTwo(t)
		assertRefused(t, f, deadly, true)
	})
	inBubble("an entry that was cut off learns the refused parts", t, func(t *testing.T, f *promptFleet) {
		f.cut = true
		f.crashUntilRefused(t)
		is.New(t).True(!f.two.IsRefused(deadly))
		f.cut = false
		f.one.Sync(t.Context())
		assertRefused(t, f, deadly, true)
	})
	inBubble("an entry that was cut off learns which parts were answered", t, func(t *testing.T, f *promptFleet) {
		f.crash(t, 1, system)
		f.cut = true
		f.one.RecordAnswer(0, []knapweedpulley.PartFingerprint{system})
		f.one.Sync(t.Context())
		f.cut = false
		f.one.Sync(t.Context())
		for i := range knapweedpulley.Fingerprint(2) {
			time.Sleep(time.Second)
			f.crash(t, 2+i, system)
		}
		assertRefused(t, f, system, false)
	})
}

func TestSyncSendsNothingAtRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &countingPeers{peers: peers{}}
		one := newSuspects(pairMembership{0}, p)
		p.peers["two"] = newSuspects(pairMembership{1}, p)
		one.Sync(t.Context())
		is.New(t).Equal(p.sent, 0)
		one.Report(t.Context(), knapweedpulley.SuspectReport{
			Endpoint: "e", Start: 1, Parts: []knapweedpulley.PartFingerprint{system},
		})
		one.RecordAnswer(0, []knapweedpulley.PartFingerprint{system})
		one.Sync(t.Context())
		sent := p.sent
		for range 10 {
			one.Sync(t.Context())
		}
		is.New(t).Equal(p.sent, sent)
	})
}

func TestProbes(t *testing.T) {
	inBubble("all entries together send two probes of a refused part", t, func(t *testing.T, f *promptFleet) {
		f.crashUntilRefused(t)
		probes := 0
		for range 3600 {
			for _, s := range []*endpoint.Suspects{f.two, f.one} {
				if s.TryProbe([]knapweedpulley.PartFingerprint{system, deadly}) {
					probes++
				}
			}
			time.Sleep(time.Second)
		}
		is.New(t).Equal(probes, 2)
	})
	inBubble("an entry that can't reach the first one sends no probe", t, func(t *testing.T, f *promptFleet) {
		f.crashUntilRefused(t)
		f.cut = true
		for range 3600 {
			is.New(t).True(!f.two.TryProbe([]knapweedpulley.PartFingerprint{system, deadly}))
			time.Sleep(time.Second)
		}
	})
	inBubble("an entry that learns late of its permission sends no probe", t, func(t *testing.T, f *promptFleet) {
		f.crashUntilRefused(t)
		time.Sleep(10 * time.Second)
		f.delay = 2 * time.Second
		is.New(t).True(!f.two.TryProbe([]knapweedpulley.PartFingerprint{system, deadly}))
	})
	inBubble("the second probe waits however late the first one came", t, func(t *testing.T, f *promptFleet) {
		f.crashUntilRefused(t)
		time.Sleep(time.Hour)
		is.New(t).True(f.one.TryProbe([]knapweedpulley.PartFingerprint{system, deadly}))
		time.Sleep(30 * time.Second)
		is.New(t).True(!f.one.TryProbe([]knapweedpulley.PartFingerprint{system, deadly}))
		time.Sleep(time.Minute)
		is.New(t).True(f.one.TryProbe([]knapweedpulley.PartFingerprint{system, deadly}))
	})
	inBubble("a part that can't be told apart from another is probed sooner", t, func(t *testing.T, f *promptFleet) {
		for i := range knapweedpulley.Fingerprint(5) {
			f.crash(t, i, deadly, deadly+1)
			time.Sleep(time.Second)
		}
		is.New(t).True(f.one.TryProbe([]knapweedpulley.PartFingerprint{system, deadly}))
		is.New(t).True(f.one.TryProbe([]knapweedpulley.PartFingerprint{system, deadly + 1}))
		is.New(t).True(!f.one.TryProbe([]knapweedpulley.PartFingerprint{system, deadly}))
	})
	inBubble("parts that only occur together are probed together", t, func(t *testing.T, f *promptFleet) {
		for i := range knapweedpulley.Fingerprint(5) {
			f.crash(t, i, deadly, deadly+1)
			time.Sleep(time.Second)
		}
		both := []knapweedpulley.PartFingerprint{deadly, deadly + 1}
		is.New(t).True(!f.one.TryProbe(both))
		time.Sleep(time.Minute)
		is.New(t).True(f.one.TryProbe(both))
		is.New(t).True(!f.one.TryProbe(both))
	})
	inBubble("a part that isn't refused is not probed", t, func(t *testing.T, f *promptFleet) {
		is.New(t).True(!f.one.TryProbe([]knapweedpulley.PartFingerprint{system, deadly}))
	})
}

func TestManyPromptParts(t *testing.T) {
	inBubble("a crash with thousands of parts leaves the list in working order", t, func(t *testing.T, f *promptFleet) {
		parts := make([]knapweedpulley.PartFingerprint, 0, 10000)
		for i := range knapweedpulley.PartFingerprint(5000) {
			parts = append(parts, 1000+i, 1000+i)
		}
		f.crash(t, 1, parts...)
		f.crashUntilRefused(t)
		assertRefused(t, f, deadly, true)
	})
	inBubble("of more refused parts than the list holds the latest stay", t, func(t *testing.T, f *promptFleet) {
		for p := range knapweedpulley.PartFingerprint(300) {
			f.one.Merge(knapweedpulley.SuspectReport{PartStates: []knapweedpulley.PartState{{Part: 1000 + p, Round: 1}}})
			time.Sleep(time.Second)
		}
		is.New(t).True(!f.one.IsRefused(1000))
		is.New(t).True(f.one.IsRefused(1299))
	})
}

func TestPartsThatRanBesideTheDeadlyOneAreServed(t *testing.T) {
	const bystander = deadly + 1
	inBubble("a report that comes late releases a part that was refused in error", t, func(t *testing.T, f *promptFleet) {
		report := func(s *endpoint.Suspects, id knapweedpulley.EndpointID, part knapweedpulley.PartFingerprint) {
			s.Report(t.Context(), knapweedpulley.SuspectReport{
				Endpoint: id, Start: 1, Parts: []knapweedpulley.PartFingerprint{part},
			})
		}
		report(f.two, "0", deadly)
		ids := []knapweedpulley.EndpointID{"1", "2", "3"}
		for _, id := range ids {
			time.Sleep(time.Second)
			report(f.one, id, bystander)
		}
		assertRefused(t, f, bystander, true)
		for _, id := range ids {
			report(f.two, id, deadly)
		}
		assertRefused(t, f, deadly, true)
		assertRefused(t, f, bystander, false)
	})
	inBubble("parts that can't be told apart are refused together after five crashes", t, func(t *testing.T, f *promptFleet) {
		for i := range knapweedpulley.Fingerprint(4) {
			f.crash(t, i, deadly, bystander)
			time.Sleep(time.Second)
		}
		assertRefused(t, f, deadly, false)
		f.crash(t, 5, deadly, bystander)
		assertRefused(t, f, deadly, true)
		assertRefused(t, f, bystander, true)
		f.one.RecordAnswer(0, []knapweedpulley.PartFingerprint{bystander})
		f.one.Sync(t.Context())
		assertRefused(t, f, deadly, true)
		assertRefused(t, f, bystander, false)
	})
}
