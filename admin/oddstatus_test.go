package admin_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/admin"
)

// Guards against a change that is reported as accepted though the answer has a status other than success.
func TestAnswerWithOddStatusIsNoSuccess(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "307", "600"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = listener.Close() }()
			go answerAll(listener, "HTTP/1.1 "+status+" Status\r\nContent-Length: 2\r\n\r\n{}")
			_, err = admin.NewClient(listener.Addr().String(), operatorKey, nil).Rollback(t.Context(), "workshop", 1)
			is.True(err != nil)
			is.Equal(knapweedpulley.VerdictOf(err), knapweedpulley.MayHaveRun)
		})
	}
}

// answerAll sends the same answer to each request.
func answerAll(listener net.Listener, answer string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, answer)
		}
		_ = conn.Close()
	}
}
