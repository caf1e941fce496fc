package cases_test

import (
	"context"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// repository is the root of the repository.
	repository = "../.."
	// buildTimeout bounds a build, which the platform allows 15 minutes.
	buildTimeout = 15 * time.Minute
	// caseTimeout bounds a case, whose stand-in gives up after 115 s.
	caseTimeout = 130 * time.Second
	// stopTimeout is the time between SIGTERM and SIGKILL for a command that didn't end in time.
	stopTimeout = 10 * time.Second
)

// caseNumber is the number of a case, and the name of its folder.
type caseNumber string

// cases are the cases of the reviews that the programs pass.
var cases = []caseNumber{"1", "2", "3", "4", "5", "6", "8"}

// withControl are the cases that also run without their disruption.
var withControl = knapweedpulley.NewSet[caseNumber]("2", "6")

// excluded are the paths of the repository that are built or only kept.
var excluded = knapweedpulley.NewSet(".git", ".build", ".tools", ".local", "target", "journal", "review/.build")

// buildCommand is the build command of the deploy file.
var buildCommand = regexp.MustCompile(`(?m)^build = "(.*)"$`)

// checkout is a copy of the working tree, in which the scripts of the cases may write.
type checkout struct {
	root string
}

func newCheckout(t *testing.T) *checkout {
	t.Helper()
	c := &checkout{root: t.TempDir()}
	is.New(t).NoErr(filepath.WalkDir(repository, c.add))
	return c
}

// add copies a file or folder of the repository.
func (c *checkout) add(path string, entry fs.DirEntry, err error) error {
	if err != nil {
		return err
	}
	name, err := filepath.Rel(repository, path)
	if err != nil {
		return err
	}
	target := filepath.Join(c.root, name)
	switch {
	case excluded.Has(filepath.ToSlash(name)):
		if entry.IsDir() {
			return filepath.SkipDir
		}
		return nil
	case entry.IsDir():
		return os.MkdirAll(target, 0o750)
	case !entry.Type().IsRegular():
		return nil
	}
	info, err := entry.Info()
	if err != nil {
		return err
	}
	content, err := os.ReadFile(path) //nolint:gosec // The path is one of the repository.
	if err != nil {
		return err
	}
	return os.WriteFile(target, content, info.Mode().Perm())
}

// build builds the programs as the platform does.
func (c *checkout) build(t *testing.T) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(c.root, "deploy", "system.toml"))
	is.New(t).NoErr(err)
	command := buildCommand.FindSubmatch(text)
	is.New(t).True(command != nil)
	assertExit(t, 0, c.run(t, buildTimeout, nil, "sh", "-c", string(command[1])))
}

// buildStandIns runs the build scripts of the reviews.
func (c *checkout) buildStandIns(t *testing.T) {
	t.Helper()
	for _, script := range []string{"build.sh", "build-2.sh"} {
		assertExit(t, 0, c.run(t, buildTimeout, nil, filepath.Join(c.root, "review", script)))
	}
}

// runCase runs the script of a case.
func (c *checkout) runCase(t *testing.T, number caseNumber, environment ...string) outcome {
	t.Helper()
	return c.run(t, caseTimeout, environment, filepath.Join(c.root, "review", string(number), "run.sh"))
}

// run runs a command in the root of the checkout.
func (c *checkout) run(t *testing.T, timeout time.Duration, environment []string, name string, arguments ...string) outcome {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	command := exec.CommandContext(ctx, name, arguments...) //nolint:gosec // The commands are those of the repository.
	command.Dir = c.root
	command.Env = append(os.Environ(), environment...)
	command.Cancel = func() error { return command.Process.Signal(syscall.SIGTERM) }
	command.WaitDelay = stopTimeout
	out, err := command.CombinedOutput()
	return outcome{command: command, output: string(out), err: err}
}

// outcome is the result of a command.
type outcome struct {
	command *exec.Cmd
	output  string
	err     error
}

// assertExit asserts the exit status of a command. The status of one that didn't start or was killed is -1.
func assertExit(t *testing.T, status int, o outcome) {
	t.Helper()
	if o.command.ProcessState.ExitCode() != status {
		t.Errorf("%s: %v, want exit status %d\n%s", o.command, o.err, status, o.output)
	}
}

// TestCases fails for a case whose rule is broken (exit status 1) and for one that could not run (2).
// It guards against cases that CI runs in another way than their scripts, so that only the scripts fail.
func TestCases(t *testing.T) {
	c := newCheckout(t)
	t.Run("a case without its stand-in names the script that builds it", func(t *testing.T) {
		o := c.runCase(t, cases[0])
		assertExit(t, 2, o)
		is.New(t).True(strings.Contains(o.output, "review/build.sh"))
	})
	c.buildStandIns(t)
	t.Run("a case without the programs names the one that is missing", func(t *testing.T) {
		o := c.runCase(t, cases[0])
		assertExit(t, 2, o)
		is.New(t).True(strings.Contains(o.output, "target/"))
	})
	c.build(t)
	for _, number := range cases {
		t.Run("case "+string(number), func(t *testing.T) {
			t.Parallel()
			assertExit(t, 0, c.runCase(t, number))
			if withControl.Has(number) {
				assertExit(t, 0, c.runCase(t, number, "TROUBLE=0"))
			}
		})
	}
}
