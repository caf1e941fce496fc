package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// inTouch is the calm after which the bounds in time hold for a gateway.
	inTouch = 3 * time.Second
	// configurationBound is the time in which a configuration is in force.
	configurationBound = 2 * time.Second
	// answerBound is the time beyond its limit in which a request is answered,
	// on a machine that other work shares.
	answerBound = time.Second
)

// Check notes each promise that the outcomes show as broken.
func Check(w *World, outcomes []Outcome) {
	for _, o := range outcomes {
		runs := w.records.Runs(o.ID)
		checkRuns(w, o, runs)
		checkAnswer(w, o, runs)
		checkTimes(w, o, runs)
	}
}

// checkRuns checks how often and for whom a request ran.
func checkRuns(w *World, o Outcome, runs []Run) {
	if (o.Kind == Unsafe || o.Kind == Once) && len(runs) > 1 {
		w.records.Fault("%s %s ran %d times", o.Kind, o.ID, len(runs))
	}
	if len(runs) > 2 {
		w.records.Fault("%s %s ran at %d endpoints", o.Kind, o.ID, len(runs))
	}
	refused := o.Status == http.StatusServiceUnavailable || o.Status == http.StatusTooManyRequests
	if refused && len(runs) > 0 && o.Kind != Safe && o.Kind != Stream {
		w.records.Fault("%s %s was answered %d and ran", o.Kind, o.ID, o.Status)
	}
	for _, r := range runs {
		if r.Customer != "firm" || r.Key != "" {
			w.records.Fault("%s ran for customer %q with key %q", o.ID, r.Customer, r.Key)
		}
	}
}

// checkAnswer checks that a caller gets its own whole answer.
func checkAnswer(w *World, o Outcome, runs []Run) {
	if o.Status != http.StatusOK || !o.Whole {
		return
	}
	if !strings.HasSuffix(o.Stamp, "/"+o.ID) || len(runs) == 0 {
		w.records.Fault("%s got the stamp %q after %d runs", o.ID, o.Stamp, len(runs))
		return
	}
	want := "answer to " + o.ID
	if o.Kind == Stream || o.Kind == Once {
		want = stream(o.ID)
	}
	if o.Body != want {
		w.records.Fault("%s %s got %q", o.Kind, o.ID, o.Body)
	}
}

// stream returns the whole stream of a request.
func stream(id string) string {
	var b strings.Builder
	for n := range pieces {
		_, _ = fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", n+1, id)
	}
	return b.String()
}

// checkTimes checks the bounds in time, at gateways that were undisturbed.
func checkTimes(w *World, o Outcome, runs []Run) {
	if o.CalmAfter > o.Took+inTouch && o.Took > patience+answerBound {
		w.records.Fault("%s %s ended after %s with status %d", o.Kind, o.ID, o.Took, o.Status)
	}
	if o.Calm < inTouch {
		return
	}
	at, revoked := w.RevokedAt(o.Key)
	if revoked && o.Sent.Sub(at) > configurationBound && len(runs) > 0 {
		w.records.Fault("%s ran with a key that was taken away %s before, at a gateway calm for %s",
			o.ID, o.Sent.Sub(at), o.Calm)
	}
	if !revoked && o.Status == http.StatusUnauthorized {
		w.records.Fault("%s was refused with a good key", o.ID)
	}
}
