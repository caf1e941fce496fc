// Package program implements the command line of the stand-ins.
//
// # Usage
//
// Each subcommand runs one stand-in until it is interrupted:
//
//	standin engine --settings engine.json
//	standin objectStore --listen 127.0.0.1:7100
//
// Without a settings file, a stand-in uses its defaults. The log line "listening" on
// standard error contains the address.
package program

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/logbook"
	"github.com/knapweedpulley/knapweedpulley/settings"
)

const (
	exitFailure = 1
	exitUsage   = 2

	defaultListen = "127.0.0.1:0"
	readTimeout   = 30 * time.Second
	stopTimeout   = time.Second
)

// command is the subcommand of one stand-in.
type command struct {
	name        string
	description string
	// settings points to the defaults, which a settings file overrides.
	settings   knapweedpulley.Checker
	build      func() (http.Handler, knapweedpulley.Cleanup)
	subcommand *flaggy.Subcommand
}

// options are the flags common to all subcommands.
type options struct {
	settings string
	listen   string
	check    bool
}

// Run runs the program and returns its exit code.
func Run(args []string, stderr io.Writer) int {
	commands := commands()
	var o options
	parser := flaggy.NewParser("standin")
	parser.Description = "Stand-ins for the platform's services"
	parser.DisableShowVersionWithVersion()
	for _, c := range commands {
		c.subcommand = flaggy.NewSubcommand(c.name)
		c.subcommand.Description = c.description
		c.subcommand.String(&o.settings, "s", "settings", "JSON settings file")
		c.subcommand.String(&o.listen, "l", "listen", "host:port to listen on, port 0 for a free one")
		c.subcommand.Bool(&o.check, "c", "check", "check the settings and exit")
		parser.AttachSubcommand(c.subcommand, 1)
	}
	if err := parser.ParseArgs(args); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitUsage
	}
	for _, c := range commands {
		if !c.subcommand.Used {
			continue
		}
		if err := c.run(o, stderr); err != nil {
			_, _ = fmt.Fprintf(stderr, "standin %s: %v\n", c.name, err)
			return exitFailure
		}
		return 0
	}
	parser.ShowHelpWithMessage("name a stand-in")
	return exitUsage
}

// loadSettings reads the settings file, if there is one, and checks the settings.
func (c *command) loadSettings(path string) error {
	if path != "" {
		data, err := os.ReadFile(path) //nolint:gosec // The caller names the file.
		if err != nil {
			return errors.Wrap(err, "read settings")
		}
		if err := settings.Decode(data, c.settings); err != nil {
			return errors.Wrap(err, path)
		}
	}
	var f settings.Faults
	c.settings.Check(&f)
	return f.Err()
}

func (c *command) run(o options, stderr io.Writer) error {
	if err := c.loadSettings(o.settings); err != nil || o.check {
		return err
	}
	if o.listen == "" {
		o.listen = defaultListen
	}
	listener, err := net.Listen("tcp", o.listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	handler, cleanup := c.build()
	defer cleanup()
	logbook.New(stderr, log.InfoLevel, "standin", c.name).
		WithField("address", listener.Addr().String()).Info("listening")
	return serve(listener, handler)
}

// serve serves requests until the process receives SIGINT or SIGTERM.
func serve(listener net.Listener, handler http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	timeout, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if server.Shutdown(timeout) != nil {
		return server.Close()
	}
	return nil
}
