package web

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/intake"
)

const (
	// firstChunk is the memory that a body of unknown size gets at first.
	firstChunk = 4 * knapweedpulley.KiB
	// LingerTime is how long the server goes on reading a body that was refused, before it writes the
	// refusal. A client that sends its whole body first can then read it.
	LingerTime = time.Second
)

// BodyOptions are the limits of one body.
type BodyOptions struct {
	// Limit is the largest body.
	Limit knapweedpulley.Bytes
	// Weight is the number of bytes of memory that the process takes for each byte of the body.
	Weight int
	// Owner returns on whose account a large body holds memory.
	Owner func() intake.Owner
	// Timeout bounds the time for the whole body. Zero means that only its progress matters.
	Timeout time.Duration
}

// Body is the body of a request. The caller must call Release when it no longer needs the data.
type Body struct {
	Data []byte
	hold *intake.Hold
}

// Release gives the body's memory back to the budget.
func (b Body) Release() {
	if b.hold != nil {
		b.hold.Release()
	}
}

// LeaveBody bounds the time for the rest of a body, which isn't read because the request is refused.
func LeaveBody(w http.ResponseWriter) {
	// An error means that the connection has no deadlines, as in some tests.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(LingerTime))
}

// bodyReader reads the body of one request.
type bodyReader struct {
	BodyOptions
	guard   *Guard
	control *http.ResponseController
	body    io.Reader
	hold    *intake.Hold
	pace    intake.Pace
	// end is when the body must have arrived, or zero.
	end knapweedpulley.Instant
}

// ReadBody reads the body of a request, for which it reserves memory first. The error is a refusal; the
// connection is closed after it.
func (g *Guard) ReadBody(w http.ResponseWriter, r *http.Request, o BodyOptions) (Body, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return Body{}, nil
	}
	announced := r.ContentLength
	if announced == 0 {
		// As with http.Client, zero stands for an unknown size where there is a body.
		announced = -1
	}
	b := bodyReader{BodyOptions: o, guard: g, control: http.NewResponseController(w), body: r.Body}
	if o.Timeout > 0 {
		b.end = g.clock.Now().Add(o.Timeout)
	}
	data, err := b.read(r.Context(), announced)
	if err != nil {
		if b.hold != nil {
			b.hold.Release()
		}
		w.Header().Set("Connection", "close")
		LeaveBody(w)
		return Body{}, err
	}
	b.hold.Complete()
	// The connection's next request, or the client's leaving, has no deadline yet.
	_ = b.control.SetReadDeadline(time.Time{})
	return Body{Data: data, hold: b.hold}, nil
}

// setDeadline bounds the time for the next reads. An error means that the connection has no deadlines,
// as in some tests.
func (b *bodyReader) setDeadline(d time.Duration) {
	_ = b.control.SetReadDeadline(time.Now().Add(d))
}

// read reads a body whose size is announced, or -1 if it is chunked.
func (b *bodyReader) read(ctx context.Context, announced int64) ([]byte, error) {
	if announced > int64(b.Limit) {
		return nil, b.tooLarge()
	}
	b.hold = b.guard.budget.NewHold()
	size := min(firstChunk, b.Limit)
	if announced >= 0 {
		size = knapweedpulley.Bytes(announced)
	}
	if err := b.reserve(ctx, size); err != nil {
		return nil, err
	}
	data := make([]byte, 0, size)
	b.renew()
	for {
		if len(data) == cap(data) {
			if announced >= 0 || cap(data) >= int(b.Limit) {
				return data, b.expectEnd()
			}
			if err := b.grow(ctx, &data); err != nil {
				return nil, err
			}
		}
		n, err := b.body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF { //nolint:errorlint // A body that was cut has another error.
			return data, nil
		}
		if err := b.check(n, err); err != nil {
			return nil, err
		}
	}
}

// expectEnd reads the end of a body that has reached its limit.
func (b *bodyReader) expectEnd() error {
	for {
		var next [1]byte
		n, err := b.body.Read(next[:])
		switch {
		case n > 0:
			return b.tooLarge()
		case err == io.EOF: //nolint:errorlint // A body that was cut has another error.
			return nil
		}
		if err := b.check(0, err); err != nil {
			return err
		}
	}
}

// grow doubles the memory of a body of unknown size, so that a step costs no more than the body holds.
func (b *bodyReader) grow(ctx context.Context, data *[]byte) error {
	size := min(2*knapweedpulley.Bytes(cap(*data)), b.Limit)
	if err := b.reserve(ctx, size); err != nil {
		return err
	}
	grown := make([]byte, len(*data), size)
	copy(grown, *data)
	*data = grown
	b.renew()
	if b.hold.Dropped() {
		return b.check(0, os.ErrDeadlineExceeded)
	}
	return nil
}

// reserve reserves memory for size bytes of the body.
func (b *bodyReader) reserve(ctx context.Context, size knapweedpulley.Bytes) error {
	memory := size * knapweedpulley.Bytes(max(1, b.Weight))
	if b.hold.ReserveSmall(memory) {
		return nil
	}
	// A read in progress then ends at once.
	control := b.control
	interrupt := func() { _ = control.SetReadDeadline(time.Unix(1, 0)) }
	return b.hold.Reserve(ctx, memory, b.Owner(), interrupt)
}

// renew begins a new measurement of progress. The client isn't to blame for the time in which the server
// didn't read. The deadline lies a window later, so that it is only reached after a silence that long.
func (b *bodyReader) renew() {
	now := b.guard.clock.Now()
	b.pace = intake.NewPace(now)
	silence := b.pace.Deadline().Sub(now) * 2
	if b.end > 0 {
		silence = min(silence, max(0, b.end.Sub(now)))
	}
	b.setDeadline(silence)
}

// check decides after a read of n bytes whether the body is read on. The error is a refusal.
func (b *bodyReader) check(n int, err error) error {
	now := b.guard.clock.Now()
	b.hold.Advance(n)
	timeout := errors.Is(err, os.ErrDeadlineExceeded)
	switch {
	case err != nil && !timeout:
		return knapweedpulley.NewRefusal(knapweedpulley.CodeInvalidRequest, knapweedpulley.NotRun,
			"the request body can't be read: %v", err)
	case b.hold.Dropped():
		return knapweedpulley.NewRefusal(knapweedpulley.CodeTooSlow, knapweedpulley.NotRun,
			"the request body makes no progress, and others wait for its memory")
	case b.end > 0 && now >= b.end:
		return knapweedpulley.NewRefusal(knapweedpulley.CodeTooSlow, knapweedpulley.NotRun,
			"the request body didn't arrive within the request's time limit")
	}
	sufficient, renewed := b.pace.Advance(now, knapweedpulley.Bytes(n))
	if timeout || !sufficient {
		b.guard.recorder.Record(intake.BodyTooSlow)
		return knapweedpulley.NewRefusal(knapweedpulley.CodeTooSlow, knapweedpulley.NotRun,
			"the request body makes too little progress")
	}
	if renewed {
		b.renew()
		if b.hold.Dropped() {
			// The new deadline may have replaced the one that interrupts.
			return b.check(0, os.ErrDeadlineExceeded)
		}
	}
	return nil
}

func (b *bodyReader) tooLarge() error {
	b.guard.recorder.Record(intake.BodyTooLarge)
	return knapweedpulley.NewRefusal(knapweedpulley.CodeBodyTooLarge, knapweedpulley.NotRun,
		"the request body is larger than the limit of %s", b.Limit)
}
