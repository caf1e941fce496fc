package endpoint_test

import (
	"strconv"
	"testing"
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
