package web

import (
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley/intake"
)

// kernelBuffer is a connection with a send buffer as the kernel's: once full, it accepts nothing until a
// third is free.
type kernelBuffer struct {
	net.Conn
	// rate is how many bytes the client reads a second.
	rate     int
	queued   int
	readAt   time.Time
	deadline time.Time
}

const kernelBufferSize = 128 << 10

// read has the client read until now.
func (k *kernelBuffer) read() int {
	now := time.Now()
	k.queued = max(0, k.queued-int(now.Sub(k.readAt).Seconds()*float64(k.rate)))
	k.readAt = now
	return k.queued
}

func (k *kernelBuffer) SetWriteDeadline(t time.Time) error {
	k.deadline = t
	return nil
}

func (k *kernelBuffer) Write(b []byte) (int, error) {
	if k.read()+len(b) > kernelBufferSize {
		for k.read() > kernelBufferSize*2/3 {
			if !time.Now().Before(k.deadline) {
				return 0, os.ErrDeadlineExceeded
			}
			time.Sleep(time.Second)
		}
	}
	k.queued += len(b)
	return len(b), nil
}

func TestSlowReaders(t *testing.T) {
	inBuffer := func(t *testing.T, name string, rate int, test func(*testing.T, *guardedConn)) {
		t.Helper()
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := &kernelBuffer{rate: rate, readAt: time.Now()}
				g := &guardedConn{Conn: k, guard: NewGuard(intake.Limits{}, nil), unacknowledged: k.read}
				test(t, g)
			})
		})
	}
	assertStalls := func(t *testing.T, g *guardedConn, err error, count int64) {
		t.Helper()
		is := is.New(t)
		is.Equal(err != nil, count > 0)
		is.Equal(g.guard.recorder.Count(intake.AnswerNotRead), count)
	}
	const answer = 512 << 10
	// Guards against resetting a client that reads 16 KiB in stallTime, while the kernel waits for more.
	inBuffer(t, "a whole answer over a slow link", 1200, func(t *testing.T, g *guardedConn) {
		_, err := g.Write(make([]byte, answer))
		assertStalls(t, g, err, 0)
	})
	inBuffer(t, "events over a slow link", 1200, func(t *testing.T, g *guardedConn) {
		var err error
		for n := 0; n < answer && err == nil; n += 45 {
			_, err = g.Write(make([]byte, 45))
			time.Sleep(10 * time.Millisecond)
		}
		assertStalls(t, g, err, 0)
	})
	inBuffer(t, "a client that reads a byte a second", 1, func(t *testing.T, g *guardedConn) {
		_, err := g.Write(make([]byte, answer))
		assertStalls(t, g, err, 1)
	})
	// Guards against a client that never reads and holds its connection for twice stallTime, because its
	// kernel took some at once.
	inBuffer(t, "a client whose kernel alone takes some", 0, func(t *testing.T, g *guardedConn) {
		kernel := 64 << 10
		k := g.unacknowledged
		g.unacknowledged = func() int { return max(0, k()-kernel) }
		began := time.Now()
		_, err := g.Write(make([]byte, answer))
		assertStalls(t, g, err, 1)
		is.New(t).True(time.Since(began) < 2*stallTime-stallCheckPeriod) // in virtual time
	})
	inBuffer(t, "the server's own limit", 1200, func(t *testing.T, g *guardedConn) {
		is := is.New(t)
		is.NoErr(g.SetWriteDeadline(time.Now().Add(20 * time.Second)))
		_, err := g.Write(make([]byte, answer))
		is.True(err != nil)                                              // the limit holds for slow clients too
		is.Equal(g.guard.recorder.Count(intake.AnswerNotRead), int64(0)) // it isn't a stall
	})
}
