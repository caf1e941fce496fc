package configuration_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/store/fake"
)

// watchersOf returns the entry processes of the first zone that watch the store.
func watchersOf(f *fleet) []*entry {
	var result []*entry
	for _, m := range f.members {
		if e, ok := f.entry(m.Address); ok && m.Zone == "zone-0" && e.Watching() {
			result = append(result, e)
		}
	}
	return result
}

func TestChangeReachesAll(t *testing.T) {
	t.Run("without faults", func(t *testing.T) {
		inBubble(t, 3, 40, func(t *testing.T, f *fleet) {
			f.put(1)
			t.Logf("120 entries: %s", assertAppliedInTime(t, f, 1))
			f.put(2)
			t.Logf("120 entries: %s", assertAppliedInTime(t, f, 2))
			is.New(t).Equal(len(watchersOf(f)), 2)
		})
	})
	t.Run("with a silent parent", func(t *testing.T) {
		inBubble(t, 1, 40, func(t *testing.T, f *fleet) {
			silent := watchersOf(f)[0]
			silent.silent.Store(true)
			f.put(1)
			t.Logf("40 entries, a silent watcher: %s", assertAppliedInTime(t, f, 1))
		})
	})
	t.Run("with both watchers dead", func(t *testing.T) {
		inBubble(t, 2, 40, func(t *testing.T, f *fleet) {
			for _, e := range watchersOf(f) {
				f.kill(e.member)
			}
			f.put(1)
			t.Logf("78 entries, dead watchers: %s", assertAppliedInTime(t, f, 1))
		})
	})
	t.Run("with both watchers of the only zone dead", func(t *testing.T) {
		inBubble(t, 1, 20, func(t *testing.T, f *fleet) {
			for _, e := range watchersOf(f) {
				f.kill(e.member)
			}
			f.put(1)
			t.Logf("18 entries, dead watchers of the only zone: %s", assertAppliedInTime(t, f, 1))
		})
	})
	t.Run("with both watchers disconnected from the store", func(t *testing.T) {
		inBubble(t, 2, 40, func(t *testing.T, f *fleet) {
			for _, e := range watchersOf(f) {
				e.store.CutOff(true)
			}
			time.Sleep(callEndTime)
			f.put(1)
			t.Logf("80 entries, watchers disconnected from the store: %s", assertAppliedInTime(t, f, 1))
		})
	})
	t.Run("with a whole zone disconnected from the store", func(t *testing.T) {
		inBubble(t, 2, 20, func(t *testing.T, f *fleet) {
			for _, m := range f.members[:20] {
				e, _ := f.entry(m.Address)
				e.store.CutOff(true)
			}
			time.Sleep(callEndTime)
			f.put(1)
			t.Logf("40 entries, a zone disconnected from the store: %s", assertAppliedInTime(t, f, 1))
		})
	})
	t.Run("after the store compacted its changes", func(t *testing.T) {
		inBubble(t, 1, 4, func(t *testing.T, f *fleet) {
			f.objects.SetDown(true)
			time.Sleep(settleTime)
			f.objects.SetDown(false)
			f.put(1)
			f.put(2)
			f.objects.Compact()
			assertAppliedInTime(t, f, 2)
		})
	})
	t.Run("when an object is removed", func(t *testing.T) {
		inBubble(t, 2, 20, func(t *testing.T, f *fleet) {
			f.put(1)
			assertAppliedInTime(t, f, 1)
			o, err := f.objects.Get(t.Context(), knapweedpulley.KindPermits, string(modelID))
			is.New(t).NoErr(err)
			_, err = f.objects.Delete(t.Context(), o.Kind, o.Name, o.Revision)
			is.New(t).NoErr(err)
			time.Sleep(maxApplyTime)
			for _, m := range f.members {
				e, _ := f.entry(m.Address)
				is.New(t).Equal(len(e.permits.Permits()), 0)
			}
		})
	})
}

func storeCalls(s *fake.Store) int {
	return s.Calls(fake.CallList) + s.Calls(fake.CallWatch) + s.Calls(fake.CallGet)
}

// callOffset shifts the start of a count so that it doesn't coincide with a call.
const callOffset = 130 * time.Millisecond

// callsPerMinute returns the number of calls to the store that a zone makes in a minute.
func callsPerMinute(t *testing.T, size int, down bool) int {
	t.Helper()
	calls := 0
	inBubble(t, 1, size, func(t *testing.T, f *fleet) {
		t.Helper()
		f.objects.SetDown(down)
		time.Sleep(settleTime)
		time.Sleep(callOffset)
		before := storeCalls(f.objects)
		time.Sleep(time.Minute)
		calls = storeCalls(f.objects) - before
	})
	return calls
}

func TestStoreCalls(t *testing.T) {
	t.Run("don't grow with the number of entries", func(t *testing.T) {
		few, many := callsPerMinute(t, 4, false), callsPerMinute(t, 64, false)
		t.Logf("calls a minute: 4 entries %d, 64 entries %d", few, many)
		// There are two watchers with three collections each, and one more call for each of
		// them may fall within the minute.
		is.New(t).True(many <= few+6)
	})
	t.Run("grow slower than the number of entries in an outage", func(t *testing.T) {
		few, many := callsPerMinute(t, 4, true), callsPerMinute(t, 64, true)
		t.Logf("calls a minute in an outage: 4 entries %d, 64 entries %d", few, many)
		is.New(t).True(many < 4*few)
	})
	t.Run("a starting entry lists no collection while a peer answers", func(t *testing.T) {
		inBubble(t, 1, 8, func(t *testing.T, f *fleet) {
			lists := f.objects.Calls(fake.CallList)
			for _, m := range f.members {
				if e, _ := f.entry(m.Address); !e.Watching() {
					f.kill(m)
					<-f.start(m).Ready()
				}
			}
			is.New(t).Equal(f.objects.Calls(fake.CallList), lists)
		})
	})
}

func TestOutage(t *testing.T) {
	t.Run("the last content stays in force and its age grows", func(t *testing.T) {
		inBubble(t, 2, 20, func(t *testing.T, f *fleet) {
			f.put(1)
			assertAppliedInTime(t, f, 1)
			f.objects.SetDown(true)
			down := time.Now()
			for range 20 {
				time.Sleep(heartbeatSpreadTime)
				assertMinAge(t, f, time.Since(down))
				assertNoRevert(t, f)
			}
			f.objects.SetDown(false)
			f.put(2)
			assertAppliedInTime(t, f, 2)
		})
	})
	t.Run("a starting entry takes the newest content of all peers", func(t *testing.T) {
		inBubble(t, 2, 6, func(t *testing.T, f *fleet) {
			near, far := f.members[:6], f.members[6:]
			for _, m := range near {
				e, _ := f.entry(m.Address)
				e.store.CutOff(true)
				e.silent.Store(true)
			}
			time.Sleep(callEndTime)
			f.put(1)
			time.Sleep(heartbeatSpreadTime)
			f.objects.SetDown(true)
			for _, m := range far {
				e, _ := f.entry(m.Address)
				e.silent.Store(e.Watching())
			}
			behind, _ := f.entry(near[0].Address)
			behind.silent.Store(false)
			f.kill(near[1])
			e := f.start(near[1])
			<-e.Ready()
			is.New(t).True(e.hasPermit(1))
			is.New(t).True(!behind.hasPermit(1))
		})
	})
	t.Run("a starting entry without peers is not ready", func(t *testing.T) {
		inBubble(t, 1, 1, func(t *testing.T, f *fleet) {
			f.objects.SetDown(true)
			f.kill(f.members[0])
			e := f.start(f.members[0])
			time.Sleep(time.Minute)
			select {
			case <-e.Ready():
				t.Fatal("ready without content")
			default:
			}
			f.objects.SetDown(false)
			<-e.Ready()
		})
	})
}

// callEndTime is a time after which all earlier calls to the store have ended.
const callEndTime = time.Second

// heartbeatSpreadTime is a time in which a heartbeat propagates through the tree.
const heartbeatSpreadTime = 2 * time.Second

func TestAge(t *testing.T) {
	t.Run("stays below the lease time without faults", func(t *testing.T) {
		inBubble(t, 1, 64, func(t *testing.T, f *fleet) {
			oldest := time.Duration(0)
			for range 100 {
				time.Sleep(37 * time.Millisecond)
				for _, m := range f.members {
					e, _ := f.entry(m.Address)
					oldest = max(oldest, e.Age())
				}
			}
			t.Logf("64 entries in a zone: age up to %s", oldest)
			is.New(t).True(oldest < 3*time.Second)
		})
	})
	t.Run("grows at an entry that is disconnected from the store and its peers", func(t *testing.T) {
		inBubble(t, 1, 8, func(t *testing.T, f *fleet) {
			e, _ := f.entry(f.members[0].Address)
			e.store.CutOff(true)
			for _, m := range f.members {
				x, _ := f.entry(m.Address)
				x.silent.Store(true)
			}
			time.Sleep(settleTime)
			is.New(t).True(e.Age() > settleTime-time.Second)
		})
	})
}

func TestEntries(t *testing.T) {
	inBubble(t, 1, 2, func(t *testing.T, f *fleet) {
		is := is.New(t)
		value := `{"incarnation": 7, "machine": "m1", "zone": "zone-0", "address": "10.0.0.0:7000", "state": "active"}`
		for _, name := range []string{"entry-1", "entry-0"} {
			_, err := f.objects.Put(t.Context(), knapweedpulley.KindEntries, name, []byte(value), 0)
			is.NoErr(err)
		}
		_, err := f.objects.Put(t.Context(), knapweedpulley.KindEntries, "faulty", []byte(`[]`), 0)
		is.NoErr(err)
		time.Sleep(maxApplyTime)
		for _, m := range f.members {
			e, _ := f.entry(m.Address)
			view := e.Entries()
			is.Equal(view.Revision, knapweedpulley.Revision(3))
			is.Equal(len(view.Entries), 2)
			is.Equal(view.Entries[0].Entry, knapweedpulley.EntryID("entry-0"))
			is.Equal(view.Entries[0].Incarnation, knapweedpulley.Incarnation(7))
		}
	})
}

func TestAwait(t *testing.T) {
	t.Run("returns once the content is in force", func(t *testing.T) {
		inBubble(t, 1, 8, func(t *testing.T, f *fleet) {
			is := is.New(t)
			go func() {
				time.Sleep(time.Second)
				f.put(1)
			}()
			e, _ := f.entry(f.members[3].Address)
			r, err := e.Await(t.Context(), knapweedpulley.KindPermits, 1)
			is.NoErr(err)
			is.Equal(r.Entry, f.members[3].Entry)
			is.True(e.hasPermit(1))
		})
	})
	t.Run("ends with its context", func(t *testing.T) {
		inBubble(t, 1, 2, func(t *testing.T, f *fleet) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			e, _ := f.entry(f.members[0].Address)
			_, err := e.Await(ctx, knapweedpulley.KindPermits, 99)
			is.New(t).True(err != nil)
			synctest.Wait()
		})
	})
}

func TestRacesNeverRevert(t *testing.T) {
	inBubble(t, 2, 12, func(t *testing.T, f *fleet) {
		for i := range 40 {
			m := f.members[(i*7)%len(f.members)]
			f.put(knapweedpulley.Replicas(i + 1))
			switch i % 4 {
			case 0:
				e, _ := f.entry(m.Address)
				e.silent.Store(i%8 == 0)
			case 1:
				f.kill(m)
				f.start(m)
			case 2:
				f.objects.SetDown(true)
				time.Sleep(heartbeatSpreadTime)
				f.objects.SetDown(false)
			}
			for range 10 {
				time.Sleep(50 * time.Millisecond)
				assertNoRevert(t, f)
			}
		}
		for _, m := range f.members {
			e, _ := f.entry(m.Address)
			e.silent.Store(false)
		}
		f.put(100)
		assertAppliedInTime(t, f, 100)
	})
}
