package store_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/machine/fake"
	"github.com/knapweedpulley/knapweedpulley/store"
)

func newClient(t *testing.T, address string) *store.Client {
	t.Helper()
	c, cleanup, err := store.NewClient(store.Settings{Address: address})
	is.New(t).NoErr(err)
	t.Cleanup(cleanup)
	return c
}

func newClientOfHandler(t *testing.T, handler http.HandlerFunc) *store.Client {
	t.Helper()
	return newClient(t, newServerOfHandler(t, handler))
}

// newServerOfHandler starts a server and returns its address.
func newServerOfHandler(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// newResettingServer starts a server that answers the first request and resets the
// connections of all others after reading them. It returns the address and the number
// of requests so far.
func newResettingServer(t *testing.T) (string, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	requests := new(atomic.Int64)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerFirstRequest(conn, requests)
		}
	}()
	return listener.Addr().String(), requests
}

func answerFirstRequest(conn net.Conn, requests *atomic.Int64) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_ = r.Body.Close()
		if requests.Add(1) > 1 {
			break
		}
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"revision\":1}"))
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// newRepeatingServer starts a server that refuses the first write and accepts the others. Before each
// answer it repeats the one before on the same connection.
func newRepeatingServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	writes := new(atomic.Int64)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go repeatAnswers(conn, writes)
		}
	}()
	return listener.Addr().String()
}

func repeatAnswers(conn net.Conn, writes *atomic.Int64) {
	defer func() { _ = conn.Close() }()
	reader, last := bufio.NewReader(conn), ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		answer := "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"revision\":1}"
		if writes.Add(1) == 1 {
			answer = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"
		}
		_, _ = io.WriteString(conn, last+answer)
		last = answer
	}
}

func TestRepeatedConflictIsNotTheNextWrites(t *testing.T) {
	is := is.New(t)
	c := newClient(t, newRepeatingServer(t))
	_, err := c.Put(t.Context(), kind, name, []byte("1"), 0)
	assertError(t, err, knapweedpulley.ErrConflict)
	_, err = c.Put(t.Context(), kind, name, []byte("1"), 0)
	is.NoErr(err)
	_, err = c.Delete(t.Context(), kind, name, 1)
	is.NoErr(err)
}

func TestClientWrite(t *testing.T) {
	t.Run("a write is never sent twice", func(t *testing.T) {
		is := is.New(t)
		address, requests := newResettingServer(t)
		c := newClient(t, address)
		_, err := c.Put(t.Context(), kind, name, []byte("1"), 0)
		is.NoErr(err)
		_, err = c.Put(t.Context(), kind, name, []byte("2"), 1)
		assertError(t, err, knapweedpulley.ErrOutcomeUnknown)
		is.Equal(requests.Load(), int64(2))
	})
	t.Run("a removal is never sent twice", func(t *testing.T) {
		is := is.New(t)
		address, requests := newResettingServer(t)
		c := newClient(t, address)
		_, err := c.Put(t.Context(), kind, name, []byte("1"), 0)
		is.NoErr(err)
		_, err = c.Delete(t.Context(), kind, name, 1)
		assertError(t, err, knapweedpulley.ErrOutcomeUnknown)
		is.Equal(requests.Load(), int64(2))
	})
	t.Run("the outcome of a write that reached no server is known", func(t *testing.T) {
		address, release, err := fake.ReserveAddress()
		is := is.New(t)
		is.NoErr(err)
		defer release()
		_, err = newClient(t, address).Put(t.Context(), kind, name, []byte("1"), 0)
		is.True(err != nil)
		is.True(!errors.Is(err, knapweedpulley.ErrOutcomeUnknown))
	})
	t.Run("the outcome of a write whose answer is cut is unknown", func(t *testing.T) {
		c := newClientOfHandler(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Transfer-Encoding", "identity")
			_, _ = io.WriteString(w, `{"revi`)
		})
		_, err := c.Put(t.Context(), kind, name, []byte("1"), 0)
		assertError(t, err, knapweedpulley.ErrOutcomeUnknown)
	})
	statuses := []struct {
		status int
		want   error
	}{
		{http.StatusConflict, knapweedpulley.ErrConflict},
		{http.StatusServiceUnavailable, knapweedpulley.ErrOutcomeUnknown},
		{http.StatusTemporaryRedirect, knapweedpulley.ErrOutcomeUnknown},
	}
	for _, s := range statuses {
		t.Run(http.StatusText(s.status), func(t *testing.T) {
			requests := 0
			c := newClientOfHandler(t, func(w http.ResponseWriter, _ *http.Request) {
				requests++
				w.Header().Set("Location", "/elsewhere")
				w.WriteHeader(s.status)
			})
			_, err := c.Put(t.Context(), kind, name, []byte("1"), 0)
			assertError(t, err, s.want)
			is.New(t).Equal(requests, 1)
		})
	}
	t.Run("many failures open no circuit breaker", func(t *testing.T) {
		requests := 0
		c := newClientOfHandler(t, func(w http.ResponseWriter, _ *http.Request) {
			requests++
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		for range 100 {
			_, err := c.Get(t.Context(), kind, name)
			is.New(t).True(err != nil)
		}
		is.New(t).Equal(requests, 100)
	})
}

func TestClientRead(t *testing.T) {
	t.Run("a watch passes its parameters and decodes changes", func(t *testing.T) {
		is := is.New(t)
		c := newClientOfHandler(t, func(w http.ResponseWriter, r *http.Request) {
			is.Equal(r.URL.String(), "/watch/permits?after=4&wait=1s")
			_, _ = w.Write([]byte(`{"changes":[{"kind":"permits","name":"a","revision":5,"deleted":true}],"revision":6}`))
		})
		changes, revision, err := c.Watch(t.Context(), kind, 4, time.Second)
		is.NoErr(err)
		is.Equal(revision, knapweedpulley.Revision(6))
		is.Equal(changes[0].Revision, knapweedpulley.Revision(5))
		is.True(changes[0].Deleted)
	})
	t.Run("missing objects and compacted changes have different errors", func(t *testing.T) {
		c := newClientOfHandler(t, func(w http.ResponseWriter, r *http.Request) {
			status := http.StatusNotFound
			if strings.HasPrefix(r.URL.Path, "/watch/") {
				status = http.StatusGone
			}
			w.WriteHeader(status)
		})
		_, err := c.Get(t.Context(), kind, name)
		assertError(t, err, knapweedpulley.ErrObjectNotFound)
		_, _, err = c.Watch(t.Context(), kind, 0, 0)
		assertError(t, err, knapweedpulley.ErrCompacted)
	})
	t.Run("a name is escaped in the path", func(t *testing.T) {
		is := is.New(t)
		c := newClientOfHandler(t, func(w http.ResponseWriter, r *http.Request) {
			is.Equal(r.URL.EscapedPath(), "/objects/permits/a%2Fb%20c")
			_, _ = w.Write([]byte(`{}`))
		})
		_, err := c.Get(t.Context(), kind, "a/b c")
		is.NoErr(err)
	})
	t.Run("machines are listed", func(t *testing.T) {
		is := is.New(t)
		c := newClientOfHandler(t, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"machines":[{"id":"m1","zone":"z1","leaving":true,"role":"agent"}],"sequence":3}`))
		})
		l, err := c.Machines(t.Context())
		is.NoErr(err)
		is.Equal(l.Sequence, uint64(3))
		is.Equal(l.Machines[0].Zone, knapweedpulley.ZoneID("z1"))
		is.True(l.Machines[0].Leaving)
	})
}

func assertOddObjectCostsNoOther(t *testing.T, odd, names string) {
	t.Helper()
	is := is.New(t)
	c := newClientOfHandler(t, func(w http.ResponseWriter, r *http.Request) {
		member := "objects"
		if strings.HasPrefix(r.URL.Path, "/watch/") {
			member = "changes"
		}
		_, _ = w.Write([]byte(`{"` + member + `":[{"kind":"permits","name":"a","revision":5,"value":{}},` + odd +
			`,{"kind":"permits","name":"z","revision":6,"value":{}}],"revision":9}`))
	})
	l, err := c.List(t.Context(), kind)
	is.NoErr(err)
	changes, revision, err := c.Watch(t.Context(), kind, 4, time.Second)
	is.NoErr(err)
	is.Equal(revision, knapweedpulley.Revision(9))
	var listed, changed []string
	for _, o := range l.Objects {
		listed = append(listed, o.Name)
	}
	for _, o := range changes {
		is.True(o.Revision > 0)
		is.Equal(o.Kind, kind)
		changed = append(changed, o.Name)
	}
	is.Equal(strings.Join(listed, " "), names)
	is.Equal(strings.Join(changed, " "), names)
}

func TestOddObjectCostsNoOther(t *testing.T) {
	deep := strings.Repeat("[", 10_001) + strings.Repeat("]", 10_001)
	t.Run("a value that can't be decoded", func(t *testing.T) {
		for _, value := range []string{deep, "NaN", "\"\xff\x00\"", "1e400"} {
			assertOddObjectCostsNoOther(t, `{"kind":"permits","name":"odd","revision":7,"value":`+value+`}`, "a odd z")
		}
	})
	t.Run("a member of another type", func(t *testing.T) {
		for _, member := range []string{`"revision":1e400`, `"revision":-1`, `"revision":"7"`} {
			assertOddObjectCostsNoOther(t, `{"kind":"permits","name":"odd",`+member+`,"value":{}}`, "a odd z")
		}
		for _, member := range []string{`"kind":7`, `"deleted":"x"`, `"unknown":` + deep} {
			assertOddObjectCostsNoOther(t, `{"name":"odd","revision":7,`+member+`,"value":{}}`, "a odd z")
		}
	})
	t.Run("no name", func(t *testing.T) {
		for _, odd := range []string{"5", "null", deep, "{}", `{"name":7}`, `{"name":` + deep + `}`} {
			assertOddObjectCostsNoOther(t, odd, "a z")
		}
	})
}

func TestClientDoesNotKeepLongAnswerThatIsNone(t *testing.T) {
	long := strings.Repeat("x", 1<<20)
	assertShortError := func(t *testing.T, handler http.HandlerFunc) {
		t.Helper()
		is := is.New(t)
		c := newClientOfHandler(t, handler)
		_, err := c.Get(t.Context(), knapweedpulley.KindEndpoints, "x")
		is.True(err != nil)
		is.True(len(fmt.Sprintf("%+v", err)) < 20_000)
		_, err = c.Put(t.Context(), knapweedpulley.KindEndpoints, "x", []byte("{}"), 0)
		is.True(err != nil)
		is.True(len(fmt.Sprintf("%+v", err)) < 20_000)
	}
	raw := func(answer string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_, _ = io.WriteString(conn, answer)
				_ = conn.Close()
			}
		}
	}
	t.Run("a field", func(t *testing.T) {
		assertShortError(t, raw("HTTP/1.1 200 OK\r\nContent-Length: 14\r\nX-Long: "+long+"\r\n\r\n{\"revision\":1}"))
	})
	t.Run("bytes that are no answer", func(t *testing.T) { assertShortError(t, raw(long+"\r\n\r\n")) })
	t.Run("a malformed field within the limit", func(t *testing.T) {
		assertShortError(t, raw("HTTP/1.1 200 OK\r\n"+long[:40<<10]+"\r\n\r\n"))
	})
	t.Run("the text of a refusal", func(t *testing.T) {
		assertShortError(t, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusBadRequest)
			_, _ = io.WriteString(w, long)
		})
	})
}
