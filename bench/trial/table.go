package trial

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Measured is a column with its result.
type Measured struct {
	Column Column
	Result *Result
}

// row is a figure in the table.
type row struct {
	name  string
	value func(r *Result) string
}

var rows = []row{
	{"cold start p50", func(r *Result) string { return formatSeconds(r.ColdStart(p50)) }},
	{"cold start p99", func(r *Result) string { return formatSeconds(r.ColdStart(p99)) }},
	{"cold start p99.9", func(r *Result) string { return formatSeconds(r.ColdStart(p999)) }},
	{"requests that waited for a load", func(r *Result) string { return fmt.Sprint(r.Cold.TotalCount()) }},
	{"idle accelerator hours", func(r *Result) string { return fmt.Sprintf("%.2f", r.IdleHours) }},
	{"worst customer's share of its due", func(r *Result) string { return fmt.Sprintf("%.4f", r.WorstShare()) }},
	{"worst customer's slowdown", func(r *Result) string { return fmt.Sprintf("%.2f", r.WorstSlowdown()) }},
	{"refused within the rate", func(r *Result) string { return fmt.Sprintf("%.4f %%", percent*r.WrongfulRefusals()) }},
	{"refusals by code", refusalCounts},
	{"flooding customer's share of its due", func(r *Result) string { return fmt.Sprintf("%.4f", r.FloodShare()) }},
	{"requests within the rate", func(r *Result) string { return fmt.Sprint(r.Requests) }},
	{"loads from the weight store", func(r *Result) string { return fmt.Sprint(r.Loads) }},
	{"writes of permits", func(r *Result) string { return fmt.Sprint(r.Permits) }},
}

// Percentiles of the table, and the factor from a fraction to a percentage.
const (
	p50     = 50
	p99     = 99
	p999    = 99.9
	percent = 100
)

func formatSeconds(d time.Duration) string {
	return fmt.Sprintf("%.3f s", d.Seconds())
}

// refusalCounts lists the refusals of requests within the rate by code.
func refusalCounts(r *Result) string {
	var list []string
	for code, n := range r.Refused {
		list = append(list, fmt.Sprintf("%s %d", code, n))
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}

// WriteTable writes a row for each figure and a column for each policy.
func WriteTable(w io.Writer, title string, columns []Measured) {
	_, _ = fmt.Fprintf(w, "\n%s\n", title)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprint(t, "\t")
	for _, c := range columns {
		_, _ = fmt.Fprintf(t, "%s\t", c.Column.Name)
	}
	_, _ = fmt.Fprintln(t)
	for _, r := range rows {
		_, _ = fmt.Fprintf(t, "%s\t", r.name)
		for _, c := range columns {
			_, _ = fmt.Fprintf(t, "%s\t", r.value(c.Result))
		}
		_, _ = fmt.Fprintln(t)
	}
	_ = t.Flush()
}
