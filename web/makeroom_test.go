package web

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against connections of a burst that are refused because those that they replace haven't ended yet.
func TestMakeRoomAwaitsClosing(t *testing.T) {
	const maximum = 10
	fill := func(c *Connections) (open []net.Conn) {
		for range maximum {
			connection, _ := net.Pipe()
			c.Track(connection, http.StateNew)
			open = append(open, connection)
		}
		return open
	}
	inBubble := func(name string, test func(*is.I, *Connections)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(is.New(t), NewConnections()) })
		})
	}
	inBubble("connections that end late", func(is *is.I, c *Connections) {
		for _, connection := range fill(c) {
			time.AfterFunc(50*time.Millisecond, func() { c.Track(connection, http.StateClosed) })
		}
		for range maximum {
			_, a := c.makeRoom(maximum)
			is.Equal(a, admitted) // one of those that are closed ends in time
			fresh, _ := net.Pipe()
			c.Track(fresh, http.StateNew)
			is.True(c.count.Load() <= maximum+minSlack)
		}
	})
	inBubble("connections that don't end", func(is *is.I, c *Connections) {
		fill(c)
		used := 0
		for range maximum {
			if _, a := c.makeRoom(maximum); a != rejected {
				used++
				fresh, _ := net.Pipe()
				c.Track(fresh, http.StateNew)
			}
		}
		is.Equal(used, minSlack) // the bound holds
	})
	inBubble("connections with a request after all", func(is *is.I, c *Connections) {
		open := fill(c)
		time.Sleep(time.Millisecond)
		for range minSlack {
			_, a := c.makeRoom(maximum)
			is.Equal(a, admitted)
			fresh, _ := net.Pipe()
			c.Track(fresh, http.StateNew)
		}
		for _, connection := range open {
			c.Track(connection, http.StateActive)
		}
		is.Equal(c.closing.Load(), int64(0)) // they are open like others
		for _, connection := range open {
			c.Track(connection, http.StateClosed)
		}
		replaced, a := c.makeRoom(maximum)
		is.True(a == admitted && !replaced) // their places are free
	})
}
