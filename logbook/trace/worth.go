package trace

import (
	"fmt"
	"io"
	"slices"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// fixedWorth is the part of a request's worth that doesn't depend on its
	// size, mostWorth the largest multiple of its route's worth. Both are as the
	// users of the platform count.
	fixedWorth = 0.3
	mostWorth  = 4.0
	// completionWeight is how much more a generated token counts than one that
	// is read.
	completionWeight = 10
)

// Worth is what a request of a route is worth to its caller: within its
// objective, or later.
type Worth struct {
	InTime float64 `json:"inTime"`
	Late   float64 `json:"late"`
}

// Worths tells the worth of requests by route. Routes that it doesn't name count
// one in time and nothing later.
type Worths struct {
	Routes map[knapweedpulley.RouteID]Worth `json:"routes"`
}

// Check implements knapweedpulley.Checked.
func (w *Worths) Check(f knapweedpulley.FieldErrors) {
	for route, worth := range w.Routes {
		in := f.In("routes.%s", route)
		in.Positive("inTime", worth.InTime)
		if worth.Late < 0 || worth.Late > worth.InTime {
			in.Addf("late", worth.Late, "must be from 0 to inTime")
		}
	}
}

func (w *Worths) of(route knapweedpulley.RouteID) Worth {
	if worth, known := w.Routes[route]; known {
		return worth
	}
	return Worth{InTime: 1}
}

// lost returns the worth of a request that its end has cost.
func (w *Worths) lost(f *Fields, c Cause) float64 {
	worth := w.of(f.Route)
	switch {
	case c == InTime:
		return 0
	case f.Code == "" && c != BrokenOff && c != Failed:
		return worth.InTime - worth.Late
	default:
		return worth.InTime
	}
}

// WriteCredit writes how much worth was lost for which cause, by route.
func WriteCredit(w io.Writer, lines []Line, worths Worths) error {
	means := meanSizes(lines)
	cells := make(table)
	for i := range lines {
		l := &lines[i]
		if !l.ends() {
			continue
		}
		cause := CauseOf(l)
		factor := l.Fields.factor(means[l.Fields.Route])
		cells.add(cause, l.Fields.Route, factor*worths.lost(&l.Fields, cause))
		cells.add(owed, l.Fields.Route, factor*worths.of(l.Fields.Route).InTime)
	}
	return cells.write(w, slices.Concat(causes(), []Cause{owed}), func(v float64) string { return fmt.Sprintf("%.2f", v) })
}

// size is what a generation takes, in tokens that are read; zero for others.
func (f *Fields) size() float64 {
	return float64(f.Prompt) + completionWeight*float64(f.Completion)
}

// factor returns the worth of a request in that of the mean one of its route.
func (f *Fields) factor(mean float64) float64 {
	if mean <= 0 || f.size() <= 0 {
		return 1
	}
	return min(mostWorth, fixedWorth+(1-fixedWorth)*f.size()/mean)
}

// meanSizes returns the mean size of the generations of each route.
func meanSizes(lines []Line) map[knapweedpulley.RouteID]float64 {
	sums := make(map[knapweedpulley.RouteID]float64)
	counts := make(map[knapweedpulley.RouteID]float64)
	for i := range lines {
		if f := &lines[i].Fields; lines[i].ends() && f.size() > 0 {
			sums[f.Route] += f.size()
			counts[f.Route]++
		}
	}
	for route := range sums {
		sums[route] /= counts[route]
	}
	return sums
}
