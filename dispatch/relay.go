package dispatch

import (
	"bytes"

	"github.com/knapweedpulley/knapweedpulley"
)

// maxRecordedAnswer bounds the body of an answer that is recorded under a claim.
const maxRecordedAnswer = 64 * knapweedpulley.KiB

// relay forwards an answer to the caller and records whether it has begun. Under
// a claim it also records the answer up to maxRecordedAnswer.
type relay struct {
	caller    knapweedpulley.AnswerWriter
	begun     bool
	recording bool
	overflow  bool
	head      knapweedpulley.AnswerHead
	body      bytes.Buffer
}

// WriteHead implements knapweedpulley.AnswerWriter.
func (r *relay) WriteHead(head knapweedpulley.AnswerHead) error {
	r.begun = true
	r.head = head
	return r.caller.WriteHead(head)
}

// Write implements knapweedpulley.AnswerWriter.
func (r *relay) Write(p []byte) (int, error) {
	r.begun = true
	if r.recording {
		r.record(p)
	}
	return r.caller.Write(p)
}

func (r *relay) record(p []byte) {
	if r.overflow || knapweedpulley.Bytes(r.body.Len()+len(p)) > maxRecordedAnswer {
		r.overflow = true
		return
	}
	r.body.Write(p)
}

// started reports whether a part of the answer was sent to the caller.
func (r *relay) started() bool {
	return r.begun
}

// answer returns the recorded answer, and false if it exceeded maxRecordedAnswer.
func (r *relay) answer() (knapweedpulley.Answer, bool) {
	return knapweedpulley.Answer{Head: r.head, Body: r.body.Bytes()}, !r.overflow
}
