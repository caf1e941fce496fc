package main

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley/platform"
	"github.com/knapweedpulley/knapweedpulley/program"
	"github.com/knapweedpulley/knapweedpulley/settings"
)

// platformFields are fields that every platform has, with example values.
var platformFields = strings.NewReplacer(
	"{{node|json}}", `"front-1"`, "{{zone|json}}", `"a"`, "{{ip}}", "10.0.0.1",
	"{{listen.front|json}}", `"10.0.0.1:8221"`, "{{listen.ready|json}}", `"10.0.0.1:8224"`,
	"{{portRange.0|json}}", "7600", "{{portRange.0}}", "7600", "{{platform.address|json}}", `"10.0.9.9:8225"`,
	"{{bounds.graceS}}", "8", "{{limits.memoryMb|json}}", "284",
)

// gatewayCommand is the command line of the gateway in the deploy file.
var gatewayCommand = regexp.MustCompile(`(?m)^run = "target/gateway(.*)"$`)

// renderedTemplate returns the deployed settings template, filled in.
func renderedTemplate(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../../deploy/gateway.json.tmpl")
	is.New(t).NoErr(err)
	return platformFields.Replace(string(text))
}

// optionalFields are the values of the fields that not every platform has; an empty one is absent.
type optionalFields struct {
	contracts, evacuationMs, budgetSlack, maxFDs string
}

// parseDeployed returns the settings of a gateway that is started as the deploy file says, with
// a settings file.
func parseDeployed(t *testing.T, file string, o optionalFields) (Settings, error) {
	t.Helper()
	is := is.New(t)
	text, err := os.ReadFile("../../deploy/system.toml")
	is.NoErr(err)
	command := gatewayCommand.FindSubmatch(text)
	is.True(command != nil)
	line := strings.NewReplacer(
		"{{contracts}}", o.contracts, "{{bounds.evacuationMs}}", o.evacuationMs,
		"{{bounds.budgetSlack}}", o.budgetSlack, "{{limits.maxFds}}", o.maxFDs,
	).Replace(string(command[1]))
	is.True(!strings.Contains(line, "{{"))
	arguments := append(strings.Fields(line), "--settings", "gateway.json")
	parsed, err := program.ParseOptions("gateway", "", arguments, new(Settings).Flags())
	is.NoErr(err)
	return settings.ParseWithFlags[Settings]([]byte(file), parsed.Values)
}

func assertFault(t *testing.T, text string, o optionalFields, message string) {
	t.Helper()
	_, err := parseDeployed(t, text, o)
	is.New(t).True(err != nil)
	is.New(t).True(strings.Contains(err.Error(), message))
}

func TestSettings(t *testing.T) {
	valid := renderedTemplate(t)
	all := optionalFields{contracts: "base,pressure", evacuationMs: "5000", budgetSlack: "54", maxFDs: "3075"}
	none := optionalFields{}
	t.Run("the deployed template gives valid settings", func(t *testing.T) {
		is := is.New(t)
		s, err := parseDeployed(t, valid, all)
		is.NoErr(err)
		is.Equal(s.KeeperPort, 7600)
		is.Equal(s.Links, "10.0.0.1:7600")
		is.Equal(s.MaxFDs, 3075)
		is.Equal(s.repeatLimit(), 54.0)
		is.Equal(s.EvacuationTime, settings.Duration(5*time.Second))
		is.True(platform.QueuesScarceRates(s.Contracts))
	})
	// Gateways did not start on a platform without a list of contracts.
	t.Run("a platform without the optional fields gives valid settings", func(t *testing.T) {
		is := is.New(t)
		is.True(!strings.Contains(valid, "{{"))
		s, err := parseDeployed(t, valid, none)
		is.NoErr(err)
		is.Equal(s.MaxFDs, 0)
		is.Equal(s.repeatLimit(), 150.0)
		is.Equal(s.EvacuationTime, settings.Duration(0))
		is.True(!platform.QueuesScarceRates(s.Contracts))
	})
	t.Run("a gateway without flags has valid settings", func(t *testing.T) {
		s, err := settings.Parse[Settings]([]byte(valid))
		is.New(t).NoErr(err)
		is.New(t).Equal(s.MaxFDs, 0)
	})
	t.Run("rates have queues only if the platform asks for them", func(t *testing.T) {
		is := is.New(t)
		s, err := parseDeployed(t, valid, optionalFields{contracts: "base,other"})
		is.NoErr(err)
		is.True(!platform.QueuesScarceRates(s.Contracts))
		for _, contracts := range []string{"null", "[]", `["other"]`} {
			s, err := parseDeployed(t, strings.Replace(valid, `"memoryMb"`, `"contracts": `+contracts+`, "memoryMb"`, 1), none)
			is.NoErr(err)
			is.True(!platform.QueuesScarceRates(s.Contracts))
		}
	})
	t.Run("a flag overrides the field of the file", func(t *testing.T) {
		is := is.New(t)
		file := strings.Replace(valid, `"memoryMb"`, `"contracts": ["pressure"], "maxFds": 7, "memoryMb"`, 1)
		s, err := parseDeployed(t, file, optionalFields{maxFDs: "9"})
		is.NoErr(err)
		is.Equal(s.MaxFDs, 9)
		is.True(platform.QueuesScarceRates(s.Contracts))
	})
	t.Run("an invalid setting is reported with its value and the allowed values", func(t *testing.T) {
		assertFault(t, strings.Replace(valid, `"8s"`, `"1s"`, 1), none, `grace: "1s" must be at least`)
		assertFault(t, strings.Replace(valid, `"10.0.0.1:8221"`, `"nowhere"`, 1), none, `callers: "nowhere" must be host:port`)
		assertFault(t, valid, optionalFields{evacuationMs: "-5"}, `evacuationTime: "-5ms" must not be negative`)
		assertFault(t, strings.Replace(valid, `"remoteLoads": 2`, `"remoteLoads": 0`, 1), none, `remoteLoads: "0" must be above 0`)
		assertFault(t, strings.Replace(valid, `"logLevel": "info"`, `"logLevel": "loud"`, 1), none, `logLevel: "loud"`)
		assertFault(t, valid, optionalFields{maxFDs: "-1"}, `maxFds: "-1" must not be negative`)
		assertFault(t, valid, optionalFields{budgetSlack: "-1"}, `repeatSlack: "-1" must be a finite number of at least 0`)
		assertFault(t, valid, optionalFields{budgetSlack: "Inf"}, `repeatSlack: "+Inf" must be a finite number of at least 0`)
		assertFault(t, strings.Replace(valid, `"zone"`, `"zoen"`, 1), none, `unknown field "zoen"`)
	})
	t.Run("an invalid flag is reported with its value and the allowed values", func(t *testing.T) {
		assertFault(t, valid, optionalFields{evacuationMs: "soon"}, `--evacuation-ms: "soon" must be a number of milliseconds`)
		assertFault(t, valid, optionalFields{budgetSlack: "many"}, `--repeat-slack: "many" must be a number`)
		assertFault(t, valid, optionalFields{maxFDs: "1.5"}, `--max-fds: "1.5" must be a whole number`)
	})
}
