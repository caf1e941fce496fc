package engine_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/engine"
)

// answer records the answer that a caller receives.
type answer struct {
	status int
	body   string
}

// WriteHead implements knapweedpulley.AnswerWriter.
func (a *answer) WriteHead(h knapweedpulley.AnswerHead) error {
	a.status = h.Status
	return nil
}

// Write implements knapweedpulley.AnswerWriter.
func (a *answer) Write(p []byte) (int, error) {
	a.body += string(p)
	return len(p), nil
}

func newClient(t *testing.T, status int, body string, seen *http.Request) *engine.Client {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		*seen = *r
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(server.Close)
	client, cleanup := engine.NewClient(server.URL)
	t.Cleanup(cleanup)
	return client
}

func assertOrder(t *testing.T, status int, code knapweedpulley.Code, v knapweedpulley.Verdict) {
	t.Helper()
	is := is.New(t)
	var seen http.Request
	err := newClient(t, status, "reason", &seen).Order(t.Context(), knapweedpulley.Order{Model: "m"})
	is.Equal(knapweedpulley.RefusalOf(err, "").Code, code)
	is.Equal(knapweedpulley.VerdictOf(err), v)
}

func TestRun(t *testing.T) {
	request := knapweedpulley.Request{ID: "r-1", Kind: knapweedpulley.KindChat, Body: []byte("{}"), Stream: true}
	t.Run("bytes of the answer are passed on unchanged", func(t *testing.T) {
		is := is.New(t)
		var seen http.Request
		var got answer
		usage, err := newClient(t, http.StatusOK, streamWithUsage, &seen).Run(t.Context(), request, &got)
		is.NoErr(err)
		is.Equal(got.body, streamWithUsage)
		is.Equal(usage.Total(), knapweedpulley.Tokens(10))
		is.Equal(seen.Header.Get("X-Request-Id"), "r-1")
		is.Equal(seen.URL.Path, "/v1/chat/completions")
	})
	t.Run("stream without its end mark is refused as may have run", func(t *testing.T) {
		var seen http.Request
		var got answer
		_, err := newClient(t, http.StatusOK, streamWithUsage[:40], &seen).Run(t.Context(), request, &got)
		is := is.New(t)
		is.Equal(knapweedpulley.RefusalOf(err, "").Code, knapweedpulley.CodeEngineFailed)
		is.Equal(knapweedpulley.VerdictOf(err), knapweedpulley.MayHaveRun)
	})
}

func TestOrderVerdicts(t *testing.T) {
	t.Run("conflict status means fenced and not run", func(t *testing.T) {
		assertOrder(t, http.StatusConflict, knapweedpulley.CodeFenced, knapweedpulley.NotRun)
	})
	t.Run("insufficient storage status means out of memory and not run", func(t *testing.T) {
		assertOrder(t, http.StatusInsufficientStorage, knapweedpulley.CodeOutOfMemory, knapweedpulley.NotRun)
	})
	t.Run("any other error status means may have run", func(t *testing.T) {
		assertOrder(t, http.StatusBadGateway, knapweedpulley.CodeEngineFailed, knapweedpulley.MayHaveRun)
	})
}
