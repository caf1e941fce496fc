package main

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley/settings"
)

// renderedTemplate returns the deployed template with example values filled in. The platform renders a
// section only where it has the field.
func renderedTemplate(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../../deploy/gateway.json.tmpl")
	is.New(t).NoErr(err)
	return strings.NewReplacer(
		"{{node|json}}", `"front-1"`, "{{zone|json}}", `"a"`, "{{ip}}", "10.0.0.1",
		"{{listen.front|json}}", `"10.0.0.1:8221"`, "{{listen.ready|json}}", `"10.0.0.1:8224"`,
		"{{portRange.0|json}}", "7600", "{{portRange.0}}", "7600", "{{platform.address|json}}", `"10.0.9.9:8225"`,
		"{{bounds.graceS}}", "8", "{{bounds.budgetSlack|json}}", "54", "{{limits.memoryMb|json}}", "284",
		"{{#limits.maxFds}}", "", "{{.}}", "3075", "{{/limits.maxFds}}", "",
	).Replace(string(text))
}

func assertFault(t *testing.T, text, message string) {
	t.Helper()
	_, err := settings.Parse[Settings]([]byte(text))
	is.New(t).True(err != nil)
	is.New(t).True(strings.Contains(err.Error(), message))
}

func TestSettings(t *testing.T) {
	valid := renderedTemplate(t)
	t.Run("the deployed template gives valid settings", func(t *testing.T) {
		is := is.New(t)
		s, err := settings.Parse[Settings]([]byte(valid))
		is.NoErr(err)
		is.Equal(s.KeeperPort, 7600)
		is.Equal(s.Links, "10.0.0.1:7600")
		is.Equal(s.MaxFDs, 3075)
	})
	t.Run("the limit of descriptors may be left out", func(t *testing.T) {
		is := is.New(t)
		s, err := settings.Parse[Settings]([]byte(strings.Replace(valid, `"maxFds": 3075,`, "", 1)))
		is.NoErr(err)
		is.Equal(s.MaxFDs, 0)
	})
	t.Run("an invalid setting is reported with its value and the allowed values", func(t *testing.T) {
		assertFault(t, strings.Replace(valid, `"8s"`, `"1s"`, 1), `grace: "1s" must be at least`)
		assertFault(t, strings.Replace(valid, `"10.0.0.1:8221"`, `"nowhere"`, 1), `callers: "nowhere" must be host:port`)
		assertFault(t, strings.Replace(valid, `"remoteLoads": 2`, `"remoteLoads": 0`, 1), `remoteLoads: "0" must be above 0`)
		assertFault(t, strings.Replace(valid, `"logLevel": "info"`, `"logLevel": "loud"`, 1), `logLevel: "loud"`)
		assertFault(t, strings.Replace(valid, `"maxFds": 3075`, `"maxFds": -1`, 1), `maxFds: "-1" must not be negative`)
		assertFault(t, strings.Replace(valid, `"zone"`, `"zoen"`, 1), `unknown field "zoen"`)
	})
}
