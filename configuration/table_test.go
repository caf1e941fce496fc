package configuration

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
)

// increment is the changes of a table between two revisions.
type increment struct {
	from, to knapweedpulley.Revision
	changes  []knapweedpulley.ConfigurationChange
}

// history returns changes of a few objects, including removals.
func history(random *rand.Rand, length int) []knapweedpulley.Change {
	var changes []knapweedpulley.Change
	alive := map[string]bool{}
	for r := range length {
		name := fmt.Sprintf("object-%d", random.IntN(5))
		c := knapweedpulley.Change{Object: knapweedpulley.Object{Name: name, Revision: knapweedpulley.Revision(r + 1)}}
		c.Value = fmt.Appendf(bytes.Repeat([]byte("x"), 2*minPatchSaving), "%d%0*d", random.IntN(100), random.IntN(9), r)
		c.Deleted = alive[name] && random.IntN(2) == 0
		alive[name] = !c.Deleted
		changes = append(changes, c)
	}
	return changes
}

// loadedTable returns a table with the content after the first n changes.
func loadedTable(changes []knapweedpulley.Change, n int) *Table {
	t := newTable(Collection{Kind: knapweedpulley.KindPermits, Apply: func([]knapweedpulley.Change) {}})
	t.Replace(nil, 0, Evidence{CompleteAsOf: 1})
	if n > 0 {
		t.Advance(0, withFullValues(changes[:n]), knapweedpulley.Revision(n), Evidence{CompleteAsOf: 1})
	}
	return t
}

// sentBetween returns the changes between two revisions in the form in which a source sends them.
func sentBetween(changes []knapweedpulley.Change, from, to int) []knapweedpulley.ConfigurationChange {
	source := loadedTable(changes, from)
	source.Advance(knapweedpulley.Revision(from), withFullValues(changes[from:to]), knapweedpulley.Revision(to), Evidence{CompleteAsOf: 1})
	sent, _, _ := source.Since(knapweedpulley.Revision(from))
	return sent
}

func assertSameContent(t *testing.T, got, want *View) {
	t.Helper()
	is := is.New(t)
	is.Equal(got.Revision, want.Revision)
	is.Equal(got.Digest, want.Digest)
	is.Equal(got.Objects, want.Objects)
}

func TestTableDeliveries(t *testing.T) {
	const length, deliveries, runs = 30, 60, 200
	random := rand.New(rand.NewPCG(1, 2))
	for range runs {
		changes := history(random, length)
		table := loadedTable(changes, 0)
		for range deliveries {
			from := random.IntN(length)
			to := from + random.IntN(length-from) + 1
			before := table.View().Revision
			if random.IntN(3) == 0 {
				whole := loadedTable(changes, to).View()
				table.Replace(objectsOf(withFullValues(difference(nil, whole.Objects, whole.Revision))), whole.Revision, Evidence{CompleteAsOf: 1})
			} else {
				d := increment{knapweedpulley.Revision(from), knapweedpulley.Revision(to), sentBetween(changes, from, to)}
				table.Advance(d.from, d.changes, d.to, Evidence{CompleteAsOf: 1})
			}
			after := table.View()
			if after.Revision < before {
				t.Fatalf("reverted from revision %s to %s", before, after.Revision)
			}
			assertSameContent(t, after, loadedTable(changes, int(after.Revision)).View())
		}
	}
}

func TestTable(t *testing.T) {
	changes := history(rand.New(rand.NewPCG(3, 4)), 10)
	t.Run("an increment with a gap is refused", func(t *testing.T) {
		table := loadedTable(changes, 3)
		is.New(t).True(!table.Advance(4, withFullValues(changes[4:]), 10, Evidence{CompleteAsOf: 9}))
		assertSameContent(t, table.View(), loadedTable(changes, 3).View())
		is.New(t).Equal(table.Evidence().CompleteAsOf, knapweedpulley.Instant(1))
	})
	t.Run("kept changes bring a subscriber up to date", func(t *testing.T) {
		is := is.New(t)
		table := loadedTable(changes, 3)
		table.Replace(objectsOf(withFullValues(difference(nil, loadedTable(changes, 10).View().Objects, 10))), 10, Evidence{CompleteAsOf: 1})
		since, _, kept := table.Since(3)
		is.True(kept)
		other := loadedTable(changes, 3)
		is.True(other.Advance(3, since, 10, Evidence{CompleteAsOf: 1}))
		assertSameContent(t, other.View(), table.View())
	})
	t.Run("changes that are no longer kept are reported as missing", func(t *testing.T) {
		long := history(rand.New(rand.NewPCG(5, 6)), maxLogChanges+10)
		table := loadedTable(long, len(long))
		_, _, kept := table.Since(5)
		is.New(t).True(!kept)
		_, _, kept = table.Since(10)
		is.New(t).True(kept)
	})
	t.Run("content with a different digest is replaced at the same revision", func(t *testing.T) {
		good, drifted := loadedTable(changes, 10), loadedTable(changes, 9)
		drifted.Advance(9, nil, 10, Evidence{CompleteAsOf: 1})
		c := cursor{}
		state, _ := drifted.State()
		c.applyPing(receivedPing{knapweedpulley.ConfigurationPing{Have: []knapweedpulley.ConfigurationState{state}}, 1})
		is.New(t).True(c.behind(good))
		p, _ := c.part(good)
		is.New(t).True(p.Full)
		drifted.Replace(objectsOf(p.Changes), p.Revision, Evidence{CompleteAsOf: 1})
		assertSameContent(t, drifted.View(), good.View())
	})
}

func TestPatch(t *testing.T) {
	value := func(middle string) knapweedpulley.Object {
		text := strings.Repeat("a", minPatchSaving) + middle + strings.Repeat("b", minPatchSaving)
		return knapweedpulley.Object{Name: "x", Revision: 5, Value: []byte(text)}
	}
	before := value("old")
	after := value("a newer one")
	after.Revision = 6
	short := makePatch(before, knapweedpulley.Change{Object: after})
	t.Run("only the part that differs is sent", func(t *testing.T) {
		is := is.New(t)
		is.Equal(string(short.Value), "a newer one")
		whole, ok := applyPatch(before, short)
		is.True(ok)
		is.Equal(whole.Object, after)
	})
	t.Run("a patch with another base is refused", func(t *testing.T) {
		other := before
		other.Revision = 4
		_, ok := applyPatch(other, short)
		is.New(t).True(!ok)
	})
	t.Run("a patch for other content at the same revision is refused", func(t *testing.T) {
		other := value("odd")
		other.Value[0] = 'z'
		_, ok := applyPatch(other, short)
		is.New(t).True(!ok)
		other.Value = nil
		_, ok = applyPatch(other, short)
		is.New(t).True(!ok)
	})
}

func TestPack(t *testing.T) {
	is := is.New(t)
	var part knapweedpulley.ConfigurationPart
	for i := range 10 {
		c := knapweedpulley.Change{Object: knapweedpulley.Object{
			Name: fmt.Sprint(i), Value: make([]byte, maxUpdateBytes*2/5),
		}}
		part.Changes = append(part.Changes, knapweedpulley.ConfigurationChange{Change: c})
	}
	chunks := pack([]knapweedpulley.ConfigurationPart{part, {Kind: knapweedpulley.KindEntries}})
	is.Equal(len(chunks), 5)
	count := 0
	for i, c := range chunks {
		count += len(c[0].Changes)
		is.Equal(c[0].More, i < 4)
		is.True(sizeOf(c[0].Changes) <= maxUpdateBytes)
	}
	is.Equal(count, 10)
	is.Equal(len(chunks[4]), 2)
}

func TestClockTranslation(t *testing.T) {
	const ahead = time.Hour
	random := rand.New(rand.NewPCG(7, 8))
	var clocks clockTranslation
	for i := range 1000 {
		truth := knapweedpulley.Instant(i) * knapweedpulley.Instant(heartbeatPeriod)
		transit := time.Duration(random.IntN(int(time.Second)))
		clocks.observe(truth, truth.Add(transit+ahead))
		now := truth.Add(transit + time.Duration(random.IntN(int(time.Second))))
		if got := clocks.toLocal(truth.Add(ahead), now); got.After(truth) {
			t.Fatalf("instant %d is translated to %d, which is later", truth, got)
		}
	}
}

func TestTreePosition(t *testing.T) {
	var members []knapweedpulley.Member
	for i := range 200 {
		members = append(members, knapweedpulley.Member{Zone: "zone-1", Address: fmt.Sprintf("10.0.0.%d:7000", i)})
	}
	positions := map[string]treePosition{}
	children := map[string]int{}
	for _, m := range members {
		p := positionOf(m, members)
		positions[m.Address] = p
		if !p.watchesStore() {
			children[p.candidates[0].Address]++
		}
	}
	t.Run("two entries watch the store and parents rank higher", func(t *testing.T) {
		watching := 0
		for _, p := range positions {
			if p.watchesStore() {
				watching++
				continue
			}
			is.New(t).True(positions[p.candidates[0].Address].rank < p.rank)
		}
		is.New(t).Equal(watching, watchersPerZone)
	})
	t.Run("the fan-out is bounded", func(t *testing.T) {
		for _, n := range children {
			is.New(t).True(n <= fanOut)
		}
	})
}

func TestSourceSelector(t *testing.T) {
	a, b := knapweedpulley.Member{Address: "a"}, knapweedpulley.Member{Address: "b"}
	assertChoice := func(t *testing.T, c *sourceSelector, now knapweedpulley.Instant, want string) {
		t.Helper()
		m, ok := c.choose([]knapweedpulley.Member{a, b}, now)
		is.New(t).Equal(m.Address, want)
		is.New(t).Equal(ok, want != "")
	}
	t.Run("the preferred candidate is chosen again after its exclusion", func(t *testing.T) {
		c := newSourceSelector()
		c.exclude(a, 10, true)
		assertChoice(t, c, 5, "b")
		assertChoice(t, c, 10, "a")
	})
	t.Run("among stale candidates the one whose exclusion ends first is chosen", func(t *testing.T) {
		c := newSourceSelector()
		c.exclude(a, 10, false)
		c.exclude(b, 9, false)
		assertChoice(t, c, 5, "b")
	})
	t.Run("failed candidates are not chosen before their exclusion ends", func(t *testing.T) {
		c := newSourceSelector()
		c.exclude(a, 10, true)
		c.exclude(b, 9, true)
		assertChoice(t, c, 5, "")
		assertChoice(t, c, 9, "b")
	})
}

func assertEvidence(t *testing.T, got Evidence, completeAsOf, continuousSince time.Duration) {
	t.Helper()
	is.New(t).Equal(got, evidenceAt(completeAsOf, continuousSince))
}

// evidenceAt returns evidence with times since an arbitrary start.
func evidenceAt(completeAsOf, continuousSince time.Duration) Evidence {
	return Evidence{CompleteAsOf: knapweedpulley.Instant(completeAsOf), ContinuousSince: knapweedpulley.Instant(continuousSince)}
}

func TestEvidence(t *testing.T) {
	const s = time.Second
	t.Run("answers at short intervals are continuous", func(t *testing.T) {
		assertEvidence(t, evidenceAt(10*s, 0).merge(evidenceAt(11*s, 11*s)), 11*s, 0)
	})
	t.Run("an answer after a long gap ends an outage", func(t *testing.T) {
		assertEvidence(t, evidenceAt(10*s, 0).merge(evidenceAt(14*s, 14*s)), 14*s, 14*s)
	})
	t.Run("the evidence of a peer that the store answered all the while shows that there was no outage", func(t *testing.T) {
		assertEvidence(t, evidenceAt(10*s, 0).merge(evidenceAt(15*s, 2*s)), 15*s, 0)
		assertEvidence(t, evidenceAt(10*s, 9*s).merge(evidenceAt(15*s, 2*s)), 15*s, 2*s)
	})
	t.Run("a peer that saw the store come back earlier is believed", func(t *testing.T) {
		assertEvidence(t, evidenceAt(10*s, 10*s).merge(evidenceAt(11*s, 8*s)), 11*s, 8*s)
	})
	t.Run("a peer that knows nothing of the time before changes nothing", func(t *testing.T) {
		assertEvidence(t, evidenceAt(10*s, 9*s).merge(evidenceAt(11*s, 0)), 11*s, 9*s)
	})
	t.Run("the end of an outage that a peer saw is taken over", func(t *testing.T) {
		assertEvidence(t, evidenceAt(10*s, 0).merge(evidenceAt(15*s, 14*s)), 15*s, 14*s)
	})
	t.Run("the first evidence is taken over", func(t *testing.T) {
		assertEvidence(t, Evidence{}.merge(evidenceAt(15*s, 14*s)), 15*s, 14*s)
	})
	t.Run("an outage that a peer has seen is known before its newer evidence arrives", func(t *testing.T) {
		assertEvidence(t, evidenceAt(10*s, 0).merge(evidenceAt(9*s, 15*s)), 10*s, 15*s)
	})
	t.Run("older evidence changes nothing", func(t *testing.T) {
		assertEvidence(t, evidenceAt(10*s, 2*s).merge(evidenceAt(9*s, 9*s)), 10*s, 2*s)
	})
	t.Run("a table is notified of changes after an outage with its end already known", func(t *testing.T) {
		var table *Table
		var at []Evidence
		table = newTable(Collection{Kind: knapweedpulley.KindPermits, Apply: func([]knapweedpulley.Change) { at = append(at, table.Evidence()) }})
		table.Replace(nil, 1, evidenceAt(10*s, 0))
		change := knapweedpulley.Change{Object: knapweedpulley.Object{Kind: knapweedpulley.KindPermits, Name: "m", Revision: 2}}
		is.New(t).True(table.Advance(1, withFullValues([]knapweedpulley.Change{change}), 2, evidenceAt(20*s, 20*s)))
		is.New(t).Equal(len(at), 1)
		// The content of the view is still the older one, so its evidence is, too.
		assertEvidence(t, at[0], 10*s, 20*s)
		assertEvidence(t, table.Evidence(), 20*s, 20*s)
	})
}
