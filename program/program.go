// Package program runs a process of the system: command line, settings, log,
// signals and exit status.
//
// # Usage
//
//	os.Exit(program.Run("entry", "Answers callers.", start))
//
// start gets the content of the settings file and returns a running process,
// whose clean-up runs on SIGTERM or SIGINT.
package program

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/settings"
)

// settingsVariable names the settings file where the command line doesn't.
const settingsVariable = "KNAPWEEDPULLEY_CONFIG"

// forcedStop is far enough away for all requests to end.
const forcedStop = 24 * time.Hour

// signals gets the signals of the process. It does so from the start: go-zero
// catches them as soon as it is linked, and one that came before the process
// asked for them would be lost.
var signals = notify()

// notify keeps go-zero from ending the process a few seconds after a signal,
// while requests still run, and only then asks for signals: go-zero reads its
// settings, without a lock, when one comes.
func notify() <-chan os.Signal {
	proc.Setup(proc.ShutdownConf{WrapUpTime: forcedStop, WaitTime: forcedStop})
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return c
}

// Exit statuses of the processes.
const (
	ExitDone = iota
	// ExitFailed says that the process could not start or go on.
	ExitFailed
	// ExitUsage says that the command line or the settings are at fault.
	ExitUsage
)

// Options is the command line of a process.
type Options struct {
	Settings string
	Check    bool
}

// ParseOptions reads the command line.
func ParseOptions(name, description string, args []string) (Options, error) {
	var o Options
	parser := flaggy.NewParser(name)
	parser.Description = description
	parser.String(&o.Settings, "s", "settings", "path of the JSON settings file")
	parser.Bool(&o.Check, "c", "check", "check the settings and exit")
	if err := parser.ParseArgs(args); err != nil {
		return o, err
	}
	if o.Settings == "" {
		o.Settings = os.Getenv(settingsVariable)
	}
	if o.Settings == "" {
		return o, errors.New("--settings must name a JSON settings file")
	}
	return o, nil
}

// Cleanups are the clean-ups of the parts of a process, in the order of their
// construction.
type Cleanups []knapweedpulley.Cleanup

// Add notes the clean-ups of parts that were constructed.
func (c *Cleanups) Add(cleanups ...knapweedpulley.Cleanup) {
	*c = append(*c, cleanups...)
}

// Run runs the clean-ups, the last first.
func (c *Cleanups) Run() {
	for i := len(*c) - 1; i >= 0; i-- {
		(*c)[i]()
	}
}

// Process is a running process of the system.
type Process struct {
	Cleanup knapweedpulley.Cleanup
	// Ended is closed when the process can't go on and has to be started anew.
	// Nil stands for a process that always can.
	Ended <-chan struct{}
	// Reload is called on SIGHUP. Nil stands for a process that has nothing to
	// reload.
	Reload func()
}

// Run reads the settings named on the command line, starts the process and
// waits for a signal. It returns the exit status.
func Run[T any, P knapweedpulley.CheckerPointer[T]](
	name, description string, start func(T) (Process, error),
) int {
	return run[T, P](name, description, os.Args[1:], os.Stderr, start)
}

func run[T any, P knapweedpulley.CheckerPointer[T]](
	name, description string, args []string, stderr io.Writer, start func(T) (Process, error),
) int {
	o, err := ParseOptions(name, description, args)
	if err != nil {
		return fail(stderr, name, err, ExitUsage)
	}
	s, err := settings.Load[T, P](o.Settings)
	if err != nil {
		return fail(stderr, name, err, ExitUsage)
	}
	if o.Check {
		return ExitDone
	}
	// go-zero writes a log of its own.
	logx.Disable()
	for {
		p, err := start(s)
		if err != nil {
			return fail(stderr, name, err, ExitFailed)
		}
		if stopped := p.wait(signals); stopped {
			return ExitDone
		}
	}
}

// wait runs the process until it ends or is to stop, and cleans it up. It
// reports whether the process is to stop.
func (p *Process) wait(signals <-chan os.Signal) bool {
	defer p.Cleanup()
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				return true
			}
			if p.Reload != nil {
				p.Reload()
			}
		case <-p.Ended:
			return false
		}
	}
}

func fail(stderr io.Writer, name string, err error, status int) int {
	_, _ = fmt.Fprintf(stderr, "%s: %v\n", name, err)
	return status
}
