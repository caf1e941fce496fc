package gateway_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
)

// Guards against a deadly content that reaches endpoints again because its caller uses another key.
func TestRefusedContentStaysRefusedUnderAnotherKey(t *testing.T) {
	keys := []knapweedpulley.KeyHash{knapweedpulley.HashKey("one"), knapweedpulley.HashKey("two"), knapweedpulley.HashKey("three")}
	inBubble("two customers, one of which has two keys", t, func(t *testing.T) {
		is := is.New(t)
		d, _ := deadlyDeployment(scriptedAnswer{silence: 10 * time.Second})
		d.accounts = []knapweedpulley.Account{
			{Contract: knapweedpulley.Contract{Customer: "firm"}, Keys: keys[:2]},
			{Contract: knapweedpulley.Contract{Customer: "other"}, Keys: keys[2:]},
		}
		g := d.newGateway(t)
		call := func(key knapweedpulley.KeyHash, parts ...knapweedpulley.PromptPart) error {
			_, err := serveCall(t, g, func(c *knapweedpulley.Call) {
				c.Fingerprint, c.Key, c.Timeout, c.PromptParts = 7, knapweedpulley.Some(key), 100*time.Millisecond, parts
			})
			time.Sleep(time.Second)
			return err
		}
		for range 2 {
			is.True(call(keys[0], knapweedpulley.PromptPart{ID: deadlyPart, Tokens: 40}) != nil)
		}
		assertCrashSuspect(t, call(keys[0]))
		assertCrashSuspect(t, call(keys[1]))
		is.NoErr(call(keys[2]))
	})
}
