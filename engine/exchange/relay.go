package exchange

import (
	"bytes"
	"context"
	"io"
	"mime"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

// chunkBytes is the most that is read from a back end at once before it is passed on.
const chunkBytes = 32 * int(knapweedpulley.KiB)

var chunks = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

// EventTail holds the last bytes of an event stream.
type EventTail struct {
	bytes []byte
}

// Observe processes the next bytes of the stream and keeps no reference to p.
func (t *EventTail) Observe(p []byte) {
	const longestEnd = len("\n\r\n")
	t.bytes = append(t.bytes, p[max(0, len(p)-longestEnd):]...)
	t.bytes = t.bytes[max(0, len(t.bytes)-longestEnd):]
}

// InsideEvent reports whether the last event has begun but not ended. An event ends with an empty
// line.
func (t *EventTail) InsideEvent() bool {
	if len(bytes.Trim(t.bytes, "\r\n")) == 0 {
		return false
	}
	for _, end := range []string{"\n\n", "\n\r\n", "\r\r"} {
		if bytes.HasSuffix(t.bytes, []byte(end)) {
			return false
		}
	}
	return true
}

func isEventStream(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// Relay passes an answer on to w unchanged as its bytes arrive. A stream of events that ends
// inside an event has been broken off. The slice passed to observe is valid only during the call;
// observe may be nil. An error is a *knapweedpulley.Refusal.
func Relay(ctx context.Context, response *http.Response, w knapweedpulley.AnswerWriter, observe func([]byte)) error {
	if err := w.WriteHead(headOf(response)); err != nil {
		return refuseWrite(err)
	}
	chunk, _ := chunks.Get().(*[chunkBytes]byte)
	defer chunks.Put(chunk)
	stream := isEventStream(response.Header)
	var tail EventTail
	for {
		n, err := response.Body.Read(chunk[:])
		if n > 0 {
			tail.Observe(chunk[:n])
			if observe != nil {
				observe(chunk[:n])
			}
			if _, err := w.Write(chunk[:n]); err != nil {
				return refuseWrite(err)
			}
		}
		if errors.Is(err, io.EOF) {
			if stream && tail.InsideEvent() {
				return Refuse(ctx, errors.New("stream ended inside an event"), knapweedpulley.MayHaveRun)
			}
			return nil
		}
		if err != nil {
			return Refuse(ctx, errors.Wrap(err, "read the answer's body"), knapweedpulley.MayHaveRun)
		}
	}
}

// refuseWrite returns the refusal for an answer that could not be passed on.
func refuseWrite(err error) error {
	var r *knapweedpulley.Refusal
	if errors.As(err, &r) {
		return r
	}
	return knapweedpulley.NewRefusal(knapweedpulley.CodeCanceled, knapweedpulley.MayHaveRun, "pass on the answer: %v", err)
}

func headOf(response *http.Response) knapweedpulley.AnswerHead {
	head := knapweedpulley.AnswerHead{Status: response.StatusCode}
	for name, values := range response.Header {
		if IsDropped(name) {
			continue
		}
		for _, v := range values {
			head.Header = append(head.Header, knapweedpulley.HeaderField{Name: name, Value: v})
		}
	}
	return head
}
