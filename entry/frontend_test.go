package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/customer"
)

const (
	secret = "kp_secret-of-the-test"
	chat   = `{"model":"advice","messages":[{"role":"user","content":"argon?"}]`
)

func testCaller() *caller {
	return &caller{secret: secret, key: "key-1", customer: &customer.Customer{
		ID:       "iturralde",
		Models:   map[knapweedpulley.ModelID]*customer.Model{"advice": {ID: "advice"}},
		Adapters: map[knapweedpulley.AdapterID]*customer.Adapter{"gases": {ID: "gases", Model: "advice"}},
	}}
}

func post(body string) *http.Request {
	r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+secret)
	r.Header.Set("Idempotency-Key", "order-1")
	r.Header.Set("Accept", "text/event-stream")
	return r
}

func translate(t *testing.T, body string) *knapweedpulley.Request {
	t.Helper()
	request, refusal := newChat(testCaller(), post(body), []byte(body))
	is.New(t).True(refusal == nil)
	return request
}

func assertInvalid(t *testing.T, body string, code knapweedpulley.Code, part string) {
	t.Helper()
	is := is.New(t)
	_, refusal := newChat(testCaller(), post(body), []byte(body))
	is.True(refusal != nil)
	is.Equal(refusal.Code, code)
	is.Equal(refusal.Verdict, knapweedpulley.NotRun)
	is.True(strings.Contains(refusal.Message, part))
}

func TestNewChat(t *testing.T) {
	t.Run("a request that names a model gets that model", func(t *testing.T) {
		is := is.New(t)
		r := translate(t, chat+`,"stream":true}`)
		is.Equal(r.Model, knapweedpulley.ModelID("advice"))
		is.True(r.Stream)
	})
	t.Run("a request that names an adapter gets it and its base model", func(t *testing.T) {
		is := is.New(t)
		r := translate(t, strings.Replace(chat, "advice", "gases", 1)+"}")
		is.Equal(r.Model, knapweedpulley.ModelID("advice"))
		is.Equal(r.Adapter.Or(""), knapweedpulley.AdapterID("gases"))
	})
	t.Run("the charge is the sum of the bounds of prompt and completions", func(t *testing.T) {
		r := translate(t, chat+`,"max_tokens":20,"n":2}`)
		prompt := knapweedpulley.Tokens(len(`[{"role":"user","content":"argon?"}]`))
		is.New(t).Equal(r.Charge, prompt+40)
	})
	t.Run("a request without max_tokens gets the default bound", func(t *testing.T) {
		is := is.New(t)
		for _, body := range []string{chat + "}", chat + `,"MAX_TOKENS":9}`} {
			bounded, refusal := parseChat(translate(t, body).Body)
			is.True(refusal == nil)
			is.Equal(*bounded.MaxTokens, int64(defaultMaxCompletion))
		}
	})
	t.Run("only equal bodies have equal fingerprints", func(t *testing.T) {
		is := is.New(t)
		is.Equal(translate(t, chat+"}").Fingerprint, translate(t, chat+"}").Fingerprint)
		is.True(translate(t, chat+"}").Fingerprint != translate(t, chat+`,"n":1}`).Fingerprint)
	})
}

func TestNewChatRefuses(t *testing.T) {
	cases := []struct {
		name, body string
		code       knapweedpulley.Code
		part       string
	}{
		{"broken JSON is invalid", `{"model":`, knapweedpulley.CodeInvalidRequest, "chat completion"},
		{"a missing list of messages is invalid", `{"model":"advice"}`, knapweedpulley.CodeInvalidRequest, "messages"},
		{"an empty list of messages is invalid", `{"model":"advice","messages":[]}`, knapweedpulley.CodeInvalidRequest, "messages"},
		{"a missing model is invalid", `{"messages":[{}]}`, knapweedpulley.CodeInvalidRequest, "model"},
		{"an unknown model is not found", `{"model":"other","messages":[{}]}`, knapweedpulley.CodeModelNotFound, "other"},
		{"a negative max_tokens is invalid", chat + `,"max_tokens":-1}`, knapweedpulley.CodeInvalidRequest, "max_tokens"},
		{"a count above the limit is invalid", chat + `,"n":9000000000}`, knapweedpulley.CodeInvalidRequest, "n:"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assertInvalid(t, c.body, c.code, c.part)
		})
	}
}

func TestKeyIsNotForwarded(t *testing.T) {
	t.Run("neither API key nor idempotency key is forwarded", func(t *testing.T) {
		is := is.New(t)
		r := translate(t, chat+"}")
		is.Equal(r.Header, []knapweedpulley.HeaderField{{Name: "Accept", Value: "text/event-stream"}})
		is.True(!testCaller().exposesKey(r))
	})
	t.Run("a key in the body, the query or another header is detected", func(t *testing.T) {
		is := is.New(t)
		c := testCaller()
		is.True(c.exposesKey(&knapweedpulley.Request{Body: []byte("x" + secret)}))
		is.True(c.exposesKey(&knapweedpulley.Request{Query: "key=" + secret}))
		is.True(c.exposesKey(&knapweedpulley.Request{Header: []knapweedpulley.HeaderField{{Name: "X-Key", Value: secret}}}))
	})
}

func TestAnswerWriterAbort(t *testing.T) {
	refusal := knapweedpulley.NewRefusal(knapweedpulley.CodeLinkLost, knapweedpulley.MayHaveRun, "lost")

	t.Run("a failure before the head is answered with a status and a verdict", func(t *testing.T) {
		is := is.New(t)
		w := httptest.NewRecorder()
		newAnswerWriter(w, false).abort(refusal)
		is.Equal(w.Code, http.StatusServiceUnavailable)
		is.Equal(w.Header().Get("Retry-After"), "1")
		is.True(strings.Contains(w.Body.String(), `"verdict":"mayHaveRun"`))
	})
	t.Run("a failure within a stream is answered with an error event", func(t *testing.T) {
		is := is.New(t)
		w := httptest.NewRecorder()
		a := newAnswerWriter(w, true)
		is.NoErr(a.WriteHead(knapweedpulley.AnswerHead{Status: http.StatusOK}))
		a.abort(refusal)
		is.True(strings.HasPrefix(w.Body.String(), `data: {"error"`))
	})
	t.Run("a failure within a plain answer closes the connection", func(t *testing.T) {
		is := is.New(t)
		a := newAnswerWriter(httptest.NewRecorder(), false)
		is.NoErr(a.WriteHead(knapweedpulley.AnswerHead{Status: http.StatusOK}))
		defer func() { is.Equal(recover(), http.ErrAbortHandler) }()
		a.abort(refusal)
	})
}

func FuzzNewChat(f *testing.F) {
	f.Add(chat + "}")
	f.Add(chat + `,"max_tokens":20,"n":2,"stream":true}`)
	f.Fuzz(func(t *testing.T, body string) {
		request, refusal := newChat(testCaller(), post(body), []byte(body))
		if (request == nil) == (refusal == nil) {
			t.Fatal("newChat returned both or neither of request and refusal, want exactly one")
		}
		if request != nil && request.Charge <= 0 {
			t.Fatalf("charge is %d tokens, want at least 1", request.Charge)
		}
	})
}
