package exchange

import (
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

// chunkBytes is the most that is read from a back end at once before it is passed on.
const chunkBytes = 32 * int(knapweedpulley.KiB)

var chunks = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

// Relay passes an answer on to w unchanged as its bytes arrive. The slice passed to observe
// is valid only during the call; observe may be nil. An error is a *knapweedpulley.Refusal.
func Relay(ctx context.Context, response *http.Response, w knapweedpulley.AnswerWriter, observe func([]byte)) error {
	if err := w.WriteHead(headOf(response)); err != nil {
		return refuseWrite(err)
	}
	chunk, _ := chunks.Get().(*[chunkBytes]byte)
	defer chunks.Put(chunk)
	for {
		n, err := response.Body.Read(chunk[:])
		if n > 0 {
			if observe != nil {
				observe(chunk[:n])
			}
			if _, err := w.Write(chunk[:n]); err != nil {
				return refuseWrite(err)
			}
		}
		if errors.Is(err, io.EOF) {
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
