package program

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
)

// testSettings are the settings of a process that requires an address.
type testSettings struct {
	Listen string `json:"listen"`
}

func (s *testSettings) Check(f knapweedpulley.FieldErrors) {
	f.Address("listen", s.Listen)
}

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	is.New(t).NoErr(os.WriteFile(path, []byte(text), 0o600))
	return path
}

func assertExit(t *testing.T, status int, part string, args ...string) {
	t.Helper()
	is := is.New(t)
	var stderr bytes.Buffer
	start := func(testSettings) (Process, error) { return Process{}, errors.New("port in use") }
	is.Equal(run[testSettings]("test", "Tests.", args, &stderr, start), status)
	is.True(strings.Contains(stderr.String(), part))
}

func TestRun(t *testing.T) {
	good := write(t, `{"listen":"127.0.0.1:80"}`)
	cases := []struct {
		name   string
		status int
		part   string
		args   []string
	}{
		{"no settings file is a usage error", ExitUsage, "--settings", nil},
		{"a missing file is a usage error", ExitUsage, "no such file", []string{"--settings", "none.json"}},
		{"an unknown field is a usage error", ExitUsage, `"listne"`, []string{"--settings", write(t, `{"listne":"x"}`)}},
		{"an invalid value is a usage error", ExitUsage, "host:port", []string{"--settings", write(t, `{"listen":"x"}`)}},
		{"a wrong type is a usage error", ExitUsage, "must be string", []string{"--settings", write(t, `{"listen":1}`)}},
		{"malformed JSON is a usage error", ExitUsage, "line 1", []string{"--settings", write(t, `{`)}},
		{"a check of valid settings succeeds", ExitDone, "", []string{"--settings", good, "--check"}},
		{"a process that can't start is a failure", ExitFailed, "port in use", []string{"--settings", good}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assertExit(t, c.status, c.part, c.args...)
		})
	}
}

func TestEarlySignal(t *testing.T) {
	t.Run("a signal that arrives before the process has started stops it", func(t *testing.T) {
		is := is.New(t)
		is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGTERM))
		good := write(t, `{"listen":"127.0.0.1:80"}`)
		cleaned := false
		start := func(testSettings) (Process, error) { return Process{Cleanup: func() { cleaned = true }}, nil }
		is.Equal(run[testSettings]("test", "Tests.", []string{"--settings", good}, io.Discard, start), ExitDone)
		is.True(cleaned)
	})
}
