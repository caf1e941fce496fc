package service_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/service"
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

func TestRun(t *testing.T) {
	is := is.New(t)
	var seen http.Request
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen = *r
		w.WriteHeader(http.StatusAccepted)
		_, _ = io.Copy(w, r.Body)
	}))
	defer server.Close()
	client, cleanup := service.NewClient(server.URL + "/")
	defer cleanup()
	var got answer
	_, err := client.Run(t.Context(), knapweedpulley.Request{
		ID: "r-1", Method: http.MethodPut, Path: "/returns/7", Query: "a=b", Body: []byte("cylinder 7"),
		Header: []knapweedpulley.HeaderField{
			{Name: "Authorization", Value: "Bearer secret"}, {Name: "Idempotency-Key", Value: "k"}, {Name: "X-Depot", Value: "north"},
		},
	}, &got)
	is.NoErr(err)
	is.Equal(got, answer{status: http.StatusAccepted, body: "cylinder 7"})
	is.Equal(seen.Method, http.MethodPut)
	is.Equal(seen.URL.RequestURI(), "/returns/7?a=b")
	is.Equal(seen.Header.Get("X-Depot"), "north")
	is.Equal(seen.Header.Get("Authorization"), "") // A caller's key is never sent to a back end.
	is.Equal(seen.Header.Get("Idempotency-Key"), "")
	is.Equal(seen.Header.Get("X-Request-Id"), "r-1")
}
