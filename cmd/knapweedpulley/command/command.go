// Package command implements the command line with which operators change the configuration of
// customers, issue and withdraw their keys, drain endpoints, and print reports from the entries and
// from logs. It sends its requests to the admin API of the entries.
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
// The settings file, by default operator.json, has the admin addresses of the entries and the
// operator's key; see [Settings].
//
// The exit statuses are: 0 done, 1 failed and nothing was changed, 2 wrong input, 3 the customer is
// at another version than expected, 4 the change is stored but not yet accepted, or entries have
// different versions or did not answer, 5 the change may have taken effect.
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
	// ExitFailed means that the command failed and nothing was changed.
	ExitFailed
	// ExitUsage means that the command line, the settings or a file is invalid.
	ExitUsage
	// ExitConflict means that the customer is at another version than expected.
	ExitConflict
	// ExitPending means that a change is stored but not yet accepted, that not all entries have the
	// same versions, or that not all of them answered.
	ExitPending
	// ExitUnknown means that the change may or may not have taken effect.
	ExitUnknown
)

var (
	// errUsage marks errors in the command line, the settings or a file.
	errUsage = errors.New("wrong input")
	// errIncompleteReport marks the error about a report that lacks the documents of some entries.
	errIncompleteReport = errors.New("not all entries answered")
)

// Run runs the command with the given arguments, without the program's name, and returns the exit
// status.
func Run(args []string, stdout, stderr io.Writer) int {
	o, err := parse(args)
	if err != nil {
		return reportError(stderr, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	status, err := o.run(ctx, stdout)
	if err != nil {
		return reportError(stderr, err)
	}
	return status
}

// reportError prints an error, unless it stands for printed help, and returns the exit status for it.
func reportError(stderr io.Writer, err error) int {
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
		case errors.Is(err, errIncompleteReport):
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

// printError prints each line of a message with the name of the program before it.
func printError(w io.Writer, message string) {
	for line := range strings.Lines(message) {
		_, _ = fmt.Fprintf(w, "knapweedpulley: %s\n", strings.TrimSuffix(line, "\n"))
	}
}

// helpError means that flaggy has printed the help and would have ended the process with status.
type helpError struct{ status int }

// Error implements error.
func (h *helpError) Error() string {
	return "help was printed"
}

// parse parses the command line.
func parse(args []string) (o *options, err error) {
	// By default flaggy ends the process on wrong input and after printing the help. With this
	// setting it panics instead.
	flaggy.PanicInsteadOfExit = true
	defer func() {
		if cause := recover(); cause != nil {
			err = &helpError{status: exitStatusOf(fmt.Sprint(cause))}
		}
	}()
	o = newOptions()
	if err := o.parser.ParseArgs(args); err != nil {
		return nil, errors.Mark(err, errUsage)
	}
	return o, nil
}

// exitStatusOf returns the status with which flaggy would have ended the process. The text of its
// panic ends with that status.
func exitStatusOf(cause string) int {
	if strings.HasSuffix(cause, " 0") {
		return ExitDone
	}
	return ExitUsage
}

// usageErrorf returns an error in the command line, the settings or a file, marked errUsage.
func usageErrorf(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), errUsage)
}

// withReachableClient calls do with a client of each admin address in turn, until a call succeeds or
// fails for a reason other than an unreachable address, and returns the result of the last call. It
// tries the next address only if the request certainly has not run.
func (o *options) withReachableClient(do func(c *admin.Client) error) error {
	s, err := loadSettings(o.settingsFile)
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
