package agent

import (
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
)

// Guards against many entries whose bodies together exceed the memory of an agent's machine.
func TestBodyMemory(t *testing.T) {
	const memory = 144_000_000
	request := func(size knapweedpulley.Bytes) knapweedpulley.Request {
		return knapweedpulley.Request{Body: make([]byte, size)}
	}
	t.Run("bodies never take more than their part", func(t *testing.T) {
		is := is.New(t)
		m, r := newBodyMemory(memory), request(4*knapweedpulley.MiB)
		for range memory / bodyDivisor / (4 * knapweedpulley.MiB) {
			is.True(m.reserve(r) == nil)
		}
		refusal := m.reserve(r)
		is.Equal(refusal.Verdict, knapweedpulley.NotRun)
		is.True(refusal.RetryAfter > 0)
		m.release(r)
		is.True(m.reserve(r) == nil)
	})
	t.Run("a single body is always taken", func(t *testing.T) {
		is := is.New(t)
		m, r := newBodyMemory(knapweedpulley.Bytes(bodyDivisor)), request(knapweedpulley.KiB)
		is.True(m.reserve(r) == nil)
		is.True(m.reserve(r) != nil)
	})
}
