package command

import (
	"context"
	"maps"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/admin"
	"github.com/knapweedpulley/knapweedpulley/customer"
	"github.com/knapweedpulley/knapweedpulley/settings"
)

// runApply checks a template locally and, unless only a check is requested, applies it through the
// admin API.
func (o *options) runApply(ctx context.Context, out output) (int, error) {
	a, err := o.readApplication()
	if err != nil {
		return ExitUsage, err
	}
	if o.check {
		out.printf("%s is sound, for customer %s\n", o.templateFile, a.Customer)
		return ExitDone, nil
	}
	return o.buildAndApply(ctx, out, func(*admin.Client) (admin.Application, error) { return a, nil })
}

// runParameters applies the template of the version in force with changed parameters. Without
// assignments it prints the parameters of that version.
func (o *options) runParameters(ctx context.Context, out output) (int, error) {
	if len(o.assignments) == 0 {
		var d admin.CustomerDetail
		err := o.withReachableClient(func(c *admin.Client) (err error) {
			d, err = c.Customer(ctx, knapweedpulley.CustomerID(o.customer))
			return err
		})
		if err == nil {
			out.printParameters(d)
		}
		return ExitDone, err
	}
	return o.buildAndApply(ctx, out, func(c *admin.Client) (admin.Application, error) {
		d, err := c.Customer(ctx, knapweedpulley.CustomerID(o.customer))
		if err != nil {
			return admin.Application{}, err
		}
		parameters, err := withAssignments(d.Parameters, o.assignments)
		return admin.Application{
			Customer: knapweedpulley.CustomerID(o.customer), Template: d.Template, Parameters: parameters,
			Expected: knapweedpulley.Some(d.Version),
		}, err
	})
}

// buildAndApply applies the application that build returns, or with --dry-run only has the
// differences computed. It prints the differences and the outcome. build is called once for
// each admin address that is tried.
func (o *options) buildAndApply(
	ctx context.Context, out output, build func(c *admin.Client) (admin.Application, error),
) (int, error) {
	var result admin.Result
	err := o.withReachableClient(func(c *admin.Client) error {
		a, err := build(c)
		if err != nil {
			return err
		}
		result, err = c.Apply(ctx, a, o.dryRun)
		return err
	})
	if err != nil {
		return ExitFailed, err
	}
	out.printDifferences(result.Differences)
	if o.dryRun {
		out.printf("dry run: nothing was changed\n")
		return ExitDone, nil
	}
	return out.printResult(result), nil
}

// runRollback applies an earlier version of the customer again, as a new version.
func (o *options) runRollback(ctx context.Context, out output) (int, error) {
	version, err := strconv.ParseUint(o.version, 10, 64)
	if err != nil || version == 0 {
		return ExitUsage, usageErrorf("version: %q must be a whole number from 1 that the history lists", o.version)
	}
	var result admin.Result
	err = o.withReachableClient(func(c *admin.Client) (err error) {
		result, err = c.Rollback(ctx, knapweedpulley.CustomerID(o.customer), knapweedpulley.Version(version))
		return err
	})
	if err != nil {
		return ExitFailed, err
	}
	out.printDifferences(result.Differences)
	return out.printResult(result), nil
}

// runIssue issues a key and prints its secret.
func (o *options) runIssue(ctx context.Context, out output) (int, error) {
	var key admin.IssuedKey
	err := o.withReachableClient(func(c *admin.Client) (err error) {
		key, err = c.IssueKey(ctx, knapweedpulley.CustomerID(o.customer), knapweedpulley.KeyID(o.keyID))
		return err
	})
	if err != nil {
		return ExitFailed, err
	}
	out.printf("secret of key %s, shown only now: %s\n", key.ID, key.Secret)
	return out.printResult(key.Result), nil
}

// runWithdraw withdraws a key.
func (o *options) runWithdraw(ctx context.Context, out output) (int, error) {
	var result admin.Result
	err := o.withReachableClient(func(c *admin.Client) (err error) {
		result, err = c.WithdrawKey(ctx, knapweedpulley.CustomerID(o.customer), knapweedpulley.KeyID(o.keyID))
		return err
	})
	if err != nil {
		return ExitFailed, err
	}
	return out.printResult(result), nil
}

// readApplication reads the template and the parameters that are named on the command line and
// checks them. A fault in them is an error marked errUsage.
func (o *options) readApplication() (admin.Application, error) {
	var a admin.Application
	text, err := os.ReadFile(o.templateFile)
	if err != nil {
		return a, errors.Mark(errors.Wrap(err, "read template"), errUsage)
	}
	parameters, err := o.readParameters()
	if err != nil {
		return a, err
	}
	template, err := customer.Resolve(text, parameters)
	if err != nil {
		return a, errors.Mark(errors.Wrap(err, o.templateFile), errUsage)
	}
	a = admin.Application{Customer: template.Customer, Template: text, Parameters: parameters}
	if o.expectedVersion != "" {
		version, err := strconv.ParseUint(o.expectedVersion, 10, 64)
		if err != nil {
			return a, usageErrorf("expect: %q must be a version number, or 0 for a new customer", o.expectedVersion)
		}
		a.Expected = knapweedpulley.Some(knapweedpulley.Version(version))
	}
	return a, nil
}

// readParameters reads the parameters file, if there is one, and adds the assignments of the command
// line, which take precedence.
func (o *options) readParameters() (customer.Parameters, error) {
	parameters := customer.Parameters{}
	if o.parametersFile != "" {
		data, err := os.ReadFile(o.parametersFile)
		if err != nil {
			return nil, errors.Mark(errors.Wrap(err, "read parameters"), errUsage)
		}
		if err := settings.Decode(data, &parameters); err != nil {
			return nil, errors.Mark(errors.Wrap(err, o.parametersFile), errUsage)
		}
	}
	return withAssignments(parameters, o.assignments)
}

// withAssignments returns a copy of the parameters to which the assignments, each of the form
// name=value, are applied.
func withAssignments(parameters customer.Parameters, assignments []string) (customer.Parameters, error) {
	result := maps.Clone(parameters)
	if result == nil {
		result = customer.Parameters{}
	}
	for _, s := range assignments {
		name, text, ok := strings.Cut(s, "=")
		if !ok || name == "" {
			return nil, usageErrorf("set: %q must have the form name=value", s)
		}
		value, err := customer.ParseParameter(text)
		if err != nil {
			return nil, errors.Mark(err, errUsage)
		}
		result[name] = value
	}
	return result, nil
}
