package web_test

import (
	"bufio"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/web"
)

// crossing is a server whose unused connections are closed while requests arrive.
type crossing struct {
	*httptest.Server
	connections *web.Connections

	mu     sync.Mutex
	served knapweedpulley.Set[string]
}

func newCrossing(t *testing.T) *crossing {
	t.Helper()
	c := &crossing{connections: web.NewConnections(), served: make(knapweedpulley.Set[string])}
	c.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		c.served.Add(r.URL.Path)
		c.mu.Unlock()
		w.Header().Set("Connection", "close")
	}))
	c.Config.ConnState = c.connections.Track
	c.Start()
	t.Cleanup(c.Close)
	return c
}

// assertAnswered sends a request and asserts that it is answered if the server has served it. Sending
// fails if the server has closed the connection before; it must not have served the request then.
func (c *crossing) assertAnswered(t *testing.T, connection net.Conn, path string) {
	t.Helper()
	err := send(connection, path)
	if err == nil {
		var answer *http.Response
		if answer, err = http.ReadResponse(bufio.NewReader(connection), nil); err == nil {
			_ = answer.Body.Close()
			return
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	is.New(t).True(!c.served.Has(path))
}

func TestCloseUnusedCutsNoServedRequest(t *testing.T) {
	const rounds, callers, span = 20, 200, 2 * time.Millisecond
	for range rounds {
		c := newCrossing(t)
		var group sync.WaitGroup
		begin := make(chan struct{})
		for n := range callers {
			connection := dial(t, c.Listener.Addr().String())
			group.Go(func() {
				<-begin
				time.Sleep(rand.N(span))
				c.assertAnswered(t, connection, "/"+strconv.Itoa(n))
			})
		}
		close(begin)
		time.Sleep(span / 2)
		c.connections.CloseUnused()
		c.connections.AwaitEnd(time.Now().Add(time.Second))
		_ = c.Config.Close()
		group.Wait()
	}
}

func BenchmarkTrack(b *testing.B) {
	b.ReportAllocs()
	c := web.NewConnections()
	b.RunParallel(func(p *testing.PB) {
		connection := &net.TCPConn{}
		c.Track(connection, http.StateNew)
		for p.Next() {
			c.Track(connection, http.StateActive)
			c.Track(connection, http.StateIdle)
		}
	})
}
