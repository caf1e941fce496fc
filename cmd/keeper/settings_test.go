package main

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley/settings"
)

func TestSettings(t *testing.T) {
	text, err := os.ReadFile("../../deploy/keeper.json.tmpl")
	is.New(t).NoErr(err)
	validSettings := strings.NewReplacer(
		"{{node|json}}", `"side-1"`, "{{ip}}", "10.0.0.1", "{{portRange.0}}", "7600",
		"{{app|json}}", `"10.0.0.1:8228"`, "{{limits.memoryMb|json}}", "216",
	).Replace(string(text))
	t.Run("the deployed template yields valid settings", func(t *testing.T) {
		is := is.New(t)
		s, err := settings.Parse[Settings]([]byte(validSettings))
		is.NoErr(err)
		is.Equal(s.Engine, "10.0.0.1:8228")
	})
	t.Run("the deployed template needs no field that only some platforms have", func(t *testing.T) {
		is.New(t).True(!strings.Contains(validSettings, "{{"))
	})
	t.Run("an invalid address is reported with its value and what is allowed", func(t *testing.T) {
		_, err := settings.Parse[Settings]([]byte(strings.Replace(validSettings, `"10.0.0.1:8228"`, `"x"`, 1)))
		is.New(t).True(err != nil && strings.Contains(err.Error(), `engine: "x" must be host:port`))
	})
}
