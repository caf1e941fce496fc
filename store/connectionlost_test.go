package store_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/machine/fake"
	"github.com/knapweedpulley/knapweedpulley/settings"
	"github.com/knapweedpulley/knapweedpulley/store"
)

// assertConnectionLost asserts whether a failed watch is reported as a lost connection.
func assertConnectionLost(t *testing.T, address string, want bool) {
	t.Helper()
	is := is.New(t)
	c, cleanup, err := store.NewClient(store.Settings{Address: address, Timeout: settings.Duration(200 * time.Millisecond)})
	is.NoErr(err)
	defer cleanup()
	_, _, err = c.Watch(t.Context(), kind, 4, 0)
	is.True(err != nil)
	is.Equal(errors.Is(err, knapweedpulley.ErrConnectionLost), want)
}

// Guards against an outage of the store that is concluded from a lost connection, and against one
// that is taken for a lost connection.
func TestReadOverLostConnection(t *testing.T) {
	t.Run("no answer", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.New(t).NoErr(err)
		defer func() { _ = listener.Close() }()
		assertConnectionLost(t, listener.Addr().String(), true)
	})
	t.Run("a connection that is reset", func(t *testing.T) {
		assertConnectionLost(t, newCuttingServer(t, "", true), true)
	})
	t.Run("an answer that is cut", func(t *testing.T) {
		assertConnectionLost(t, newCuttingServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{", false), true)
	})
	t.Run("an answer that stalls", func(t *testing.T) {
		c := newServerOfHandler(t, func(w http.ResponseWriter, r *http.Request) {
			_, _ = w.Write([]byte("{"))
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		})
		assertConnectionLost(t, c, true)
	})
	t.Run("a refusal", func(t *testing.T) {
		c := newServerOfHandler(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
		assertConnectionLost(t, c, false)
	})
	t.Run("no connection", func(t *testing.T) {
		address, release, err := fake.ReserveAddress()
		is.New(t).NoErr(err)
		defer release()
		assertConnectionLost(t, address, false)
	})
}
