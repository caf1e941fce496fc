package service_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/service"
)

// newRepeatingService returns the address of a service that refuses the first request and runs the
// others. Before each answer it repeats the one before on the same connection.
func newRepeatingService(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	var mu sync.Mutex
	requests := 0
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader, last := bufio.NewReader(conn), ""
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			mu.Lock()
			requests++
			status := http.StatusOK
			if requests == 1 {
				status = http.StatusServiceUnavailable
			}
			mu.Unlock()
			text := fmt.Sprintf("HTTP/1.1 %d Status\r\nContent-Length: 3\r\n\r\n%s", status, r.Header.Get("X-Request-Id"))
			_, _ = io.WriteString(conn, last+text)
			last = text
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

func assertAnswers(t *testing.T, idempotent bool) {
	t.Helper()
	is := is.New(t)
	client, cleanup := service.NewClient("http://" + newRepeatingService(t))
	defer cleanup()
	for n, status := range []int{http.StatusServiceUnavailable, http.StatusOK, http.StatusOK} {
		id := fmt.Sprintf("r-%d", n)
		var got answer
		_, err := client.Run(t.Context(), knapweedpulley.Request{ID: knapweedpulley.RequestID(id), Path: "/x", Idempotent: idempotent}, &got)
		is.NoErr(err)
		is.Equal(got, answer{status: status, body: id})
	}
}

func TestRepeatedAnswerIsNotTheNextRequests(t *testing.T) {
	t.Run("request that may run once", func(t *testing.T) { assertAnswers(t, false) })
	t.Run("idempotent request", func(t *testing.T) { assertAnswers(t, true) })
}
