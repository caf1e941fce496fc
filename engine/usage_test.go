package engine_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/engine"
)

const streamWithUsage = "data: {\"choices\":[{\"delta\":{\"content\":\"usage\"}}]}\r\n\r\n" +
	": a comment\n\n" +
	"data: {\"choices\":[],\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":3,\"prompt_tokens_details\":{\"cached_tokens\":2}}}\n\n" +
	"data: [DONE]\n\n"

func usageOf(stream bool, pieces ...string) (knapweedpulley.Usage, bool) {
	u := engine.NewUsageReader(stream)
	for _, p := range pieces {
		u.Observe([]byte(p))
	}
	return u.Usage()
}

func assertUsage(t *testing.T, stream bool, want knapweedpulley.Usage, complete bool, pieces ...string) {
	t.Helper()
	is := is.New(t)
	got, ended := usageOf(stream, pieces...)
	is.Equal(got, want)
	is.Equal(ended, complete)
}

func TestUsage(t *testing.T) {
	want := knapweedpulley.Usage{Prompt: 7, Completion: 3, Cached: 2}
	t.Run("stream cut at any byte gives the usage", func(t *testing.T) {
		for i := range len(streamWithUsage) {
			assertUsage(t, true, want, true, streamWithUsage[:i], streamWithUsage[i:])
		}
	})
	t.Run("stream without its end mark gives the usage and is incomplete", func(t *testing.T) {
		assertUsage(t, true, want, false, streamWithUsage[:len(streamWithUsage)-10])
	})
	t.Run("whole answer gives the usage", func(t *testing.T) {
		assertUsage(t, false, knapweedpulley.Usage{Prompt: 1, Completion: 2}, true,
			`{"usage":{"prompt_tokens":1,`, `"completion_tokens":2}}`)
	})
	t.Run("negative count is ignored", func(t *testing.T) {
		assertUsage(t, false, knapweedpulley.Usage{}, true, `{"usage":{"prompt_tokens":1,"completion_tokens":-2}}`)
	})
}

func FuzzUsage(f *testing.F) {
	f.Add([]byte(streamWithUsage), 5, true)
	f.Add([]byte(`{"usage":{"prompt_tokens":1,"completion_tokens":2}}`), 3, false)
	f.Add([]byte("data: [DONE]\ndata:[DONE]"), 1, true)
	f.Fuzz(func(t *testing.T, data []byte, cut int, stream bool) {
		whole, wholeEnded := usageOf(stream, string(data))
		cut = max(0, min(cut, len(data)))
		pieces, piecesEnded := usageOf(stream, string(data[:cut]), string(data[cut:]))
		if whole != pieces || wholeEnded != piecesEnded {
			t.Fatalf("cut at %d gives %v %v, uncut data gives %v %v", cut, pieces, piecesEnded, whole, wholeEnded)
		}
		if whole.Prompt < 0 || whole.Completion < 0 || whole.Cached < 0 {
			t.Fatalf("negative usage: %v", whole)
		}
	})
}
