package dispatch_test

import (
	"context"
	"io"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/endpoint"
	"github.com/knapweedpulley/knapweedpulley/logbook"
	"github.com/knapweedpulley/knapweedpulley/machine/fake"
)

// lone is the group of the only entry.
type lone struct{}

func (lone) Self() knapweedpulley.Member      { return knapweedpulley.Member{Entry: "one"} }
func (lone) Members() []knapweedpulley.Member { return []knapweedpulley.Member{lone{}.Self()} }

// crashes is a list of suspects with engines that crash on request.
type crashes struct {
	*endpoint.Suspects

	count int
}

func newCrashes() *crashes {
	return &crashes{Suspects: endpoint.NewSuspects(endpoint.SuspectOptions{
		Group: lone{}, Clock: fake.Clock{}, Log: logbook.New(io.Discard, log.InfoLevel, "test", "test"),
	})}
}

// crash reports that an engine crashed while it ran the content of chat.
func (c *crashes) crash(ctx context.Context) {
	c.count++
	c.Report(ctx, knapweedpulley.SuspectReport{
		Endpoint: knapweedpulley.EndpointID(strconv.Itoa(c.count)), Start: 1, Fingerprints: []knapweedpulley.Fingerprint{7},
	})
}

// arrivals counts the requests that reach engines within a time, if one comes each second. handle is
// called with each that does.
func arrivals(t *testing.T, c *crashes, duration time.Duration, a attempt, handle func()) int {
	t.Helper()
	n := 0
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(time.Second) {
		f := &fakes{loaded: true, attempts: []attempt{a}}
		_, _ = serveWith(t, f, c, chat(false))
		n += len(f.ran)
		if len(f.ran) > 0 {
			handle()
		}
		c.Sync(t.Context())
	}
	return n
}

func inBubble(name string, t *testing.T, f func(t *testing.T, c *crashes)) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { f(t, newCrashes()) })
	})
}

// An entry refused a sound content for good after two engines had crashed together while they ran it.
func TestContentRefusedInErrorIsServedAgain(t *testing.T) {
	answer, crash := attempt{body: "hello"}, attempt{err: refusal(knapweedpulley.CodeLinkLost, knapweedpulley.MayHaveRun)}
	inBubble("a content that is answered once it is probed", t, func(t *testing.T, c *crashes) {
		c.crash(t.Context())
		c.crash(t.Context())
		is.New(t).Equal(c.State(7), knapweedpulley.SuspectRefuse)
		is.New(t).True(arrivals(t, c, 20*time.Second, answer, func() {}) > 1)
		is.New(t).Equal(c.State(7), knapweedpulley.SuspectNone)
	})
	inBubble("a content that ran at one crash is no longer isolated once it is answered", t, func(t *testing.T, c *crashes) {
		c.crash(t.Context())
		is.New(t).Equal(c.State(7), knapweedpulley.SuspectIsolate)
		arrivals(t, c, time.Second, answer, func() {})
		is.New(t).Equal(c.State(7), knapweedpulley.SuspectNone)
	})
	inBubble("a content that crashes each engine reaches two more", t, func(t *testing.T, c *crashes) {
		c.crash(t.Context())
		c.crash(t.Context())
		n := arrivals(t, c, time.Hour, crash, func() { c.crash(t.Context()) })
		is.New(t).Equal(n, 2)
		is.New(t).Equal(c.State(7), knapweedpulley.SuspectRefuse)
	})
	inBubble("a probe that didn't run is sent again", t, func(t *testing.T, c *crashes) {
		c.crash(t.Context())
		c.crash(t.Context())
		time.Sleep(10 * time.Second)
		notRun := attempt{err: refusal(knapweedpulley.CodeDraining, knapweedpulley.NotRun)}
		f := &fakes{loaded: true, attempts: []attempt{notRun, answer}}
		_, err := serveWith(t, f, c, chat(false))
		is.New(t).NoErr(err)
		is.New(t).Equal(len(f.ran), 2)
		is.New(t).True(f.ran[0].Isolated && f.ran[1].Isolated)
	})
}
