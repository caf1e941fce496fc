package membership

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
)

func newMembers(ids ...knapweedpulley.EntryID) []knapweedpulley.Member {
	var members []knapweedpulley.Member
	for _, id := range ids {
		members = append(members, knapweedpulley.Member{Entry: id, Incarnation: 1})
	}
	return members
}

func newStaleAnswer(sent time.Duration) answer {
	return answer{sent: knapweedpulley.Instant(sent), heartbeat: knapweedpulley.Heartbeat{Age: LeaseTime}}
}

func assertConfirmed(t *testing.T, answers map[knapweedpulley.MemberID]answer, want time.Duration) {
	t.Helper()
	is := is.New(t)
	members := newMembers("a", "b", "c", "d")
	until, ok := confirmedUntil(members[0].ID(), members, answers)
	is.True(ok) // a majority confirms
	is.Equal(until, knapweedpulley.Instant(want))
}

func assertUnconfirmed(t *testing.T, answers map[knapweedpulley.MemberID]answer) {
	t.Helper()
	members := newMembers("a", "b", "c", "d")
	_, ok := confirmedUntil(members[0].ID(), members, answers)
	is.New(t).True(!ok) // no majority confirms
}

func TestConfirmedUntil(t *testing.T) {
	ids := newMembers("a", "b", "c", "d")
	b, c, d := ids[1].ID(), ids[2].ID(), ids[3].ID()
	t.Run("the lease counts from the request of the oldest answer that the majority needs", func(t *testing.T) {
		answers := map[knapweedpulley.MemberID]answer{
			b: newStaleAnswer(time.Second), c: newStaleAnswer(3 * time.Second), d: newStaleAnswer(2 * time.Second),
		}
		assertConfirmed(t, answers, 2*time.Second+LeaseTime)
	})
	t.Run("answers short of a majority confirm nothing", func(t *testing.T) {
		assertUnconfirmed(t, map[knapweedpulley.MemberID]answer{b: newStaleAnswer(time.Second)})
	})
	t.Run("a member with fresh evidence doesn't count", func(t *testing.T) {
		fresh := newStaleAnswer(time.Second)
		fresh.heartbeat.Age = time.Second
		assertUnconfirmed(t, map[knapweedpulley.MemberID]answer{b: newStaleAnswer(time.Second), c: fresh})
	})
	t.Run("a member that knows of the eviction doesn't count", func(t *testing.T) {
		knowing := newStaleAnswer(time.Second)
		knowing.heartbeat.Evicted = []knapweedpulley.MemberID{ids[0].ID()}
		assertUnconfirmed(t, map[knapweedpulley.MemberID]answer{b: newStaleAnswer(time.Second), c: knowing})
	})
}

func TestRelayedUntil(t *testing.T) {
	own := knapweedpulley.Heartbeat{View: 3, Digest: 7, Age: LeaseTime}
	relay := func(view knapweedpulley.Revision, digest knapweedpulley.Fingerprint) (knapweedpulley.Instant, bool) {
		return relayedUntil(own, answer{
			sent:      knapweedpulley.Instant(10 * time.Second),
			heartbeat: knapweedpulley.Heartbeat{View: view, Digest: digest, Age: time.Second},
		})
	}
	t.Run("the age of the evidence is deducted", func(t *testing.T) {
		until, ok := relay(3, 7)
		is.New(t).True(ok)
		is.New(t).Equal(until, knapweedpulley.Instant(9*time.Second+LeaseTime))
	})
	t.Run("evidence of other content doesn't count", func(t *testing.T) {
		_, ok := relay(4, 7)
		is.New(t).True(!ok) // another view
		_, ok = relay(3, 8)
		is.New(t).True(!ok) // another configuration
	})
}

func TestBlocking(t *testing.T) {
	t.Run("the blocking size is the smallest that meets every majority", func(t *testing.T) {
		for n := 1; n < 20; n++ {
			is.New(t).Equal(Blocking(n)+majority(n), n+1)
		}
	})
}

func TestOwner(t *testing.T) {
	t.Run("only the subjects of a member that leaves change their owner", func(t *testing.T) {
		before := newOwnerSnapshot("a", "b", "c")
		after := newOwnerSnapshot("a", "b")
		count := make(map[knapweedpulley.EntryID]int)
		for i := range 3000 {
			subject := time.Duration(i).String()
			old, _ := before.owner(subject)
			now, _ := after.owner(subject)
			count[old.Entry]++
			if old.Entry != "c" && old != now {
				t.Fatalf("%s moved from %s to %s", subject, old.Entry, now.Entry)
			}
		}
		for id, n := range count {
			if n < 800 || n > 1200 {
				t.Errorf("%s owns %d of 3000 subjects", id, n)
			}
		}
	})
}

func newOwnerSnapshot(ids ...knapweedpulley.EntryID) *snapshot {
	var view knapweedpulley.EntryView
	for _, m := range newMembers(ids...) {
		view.Entries = append(view.Entries, knapweedpulley.RegisteredEntry{Member: m, State: knapweedpulley.EntryActive})
	}
	return newSnapshot(view, knapweedpulley.MemberID{})
}

func TestMachines(t *testing.T) {
	listing := func(sequence uint64, ids ...knapweedpulley.MachineID) knapweedpulley.MachineListing {
		l := knapweedpulley.MachineListing{Sequence: sequence}
		for _, id := range ids {
			l.Machines = append(l.Machines, knapweedpulley.Machine{ID: id})
		}
		return l
	}
	now := knapweedpulley.Instant(0)
	t.Run("a machine that was listed and no longer is has vanished", func(t *testing.T) {
		var h machineHistory
		h.record(listing(1, "a"), now)
		is.New(t).True(!h.vanished("a", now))
		h.record(listing(2), now)
		is.New(t).True(h.vanished("a", now))
	})
	t.Run("a machine that isn't listed yet has not vanished", func(t *testing.T) {
		var h machineHistory
		is.New(t).True(!h.vanished("a", now))
		h.record(listing(1), now)
		is.New(t).True(!h.vanished("a", now.Add(maxListLag)))
		is.New(t).True(h.vanished("a", now.Add(maxListLag+1)))
	})
	t.Run("an older listing is ignored", func(t *testing.T) {
		var h machineHistory
		h.record(listing(2, "a"), now)
		h.record(listing(1), now)
		is.New(t).True(!h.vanished("a", now))
	})
}

func BenchmarkOwner(b *testing.B) {
	s := newOwnerSnapshot("a", "b", "c", "d", "e", "f", "g", "h")
	b.ReportAllocs()
	for b.Loop() {
		s.owner("iturralde")
	}
}
