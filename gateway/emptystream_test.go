package gateway_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
)

func TestResumedStreamWithoutEventsDoesNotClearItsPromptParts(t *testing.T) {
	// serveRefused has the part refused, and one resumed call with it, sent as a probe, answered.
	serveRefused := func(t *testing.T, resumed scriptedAnswer) *deadlyExchanger {
		t.Helper()
		d, x := deadlyDeployment(scriptedAnswer{broken: true})
		calls := &promptCalls{gateway: d.newGateway(t)}
		for range 10 {
			_ = calls.serve(t, "system", deadlyPart)
			is.New(t).NoErr(calls.serve(t, "system"))
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(10 * time.Second)
		x.deadly = resumed
		is.New(t).NoErr(calls.resume(t, "system", deadlyPart))
		x.deadly, x.arrived = scriptedAnswer{broken: true}, 0
		for range 20 {
			_ = calls.serve(t, "system", deadlyPart)
			time.Sleep(time.Second)
		}
		return x
	}
	inBubble("calls with the part stay refused after an empty rest", t, func(t *testing.T) {
		is.New(t).True(serveRefused(t, scriptedAnswer{}).arrived <= 2)
	})
	inBubble("calls with the part are sent again after a rest with an event", t, func(t *testing.T) {
		is.New(t).True(serveRefused(t, scriptedAnswer{events: []string{"6"}}).arrived > 2)
	})
	inBubble("an empty rest of a sound stream is complete", t, func(t *testing.T) {
		d, _ := streamDeployment(scriptedAnswer{})
		answer, err := d.serve(t, func(c *knapweedpulley.Call) { c.LastEvent = "5" })
		assertAnswered(t, answer, err, "")
	})
}

// resume serves a call of a caller that already has the events up to the fifth.
func (c *promptCalls) resume(t *testing.T, parts ...string) error {
	t.Helper()
	c.sent++
	call := newCall()
	call.Fingerprint, call.LastEvent = knapweedpulley.Fingerprint(c.sent), "5"
	for _, p := range append(parts, "own") {
		call.PromptParts = append(call.PromptParts, knapweedpulley.PromptPart{ID: p, Tokens: 40})
	}
	return c.gateway.Serve(t.Context(), call, &recordedAnswer{})
}
