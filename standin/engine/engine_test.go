package engine_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/standin/engine"
	"github.com/knapweedpulley/knapweedpulley/standin/fault"
)

func loadModel(id string, size knapweedpulley.Bytes, token knapweedpulley.FencingToken) engine.Order {
	return engine.Order{Kind: knapweedpulley.OrderLoadModel, Model: knapweedpulley.ModelID(id), Size: size, Token: token}
}

func loadAdapter(model, id string) engine.Order {
	return engine.Order{
		Kind: knapweedpulley.OrderLoadAdapter, Model: knapweedpulley.ModelID(model),
		Adapter: knapweedpulley.AdapterID(id), Size: knapweedpulley.MiB,
	}
}

func start(t *testing.T, change func(*engine.Settings)) *engine.Engine {
	t.Helper()
	s := engine.DefaultSettings()
	change(&s)
	e, cleanup := engine.NewEngine(s, nil)
	t.Cleanup(cleanup)
	return e
}

// assertOrder sends an order and compares the status of its outcome; 0 means success.
func assertOrder(t *testing.T, e *engine.Engine, o engine.Order, status int) {
	t.Helper()
	err := e.Order(t.Context(), o)
	var refused *engine.OrderError
	if errors.As(err, &refused) {
		is.New(t).Equal(refused.Status, status)
		return
	}
	is.New(t).NoErr(err)
	is.New(t).Equal(status, 0)
}

func assertModels(t *testing.T, e *engine.Engine, want string) {
	t.Helper()
	s, ok := e.State()
	is.New(t).True(ok)
	list := make([]string, 0, len(s.Models))
	for _, m := range s.Models {
		list = append(list, fmt.Sprintf("%s:%s:%d", m.Model, m.State, len(m.Adapters)))
	}
	is.New(t).Equal(strings.Join(list, " "), want)
}

func TestOrders(t *testing.T) {
	cases := []struct {
		name string
		run  func(t *testing.T)
	}{
		{"the duration of a load depends on the tier", func(t *testing.T) {
			e := start(t, func(s *engine.Settings) {
				s.Cached = []engine.Cached{{Model: "m1", Tier: knapweedpulley.TierDisk}}
			})
			began := time.Now()
			assertOrder(t, e, loadModel("m1", 16*knapweedpulley.GiB, 0), 0)
			is.New(t).Equal(time.Since(began), time.Second)
			assertOrder(t, e, loadModel("m2", 4*knapweedpulley.GiB, 0), 0)
			is.New(t).Equal(time.Since(began), 2*time.Second)
			assertModels(t, e, "m1:loaded:0 m2:loaded:0")
		}},
		{"a load that does not fit beside a load in progress is refused", func(t *testing.T) {
			e := start(t, func(s *engine.Settings) { s.Memory = 10 * knapweedpulley.GiB })
			go func() { _ = e.Order(t.Context(), loadModel("m1", 6*knapweedpulley.GiB, 0)) }()
			synctest.Wait()
			assertOrder(t, e, loadModel("m2", 5*knapweedpulley.GiB, 0), http.StatusInsufficientStorage)
			time.Sleep(time.Minute)
		}},
		{"a load continues after its caller has disconnected", func(t *testing.T) {
			e := start(t, func(*engine.Settings) {})
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			defer cancel()
			is.New(t).True(e.Order(ctx, loadModel("m1", knapweedpulley.GiB, 0)) != nil)
			assertModels(t, e, "m1:loading:0")
			time.Sleep(time.Minute)
			assertModels(t, e, "m1:loaded:0")
		}},
		{"an old fencing token is refused only by an engine that checks tokens", func(t *testing.T) {
			e := start(t, func(s *engine.Settings) { s.CheckTokens = true })
			assertOrder(t, e, loadModel("m1", 1, 5), 0)
			assertOrder(t, e, loadModel("m2", 1, 4), http.StatusConflict)
			other := start(t, func(*engine.Settings) {})
			assertOrder(t, other, loadModel("m1", 1, 5), 0)
			assertOrder(t, other, loadModel("m2", 1, 4), 0)
		}},
		{"an adapter loads only onto its loaded model", func(t *testing.T) {
			e := start(t, func(*engine.Settings) {})
			assertOrder(t, e, loadAdapter("m1", "a1"), http.StatusNotFound)
			assertOrder(t, e, loadModel("m1", 1, 0), 0)
			assertOrder(t, e, loadAdapter("m1", "a1"), 0)
			assertModels(t, e, "m1:loaded:1")
		}},
		{"an unload frees the memory and keeps the checkpoint", func(t *testing.T) {
			e := start(t, func(*engine.Settings) {})
			assertOrder(t, e, loadModel("m1", 1, 0), 0)
			assertOrder(t, e, engine.Order{Kind: knapweedpulley.OrderUnloadModel, Model: "m1"}, 0)
			assertModels(t, e, "")
			s, _ := e.State()
			is.New(t).Equal(s.Cached, []engine.Cached{{Model: "m1", Tier: knapweedpulley.TierMemory}})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { synctest.Test(t, c.run) })
	}
}

func chat(t *testing.T, url, model, prompt string, tokens int, stream bool) (*http.Response, error) {
	t.Helper()
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":%t}`,
		model, prompt, tokens, stream)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	is.New(t).NoErr(err)
	r.Header.Set("X-Request-Id", "r-"+prompt)
	return http.DefaultClient.Do(r)
}

func assertCompletion(t *testing.T, url, model, prompt string, tokens int) {
	t.Helper()
	is := is.New(t)
	answer, err := chat(t, url, model, prompt, tokens, false)
	is.NoErr(err)
	defer func() { _ = answer.Body.Close() }()
	var c engine.Completion
	is.NoErr(json.NewDecoder(answer.Body).Decode(&c))
	is.Equal(answer.StatusCode, http.StatusOK)
	is.Equal(c.Choices[0].Message.Content, engine.Answer(prompt, tokens))
	is.Equal(c.Usage.CompletionTokens, knapweedpulley.Tokens(tokens))
}

func assertStatus(t *testing.T, url, model string, status int) {
	t.Helper()
	answer, err := chat(t, url, model, "hi", 1, false)
	is.New(t).NoErr(err)
	_ = answer.Body.Close()
	is.New(t).Equal(answer.StatusCode, status)
}

func TestChat(t *testing.T) {
	e := start(t, func(s *engine.Settings) { s.RestartTime = 0 })
	server := httptest.NewServer(engine.NewHandler(e, fault.NewInjector()))
	t.Cleanup(server.Close)
	assertOrder(t, e, loadModel("m1", knapweedpulley.MiB, 0), 0)
	assertOrder(t, e, loadAdapter("m1", "a1"), 0)

	t.Run("a non-streamed response contains the answer to its prompt", func(t *testing.T) {
		assertCompletion(t, server.URL, "m1", "hello [[x1]]", 5)
		assertCompletion(t, server.URL, "a1", "hello [[x2]]", 1)
		is.New(t).Equal(e.Recorder().Runs("r-hello [[x1]]"), 1)
	})
	t.Run("a model that is not loaded returns 404", func(t *testing.T) {
		assertStatus(t, server.URL, "m2", http.StatusNotFound)
	})
	t.Run("a stream ends with the usage", func(t *testing.T) {
		is := is.New(t)
		answer, err := chat(t, server.URL, "m1", "stream", 4, true)
		is.NoErr(err)
		defer func() { _ = answer.Body.Close() }()
		var text string
		var last engine.Completion
		lines := bufio.NewScanner(answer.Body)
		for lines.Scan() {
			data, ok := strings.CutPrefix(lines.Text(), "data: ")
			if !ok || data == "[DONE]" {
				continue
			}
			last = engine.Completion{}
			is.NoErr(json.Unmarshal([]byte(data), &last))
			for _, c := range last.Choices {
				text += c.Delta.Content
			}
		}
		is.Equal(text, engine.Answer("stream", 4))
		is.Equal(last.Usage.TotalTokens, knapweedpulley.Tokens(5))
	})
	t.Run("a crash resets all open requests and unloads the models", func(t *testing.T) {
		is := is.New(t)
		innocent, err := chat(t, server.URL, "m1", "innocent", engine.MaxTokens, true)
		is.NoErr(err)
		defer func() { _ = innocent.Body.Close() }()
		_, err = chat(t, server.URL, "m1", "now "+engine.CrashMarker, 1, false) //nolint:bodyclose // There is no response.
		is.True(err != nil)
		_, err = io.ReadAll(innocent.Body)
		is.True(err != nil)
		assertModels(t, e, "")
		s, _ := e.State()
		is.Equal(s.Starts, uint64(2))
	})
}
