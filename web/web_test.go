package web_test

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/zeromicro/go-zero/rest"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/intake"
	"github.com/knapweedpulley/knapweedpulley/web"
)

func freeAddress(t *testing.T) string {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func assertAnswer(t *testing.T, url string, status int, part string) {
	t.Helper()
	is := is.New(t)
	answer, err := http.Get(url) //nolint:gosec // The test's own server.
	is.NoErr(err)
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	is.NoErr(err)
	is.Equal(answer.StatusCode, status)
	is.True(strings.Contains(string(body), part))
}

// assertIncomplete asserts that a client notices that an answer broke off.
func assertIncomplete(t *testing.T, url string) {
	t.Helper()
	answer, err := http.Get(url) //nolint:gosec // The test's own server.
	if err != nil {
		return
	}
	defer func() { _ = answer.Body.Close() }()
	_, err = io.ReadAll(answer.Body)
	is.New(t).True(err != nil)
}

func TestServe(t *testing.T) {
	is := is.New(t)
	address := freeAddress(t)
	hello := func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("hello")) }
	partial := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 1<<16))
		panic(http.ErrAbortHandler)
	}
	panicking := func(http.ResponseWriter, *http.Request) { panic("fault") }
	withHeader := func(status int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Server-Stamp", "s1")
			w.Header().Set("Content-Length", "1")
			w.WriteHeader(status)
			panic("fault")
		}
	}
	panickingInBody := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 1<<16))
		panic("fault")
	}
	cleanup, err := web.Serve(address, nil, []rest.Route{
		{Method: http.MethodGet, Path: "/hello", Handler: hello},
		{Method: http.MethodGet, Path: "/part", Handler: partial},
		{Method: http.MethodGet, Path: "/fault", Handler: panicking},
		{Method: http.MethodGet, Path: "/fault-status", Handler: withHeader(0)},
		{Method: http.MethodGet, Path: "/fault-hints", Handler: withHeader(http.StatusEarlyHints)},
		{Method: http.MethodGet, Path: "/fault-head", Handler: withHeader(http.StatusOK)},
		{Method: http.MethodGet, Path: "/fault-body", Handler: panickingInBody},
	}, web.Prefix{Path: "/below/", Handler: hello})
	is.NoErr(err)

	t.Run("a route is served", func(t *testing.T) {
		assertAnswer(t, "http://"+address+"/hello", http.StatusOK, "hello")
	})
	t.Run("an unknown path is refused with a verdict", func(t *testing.T) {
		assertAnswer(t, "http://"+address+"/other", http.StatusNotFound, `"verdict":"notRun"`)
	})
	t.Run("a path below a prefix is served", func(t *testing.T) {
		assertAnswer(t, "http://"+address+"/below/a/b", http.StatusOK, "hello")
	})
	t.Run("a panic of a handler is answered with a verdict", func(t *testing.T) {
		assertAnswer(t, "http://"+address+"/fault", http.StatusInternalServerError, `"verdict":"mayHaveRun"`)
	})
	// Guards against a refusal that bears the header of another answer.
	for _, path := range []string{"/fault-status", "/fault-hints"} {
		t.Run("a refusal after a panic has nothing of the answer: "+path, func(t *testing.T) {
			assertAnswer(t, "http://"+address+path, http.StatusInternalServerError, `"verdict":"mayHaveRun"`)
			is := is.New(t)
			answer, err := http.Get("http://" + address + path) //nolint:gosec // The test's own server.
			is.NoErr(err)
			defer func() { _ = answer.Body.Close() }()
			is.Equal(answer.Header.Get("X-Server-Stamp"), "")
		})
	}
	t.Run("a partial answer does not look complete", func(t *testing.T) {
		assertIncomplete(t, "http://"+address+"/part")
	})
	t.Run("an answer in whose middle a handler panics does not look complete", func(t *testing.T) {
		assertIncomplete(t, "http://"+address+"/fault-body")
		assertIncomplete(t, "http://"+address+"/fault-head")
	})
	t.Run("a port in use is an error", func(t *testing.T) {
		_, err := web.Serve(address, nil, nil)
		is.New(t).True(err != nil)
	})
	t.Run("the clean-up stops the server", func(t *testing.T) {
		cleanup()
		_, err := net.Dial("tcp", address)
		is.New(t).True(err != nil)
	})
}

// Guards against a reset that overtakes the refusal of a body that the client still sends.
func TestRefusalOfABodyIsRead(t *testing.T) {
	is := is.New(t)
	const limit, size = 16 << 10, 8 << 20
	g := web.NewMachineGuard(0, 0)
	handle := func(w http.ResponseWriter, r *http.Request) {
		_, err := g.ReadBody(w, r, web.BodyOptions{Limit: limit, Owner: func() intake.Owner { return "" }})
		if err != nil {
			web.WriteRefusal(w, knapweedpulley.RefusalOf(err, knapweedpulley.CodeInternal))
		}
	}
	address := freeAddress(t)
	cleanup, err := g.ServeCallers(address, []rest.Route{{Method: http.MethodPost, Path: "/", Handler: handle}})
	is.NoErr(err)
	t.Cleanup(cleanup)
	assertRefused := func(t *testing.T, body io.Reader) {
		t.Helper()
		is := is.New(t)
		answer, err := http.Post("http://"+address+"/", "text/plain", body)
		is.NoErr(err)
		defer func() { _ = answer.Body.Close() }()
		is.Equal(answer.StatusCode, http.StatusRequestEntityTooLarge)
	}
	for range 20 {
		assertRefused(t, bytes.NewReader(make([]byte, size)))
		assertRefused(t, io.LimitReader(bytes.NewReader(make([]byte, size)), size))
	}
}

func TestServeAnswersRequestsDuringItsCleanUp(t *testing.T) {
	is := is.New(t)
	address := freeAddress(t)
	running, end := make(chan struct{}), make(chan struct{})
	cleanup, err := web.Serve(address, nil, []rest.Route{
		{Method: http.MethodGet, Path: "/hello", Handler: func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("hello")) }},
		{Method: http.MethodGet, Path: "/long", Handler: func(w http.ResponseWriter, _ *http.Request) {
			close(running)
			<-end
			_, _ = w.Write([]byte("done"))
		}},
	})
	is.NoErr(err)
	// The server accepts connections in order, so that it has accepted both once the second is in use.
	late, long := dial(t, address), dial(t, address)
	request(t, long, "/long")
	<-running
	cleaned := make(chan struct{})
	go func() {
		defer close(cleaned)
		cleanup()
	}()
	for {
		c, err := net.Dial("tcp", address)
		if err != nil {
			break
		}
		_ = c.Close()
		time.Sleep(time.Millisecond)
	}

	t.Run("a request over a connection opened before is answered", func(t *testing.T) {
		request(t, late, "/hello")
		assertLastAnswer(t, late, "hello")
	})
	t.Run("a running request is answered", func(t *testing.T) {
		close(end)
		assertLastAnswer(t, long, "done")
		<-cleaned
	})
}

func TestCleanUpEndsDespiteBusyHTTP2Connection(t *testing.T) {
	is := is.New(t)
	model := httptest.NewUnstartedServer(nil)
	model.EnableHTTP2 = true
	model.StartTLS()
	defer model.Close()
	address := freeAddress(t)
	cleanup, err := web.Serve(address, &tls.Config{Certificates: model.TLS.Certificates}, []rest.Route{
		{Method: http.MethodGet, Path: "/slow", Handler: func(http.ResponseWriter, *http.Request) { time.Sleep(50 * time.Millisecond) }},
	})
	is.NoErr(err)
	client, end := model.Client(), time.Now().Add(3*time.Second)
	get := func() bool {
		answer, err := client.Get("https://" + address + "/slow")
		if err == nil {
			_ = answer.Body.Close()
		}
		return err == nil && answer.ProtoMajor == 2
	}
	is.True(get())
	var group sync.WaitGroup
	for range 2 {
		group.Go(func() {
			for get() && time.Now().Before(end) {
				continue
			}
		})
		time.Sleep(25 * time.Millisecond)
	}
	cleanup()
	is.True(time.Now().Before(end))
	group.Wait()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func request(t *testing.T, c net.Conn, path string) {
	t.Helper()
	is.New(t).NoErr(send(c, path))
}

func send(c net.Conn, path string) error {
	_, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
	return err
}

// assertLastAnswer asserts that an answer comes that asks to close the connection.
func assertLastAnswer(t *testing.T, c net.Conn, body string) {
	t.Helper()
	is := is.New(t)
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	is.NoErr(err)
	is.Equal(string(data), body)
	is.True(answer.Close)
}
