// Package command implements the command line of the demo: it parses the flags and
// runs one of the subcommands, run (send traffic to both deployments and check the
// answers) and local (keep a small fleet running for manual use).
//
// # Usage
//
//	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/zeromicro/go-zero/core/logx"
)

const (
	exitFailure = 1
	exitUsage   = 2

	defaultBinaries = ".build"
	defaultFixtures = "_fixtures"
	defaultScale    = 3
	// entryCount is the number of entry processes in each deployment.
	entryCount = 2
)

// options holds the values of the flags.
type options struct {
	binaries string
	fixtures string
	folder   string
	scale    int
}

// Run runs the demo with the arguments of a command line, without the program's
// name, and returns the exit status: 0 for success, 1 for a failure, 2 for a wrong
// command line.
func Run(args []string, stdout, stderr io.Writer) int {
	o := options{binaries: defaultBinaries, fixtures: defaultFixtures, scale: defaultScale}
	parser := flaggy.NewParser("demo")
	parser.Description = "Whole deployments on loopback"
	parser.DisableShowVersionWithVersion()
	parser.String(&o.binaries, "b", "bin", "folder of the programs standin, entry and agent")
	parser.String(&o.fixtures, "f", "fixtures", "folder of the deployments")
	parser.String(&o.folder, "k", "keep", "folder to keep settings and logs in")
	run := flaggy.NewSubcommand("run")
	run.Description = "send traffic to both deployments and check the answers"
	run.Int(&o.scale, "s", "scale", "divide the numbers of servers by this")
	local := flaggy.NewSubcommand("local")
	local.Description = "keep a small fleet up until interrupted"
	parser.AttachSubcommand(run, 1)
	parser.AttachSubcommand(local, 1)
	if err := parser.ParseArgs(args); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitUsage
	}
	// The log lines of the HTTP library would appear between the lines of the table.
	logx.Disable()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	switch {
	case run.Used && o.scale >= 1:
		return runDemo(ctx, o, stdout, stderr)
	case local.Used:
		return runLocal(ctx, o, stdout, stderr)
	}
	parser.ShowHelpWithMessage("name run, with a scale of at least 1, or local")
	return exitUsage
}
