package program_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley/standin/program"
)

func assertCheck(t *testing.T, settings string, code int, want string) {
	t.Helper()
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "engine.json")
	is.NoErr(os.WriteFile(path, []byte(settings), 0o600))
	var stderr bytes.Buffer
	is.Equal(program.Run([]string{"engine", "--settings", path, "--check"}, &stderr), code)
	is.True(strings.Contains(stderr.String(), want)) // The message describes the invalid setting.
}

func TestCheck(t *testing.T) {
	t.Run("valid settings pass", func(t *testing.T) {
		assertCheck(t, `{"slots":2,"tokenTime":"1ms"}`, 0, "")
	})
	t.Run("an unknown field is rejected", func(t *testing.T) {
		assertCheck(t, `{"slot":2}`, 1, `unknown field "slot"`)
	})
	t.Run("an invalid value is reported with its field", func(t *testing.T) {
		assertCheck(t, `{"slots":0,"cached":[{"model":"m","tier":9}]}`, 1, `cached[0].tier: "9" must be`)
	})
}
