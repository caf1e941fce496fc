package command

import (
	"os"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/logbook/trace"
	"github.com/knapweedpulley/knapweedpulley/settings"
)

// runExplain prints the outcome of one request or of all requests in a log file, or the worth that
// was lost with them.
func (o *options) runExplain(out output) (int, error) {
	file, err := os.Open(o.logFile)
	if err != nil {
		return ExitUsage, errors.Mark(errors.Wrap(err, "open log"), errUsage)
	}
	defer func() { _ = file.Close() }()
	lines, skipped, err := trace.Read(file)
	if err != nil {
		return ExitFailed, err
	}
	if len(lines) == 0 {
		return ExitUsage, usageErrorf("%s contains no log lines: all of its %d lines were skipped", o.logFile, skipped)
	}
	if o.requestID != "" {
		return ExitDone, trace.WriteRequest(out.w, lines, knapweedpulley.RequestID(o.requestID))
	}
	if o.worthFile == "" {
		return ExitDone, trace.WriteTable(out.w, lines)
	}
	worths, err := settings.Load[trace.Worths](o.worthFile)
	if err != nil {
		return ExitUsage, errors.Mark(err, errUsage)
	}
	return ExitDone, trace.WriteLostWorth(out.w, lines, worths)
}
