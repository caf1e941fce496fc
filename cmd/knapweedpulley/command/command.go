// Package command is the command line for operators.
//
// # Usage
//
//	knapweedpulley apply workshop.json --set rate=200 --dry-run
//	knapweedpulley apply workshop.json --set rate=200
//	knapweedpulley apply workshop.json --set rate=200 --check
//	knapweedpulley parameters workshop --set rate=300
//	knapweedpulley rollback workshop 3
//	knapweedpulley history workshop
//	knapweedpulley customers
//	knapweedpulley key issue workshop counter
//	knapweedpulley key withdraw workshop counter
//	knapweedpulley status
//	knapweedpulley drain endpoint-1
//	knapweedpulley burn --format html
//	knapweedpulley explain gateways.log
//	knapweedpulley explain gateways.log --request 9c41d07be2a35f68
//
// The settings, by default operator.json, name the admin addresses of the
// entries and the operator's key; see [Settings].
//
// Exit statuses: 0 done, 1 failed and nothing was changed, 2 wrong input, 3 the
// customer is at another version than expected, 4 stored but not yet accepted,
// or entries that differ or do not answer, 5 the change may have taken effect.
package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/admin"
)

// Exit statuses.
const (
	ExitDone = iota
	// ExitFailed says that nothing was changed.
	ExitFailed
	// ExitUsage says that the command line, the settings or a file is at fault.
	ExitUsage
	// ExitConflict says that the customer is at another version than expected.
	ExitConflict
	// ExitPending says that a change is stored but not yet accepted, or that
	// not all entries agree or answered.
	ExitPending
	// ExitUnknown says that a change may have taken effect.
	ExitUnknown
)

var (
	// errUsage marks errors of the command line and of files.
	errUsage = errors.New("wrong input")
	// errPartial marks reports that lack entries.
	errPartial = errors.New("not all entries answered")
)

// Run runs the command line and returns the exit status.
func Run(args []string, stdout, stderr io.Writer) int {
	o, err := parse(args)
	if err != nil {
		return fail(stderr, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	status, err := o.run(ctx, stdout)
	if err != nil {
		return fail(stderr, err)
	}
	return status
}

// fail prints an error and returns the exit status for it.
func fail(stderr io.Writer, err error) int {
	var help *helpError
	if errors.As(err, &help) {
		return help.status
	}
	var r *knapweedpulley.Refusal
	if !errors.As(err, &r) {
		printError(stderr, err.Error())
		switch {
		case errors.Is(err, errUsage):
			return ExitUsage
		case errors.Is(err, errPartial):
			return ExitPending
		default:
			return ExitFailed
		}
	}
	printError(stderr, r.Message)
	switch {
	case r.Verdict == knapweedpulley.MayHaveRun:
		printError(stderr, "the change may have taken effect")
		return ExitUnknown
	case r.Code == knapweedpulley.CodeConflict:
		return ExitConflict
	case r.Code == knapweedpulley.CodeInvalidRequest:
		return ExitUsage
	default:
		return ExitFailed
	}
}

func printError(w io.Writer, message string) {
	for line := range strings.Lines(message) {
		_, _ = fmt.Fprintf(w, "knapweedpulley: %s\n", strings.TrimSuffix(line, "\n"))
	}
}

// helpError says that flaggy has printed the help.
type helpError struct{ status int }

// Error implements error.
func (h *helpError) Error() string {
	return "help was printed"
}

// parse reads the command line.
func parse(args []string) (o *options, err error) {
	// Flaggy ends the process on wrong input, unless it is told to panic.
	flaggy.PanicInsteadOfExit = true
	defer func() {
		if cause := recover(); cause != nil {
			err = &helpError{status: exitOf(fmt.Sprint(cause))}
		}
	}()
	o = newOptions()
	if err := o.parser.ParseArgs(args); err != nil {
		return nil, errors.Mark(err, errUsage)
	}
	return o, nil
}

// exitOf returns the status that flaggy would have ended the process with.
func exitOf(cause string) int {
	if strings.HasSuffix(cause, " 0") {
		return ExitDone
	}
	return ExitUsage
}

// usage returns an error of the command line or a file.
func usage(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), errUsage)
}

// eachClient calls do with the client of each admin address until one answers.
func (o *options) eachClient(do func(c *admin.Client) error) error {
	s, err := loadSettings(o.settings)
	if err != nil {
		return err
	}
	tlsConfig, err := s.tlsConfig()
	if err != nil {
		return err
	}
	var last error
	for _, address := range s.Admin {
		last = do(admin.NewClient(address, s.OperatorKey, tlsConfig))
		var r *knapweedpulley.Refusal
		if !errors.As(last, &r) || r.Code != knapweedpulley.CodeLinkLost || r.Verdict != knapweedpulley.NotRun {
			return last
		}
	}
	return last
}
