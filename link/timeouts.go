package link

import (
	"sync"
	"time"
)

// maxConsecutiveTimeouts is the number of consecutive calls to an address whose timeout
// causes the connection to be replaced.
const maxConsecutiveTimeouts = 3

// timeoutRow is a row of consecutive timeouts.
type timeoutRow struct {
	count int
	since time.Time
}

// timeoutCounter counts consecutive timeouts of the calls to each address, to detect
// connections that have stopped delivering data.
type timeoutCounter struct {
	// minDuration is the least time from the first to the last timeout of a row. It matters
	// if calls are made concurrently, so that a short silence ends several of them.
	minDuration time.Duration

	mu   sync.Mutex
	rows map[string]timeoutRow
}

func newTimeoutCounter(minDuration time.Duration) *timeoutCounter {
	return &timeoutCounter{minDuration: minDuration, rows: make(map[string]timeoutRow)}
}

// record records the outcome of a call to address and reports whether the connection is
// to be replaced. The row of timeouts restarts then, and if timeout is false.
func (c *timeoutCounter) record(address string, timeout bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !timeout {
		delete(c.rows, address)
		return false
	}
	r, known := c.rows[address]
	if !known {
		r.since = time.Now()
	}
	r.count++
	if r.count < maxConsecutiveTimeouts || time.Since(r.since) < c.minDuration {
		c.rows[address] = r
		return false
	}
	delete(c.rows, address)
	return true
}
