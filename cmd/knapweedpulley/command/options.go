package command

import (
	"context"
	"io"

	"github.com/integrii/flaggy"
)

// defaultSettingsFile is the path of the settings file if the command line has none.
const defaultSettingsFile = "operator.json"

// options has the subcommands, flags and positional values of the command line.
type options struct {
	parser       *flaggy.Parser
	settingsFile string

	apply, parameters, rollback, history, customers *flaggy.Subcommand
	key, issue, withdraw                            *flaggy.Subcommand
	status, drain, burn, explain                    *flaggy.Subcommand

	// The positional values of the subcommands.
	templateFile, customer, keyID, version, endpoint, logFile string
	// The flags of the subcommands.
	parametersFile, format, requestID, worthFile string
	assignments                                  []string
	expectedVersion                              string
	dryRun, check                                bool
}

// newOptions declares the subcommands, flags and positional values of the command line.
func newOptions() *options {
	o := &options{parser: flaggy.NewParser("knapweedpulley"), settingsFile: defaultSettingsFile, format: formatText}
	o.parser.Description = "Changes what is in force for customers, and tells it."
	o.parser.DisableShowVersionWithVersion()
	o.parser.ShowCompletion = false
	o.parser.String(&o.settingsFile, "s", "settings", "path of the JSON settings file")

	o.apply = o.addSubcommand("apply", "put a template in force")
	o.apply.AddPositionalValue(&o.templateFile, "template", 1, true, "path of the template, a JSON file")
	o.apply.String(&o.parametersFile, "p", "parameters", "path of a JSON object with the parameters")
	o.apply.StringSlice(&o.assignments, "", "set", "a parameter as name=value; may be given several times")
	o.apply.String(&o.expectedVersion, "e", "expect", "the version to replace, 0 for a new customer")
	o.apply.Bool(&o.dryRun, "n", "dry-run", "only print what would change")
	o.apply.Bool(&o.check, "c", "check", "check the template and parameters, without the system")

	o.parameters = o.addSubcommand("parameters", "change parameters of a customer, or print them")
	o.addCustomerValue(o.parameters)
	o.parameters.StringSlice(&o.assignments, "", "set", "a parameter as name=value; may be given several times")
	o.parameters.Bool(&o.dryRun, "n", "dry-run", "only print what would change")

	o.rollback = o.addSubcommand("rollback", "put an earlier version in force, as a new one")
	o.addCustomerValue(o.rollback)
	o.rollback.AddPositionalValue(&o.version, "version", 2, true, "the version, as the history has it")

	o.history = o.addSubcommand("history", "print the versions of a customer")
	o.addCustomerValue(o.history)
	o.customers = o.addSubcommand("customers", "print the customers and their versions")
	o.addKeySubcommands()

	o.status = o.addSubcommand("status", "print what is in force at each entry")
	o.drain = o.addSubcommand("drain", "let an endpoint finish its work and take no more")
	o.drain.AddPositionalValue(&o.endpoint, "endpoint", 1, true, "the id of the endpoint")
	o.burn = o.addSubcommand("burn", "print the report on service-level burn")
	o.burn.String(&o.format, "f", "format", "text, json or html")
	o.explain = o.addSubcommand("explain", "tell from logs what became of requests, and why")
	o.explain.AddPositionalValue(&o.logFile, "log", 1, true, "path of the logs of all gateways and keepers, in one file")
	o.explain.String(&o.requestID, "r", "request", "the id of one request")
	o.explain.String(&o.worthFile, "w", "worth", "path of the worth of requests by route (JSON), to count lost worth")
	return o
}

func (o *options) addSubcommand(name, description string) *flaggy.Subcommand {
	s := flaggy.NewSubcommand(name)
	s.Description = description
	o.parser.AttachSubcommand(s, 1)
	return s
}

func (o *options) addCustomerValue(s *flaggy.Subcommand) {
	s.AddPositionalValue(&o.customer, "customer", 1, true, "the id of the customer")
}

func (o *options) addKeySubcommands() {
	o.key = o.addSubcommand("key", "issue or withdraw a key")
	o.issue = flaggy.NewSubcommand("issue")
	o.issue.Description = "issue a key and print its secret, once"
	o.withdraw = flaggy.NewSubcommand("withdraw")
	o.withdraw.Description = "withdraw a key for good"
	for _, s := range []*flaggy.Subcommand{o.issue, o.withdraw} {
		o.key.AttachSubcommand(s, 1)
		o.addCustomerValue(s)
		s.AddPositionalValue(&o.keyID, "key", 2, true, "the id of the key")
	}
}

// run runs the subcommand of the command line and returns the exit status.
func (o *options) run(ctx context.Context, stdout io.Writer) (int, error) {
	out := output{stdout}
	switch {
	case o.apply.Used:
		return o.runApply(ctx, out)
	case o.parameters.Used:
		return o.runParameters(ctx, out)
	case o.rollback.Used:
		return o.runRollback(ctx, out)
	case o.history.Used:
		return o.runHistory(ctx, out)
	case o.customers.Used:
		return o.runCustomers(ctx, out)
	case o.issue.Used:
		return o.runIssue(ctx, out)
	case o.withdraw.Used:
		return o.runWithdraw(ctx, out)
	case o.status.Used:
		return o.runStatus(ctx, out)
	case o.drain.Used:
		return o.runDrain(ctx, out)
	case o.burn.Used:
		return o.runBurn(ctx, out)
	case o.explain.Used:
		return o.runExplain(out)
	default:
		return ExitUsage, usageErrorf("no subcommand given; --help lists the subcommands")
	}
}
