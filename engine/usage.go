package engine

import (
	"bytes"
	"encoding/json"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// maxWholeAnswerBytes bounds the part of a non-streamed answer kept to parse its usage.
	maxWholeAnswerBytes = 4 * int(knapweedpulley.MiB)
	// maxEventBytes bounds the part of a server-sent event that is kept.
	maxEventBytes = int(knapweedpulley.MiB)
)

var (
	dataField = []byte("data:")
	usageKey  = []byte(`"usage"`)
	doneEvent = []byte("[DONE]")
)

// UsageReader parses the usage from an answer that it observes in pieces.
type UsageReader struct {
	stream    bool
	pending   []byte
	oversized bool
	sawDone   bool
	usage     knapweedpulley.Usage
}

// NewUsageReader returns a reader for a stream of server-sent events or for a whole answer.
func NewUsageReader(stream bool) *UsageReader {
	return &UsageReader{stream: stream}
}

// Observe processes the next bytes of the answer and keeps no reference to p.
func (u *UsageReader) Observe(p []byte) {
	if !u.stream {
		if len(u.pending)+len(p) <= maxWholeAnswerBytes {
			u.pending = append(u.pending, p...)
			return
		}
		u.oversized = true
		return
	}
	for len(p) > 0 {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			u.appendPending(p)
			return
		}
		u.appendPending(p[:end])
		u.endLine()
		p = p[end+1:]
	}
}

// Usage returns the last usage reported. The second result is false if the answer is a
// stream that has not reached its end mark.
func (u *UsageReader) Usage() (knapweedpulley.Usage, bool) {
	if u.stream {
		u.endLine()
		return u.usage, u.sawDone
	}
	if !u.oversized {
		u.parse(u.pending)
	}
	return u.usage, true
}

func (u *UsageReader) appendPending(p []byte) {
	if u.oversized || len(u.pending)+len(p) > maxEventBytes {
		u.oversized = true
		return
	}
	u.pending = append(u.pending, p...)
}

// endLine processes a complete line of a stream.
func (u *UsageReader) endLine() {
	line := bytes.TrimSuffix(u.pending, []byte("\r"))
	data, ok := bytes.CutPrefix(line, dataField)
	if ok && !u.oversized {
		u.endEvent(bytes.TrimSpace(data))
	}
	u.pending = u.pending[:0]
	u.oversized = false
}

func (u *UsageReader) endEvent(data []byte) {
	if bytes.Equal(data, doneEvent) {
		u.sawDone = true
		return
	}
	if bytes.Contains(data, usageKey) {
		u.parse(data)
	}
}

// parse sets the usage from a completion or a chunk of one. It ignores a usage with a
// negative count, which would refund tokens that were never charged.
func (u *UsageReader) parse(data []byte) {
	var m usageMessage
	if json.Unmarshal(data, &m) != nil || m.Usage == nil {
		return
	}
	if m.Usage.Prompt < 0 || m.Usage.Completion < 0 || m.Usage.Details.Cached < 0 {
		return
	}
	u.usage = knapweedpulley.Usage{
		Prompt: m.Usage.Prompt, Completion: m.Usage.Completion, Cached: m.Usage.Details.Cached,
	}
}
