package logbook_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley/logbook"
)

// output is a log output that blocks until unblocked is closed.
type output struct {
	mu        sync.Mutex
	text      bytes.Buffer
	unblocked chan struct{}
}

func (o *output) Write(p []byte) (int, error) {
	<-o.unblocked
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func newOutput() *output {
	return &output{unblocked: make(chan struct{})}
}

func (o *output) assertHas(t *testing.T, part string, want bool) {
	t.Helper()
	o.mu.Lock()
	defer o.mu.Unlock()
	is.New(t).Equal(strings.Contains(o.text.String(), part), want)
}

func TestQueue(t *testing.T) {
	t.Run("lines are written in order", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			o := newOutput()
			close(o.unblocked)
			q, cleanup := logbook.NewQueue(o)
			_, err := q.Write([]byte("one\n"))
			is.New(t).NoErr(err)
			_, err = q.Write([]byte("two\n"))
			is.New(t).NoErr(err)
			cleanup()
			o.assertHas(t, "one\ntwo\n", true)
			o.assertHas(t, "dropped", false)
		})
	})
	t.Run("a blocked output blocks no writer and dropped lines are reported", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			o := newOutput()
			q, cleanup := logbook.NewQueue(o)
			for range 10_000 {
				_, err := q.Write([]byte("line\n"))
				is.New(t).NoErr(err)
			}
			close(o.unblocked)
			cleanup()
			o.assertHas(t, `"log lines dropped"`, true)
		})
	})
	t.Run("the rate of lines is limited", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			o := newOutput()
			close(o.unblocked)
			q, cleanup := logbook.NewQueue(o)
			const seconds = 20
			for range seconds * 1000 {
				_, _ = q.Write([]byte("line\n"))
				time.Sleep(time.Millisecond)
			}
			cleanup()
			o.mu.Lock()
			defer o.mu.Unlock()
			n := strings.Count(o.text.String(), "line\n")
			is.New(t).True(n <= 1024+400*seconds)
			is.New(t).True(n >= 400*seconds)
		})
	})
}
