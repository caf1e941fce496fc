package burn

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
)

// WriteText writes the report as a plain-text table.
func (r Report) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "%s, entries: %s\n", r.Time.Format(time.RFC3339), strings.Join(r.Entries, ", "))
	_, _ = fmt.Fprintln(table, "customer\tobjective\ttarget\tgood\tof\tbudget left\tburn 1h/5m\tburn 6h/30m\talert")
	for _, c := range r.Customers {
		for _, o := range c.Objectives {
			_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%.0f\t%s\t%.1f/%.1f\t%.1f/%.1f\t%s\n",
				c.Customer, o.Objective, percent(o.Target), percent(o.Good), o.All, percent(o.BudgetLeft),
				o.Burn.FastLong, o.Burn.FastShort, o.Burn.SlowLong, o.Burn.SlowShort, o.Alert)
		}
	}
	if r.Worst != "" {
		_, _ = fmt.Fprintf(table, "worst-served customer: %s\n", r.Worst)
	}
	_, _ = fmt.Fprintf(table, "alerts: %d\n", r.Alerts())
	return errors.Wrap(table.Flush(), "write report")
}

// percent formats a share as a percentage with two decimals.
func percent(share float64) string {
	return fmt.Sprintf("%.2f%%", 100*share)
}
