package gateway_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
)

// assertNextAttempt asserts which endpoint gets the call after one that was answered by the first
// scripted answer. The endpoint is empty if none may get it.
func assertNextAttempt(t *testing.T, first scriptedAnswer, endpoints []knapweedpulley.EndpointID, sameEndpoint bool) {
	t.Helper()
	is := is.New(t)
	d, x := streamDeployment(first, scriptedAnswer{events: []string{"1"}})
	d.endpoints = endpoints
	g := d.newGateway(t)
	_, _ = serveCall(t, g)
	before := x.attempts()
	_, err := serveCall(t, g)
	after := x.attempts()
	if len(endpoints) == 1 && !sameEndpoint {
		is.Equal(len(after), len(before))
		is.Equal(knapweedpulley.VerdictOf(err), knapweedpulley.NotRun)
		return
	}
	is.NoErr(err)
	is.Equal(after[len(after)-1] == before[0], sameEndpoint)
}

func TestLeavingEndpointGetsNoFurtherCalls(t *testing.T) {
	one, two := []knapweedpulley.EndpointID{"1"}, []knapweedpulley.EndpointID{"1", "2"}
	stream := scriptedAnswer{events: []string{"1"}, leaving: true}
	refusal := scriptedAnswer{status: http.StatusServiceUnavailable, notRun: true, leaving: true}
	inBubble("after the answer of a stream", t, func(t *testing.T) { assertNextAttempt(t, stream, two, false) })
	inBubble("after a refusal", t, func(t *testing.T) { assertNextAttempt(t, refusal, two, false) })
	inBubble("though it is the only one", t, func(t *testing.T) { assertNextAttempt(t, stream, one, false) })
	inBubble("but an answer without its stamp isn't believed", t, func(t *testing.T) {
		unstamped := stream
		unstamped.unstamped = true
		assertNextAttempt(t, unstamped, one, true)
	})
	inBubble("while its stream is still under way", t, func(t *testing.T) {
		is := is.New(t)
		paused := stream
		paused.silence, paused.events, paused.silentAfter = 500*time.Millisecond, []string{"1", "2"}, 1
		d, x := streamDeployment(paused, scriptedAnswer{events: []string{"1"}})
		g := d.newGateway(t)
		done := make(chan struct{})
		go func() {
			defer close(done)
			answer, err := serveCall(t, g)
			assertAnswered(t, answer, err, "1 2 ")
		}()
		synctest.Wait()
		_, err := serveCall(t, g)
		is.NoErr(err)
		<-done
		sent := x.attempts()
		is.Equal(len(sent), 2)
		is.True(sent[0] != sent[1])
	})
}
