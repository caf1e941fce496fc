package gateway_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// logBuffer collects log lines. A gateway goes on logging while a test reads them, for example that a
// configuration has come into force.
type logBuffer struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.Write(p)
}

// Bytes returns a copy of the lines.
func (b *logBuffer) Bytes() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Clone(b.lines.Bytes())
}

// assertLogged asserts the reasons in the log line at the end of the only request.
func assertLogged(t *testing.T, logs *logBuffer, notRetried, notMoved string) {
	t.Helper()
	is := is.New(t)
	ends := 0
	for line := range bytes.Lines(logs.Bytes()) {
		var l struct {
			Fields struct{ Request, NotRetried, NotMoved string }
		}
		is.NoErr(json.Unmarshal(line, &l))
		if l.Fields.Request != "r" {
			continue
		}
		ends++
		is.Equal(l.Fields.NotRetried, notRetried)
		is.Equal(l.Fields.NotMoved, notMoved)
	}
	is.Equal(ends, 1)
}

func TestLogTellsWhyCallWasNotSentAgain(t *testing.T) {
	full := scriptedAnswer{status: http.StatusServiceUnavailable, notRun: true}
	broken := scriptedAnswer{events: []string{"1"}, broken: true}
	inBubble("because of the configuration", t, func(t *testing.T) {
		var logs logBuffer
		d, _ := streamDeployment(broken, full)
		d.logs = &logs
		answer, err := d.serveBeside(t, 10*time.Millisecond, removeRoute)
		assertIncomplete(t, answer, err, "1 ")
		assertLogged(t, &logs, "configuration", "")
	})
	inBubble("because it has run as often as it may", t, func(t *testing.T) {
		var logs logBuffer
		d, _ := streamDeployment(broken)
		d.logs = &logs
		answer, err := d.serve(t)
		assertIncomplete(t, answer, err, "1 1 ")
		assertLogged(t, &logs, "runs", "")
	})
	inBubble("because the endpoint that it had left wants no requests", t, func(t *testing.T) {
		var logs logBuffer
		d, x := breakingSecond()
		d.logs = &logs
		g := d.newGateway(t)
		time.AfterFunc(movedWithin, func() { g.Fleet.Endpoints()[x.attempts()[0]].HoldBack(time.Minute) })
		answer, err := serveCall(t, g)
		assertIncomplete(t, answer, err, "1 ")
		assertLogged(t, &logs, "away", "")
	})
}

func TestLogTellsWhySilentCallStayed(t *testing.T) {
	silent := scriptedAnswer{silence: silentPause, events: []string{"1"}}
	inBubble("because there is no other endpoint", t, func(t *testing.T) {
		var logs logBuffer
		d, _ := streamDeployment(silent)
		d.logs, d.endpoints = &logs, d.endpoints[:1]
		answer, err := d.serve(t)
		assertAnswered(t, answer, err, "1 ")
		assertLogged(t, &logs, "", "endpoint")
	})
	inBubble("because of the retry budget", t, func(t *testing.T) {
		var logs logBuffer
		d, _ := streamDeployment(silent)
		d.logs, d.retrySlack = &logs, 0
		answer, err := d.serve(t)
		assertAnswered(t, answer, err, "1 ")
		assertLogged(t, &logs, "", "retryBudget")
	})
	inBubble("because of the configuration", t, func(t *testing.T) {
		var logs logBuffer
		d, _ := streamDeployment(silent)
		d.logs = &logs
		answer, err := d.serveBeside(t, 100*time.Millisecond, requireKey)
		assertAnswered(t, answer, err, "1 ")
		assertLogged(t, &logs, "", "configuration")
	})
}
