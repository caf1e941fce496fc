package exchange_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/engine/exchange"
)

// recorder records an answer that is passed on.
type recorder struct {
	strings.Builder
}

// WriteHead implements knapweedpulley.AnswerWriter.
func (*recorder) WriteHead(knapweedpulley.AnswerHead) error { return nil }

// relay sends a call to a back end that writes an answer and then closes or resets the connection,
// and passes the answer on. It returns what was passed on.
func relay(t *testing.T, answer string, resets bool) (string, error) {
	t.Helper()
	is := is.New(t)
	b := newTestBackend(t, func(conn *net.TCPConn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, answer)
		if resets {
			time.Sleep(20 * time.Millisecond)
			reset(conn)
		}
		return false
	})
	client, cleanup := exchange.NewClient("test")
	defer cleanup()
	response, err := client.Send(t.Context(), exchange.Call{Method: http.MethodPost, URL: "http://" + b.address})
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	var w recorder
	err = exchange.Relay(t.Context(), response, &w, nil)
	return w.String(), err
}

func assertRelayed(t *testing.T, answer, want string) {
	t.Helper()
	is := is.New(t)
	body, err := relay(t, answer, false)
	is.NoErr(err)
	is.Equal(body, want)
}

func assertBrokenOff(t *testing.T, answer string, resets bool) {
	t.Helper()
	is := is.New(t)
	_, err := relay(t, answer, resets)
	is.True(err != nil)
	is.Equal(knapweedpulley.VerdictOf(err), knapweedpulley.MayHaveRun)
}

func TestRelayedAnswerThatEndsWithItsConnection(t *testing.T) {
	const (
		plain  = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"
		stream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream; charset=utf-8\r\n\r\n"
	)
	t.Run("an answer is passed on whole", func(t *testing.T) { assertRelayed(t, plain+"all of it", "all of it") })
	t.Run("an answer that is reset has been broken off", func(t *testing.T) { assertBrokenOff(t, plain+"a part", true) })
	t.Run("a stream that ends after an event is passed on whole", func(t *testing.T) {
		assertRelayed(t, stream+"data: x\n\ndata: y\n\n", "data: x\n\ndata: y\n\n")
	})
	t.Run("a stream with CRLF that ends after an event is passed on whole", func(t *testing.T) {
		assertRelayed(t, stream+"data: x\r\n\r\n", "data: x\r\n\r\n")
	})
	t.Run("a stream without events is passed on", func(t *testing.T) { assertRelayed(t, stream, "") })
	t.Run("a stream that is reset after an event has been broken off", func(t *testing.T) {
		assertBrokenOff(t, stream+"data: x\n\n", true)
	})
	for _, cut := range []string{"d", "data: y", "data: y\n", "data: y\r\n"} {
		t.Run("a stream that ends inside an event has been broken off", func(t *testing.T) {
			assertBrokenOff(t, stream+"data: x\n\n"+cut, false)
			assertBrokenOff(t, stream+cut, false)
		})
	}
}
