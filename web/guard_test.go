package web_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/intake"
	"github.com/knapweedpulley/knapweedpulley/machine"
	"github.com/knapweedpulley/knapweedpulley/web"
)

// bubbleClock is the virtual time of a test.
type bubbleClock struct{}

func (bubbleClock) Now() knapweedpulley.Instant {
	return knapweedpulley.Instant(time.Now().UnixNano())
}

// pipes is a listener whose connections are pipes, which work in virtual time.
type pipes struct {
	accepted chan net.Conn
	closed   chan struct{}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.accepted:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	close(p.closed)
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

const (
	guardedLimit   = 64 * knapweedpulley.KiB
	maxConnections = 4
)

// guarded is a guarded server that reads bodies of up to guardedLimit. Its budget holds two of them.
type guarded struct {
	*pipes
	t *testing.T
}

// inBubble runs a subtest with a guarded server in virtual time.
func inBubble(t *testing.T, name string, test func(*testing.T, *guarded)) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := web.NewGuard(intake.Limits{Bodies: 3 * guardedLimit, Heads: guardedLimit, Callers: maxConnections}, bubbleClock{})
			connections := web.NewConnections()
			p := &pipes{accepted: make(chan net.Conn), closed: make(chan struct{})}
			server := &http.Server{ConnState: connections.Track, ConnContext: web.ConnContext, ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(
				func(w http.ResponseWriter, r *http.Request) {
					if refusal := web.SurplusRefusal(w, r); refusal != nil {
						web.WriteRefusal(w, refusal)
						return
					}
					if r.URL.Path == "/long" {
						_, _ = io.Copy(w, io.LimitReader(endless{}, 1<<30))
						return
					}
					body, err := g.ReadBody(w, r, web.BodyOptions{
						Limit: guardedLimit, Weight: 1, Owner: func() intake.Owner { return intake.Owner(r.URL.Path) },
					})
					if err != nil {
						web.WriteRefusal(w, knapweedpulley.RefusalOf(err, knapweedpulley.CodeInternal))
						return
					}
					defer body.Release()
					if strings.HasPrefix(r.URL.Path, "/hold") {
						<-r.Context().Done()
					}
					_, _ = fmt.Fprintf(w, "%d bytes", len(body.Data))
				})}
			done := make(chan struct{})
			go func() {
				defer close(done)
				_ = server.Serve(g.Listen(p, connections, maxConnections))
			}()
			defer func() {
				_ = server.Close()
				<-done
				// Clients notice it at their next write.
				time.Sleep(2 * time.Second)
			}()
			test(t, &guarded{pipes: p, t: t})
		})
	})
}

// endless yields bytes without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// dial opens a connection to the server.
func (g *guarded) dial() net.Conn {
	client, server := net.Pipe()
	g.accepted <- server
	g.t.Cleanup(func() { _ = client.Close() })
	return client
}

// send writes a text to a new connection in the background.
func (g *guarded) send(text string) net.Conn {
	c := g.dial()
	go func() { _, _ = io.WriteString(c, text) }()
	return c
}

func announced(path string, size, sent int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, size, strings.Repeat("x", sent))
}

func chunked(path string, chunk, count int, end string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" +
		strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk)), count) + end
}

// assertStatus asserts the status of an answer and, of refusals, that the request didn't run.
func assertStatus(t *testing.T, c net.Conn, status int) {
	t.Helper()
	is := is.New(t)
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	is.NoErr(err)
	is.Equal(answer.StatusCode, status)
	if status != http.StatusOK {
		is.True(bytes.Contains(body, []byte(`"verdict":"notRun"`)))
	}
	if status == http.StatusServiceUnavailable {
		is.True(answer.Header.Get("Retry-After") != "")
	}
}

func TestReadBody(t *testing.T) {
	const limit = int(guardedLimit)
	inBubble(t, "a body of the limit is read", func(t *testing.T, g *guarded) {
		assertStatus(t, g.send(announced("/", limit, limit)), http.StatusOK)
	})
	inBubble(t, "a chunked body of the limit is read", func(t *testing.T, g *guarded) {
		assertStatus(t, g.send(chunked("/", 16, limit/16, "0\r\n\r\n")), http.StatusOK)
	})
	// Guards against bodies that are read in part before they are refused.
	inBubble(t, "a body that is announced as too large is refused", func(t *testing.T, g *guarded) {
		assertStatus(t, g.send(announced("/", limit+1, 0)), http.StatusRequestEntityTooLarge)
	})
	inBubble(t, "a chunked body over the limit is refused", func(t *testing.T, g *guarded) {
		assertStatus(t, g.send(chunked("/", 16, limit/16+1, "")), http.StatusRequestEntityTooLarge)
	})
	// Guards against a connection that is held for ever by a body without its last byte.
	inBubble(t, "a body that stops short is refused", func(t *testing.T, g *guarded) {
		assertStatus(t, g.send(announced("/", 100, 99)), http.StatusRequestTimeout)
	})
	// Guards against a byte a second that holds a place.
	inBubble(t, "a trickle is refused", func(t *testing.T, g *guarded) {
		c := g.send(announced("/", limit, 0))
		go func() {
			for {
				time.Sleep(time.Second)
				if _, err := c.Write([]byte("x")); err != nil {
					return
				}
			}
		}()
		assertStatus(t, c, http.StatusRequestTimeout)
	})
	inBubble(t, "a slow body that makes progress is read", func(t *testing.T, g *guarded) {
		c := g.dial()
		go func() {
			_, _ = io.WriteString(c, announced("/", limit, 0))
			for range limit / 2048 {
				time.Sleep(time.Second)
				_, _ = io.WriteString(c, strings.Repeat("x", 2048))
			}
		}()
		assertStatus(t, c, http.StatusOK)
	})
	// Guards against bodies that stop short of their end and hold all memory.
	inBubble(t, "a body that stops short gives way to one that waits", func(t *testing.T, g *guarded) {
		first := g.send(announced("/a", limit, limit-1))
		synctest.Wait()
		g.send(announced("/b", limit, limit-1))
		synctest.Wait()
		third := g.send(announced("/c", limit, limit))
		assertStatus(t, first, http.StatusRequestTimeout)
		assertStatus(t, third, http.StatusOK)
	})
	inBubble(t, "a body for which no memory becomes free is refused", func(t *testing.T, g *guarded) {
		g.send(announced("/hold/a", limit, limit))
		g.send(announced("/hold/b", limit, limit))
		synctest.Wait()
		assertStatus(t, g.send(announced("/c", limit, 0)), http.StatusServiceUnavailable)
		assertStatus(t, g.send(announced("/c", 100, 100)), http.StatusOK)
	})
	// Guards against deadlines of a body that end the next request on the connection, or the work on it.
	inBubble(t, "a connection is used again after a body", func(t *testing.T, g *guarded) {
		c := g.send(announced("/", 100, 100))
		assertStatus(t, c, http.StatusOK)
		time.Sleep(40 * time.Second)
		go func() { _, _ = io.WriteString(c, announced("/", 100, 100)) }()
		assertStatus(t, c, http.StatusOK)
	})
}

func TestGuardedConnections(t *testing.T) {
	const limit = int(guardedLimit)
	assertClosed := func(t *testing.T, c net.Conn) {
		t.Helper()
		began := time.Now()
		answer, _ := io.ReadAll(c)
		// Otherwise it is closed when the time for its head has passed.
		is.New(t).True(time.Since(began) < time.Minute)
		is.New(t).True(!bytes.HasPrefix(answer, []byte("HTTP/1.1 200")))
	}
	// Guards against connections without a request that lock out ordinary callers.
	inBubble(t, "the oldest half of a head gives way to a new connection", func(t *testing.T, g *guarded) {
		var waiting []net.Conn
		for range maxConnections {
			waiting = append(waiting, g.send("POST / HTTP/1.1\r\nHost: h\r\n"))
			time.Sleep(time.Millisecond)
		}
		assertStatus(t, g.send(announced("/", 100, 100)), http.StatusOK)
		assertClosed(t, waiting[0])
	})
	// Guards against a burst that closes connections whose first request is still on its way, or whose
	// connections are refused while idle ones could give way.
	inBubble(t, "idle connections give way to a burst", func(t *testing.T, g *guarded) {
		for range 3 {
			var burst []net.Conn
			for range maxConnections {
				burst = append(burst, g.dial())
			}
			for _, c := range burst {
				go func() { _, _ = io.WriteString(c, announced("/", 100, 100)) }()
			}
			for _, c := range burst {
				assertStatus(t, c, http.StatusOK)
			}
			time.Sleep(time.Millisecond)
		}
	})
	inBubble(t, "a half of a head gives way before an idle connection", func(t *testing.T, g *guarded) {
		idle := g.send(announced("/", 100, 100))
		assertStatus(t, idle, http.StatusOK)
		var waiting []net.Conn
		for range maxConnections - 1 {
			waiting = append(waiting, g.send("POST / HTTP/1.1\r\nHost: h\r\n"))
		}
		time.Sleep(2 * time.Second)
		for range waiting {
			assertStatus(t, g.send(announced("/", 100, 100)), http.StatusOK)
		}
		go func() { _, _ = io.WriteString(idle, announced("/", 100, 100)) }()
		assertStatus(t, idle, http.StatusOK)
	})
	// Guards against callers that get no answer while all connections have requests.
	inBubble(t, "a request is refused if all other connections have one", func(t *testing.T, g *guarded) {
		for range maxConnections {
			g.send(announced("/hold", 100, 100))
		}
		synctest.Wait()
		for range 3 * maxConnections {
			c := g.send(announced("/", 100, 100))
			assertStatus(t, c, http.StatusServiceUnavailable)
			assertClosed(t, c)
			synctest.Wait()
		}
	})
	inBubble(t, "a new connection is closed if all others have a request and enough are refused", func(t *testing.T, g *guarded) {
		for range maxConnections {
			g.send(announced("/hold", 100, 100))
		}
		synctest.Wait()
		const surplus = 4
		for range surplus {
			g.send(announced("/", 100, 50))
		}
		synctest.Wait()
		assertClosed(t, g.dial())
	})
	// Guards against heads of many short fields, which take many times their size.
	inBubble(t, "long heads don't take more memory than there is", func(t *testing.T, g *guarded) {
		assertClosed(t, g.send("POST / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", limit/8)))
	})
	// Guards against a client that never reads its answer and holds its connection for ever.
	inBubble(t, "an answer that isn't read ends the connection", func(t *testing.T, g *guarded) {
		for range maxConnections {
			g.send("GET /long HTTP/1.1\r\nHost: h\r\n\r\n")
		}
		time.Sleep(time.Minute)
		assertStatus(t, g.send(announced("/", 100, 100)), http.StatusOK)
	})
	inBubble(t, "a slow reader gets its answer", func(t *testing.T, g *guarded) {
		c := g.send("GET /long HTTP/1.1\r\nHost: h\r\n\r\n")
		for range 100 {
			time.Sleep(time.Second)
			_, err := io.ReadFull(c, make([]byte, 2048))
			is.New(t).NoErr(err)
		}
	})
}

// Guards against a stop that resets the connections that callers have made and that aren't accepted yet.
func TestGuardedListenerTellsOfPendingConnections(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := web.NewMachineGuard(0, 0).Listen(inner, web.NewConnections(), maxConnections)
	defer func() { _ = l.Close() }()
	is.True(!machine.HasPending(l)) // nobody has connected
	c, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	is.True(machine.HasPending(l)) // the connection isn't accepted yet
}

// deadlineWriter accepts deadlines, as the connections of net/http do.
type deadlineWriter struct{ http.ResponseWriter }

func (deadlineWriter) SetReadDeadline(time.Time) error { return nil }

// BenchmarkReadBody compares the body of an ordinary request with the one before the guard.
func BenchmarkReadBody(b *testing.B) {
	data := bytes.Repeat([]byte("x"), 2048)
	run := func(b *testing.B, read func(w http.ResponseWriter, r *http.Request)) {
		b.Helper()
		b.ReportAllocs()
		r, w, body := httptest.NewRequest(http.MethodPost, "/", nil), deadlineWriter{httptest.NewRecorder()}, bytes.NewReader(data)
		r.ContentLength, r.Body = int64(len(data)), io.NopCloser(body)
		for b.Loop() {
			body.Reset(data)
			read(w, r)
		}
	}
	b.Run("unguarded", func(b *testing.B) {
		run(b, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(http.MaxBytesReader(w, r.Body, int64(guardedLimit)))
		})
	})
	b.Run("guarded", func(b *testing.B) {
		g := web.NewGuard(intake.NewLimits(144_000_000, 3075), bubbleClock{})
		run(b, func(w http.ResponseWriter, r *http.Request) {
			body, err := g.ReadBody(w, r, web.BodyOptions{Limit: guardedLimit, Weight: 1})
			if err != nil || len(body.Data) != len(data) {
				b.Error(err)
			}
			body.Release()
		})
	})
}
