package traffic

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/cmd/demo/fleet"
	"github.com/knapweedpulley/knapweedpulley/standin/engine"
	"github.com/knapweedpulley/knapweedpulley/standin/fault"
	"github.com/knapweedpulley/knapweedpulley/standin/record"
	"github.com/knapweedpulley/knapweedpulley/standin/service"
)

// newCaller returns a caller whose only entry is a server with the given handler.
func newCaller(t *testing.T, entry http.Handler) *caller {
	t.Helper()
	server := httptest.NewServer(entry)
	t.Cleanup(server.Close)
	return &caller{
		deployment: "d",
		customer:   fleet.Customer{ID: "c", Key: "kp-1"},
		entries:    []fleet.Entry{{Listen: strings.TrimPrefix(server.URL, "http://")}},
		client:     server.Client(),
		tally:      NewTally(),
		singleRuns: &singleRunList{},
	}
}

// newEngine returns the handler of a stand-in engine that has loaded the model m1.
func newEngine(t *testing.T) http.Handler {
	t.Helper()
	e, cleanup := engine.NewEngine(engine.DefaultSettings(), nil)
	t.Cleanup(cleanup)
	order := engine.Order{Kind: knapweedpulley.OrderLoadModel, Model: "m1", Size: knapweedpulley.MiB}
	is.New(t).NoErr(e.Order(t.Context(), order))
	return engine.NewHandler(e, fault.NewInjector())
}

// withReplacedText returns a handler that replaces the first occurrence of a text in the
// responses of another handler.
func withReplacedText(h http.Handler, old, replacement string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		h.ServeHTTP(recorder, r)
		w.Header().Set("Content-Type", recorder.Header().Get("Content-Type"))
		w.WriteHeader(recorder.Code)
		_, _ = io.WriteString(w, strings.Replace(recorder.Body.String(), old, replacement, 1))
	})
}

// assertCounts asserts that the last line of the printed tally is want.
func assertCounts(t *testing.T, c *caller, want string) {
	t.Helper()
	var out bytes.Buffer
	c.tally.Print(&out)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.New(t).Equal(lines[len(lines)-1], want)
}

func TestChat(t *testing.T) {
	cases := []struct {
		name   string
		entry  func(t *testing.T) http.Handler
		model  string
		stream bool
		want   string
	}{
		{"a whole answer counts as answered", newEngine, "m1", false, "demo: 1 requests, 1 answered, 0 refused, 0 wrong"},
		{"a streamed answer counts as answered", newEngine, "m1", true, "demo: 1 requests, 1 answered, 0 refused, 0 wrong"},
		{"an unexpected refusal is wrong", newEngine, "m2", false, "demo: 1 requests, 0 answered, 0 refused, 1 wrong"},
		{"the answer to another request is wrong", func(t *testing.T) http.Handler {
			return withReplacedText(newEngine(t), "[[c 1]]", "[[c 2]]")
		}, "m1", false, "demo: 1 requests, 0 answered, 0 refused, 1 wrong"},
		{"a stream with a missing token is wrong", func(t *testing.T) http.Handler {
			return withReplacedText(newEngine(t), `"content":" w`, `"content":"`)
		}, "m1", true, "demo: 1 requests, 0 answered, 0 refused, 1 wrong"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			caller := newCaller(t, c.entry(t))
			caller.sendChat(t.Context(), 0, "chat", c.model, c.stream)
			assertCounts(t, caller, c.want)
		})
	}
}

// newRefusingHandler returns a handler that answers each request with a status, a body and a
// Retry-After time.
func newRefusingHandler(status int, body string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	})
}

func TestRefusals(t *testing.T) {
	const body = `{"error":{"message":"no","type":"invalid","code":"invalidKey","verdict":"notRun"}}`
	want := expectation{http.StatusUnauthorized, knapweedpulley.CodeInvalidKey, knapweedpulley.NotRun}
	cases := []struct {
		name   string
		status int
		body   string
		want   string
	}{
		{"the expected refusal is counted as refused", 401, body, "demo: 1 requests, 0 answered, 1 refused, 0 wrong"},
		{"a refusal with another status is wrong", 403, body, "demo: 1 requests, 0 answered, 0 refused, 1 wrong"},
		{
			"a refusal without a verdict is wrong", 401, strings.Replace(body, "notRun", "", 1),
			"demo: 1 requests, 0 answered, 0 refused, 1 wrong",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			caller := newCaller(t, newRefusingHandler(c.status, c.body))
			caller.chatRefused(t.Context(), "k", "kp-0", "m1", want)
			assertCounts(t, caller, c.want)
		})
	}
	t.Run("two refusals under load among 40 requests are counted as refused", func(t *testing.T) {
		caller := newCaller(t, newRefusingHandler(429, body))
		for range 38 {
			caller.add("other", Answered, "")
		}
		caller.sendChat(t.Context(), 0, "chat", "m1", true)
		caller.sendChat(t.Context(), 0, "chat", "m1", false)
		assertCounts(t, caller, "demo: 40 requests, 38 answered, 2 refused, 0 wrong")
	})
	t.Run("refusals under load above the allowance are wrong", func(t *testing.T) {
		caller := newCaller(t, newRefusingHandler(429, body))
		for range 20 {
			caller.sendChat(t.Context(), 0, "chat", "m1", true)
		}
		assertCounts(t, caller, "demo: 20 requests, 0 answered, 1 refused, 19 wrong")
	})
	t.Run("a refusal under load without a verdict is wrong", func(t *testing.T) {
		caller := newCaller(t, newRefusingHandler(429, "{}"))
		caller.sendChat(t.Context(), 0, "chat", "m1", true)
		assertCounts(t, caller, "demo: 1 requests, 0 answered, 0 refused, 1 wrong")
	})
}

func TestScan(t *testing.T) {
	cases := []struct {
		name string
		key  string
		runs int
		want string
	}{
		{"one run of a call is right", "", 1, "demo: 1 requests, 1 answered, 0 refused, 0 wrong"},
		{"two runs of a call are wrong", "", 2, "demo: 2 requests, 1 answered, 0 refused, 1 wrong"},
		{"a key that reached a back end is wrong", "kp-1", 1, "demo: 2 requests, 1 answered, 0 refused, 1 wrong"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			handler := service.NewHandler(service.NewService(record.DefaultLimit), fault.NewInjector())
			caller := newCaller(t, http.StripPrefix("/services/orders", handler))
			back := httptest.NewServer(handler)
			defer back.Close()
			f := &fleet.Fleet{
				Deployment: fleet.Deployment{Name: "d"}, Customers: []fleet.Customer{caller.customer},
				Endpoints: []fleet.Endpoint{{ID: "service-1", Back: strings.TrimPrefix(back.URL, "http://")}},
			}
			l, marker := caller.newCall(0, http.MethodPost, "orders", c.key)
			_, err := caller.bookNonIdempotent(t.Context(), "once", l, "orders", marker)
			is.New(t).NoErr(err)
			for range c.runs - 1 {
				_, err := caller.do(t.Context(), l)
				is.New(t).NoErr(err)
			}
			(&Run{fleet: f, tally: caller.tally, singleRuns: caller.singleRuns}).checkBackEnds(t.Context())
			assertCounts(t, caller, c.want)
		})
	}
}
