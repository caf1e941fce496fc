package command

import (
	"os"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/logbook/trace"
	"github.com/knapweedpulley/knapweedpulley/settings"
)

// runExplain tells from logs what became of one request, or of all.
func (o *options) runExplain(out output) (int, error) {
	file, err := os.Open(o.log)
	if err != nil {
		return ExitUsage, errors.Mark(errors.Wrap(err, "open the log"), errUsage)
	}
	defer func() { _ = file.Close() }()
	lines, skipped, err := trace.Read(file)
	if err != nil {
		return ExitFailed, err
	}
	if len(lines) == 0 {
		return ExitUsage, usage("%s has no line of a log in its %d lines", o.log, skipped)
	}
	if o.request != "" {
		return ExitDone, trace.WriteRequest(out.w, lines, knapweedpulley.RequestID(o.request))
	}
	if o.worth == "" {
		return ExitDone, trace.WriteTable(out.w, lines)
	}
	worths, err := settings.Load[trace.Worths](o.worth)
	if err != nil {
		return ExitUsage, errors.Mark(err, errUsage)
	}
	return ExitDone, trace.WriteLostWorth(out.w, lines, worths)
}
