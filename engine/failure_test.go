package engine_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/engine"
)

func assertFailureRefused(t *testing.T, status int) {
	t.Helper()
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, `{"error":{"message":"the engine is restarting"}}`, status)
	}))
	defer server.Close()
	client, cleanup := engine.NewClient(server.URL)
	defer cleanup()
	// The writer is nil, so that Run panics if it passes the body on to the caller.
	_, err := client.Run(t.Context(), knapweedpulley.Request{ID: "r", Stream: true}, nil)
	var refused *knapweedpulley.Refusal
	is.True(errors.As(err, &refused))
	is.Equal(refused.Code, knapweedpulley.CodeEngineFailed)
	is.Equal(refused.Verdict, knapweedpulley.MayHaveRun)
}

func TestEngineFailureIsRefused(t *testing.T) {
	t.Run("status 503 is refused as may have run", func(t *testing.T) { assertFailureRefused(t, http.StatusServiceUnavailable) })
	t.Run("status 500 is refused as may have run", func(t *testing.T) { assertFailureRefused(t, http.StatusInternalServerError) })
}
