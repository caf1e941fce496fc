package intake

import (
	"sync/atomic"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"
)

// Event is a limit that was applied to a client.
type Event int

// Events.
const (
	// NoMemory is a request that was refused because the budget was used up.
	NoMemory Event = iota
	// BodyTooLarge is a request whose body exceeds the limit.
	BodyTooLarge
	// BodyTooSlow is a request whose body made too little progress.
	BodyTooSlow
	// BodyDropped is one that was dropped for others that waited.
	BodyDropped
	// HeadTooLarge is a connection that was closed because long heads take too much memory.
	HeadTooLarge
	// AnswerNotRead is a connection whose client read too little of an answer.
	AnswerNotRead
	// ConnectionReplaced is a connection without a request that was closed for a new one.
	ConnectionReplaced
	// ConnectionRefused is a new connection that was closed because all others were in use.
	ConnectionRefused
	eventCount
)

// String returns the event's name in metrics and logs.
func (e Event) String() string {
	return [...]string{
		"noMemory", "bodyTooLarge", "bodyTooSlow", "bodyDropped", "headTooLarge", "answerNotRead", "connectionReplaced",
		"connectionRefused",
	}[e]
}

// Recorder counts events.
type Recorder struct {
	counts   [eventCount]atomic.Int64
	reported [eventCount]int64
}

// NewRecorder returns a recorder without events.
func NewRecorder() *Recorder {
	return &Recorder{}
}

// Record counts an event.
func (r *Recorder) Record(e Event) {
	r.counts[e].Add(1)
}

// Count returns how often an event has been recorded.
func (r *Recorder) Count(e Event) int64 {
	return r.counts[e].Load()
}

// Report adds the events since the last report to the scope's counters, and logs one line if there were
// any, however many there were. Only one goroutine may call it.
func (r *Recorder) Report(scope tally.Scope, logger log.Interface) {
	fields := log.Fields{}
	for e := range eventCount {
		count := r.counts[e].Load()
		if n := count - r.reported[e]; n > 0 {
			scope.Tagged(map[string]string{"limit": e.String()}).Counter("clients_limited").Inc(n)
			fields[e.String()] = n
		}
		r.reported[e] = count
	}
	if len(fields) > 0 {
		logger.WithFields(fields).Warn("limits were applied to clients")
	}
}
