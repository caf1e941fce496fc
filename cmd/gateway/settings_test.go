package main

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley/platform"
	"github.com/knapweedpulley/knapweedpulley/settings"
)

// evacuationSection is the section of the template that is rendered only if the platform has the field.
var evacuationSection = regexp.MustCompile(`(?s){{#bounds\.evacuationMs}}(.*?){{/bounds\.evacuationMs}}`)

// renderedTemplate returns the deployed template with example values filled in.
func renderedTemplate(t *testing.T, evacuationMs string) string {
	t.Helper()
	text, err := os.ReadFile("../../deploy/gateway.json.tmpl")
	is.New(t).NoErr(err)
	section := ""
	if evacuationMs != "" {
		section = "$1"
	}
	text = evacuationSection.ReplaceAll(text, []byte(section))
	return strings.NewReplacer(
		"{{.}}", evacuationMs,
		"{{node|json}}", `"front-1"`, "{{zone|json}}", `"a"`, "{{ip}}", "10.0.0.1",
		"{{listen.front|json}}", `"10.0.0.1:8221"`, "{{listen.ready|json}}", `"10.0.0.1:8224"`,
		"{{portRange.0|json}}", "7600", "{{portRange.0}}", "7600", "{{platform.address|json}}", `"10.0.9.9:8225"`,
		"{{bounds.graceS}}", "8", "{{bounds.budgetSlack|json}}", "54", "{{limits.memoryMb|json}}", "284",
		"{{contracts|json}}", `["pressure"]`,
		`{{#limits.maxFds}}"maxFds": {{.}}, {{/limits.maxFds}}`, `"maxFds": 3075,`,
	).Replace(string(text))
}

func assertFault(t *testing.T, text, message string) {
	t.Helper()
	_, err := settings.Parse[Settings]([]byte(text))
	is.New(t).True(err != nil)
	is.New(t).True(strings.Contains(err.Error(), message))
}

func TestSettings(t *testing.T) {
	valid := renderedTemplate(t, "")
	t.Run("the deployed template gives valid settings", func(t *testing.T) {
		is := is.New(t)
		s, err := settings.Parse[Settings]([]byte(valid))
		is.NoErr(err)
		is.Equal(s.KeeperPort, 7600)
		is.Equal(s.Links, "10.0.0.1:7600")
		is.Equal(s.EvacuationTime, settings.Duration(0))
		is.Equal(s.MaxFDs, 3075)
		is.True(platform.QueuesScarceRates(s.Contracts))
	})
	t.Run("rates have queues only if the platform asks for them", func(t *testing.T) {
		for _, contracts := range []string{"null", "[]", `["other"]`} {
			is := is.New(t)
			s, err := settings.Parse[Settings]([]byte(strings.Replace(valid, `["pressure"]`, contracts, 1)))
			is.NoErr(err)
			is.True(!platform.QueuesScarceRates(s.Contracts))
		}
	})
	t.Run("a platform that evacuates zones gives the time for it", func(t *testing.T) {
		is := is.New(t)
		s, err := settings.Parse[Settings]([]byte(renderedTemplate(t, "5000")))
		is.NoErr(err)
		is.Equal(s.EvacuationTime, settings.Duration(5*time.Second))
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
		assertFault(t, renderedTemplate(t, "-5"), `evacuationTime: "-5ms" must not be negative`)
		assertFault(t, strings.Replace(valid, `"remoteLoads": 2`, `"remoteLoads": 0`, 1), `remoteLoads: "0" must be above 0`)
		assertFault(t, strings.Replace(valid, `"logLevel": "info"`, `"logLevel": "loud"`, 1), `logLevel: "loud"`)
		assertFault(t, strings.Replace(valid, `"maxFds": 3075`, `"maxFds": -1`, 1), `maxFds: "-1" must not be negative`)
		assertFault(t, strings.Replace(valid, `"zone"`, `"zoen"`, 1), `unknown field "zoen"`)
	})
}
