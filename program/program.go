// Package program runs a process of the system: it parses the command line, loads the
// settings, handles signals and determines the exit status.
//
// # Usage
//
//	os.Exit(program.Run("entry", "Answers callers.", start))
//
// The function start receives the parsed settings file and returns a running process.
// The clean-up of the process runs on SIGTERM or SIGINT.
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

// settingsVariable is the environment variable that names the settings file if the command line
// doesn't.
const settingsVariable = "KNAPWEEDPULLEY_CONFIG"

// goZeroStopTimeout is the time after which go-zero ends the process after a signal. It is long
// enough for all requests to end first.
const goZeroStopTimeout = 24 * time.Hour

// signals receives the signals of the process. It is set up at package initialization, because
// go-zero catches signals as soon as it is linked: a signal that came before the process subscribed
// to signals would be lost.
var signals = notify()

// notify subscribes to the signals of the process. Before that, it prevents go-zero from ending the
// process a few seconds after a signal, while requests still run. The order matters: go-zero reads
// these settings without a lock when a signal arrives.
func notify() <-chan os.Signal {
	proc.Setup(proc.ShutdownConf{WrapUpTime: goZeroStopTimeout, WaitTime: goZeroStopTimeout})
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return c
}

// Exit statuses of the processes.
const (
	ExitDone = iota
	// ExitFailed means that the process could not start or continue.
	ExitFailed
	// ExitUsage means that the command line or the settings are invalid.
	ExitUsage
)

// Options holds the command line options of a process.
type Options struct {
	Settings string
	Check    bool
	// Values holds the values of the flags that set fields of the settings.
	Values settings.FlagValues
}

// ParseOptions parses the command line, which may contain the given flags of the settings. The path
// of the settings file defaults to the value of the environment variable. ParseOptions returns an
// error if neither names a file.
func ParseOptions(name, description string, args []string, flags []knapweedpulley.SettingFlag) (Options, error) {
	o := Options{Values: make(settings.FlagValues)}
	parser := flaggy.NewParser(name)
	parser.Description = description
	parser.String(&o.Settings, "s", "settings", "path of the JSON settings file")
	parser.Bool(&o.Check, "c", "check", "check the settings and exit")
	for _, f := range flags {
		o.Values[f.Name] = new(string)
		parser.String(o.Values[f.Name], "", f.Name, f.Description)
	}
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

// Cleanups holds the clean-ups of the components of a process, in the order of their construction.
type Cleanups []knapweedpulley.Cleanup

// Add appends the clean-ups of constructed components.
func (c *Cleanups) Add(cleanups ...knapweedpulley.Cleanup) {
	*c = append(*c, cleanups...)
}

// Run runs the clean-ups in reverse order.
func (c *Cleanups) Run() {
	for i := len(*c) - 1; i >= 0; i-- {
		(*c)[i]()
	}
}

// Process is a running process of the system.
type Process struct {
	Cleanup knapweedpulley.Cleanup
	// Ended is closed when the process can't continue and has to be restarted. It is nil for a
	// process that always can.
	Ended <-chan struct{}
	// Reload is called on SIGHUP. It is nil for a process that has nothing to reload.
	Reload func()
}

// Run reads the settings file that the command line names, starts the process, and waits for a
// signal. It restarts a process whose Ended channel is closed. It returns the exit status.
func Run[T any, P knapweedpulley.CheckerPointer[T]](
	name, description string, start func(T) (Process, error),
) int {
	return run[T, P](name, description, os.Args[1:], os.Stderr, start)
}

func run[T any, P knapweedpulley.CheckerPointer[T]](
	name, description string, args []string, stderr io.Writer, start func(T) (Process, error),
) int {
	o, err := ParseOptions(name, description, args, settings.Flags[T, P](new(T)))
	if err != nil {
		return fail(stderr, name, err, ExitUsage)
	}
	s, err := settings.LoadWithFlags[T, P](o.Settings, o.Values)
	if err != nil {
		return fail(stderr, name, err, ExitUsage)
	}
	if o.Check {
		return ExitDone
	}
	// go-zero would write its own log.
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

// wait runs the process until it ends or receives a signal to stop, and then cleans it up. It
// reports whether it received such a signal.
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
