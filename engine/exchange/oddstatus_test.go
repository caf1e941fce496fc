package exchange_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/engine/exchange"
)

// Guards against a status that HTTP doesn't define as the end of an exchange with a back end.
func TestAnswerWithOddStatusIsAnError(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "101", "600", "999"} {
		b := newTestBackend(t, func(conn *net.TCPConn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" Status\r\nX-Request-Id: r-1\r\nContent-Length: 2\r\n\r\nno")
			return false
		})
		t.Run(status+" over a connection of its own", func(t *testing.T) {
			client, cleanup := exchange.NewClient("test")
			defer cleanup()
			call := exchange.Call{Method: http.MethodPost, URL: "http://" + b.address, Body: []byte("{}")}
			_, err := client.Send(t.Context(), call) //nolint:bodyclose // It fails.
			is.New(t).True(err != nil)
			is.New(t).Equal(knapweedpulley.VerdictOf(err), knapweedpulley.MayHaveRun)
		})
		t.Run(status+" over a kept connection", func(t *testing.T) {
			assertVerdict(t, newPool(t), message(b, "r-1"), knapweedpulley.MayHaveRun)
		})
	}
}
