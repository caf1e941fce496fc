package endpoint_test

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/endpoint"
)

const content knapweedpulley.Fingerprint = 77

// refuseContent has a content run at two crashes at once.
func (f *promptFleet) refuseContent(t *testing.T) {
	t.Helper()
	f.crash(t, content)
	f.crash(t, content)
	assertContent(t, f, knapweedpulley.SuspectRefuse)
	f.sync(t)
}

func assertContent(t *testing.T, f *promptFleet, want knapweedpulley.SuspectState) {
	t.Helper()
	assertState(t, f.one, content, want)
	assertState(t, f.two, content, want)
}

// contentArrivals counts the requests with the content that reach endpoints within some time, if one
// arrives at each entry at once every pause, and handles each.
func contentArrivals(
	t *testing.T, f *promptFleet, duration, pause time.Duration, handle func(*endpoint.Suspects), entries ...**endpoint.Suspects,
) int {
	t.Helper()
	n := 0
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(pause) {
		for _, s := range entries {
			if (*s).State(content) != knapweedpulley.SuspectRefuse || (*s).TryProbeContent(content) {
				n++
				handle(*s)
			}
		}
		f.sync(t)
	}
	return n
}

func (f *promptFleet) answerContent(s *endpoint.Suspects) { s.RecordAnswer(content, nil) }

// crashOnContent reports that an endpoint crashed with the content.
func (f *promptFleet) crashOnContent(t *testing.T) func(*endpoint.Suspects) {
	t.Helper()
	return func(*endpoint.Suspects) { f.crash(t, content) }
}

func TestContentRefusedInErrorIsServedAgain(t *testing.T) {
	inBubble("a content that is requested at all entries", t, func(t *testing.T, f *promptFleet) {
		f.refuseContent(t)
		contentArrivals(t, f, 10*time.Second, time.Second, f.answerContent, &f.one, &f.two)
		assertContent(t, f, knapweedpulley.SuspectNone)
	})
	inBubble("a content that is requested only at an entry that isn't the first", t, func(t *testing.T, f *promptFleet) {
		f.refuseContent(t)
		contentArrivals(t, f, 20*time.Second, time.Second, f.answerContent, &f.two)
		assertContent(t, f, knapweedpulley.SuspectNone)
	})
	inBubble("a content whose first probes were neither answered nor followed by a crash", t, func(t *testing.T, f *promptFleet) {
		f.refuseContent(t)
		n := contentArrivals(t, f, 10*time.Minute, time.Second, func(*endpoint.Suspects) {}, &f.one, &f.two)
		is.New(t).True(n > 2)
		contentArrivals(t, f, 2*time.Minute, time.Second, f.answerContent, &f.one, &f.two)
		assertContent(t, f, knapweedpulley.SuspectNone)
	})
}

// largeFleet is a fleet of sixteen entries.
type largeFleet struct {
	peers
	members []knapweedpulley.Member
}

func newLargeFleet() *largeFleet {
	f := &largeFleet{peers: peers{}}
	for i := range 16 {
		f.members = append(f.members, knapweedpulley.Member{Entry: knapweedpulley.EntryID("entry-" + strconv.Itoa(i))})
	}
	for i, m := range f.members {
		f.peers[m.Entry] = newSuspects(changingGroup{i, &f.members}, f)
	}
	return f
}

// at returns the list of an entry.
func (f *largeFleet) at(i int) *endpoint.Suspects { return f.peers[f.members[i].Entry] }

// probes returns how many requests with the content were sent as probes within some time, if one
// arrives at each of the entries every second. handle is called with each.
func (f *largeFleet) probes(t *testing.T, duration time.Duration, handle func(*endpoint.Suspects), entries ...int) int {
	t.Helper()
	n := 0
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(time.Second) {
		for _, i := range entries {
			if f.at(i).TryProbeContent(content) {
				n++
				handle(f.at(i))
			}
			f.at(i).Sync(t.Context())
		}
	}
	return n
}

// The entries of a fleet probed a content in turn, so that one that only the last entry was asked for
// stayed refused for more than a minute.
func TestContentIsProbedSoonInLargeFleet(t *testing.T) {
	refused := func(t *testing.T) *largeFleet {
		t.Helper()
		f := newLargeFleet()
		reportContentCrash(t, f.at(3), 1)
		reportContentCrash(t, f.at(3), 2)
		assertState(t, f.at(15), content, knapweedpulley.SuspectRefuse)
		return f
	}
	answer := func(s *endpoint.Suspects) { s.RecordAnswer(content, nil) }
	t.Run("a content that is requested only at the last entry", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := refused(t)
			is.New(t).Equal(f.probes(t, 10*time.Second, answer, 15), 1)
			assertState(t, f.at(15), content, knapweedpulley.SuspectNone)
			assertState(t, f.at(0), content, knapweedpulley.SuspectNone)
		})
	})
	t.Run("a content that crashes endpoints, requested at all entries", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := refused(t)
			crashes := 2
			crash := func(s *endpoint.Suspects) {
				crashes++
				reportContentCrash(t, s, crashes)
			}
			all := []int{15, 14, 13, 12, 11, 10, 9, 8, 7, 6, 5, 4, 3, 2, 1, 0}
			is.New(t).Equal(f.probes(t, 20*time.Minute, crash, all...), 2)
		})
	})
}

func TestDeadlyContentIsProbedTwice(t *testing.T) {
	inBubble("requests that arrive at all entries at once", t, func(t *testing.T, f *promptFleet) {
		f.refuseContent(t)
		n := contentArrivals(t, f, time.Hour, 500*time.Millisecond, f.crashOnContent(t), &f.one, &f.two)
		is.New(t).Equal(n, 2)
		assertContent(t, f, knapweedpulley.SuspectRefuse)
	})
	inBubble("an entry that restarts after each probe", t, func(t *testing.T, f *promptFleet) {
		f.refuseContent(t)
		n := 0
		for range 20 {
			n += contentArrivals(t, f, 2*time.Minute, time.Second, f.crashOnContent(t), &f.one, &f.two)
			f.restartOne()
			f.two.Sync(t.Context())
		}
		is.New(t).Equal(n, 2)
	})
	inBubble("entries that can't reach each other", t, func(t *testing.T, f *promptFleet) {
		f.refuseContent(t)
		f.cut = true
		n := contentArrivals(t, f, time.Hour, time.Second, func(s *endpoint.Suspects) {
			f.crashes++
			reportContentCrash(t, s, f.crashes)
		}, &f.one, &f.two)
		is.New(t).True(n <= 4) // Two crashes before the cut: at most three follow the third one.
	})
}

func reportContentCrash(t *testing.T, s *endpoint.Suspects, id int) {
	t.Helper()
	s.Report(t.Context(), knapweedpulley.SuspectReport{
		Endpoint: knapweedpulley.EndpointID(strconv.Itoa(id)), Start: 1, Fingerprints: []knapweedpulley.Fingerprint{content},
	})
}
