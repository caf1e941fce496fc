package command

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/admin"
)

// agePrecision is the unit to which printed ages are rounded.
const agePrecision = 100 * time.Millisecond

// output prints the results of subcommands as text.
type output struct{ w io.Writer }

func (o output) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(o.w, format, args...)
}

func (o output) printDifferences(list []admin.Difference) {
	for _, d := range list {
		o.printf("%s\n", d)
	}
}

// printResult prints the outcome of a change and returns the exit status for it.
func (o output) printResult(r admin.Result) int {
	switch {
	case r.Unchanged:
		o.printf("customer %s stays at version %s\n", r.Customer, r.Version)
	default:
		o.printf("customer %s is at version %s\n", r.Customer, r.Version)
	}
	if !r.Accepted {
		o.printf("stored, but not yet accepted; no word from: %s\n", joinEntries(r.Missing))
		return ExitPending
	}
	o.printf("accepted; in force at: %s\n", joinEntries(r.Acknowledged))
	if len(r.Missing) > 0 {
		o.printf("no word yet from: %s\n", joinEntries(r.Missing))
	}
	return ExitDone
}

// joinEntries returns the ids of the entries as a comma-separated list.
func joinEntries(entries []knapweedpulley.EntryID) string {
	list := make([]string, 0, len(entries))
	for _, e := range entries {
		list = append(list, string(e))
	}
	return strings.Join(list, ", ")
}

func (o output) printParameters(d admin.CustomerDetail) {
	for _, n := range slices.Sorted(maps.Keys(d.Parameters)) {
		o.printf("%s=%s\n", n, d.Parameters[n])
	}
}

func (o output) printHistory(h admin.History) {
	for _, e := range h.Editions {
		o.printf("%4s  %s  %-11s  %s\n", e.Version, e.Time.Format(time.RFC3339), e.Action, e.Operator)
	}
}

func (o output) printCustomers(l admin.CustomerList) {
	for _, c := range l.Customers {
		o.printf("%s  version %s\n", c.Customer, c.Version)
	}
}

func (o output) printStatus(s admin.Status) {
	for _, e := range s.Entries {
		if !e.Reachable {
			o.printf("%s (%s): no answer\n", e.Entry, e.Zone)
			continue
		}
		o.printf("%s (%s): content at most %s old\n", e.Entry, e.Zone, time.Duration(e.Age).Round(agePrecision))
		for _, c := range e.Customers {
			mark := ""
			if c.Behind {
				mark = ", behind"
			}
			o.printf("  %s  version %s%s\n", c.Customer, c.Version, mark)
		}
	}
	if s.Uniform {
		o.printf("the same versions are in force everywhere\n")
		return
	}
	o.printf("not the same everywhere\n")
}
