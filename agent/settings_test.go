package agent_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley/agent"
	"github.com/knapweedpulley/knapweedpulley/settings"
)

func assertSettingsError(t *testing.T, text, want string) {
	t.Helper()
	is := is.New(t)
	_, err := settings.Parse[agent.Settings]([]byte(text))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), want))
}

func TestSettings(t *testing.T) {
	const place = `"endpoint":"e","machine":"m","zone":"a","listen":"127.0.0.1:7100"`
	t.Run("engine without queue settings gets the default queue length", func(t *testing.T) {
		is := is.New(t)
		s, err := settings.Parse[agent.Settings]([]byte(`{` + place + `,"engine":{"url":"http://127.0.0.1:8000"}}`))
		is.NoErr(err)
		is.True(s.Queue.MaxQueued > 0)
	})
	t.Run("neither engine nor services is an error", func(t *testing.T) {
		assertSettingsError(t, `{`+place+`}`, "exactly one of engine and services")
	})
	t.Run("service without a route is an error", func(t *testing.T) {
		assertSettingsError(t, `{`+place+`,"services":[{"url":"http://127.0.0.1:9000"}]}`, "services[0].route")
	})
	t.Run("unknown field is an error", func(t *testing.T) {
		assertSettingsError(t, `{`+place+`,"speed":1}`, "speed")
	})
}
