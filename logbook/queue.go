package logbook

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// maxQueuedLines bounds the number of lines that wait to be written.
	maxQueuedLines = 1024
	// maxLinesPerSecond bounds the average rate of lines. It allows a few lines for each request at
	// the rate that one gateway serves.
	maxLinesPerSecond = 400
	// dropReportPeriod is the time between two lines that report dropped lines.
	dropReportPeriod = time.Second
)

// Queue is a writer that never blocks. It drops and counts lines beyond its limits.
type Queue struct {
	out     io.Writer
	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Int64
}

// NewQueue returns a queue that writes to out. The clean-up writes the lines that still wait.
func NewQueue(out io.Writer) (*Queue, knapweedpulley.Cleanup) {
	q := &Queue{
		out: out, lines: make(chan []byte, maxQueuedLines),
		limiter: rate.NewLimiter(maxLinesPerSecond, maxQueuedLines),
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() { q.run(stop) })
	return q, func() {
		close(stop)
		running.Wait()
	}
}

// Write implements io.Writer. Each call must contain exactly one line.
func (q *Queue) Write(p []byte) (int, error) {
	if !q.limiter.Allow() {
		q.dropped.Add(1)
		return len(p), nil
	}
	select {
	case q.lines <- append([]byte(nil), p...):
	default:
		q.dropped.Add(1)
	}
	return len(p), nil
}

func (q *Queue) run(stop <-chan struct{}) {
	ticker := time.NewTicker(dropReportPeriod)
	defer ticker.Stop()
	for {
		select {
		case line := <-q.lines:
			q.write(line)
		case <-ticker.C:
			q.reportDropped()
		case <-stop:
			q.drain()
			return
		}
	}
}

// write writes a line. Errors are discarded, since a failure to write logs can't be logged.
func (q *Queue) write(line []byte) {
	_, _ = q.out.Write(line)
}

func (q *Queue) drain() {
	for {
		select {
		case line := <-q.lines:
			q.write(line)
		default:
			q.reportDropped()
			return
		}
	}
}

func (q *Queue) reportDropped() {
	if n := q.dropped.Swap(0); n > 0 {
		q.write(fmt.Appendf(nil, `{"level":"warn","message":"log lines dropped","fields":{"lines":%d}}`+"\n", n))
	}
}
