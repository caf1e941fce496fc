// Package trace reads the logs of gateways and keepers and reports how requests ended and
// why.
//
// # Usage
//
//	lines, skipped, err := trace.Read(file)
//	trace.WriteTable(os.Stdout, lines)
//	trace.WriteLostWorth(os.Stdout, lines, worths)
//	trace.WriteRequest(os.Stdout, lines, "9c41d07be2a35f68")
package trace

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

// maxLineBytes bounds the length of a log line.
const maxLineBytes = int(knapweedpulley.MiB)

// Line is a log line.
type Line struct {
	Fields    Fields    `json:"fields"`
	Level     string    `json:"level"`
	Timestamp time.Time `json:"timestamp"`
	Message   string    `json:"message"`
	// Text is the JSON text of the line.
	Text string `json:"-"`
}

// Fields holds the fields of a log line that the reports evaluate.
type Fields struct {
	Process  string                    `json:"id"`
	Role     string                    `json:"role"`
	Request  knapweedpulley.RequestID  `json:"request"`
	Route    knapweedpulley.RouteID    `json:"route"`
	Code     knapweedpulley.Code       `json:"code"`
	Endpoint knapweedpulley.EndpointID `json:"endpoint"`
	Model    knapweedpulley.ModelID    `json:"model"`
	Adapter  knapweedpulley.AdapterID  `json:"adapter"`
	Status   int                       `json:"status"`
	// Prompt is the number of prompt tokens. Completion is the maximum number of tokens to
	// generate.
	Prompt     knapweedpulley.Tokens `json:"prompt"`
	Completion knapweedpulley.Tokens `json:"completion"`
	WaitedMs   int64                 `json:"waitedMs"`
	FirstMs    int64                 `json:"firstMs"`
	PauseMs    int64                 `json:"pauseMs"`
	AimMs      int64                 `json:"aimMs"`
	GapAimMs   int64                 `json:"gapAimMs"`
	TookMs     int64                 `json:"tookMs"`
}

// Read reads log lines in order and skips any text before the JSON of a line. It counts the lines
// that contain no log entry.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		text := s.Text()
		start := strings.IndexByte(text, '{')
		var l Line
		if start < 0 || json.Unmarshal([]byte(text[start:]), &l) != nil || l.Message == "" {
			skipped++
			continue
		}
		l.Text = text[start:]
		lines = append(lines, l)
	}
	return lines, skipped, errors.Wrap(s.Err(), "read the log")
}

// endsRequest reports whether the line is written at the end of a request.
func (l *Line) endsRequest() bool {
	return l.Fields.Request != "" && (strings.HasPrefix(l.Message, "request ") || l.Message == "answer broken off")
}

// Cause says how a request ended: within its objective, or why not.
type Cause string

// Causes of the ends of requests.
const (
	InTime     Cause = "in time"
	OverRate   Cause = "over its rate"
	NoModel    Cause = "waited for its model"
	HeldBack   Cause = "endpoints held back"
	Evacuated  Cause = "zones evacuated"
	LateFirst  Cause = "late first answer"
	LongPause  Cause = "long pause"
	BrokenOff  Cause = "broken off"
	CallerLeft Cause = "caller left"
	Failed     Cause = "failed at the endpoint"
	Refused    Cause = "refused"
	// total is the row of the total worth.
	total Cause = "of all"
)

// CauseOf returns the cause that follows from the line at the end of a request.
func CauseOf(l *Line) Cause {
	f := &l.Fields
	switch {
	case l.Message == "answer broken off":
		return BrokenOff
	case f.Code == knapweedpulley.CodeRateExceeded:
		return OverRate
	case f.Code == knapweedpulley.CodeHeldBack:
		return HeldBack
	case f.Code == knapweedpulley.CodeEvacuated:
		return Evacuated
	case f.Code == knapweedpulley.CodeCanceled:
		return CallerLeft
	case f.Code != "" && f.Model != "" && f.WaitedMs > f.AimMs/2:
		return NoModel
	case f.Code == knapweedpulley.CodeEngineFailed || f.Status >= 500:
		return Failed
	case f.Code != "":
		return Refused
	default:
		return causeOfDelay(f)
	}
}

// causeOfDelay returns why an answered request was late, or InTime if it was not.
func causeOfDelay(f *Fields) Cause {
	switch late := f.AimMs > 0 && f.FirstMs > f.AimMs; {
	case late && f.WaitedMs > f.AimMs/2:
		return NoModel
	case late:
		return LateFirst
	case f.GapAimMs > 0 && f.PauseMs > f.GapAimMs:
		return LongPause
	default:
		return InTime
	}
}
