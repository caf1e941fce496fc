package link

import (
	"context"
	"sync"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/link/linkpb"
)

// attempt is one attempt of a request on the agent's side of a link. It buffers
// the part of the answer that the entry has not acknowledged, so that the answer
// can be resumed on a new connection. It implements knapweedpulley.AnswerWriter.
type attempt struct {
	id     string
	ctx    context.Context // It is canceled when the attempt ends.
	cancel context.CancelFunc
	// progress is signaled when the entry acknowledges bytes.
	progress chan struct{}

	mu      sync.Mutex
	session *session
	head    *linkpb.Head
	// unacked holds the bytes from baseOffset on that the entry has not acknowledged.
	unacked    []byte
	baseOffset int64
	done       *linkpb.Done
	detachedAt knapweedpulley.Instant
	finishedAt knapweedpulley.Instant
	// endReceived is set once the entry has acknowledged the end of the answer.
	endReceived bool
	// outlivesLink is set for an attempt that is not canceled when the link to its
	// entry stays lost.
	outlivesLink bool
}

func newAttempt(ctx context.Context, id string, s *session) *attempt {
	ctx, cancel := context.WithCancel(ctx)
	return &attempt{id: id, ctx: ctx, cancel: cancel, progress: make(chan struct{}, 1), session: s}
}

// WriteHead implements knapweedpulley.AnswerWriter.
func (a *attempt) WriteHead(head knapweedpulley.AnswerHead) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.head = &linkpb.Head{Attempt: a.id, Status: int32(head.Status), Header: encodeHeader(head.Header)}
	a.send(&linkpb.ToEntry{Frame: &linkpb.ToEntry_Head{Head: a.head}})
	return a.ctx.Err()
}

// Write implements knapweedpulley.AnswerWriter. It blocks while answerWindow bytes
// are unacknowledged.
func (a *attempt) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		n := a.append(p[written:])
		written += n
		if n > 0 {
			continue
		}
		select {
		case <-a.progress:
		case <-a.ctx.Done():
			return written, a.ctx.Err()
		}
	}
	return written, a.ctx.Err()
}

// append buffers and sends as much of p as the window allows, and returns the
// number of bytes.
func (a *attempt) append(p []byte) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := min(len(p), answerWindow-len(a.unacked))
	if n == 0 {
		return 0
	}
	offset := a.baseOffset + int64(len(a.unacked))
	a.unacked = append(a.unacked, p[:n]...)
	a.sendChunk(offset, a.unacked[len(a.unacked)-n:])
	return n
}

// finish records the end of the attempt and sends it.
func (a *attempt) finish(now knapweedpulley.Instant, u knapweedpulley.Usage, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	length := knapweedpulley.Offset(a.baseOffset) + knapweedpulley.Offset(len(a.unacked))
	a.done = encodeDone(a.id, length, u, err)
	a.finishedAt = now
	a.send(&linkpb.ToEntry{Frame: &linkpb.ToEntry_Done{Done: a.done}})
	a.cancel()
}

// acknowledge discards the bytes that the entry has received.
func (a *attempt) acknowledge(offset int64, done bool) {
	a.mu.Lock()
	a.discardBefore(offset)
	a.endReceived = a.endReceived || done
	a.mu.Unlock()
	select {
	case a.progress <- struct{}{}:
	default:
	}
}

// resume moves the attempt to a new connection and sends the part of the answer that
// the entry has not received.
func (a *attempt) resume(s *session, offset int64, headReceived bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.session = s
	a.detachedAt = 0
	a.discardBefore(offset)
	if a.head != nil && !headReceived {
		a.send(&linkpb.ToEntry{Frame: &linkpb.ToEntry_Head{Head: a.head}})
	}
	if len(a.unacked) > 0 {
		a.sendChunk(a.baseOffset, a.unacked)
	}
	if a.done != nil {
		a.send(&linkpb.ToEntry{Frame: &linkpb.ToEntry_Done{Done: a.done}})
	}
	select {
	case a.progress <- struct{}{}:
	default:
	}
}

// detach records that the connection of the attempt was lost, unless the attempt
// has moved to another connection.
func (a *attempt) detach(s *session, now knapweedpulley.Instant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.session == s {
		a.session = nil
		a.detachedAt = now
	}
}

// undelivered reports whether the entry is connected and has not acknowledged the
// end of the answer.
func (a *attempt) undelivered() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.session != nil && !a.endReceived
}

// expired reports whether the attempt can be removed. It cancels an attempt whose
// entry has been disconnected for longer than orphanTimeout, unless outlivesLink is
// set.
func (a *attempt) expired(now knapweedpulley.Instant) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done != nil {
		return now.Sub(a.finishedAt) > attemptRetention
	}
	if !a.outlivesLink && a.session == nil && now.Sub(a.detachedAt) > orphanTimeout {
		a.cancel()
	}
	return false
}

func (a *attempt) discardBefore(offset int64) {
	n := min(max(offset-a.baseOffset, 0), int64(len(a.unacked)))
	a.unacked = a.unacked[n:]
	a.baseOffset += n
}

func (a *attempt) sendChunk(offset int64, data []byte) {
	chunk := &linkpb.Chunk{Attempt: a.id, Offset: offset, Data: data}
	a.send(&linkpb.ToEntry{Frame: &linkpb.ToEntry_Chunk{Chunk: chunk}})
}

// send passes a frame to the current connection, if any. A lost frame is not an
// error, because the entry resumes the attempt on a new connection.
func (a *attempt) send(frame *linkpb.ToEntry) {
	if a.session != nil {
		a.session.send(frame)
	}
}
