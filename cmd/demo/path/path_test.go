package path_test

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/agent"
	"github.com/knapweedpulley/knapweedpulley/agent/process"
	"github.com/knapweedpulley/knapweedpulley/customer"
	"github.com/knapweedpulley/knapweedpulley/entry"
	"github.com/knapweedpulley/knapweedpulley/settings"
	"github.com/knapweedpulley/knapweedpulley/standin/engine"
	"github.com/knapweedpulley/knapweedpulley/standin/fault"
	"github.com/knapweedpulley/knapweedpulley/standin/machines"
	"github.com/knapweedpulley/knapweedpulley/standin/objects"
	"github.com/knapweedpulley/knapweedpulley/standin/service"
	"github.com/knapweedpulley/knapweedpulley/store"
)

const (
	tokens   = 12
	template = `{
		"customer": "workshop", "rate": 100000, "burst": 200000, "deadline": "20s",
		"models": [{"id": "gas-mixes", "size": 1048576, "replicas": 1}],
		"adapters": [{"id": "gas-mixes-de", "model": "gas-mixes", "size": 1024}],
		"routes": [{"id": "returns"}, {"id": "prices", "idempotent": true, "access": "open"}]
	}`
)

// fixture is a running deployment with one entry, one engine and one plain service.
// It holds the entry's address and the customer's API key.
type fixture struct {
	entry string
	key   string
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	is := is.New(t)
	objectStore := objects.NewStore(objects.DefaultHistory)
	list := machines.NewList()
	list.SetLag(0)
	storeAddress := newServer(t, objects.NewHandler(objectStore, fault.NewInjector()))
	machinesAddress := newServer(t, machines.NewHandler(list, fault.NewInjector()))
	standIn, cleanup := engine.NewEngine(engine.DefaultSettings(), nil)
	t.Cleanup(cleanup)
	engineAddress := newServer(t, engine.NewHandler(standIn, fault.NewInjector()))
	serviceAddress := newServer(t, service.NewHandler(service.NewService(1000), fault.NewInjector()))

	engineAgent := agent.Settings{Endpoint: "engine-1", Machine: "vm-1", Zone: "a", Listen: freeAddress(t)}
	engineAgent.Engine = &agent.EngineSettings{URL: "http://" + engineAddress}
	serviceAgent := agent.Settings{Endpoint: "service-1", Machine: "vm-2", Zone: "a", Listen: freeAddress(t)}
	for _, route := range []knapweedpulley.RouteID{"returns", "prices"} {
		serviceAgent.Services = append(serviceAgent.Services, agent.ServiceSettings{
			Route: route, URL: "http://" + serviceAddress,
		})
	}
	for _, s := range []agent.Settings{engineAgent, serviceAgent} {
		end, err := process.Start(s, newDiscardLogger())
		is.NoErr(err)
		t.Cleanup(end)
		list.Put(machines.Machine{ID: s.Machine, Zone: s.Zone, Role: knapweedpulley.RoleAgent, Address: s.Listen})
	}
	f := &fixture{key: putCustomer(t, objectStore)}
	f.entry = startEntry(t, storeAddress, machinesAddress)
	return f
}

func newServer(t *testing.T, h http.Handler) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func newDiscardLogger() log.Interface {
	return &log.Logger{Handler: discard.New()}
}

// putCustomer writes the customer's record to the object store and returns the
// customer's API key.
func putCustomer(t *testing.T, objectStore *objects.Store) string {
	t.Helper()
	is := is.New(t)
	author := customer.Author{Operator: "test", Time: time.Now(), Change: "test"}
	record, err := customer.Record{}.Apply(author, json.RawMessage(template), nil)
	is.NoErr(err)
	key := customer.NewSecret()
	record, err = record.IssueKey(author, "key-1", customer.HashOf(key))
	is.NoErr(err)
	value, err := record.Encode()
	is.NoErr(err)
	_, err = objectStore.Put(t.Context(), knapweedpulley.KindCustomers, "workshop", value, 0)
	is.NoErr(err)
	return key
}

// startEntry starts an entry, waits until it is ready and returns its address.
func startEntry(t *testing.T, storeAddress, machinesAddress string) string {
	t.Helper()
	is := is.New(t)
	s := entry.Settings{
		ID: "entry-1", Machine: "vm-3", Zone: "a",
		Listen: freeAddress(t), Admin: freeAddress(t), Link: freeAddress(t),
		Store: store.Settings{Address: storeAddress}, Machines: store.Settings{Address: machinesAddress},
	}
	var f settings.Faults
	s.Check(&f)
	is.NoErr(f.Err())
	_, cleanup, err := entry.New(s, newDiscardLogger())
	is.NoErr(err)
	t.Cleanup(cleanup)
	for range 100 {
		if answer, err := http.Get("http://" + s.Listen + "/ready"); err == nil {
			_ = answer.Body.Close()
			if answer.StatusCode == http.StatusNoContent {
				return s.Listen
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatal("entry is not ready after 100 probes at intervals of 100 ms")
	return ""
}

func (f *fixture) client() openai.Client {
	return openai.NewClient(option.WithBaseURL("http://"+f.entry+"/v1"), option.WithAPIKey(f.key))
}

func newChatParameters(model, prompt string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     model,
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
		MaxTokens: openai.Int(tokens),
	}
}

// assertAnswer asserts that a chat completion has the text and the number of tokens
// that the stand-in engine generates for the prompt.
func assertAnswer(t *testing.T, f *fixture, model, prompt string) {
	t.Helper()
	is := is.New(t)
	client := f.client()
	answer, err := client.Chat.Completions.New(t.Context(), newChatParameters(model, prompt))
	is.NoErr(err)
	is.Equal(answer.Choices[0].Message.Content, engine.Answer(prompt, tokens))
	is.Equal(answer.Usage.CompletionTokens, int64(tokens))
}

// assertStream asserts the same as assertAnswer for a streamed chat completion.
func assertStream(t *testing.T, f *fixture, model, prompt string) {
	t.Helper()
	is := is.New(t)
	client := f.client()
	stream := client.Chat.Completions.NewStreaming(t.Context(), newChatParameters(model, prompt))
	accumulated := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		is.True(accumulated.AddChunk(stream.Current()))
	}
	is.NoErr(stream.Err())
	is.Equal(accumulated.Choices[0].Message.Content, engine.Answer(prompt, tokens))
	is.Equal(accumulated.Usage.CompletionTokens, int64(tokens))
}

// call sends a POST request to the entry and returns the status and the body of the
// response. An empty key or idempotencyKey stands for no such header field.
func (f *fixture) call(t *testing.T, key, idempotencyKey, path, body string) (int, string) {
	t.Helper()
	is := is.New(t)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+f.entry+path, strings.NewReader(body))
	is.NoErr(err)
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	if idempotencyKey != "" {
		r.Header.Set("Idempotency-Key", idempotencyKey)
	}
	answer, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	is.NoErr(err)
	return answer.StatusCode, string(text)
}

// assertRefused asserts that a request is refused with a status and the verdict that
// it did not run.
func assertRefused(t *testing.T, f *fixture, key, path, body string, status int) {
	t.Helper()
	is := is.New(t)
	got, text := f.call(t, key, "", path, body)
	is.Equal(got, status)
	is.True(strings.Contains(text, `"verdict":"notRun"`))
}

func TestPath(t *testing.T) {
	f := newFixture(t)

	t.Run("a request for an idle model loads the model and is answered", func(t *testing.T) {
		assertAnswer(t, f, "gas-mixes", "argon for steel?")
	})
	t.Run("a streamed request for a loaded model is answered", func(t *testing.T) {
		assertStream(t, f, "gas-mixes", "argon for aluminum?")
	})
	t.Run("a request for an adapter is answered", func(t *testing.T) {
		assertAnswer(t, f, "gas-mixes-de", "Argon für Stahl?")
	})
	t.Run("a non-idempotent call repeated with its idempotency key gets the first answer", func(t *testing.T) {
		is := is.New(t)
		status, first := f.call(t, f.key, "return-7", "/services/returns/cylinders", `{"cylinder":7}`)
		is.Equal(status, http.StatusOK)
		_, again := f.call(t, f.key, "return-7", "/services/returns/cylinders", `{"cylinder":7}`)
		is.Equal(again, first)
	})
	t.Run("a call of an open route without a key is answered", func(t *testing.T) {
		status, _ := f.call(t, "", "", "/services/prices/list", "{}")
		is.New(t).Equal(status, http.StatusOK)
	})
	t.Run("a call with a wrong key is refused", func(t *testing.T) {
		assertRefused(t, f, "kp-wrong", "/services/returns/x", "{}", http.StatusUnauthorized)
	})
	t.Run("a request for an unknown model is refused", func(t *testing.T) {
		body := `{"model":"other","messages":[{"role":"user","content":"x"}]}`
		assertRefused(t, f, f.key, "/v1/chat/completions", body, http.StatusNotFound)
	})
	t.Run("a call with a body above the limit is refused", func(t *testing.T) {
		body := strings.Repeat("x", int(2*knapweedpulley.MiB))
		assertRefused(t, f, f.key, "/services/returns/x", body, http.StatusRequestEntityTooLarge)
	})
}
