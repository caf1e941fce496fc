package agent

import (
	"sync/atomic"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// bodyDivisor gives the part of the machine's memory that the bodies of queued and running requests
	// may take: an eighth. Each is there twice while it is received and while it is sent.
	bodyDivisor = 8
	// bodyRetryAfter is when a request that found no memory may return. Requests that ran end meanwhile.
	bodyRetryAfter = time.Second
)

// bodyMemory bounds the memory for the bodies of queued and running requests. Entries bound what each of
// them sends, but don't know of each other.
type bodyMemory struct {
	limit knapweedpulley.Bytes
	taken atomic.Int64
}

func newBodyMemory(machine knapweedpulley.Bytes) *bodyMemory {
	return &bodyMemory{limit: machine / bodyDivisor}
}

// reserve reserves memory for a request, or refuses it. A single request always gets it.
func (m *bodyMemory) reserve(r knapweedpulley.Request) *knapweedpulley.Refusal {
	n := int64(len(r.Body))
	if taken := m.taken.Add(n); taken <= int64(m.limit) || taken == n {
		return nil
	}
	m.taken.Add(-n)
	return knapweedpulley.NewRefusal(knapweedpulley.CodeOverloaded, knapweedpulley.NotRun,
		"the memory for request bodies is used up").WithRetryAfter(bodyRetryAfter)
}

// release releases what reserve has reserved.
func (m *bodyMemory) release(r knapweedpulley.Request) {
	m.taken.Add(-int64(len(r.Body)))
}
