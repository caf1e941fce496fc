package trace

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

// table holds values by cause and route.
type table map[Cause]map[knapweedpulley.RouteID]float64

func (t table) add(c Cause, r knapweedpulley.RouteID, figure float64) {
	if t[c] == nil {
		t[c] = make(map[knapweedpulley.RouteID]float64)
	}
	t[c][r] += figure
}

// write writes the rows in the given order and omits rows without a value.
func (t table) write(w io.Writer, rows []Cause, format func(float64) string) error {
	all := make(knapweedpulley.Set[knapweedpulley.RouteID])
	for _, row := range t {
		for r := range row {
			all.Add(r)
		}
	}
	routes := slices.Sorted(maps.Keys(all))
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	// The tab writer reports write errors in Flush.
	_, _ = fmt.Fprint(out, "cause")
	for _, r := range routes {
		_, _ = fmt.Fprintf(out, "\t%s", routeLabel(r))
	}
	_, _ = fmt.Fprintln(out)
	for _, c := range rows {
		if t[c] == nil {
			continue
		}
		_, _ = fmt.Fprint(out, c)
		for _, r := range routes {
			_, _ = fmt.Fprintf(out, "\t%s", format(t[c][r]))
		}
		_, _ = fmt.Fprintln(out)
	}
	return errors.Wrap(out.Flush(), "write the table")
}

// routeLabel returns the column title of a route. Requests that match no route have an empty route.
func routeLabel(r knapweedpulley.RouteID) string {
	if r == "" {
		return "(none)"
	}
	return string(r)
}
