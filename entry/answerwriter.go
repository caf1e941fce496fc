package entry

import (
	"encoding/json"
	"net/http"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/engine/exchange"
	"github.com/knapweedpulley/knapweedpulley/web"
)

// answerWriter writes an answer to an HTTP caller. It implements
// knapweedpulley.AnswerWriter.
type answerWriter struct {
	w           http.ResponseWriter
	controller  *http.ResponseController
	stream      bool
	headWritten bool
	// takesEvents is set if the answer is a stream of events and not an error. tail is its end.
	takesEvents bool
	tail        exchange.EventTail
}

func newAnswerWriter(w http.ResponseWriter, stream bool) *answerWriter {
	return &answerWriter{w: w, controller: http.NewResponseController(w), stream: stream}
}

// WriteHead implements knapweedpulley.AnswerWriter.
func (a *answerWriter) WriteHead(head knapweedpulley.AnswerHead) error {
	a.headWritten = true
	a.takesEvents = a.stream && head.Status == http.StatusOK
	for _, f := range head.Header {
		if !isWithheld(http.CanonicalHeaderKey(f.Name)) {
			a.w.Header().Add(f.Name, f.Value)
		}
	}
	a.w.WriteHeader(head.Status)
	return nil
}

// Write implements knapweedpulley.AnswerWriter. Each part of a stream is flushed
// at once.
func (a *answerWriter) Write(p []byte) (int, error) {
	n, err := a.w.Write(p)
	if err != nil || !a.stream {
		return n, err
	}
	a.tail.Observe(p)
	return n, a.controller.Flush()
}

// abort ends an incomplete answer: with a refusal if the head has not been written,
// with an error event between two events of a stream, and otherwise by closing the
// connection.
func (a *answerWriter) abort(refusal *knapweedpulley.Refusal) {
	switch {
	case !a.headWritten:
		web.WriteRefusal(a.w, refusal)
	case a.takesEvents && !a.tail.InsideEvent():
		a.writeEvent(refusal)
	default:
		panic(http.ErrAbortHandler)
	}
}

func (a *answerWriter) writeEvent(refusal *knapweedpulley.Refusal) {
	data, err := json.Marshal(web.NewErrorBody(refusal))
	if err != nil {
		return
	}
	// An error means that the caller has disconnected.
	_, _ = a.Write([]byte("data: " + string(data) + "\n\n"))
}
