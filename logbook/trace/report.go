package trace

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

// relatedWindow extends the duration of a request at its start. Lines about its endpoint or its
// model within that time are included in its explanation.
const relatedWindow = 2 * time.Second

// causes returns the causes in the order of the rows of the table.
func causes() []Cause {
	return []Cause{InTime, OverRate, NoModel, HeldBack, Evacuated, LateFirst, LongPause, BrokenOff, Failed, Refused, CallerLeft}
}

// WriteTable writes a table of the number of requests by cause and route.
func WriteTable(w io.Writer, lines []Line) error {
	cells := make(table)
	for i := range lines {
		if l := &lines[i]; l.endsRequest() {
			cells.add(CauseOf(l), l.Fields.Route, 1)
		}
	}
	return cells.write(w, causes(), func(v float64) string { return fmt.Sprintf("%.0f", v) })
}

// WriteRequest writes the cause of a request's end, the log lines of the request, and the lines
// about its endpoint and its model from the time of the request. It returns an error if the logs
// lack the line of its end.
func WriteRequest(w io.Writer, lines []Line, id knapweedpulley.RequestID) error {
	at := slices.IndexFunc(lines, func(l Line) bool { return l.Fields.Request == id && l.endsRequest() })
	if at < 0 {
		return errors.Newf("logs contain no end of request %s", id)
	}
	end := &lines[at]
	start := end.Timestamp.Add(-relatedWindow - time.Duration(end.Fields.TookMs)*time.Millisecond)
	if _, err := fmt.Fprintf(w, "%s: %s\n", id, CauseOf(end)); err != nil {
		return errors.Wrap(err, "write the explanation")
	}
	related := make([]Line, 0, len(lines))
	for i := range lines {
		l := &lines[i]
		own := l.Fields.Request == id
		near := !l.Timestamp.Before(start) && !l.Timestamp.After(end.Timestamp) &&
			l.Fields.Request == "" && l.relatesTo(end)
		if own || near {
			related = append(related, *l)
		}
	}
	slices.SortStableFunc(related, func(a, b Line) int { return a.Timestamp.Compare(b.Timestamp) })
	for i := range related {
		if _, err := fmt.Fprintln(w, related[i].Text); err != nil {
			return errors.Wrap(err, "write the explanation")
		}
	}
	return nil
}

// relatesTo reports whether a line is about the endpoint or the model of a request, or about its
// whole gateway.
func (l *Line) relatesTo(end *Line) bool {
	f, e := &l.Fields, &end.Fields
	switch {
	case f.Endpoint != "" && f.Endpoint == e.Endpoint:
		return true
	case f.Model != "" && f.Model == e.Model:
		return true
	default:
		return f.Process == e.Process && f.Endpoint == "" && f.Model == ""
	}
}
