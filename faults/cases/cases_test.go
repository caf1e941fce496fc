package cases_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// repository is the root of the repository.
const repository = "../.."

// names are the cases of the review, in their order.
var names = []string{"early-answer", "moved-key", "late-order", "refused", "cut-off"}

// build builds the programs and the stand-ins of the cases. It returns the program that runs a
// case, and the folder that it takes for the root of the repository.
func build(t *testing.T) (standin, root string) {
	t.Helper()
	is := is.New(t)
	root = t.TempDir()
	templates, err := filepath.Abs(filepath.Join(repository, "deploy"))
	is.NoErr(err)
	is.NoErr(os.Symlink(templates, filepath.Join(root, "deploy")))
	programs := exec.Command("go", "build", "-o", filepath.Join(root, "target")+"/", "./cmd/gateway", "./cmd/keeper") //nolint:gosec // All arguments are the test's.
	programs.Dir = repository
	assertRuns(t, programs)
	standin = filepath.Join(root, "standin")
	stand := exec.Command("go", "build", "-o", standin, ".") //nolint:gosec // All arguments are the test's.
	stand.Dir = filepath.Join(repository, "review", "standin")
	stand.Env = append(os.Environ(), "GOWORK=off")
	assertRuns(t, stand)
	return standin, root
}

// assertRuns asserts that a command exits with 0.
func assertRuns(t *testing.T, c *exec.Cmd) {
	t.Helper()
	if out, err := c.CombinedOutput(); err != nil {
		t.Errorf("%s: %v\n%s", c, err, out)
	}
}

// TestCases fails for a case whose rule is broken (exit status 1) and for one that could not run
// (2). CI passed for as long as no case could run.
func TestCases(t *testing.T) {
	standin, root := build(t)
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			record := filepath.Join(t.TempDir(), "record.txt")
			assertRuns(t, exec.Command(standin, name, root, record)) //nolint:gosec // The test built it.
		})
	}
}
