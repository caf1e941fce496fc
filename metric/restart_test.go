package metric_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley/metric"
)

func assertCounted(t *testing.T) {
	t.Helper()
	scope, handler, cleanup := metric.New("entry", "entry-1")
	scope.Counter("answered").Inc(1)
	cleanup()
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	is.New(t).True(strings.Contains(w.Body.String(), `answered{process="entry-1",role="entry"} 1`))
}

func TestRestart(t *testing.T) {
	t.Run("a counter is served", assertCounted)
	t.Run("a restarted process counts from zero", assertCounted)
}
