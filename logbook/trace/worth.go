package trace

import (
	"fmt"
	"io"
	"slices"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// fixedWorthShare is the share of a request's worth that does not depend on its size.
	// maxWorthFactor is the maximum ratio of a request's worth to that of its route. Both follow
	// the accounting of the platform's users.
	fixedWorthShare = 0.3
	maxWorthFactor  = 4.0
	// completionWeight is the weight of a generated token relative to a prompt token.
	completionWeight = 10
)

// Worth is what a request of a route is worth to its caller if it is answered within its objective,
// or later.
type Worth struct {
	InTime float64 `json:"inTime"`
	Late   float64 `json:"late"`
}

// Worths holds the worth of requests by route. A request of any other route is worth one in time
// and nothing later.
type Worths struct {
	Routes map[knapweedpulley.RouteID]Worth `json:"routes"`
}

// Check implements knapweedpulley.Checker.
func (w *Worths) Check(f knapweedpulley.FieldErrors) {
	for route, worth := range w.Routes {
		in := f.In("routes.%s", route)
		in.Positive("inTime", worth.InTime)
		if worth.Late < 0 || worth.Late > worth.InTime {
			in.Addf("late", worth.Late, "must be from 0 to inTime")
		}
	}
}

func (w *Worths) forRoute(route knapweedpulley.RouteID) Worth {
	if worth, known := w.Routes[route]; known {
		return worth
	}
	return Worth{InTime: 1}
}

// lost returns the worth that a request lost by the way in which it ended.
func (w *Worths) lost(f *Fields, c Cause) float64 {
	worth := w.forRoute(f.Route)
	switch {
	case c == InTime:
		return 0
	case f.Code == "" && c != BrokenOff && c != Failed:
		return worth.InTime - worth.Late
	default:
		return worth.InTime
	}
}

// WriteLostWorth writes a table of the worth that was lost, by cause and route. Its last row is the
// total worth of all requests.
func WriteLostWorth(w io.Writer, lines []Line, worths Worths) error {
	means := meanWeightedTokens(lines)
	cells := make(table)
	for i := range lines {
		l := &lines[i]
		if !l.endsRequest() {
			continue
		}
		cause := CauseOf(l)
		worthFactor := l.Fields.worthFactor(means[l.Fields.Route])
		cells.add(cause, l.Fields.Route, worthFactor*worths.lost(&l.Fields, cause))
		cells.add(total, l.Fields.Route, worthFactor*worths.forRoute(l.Fields.Route).InTime)
	}
	return cells.write(w, slices.Concat(causes(), []Cause{total}), func(v float64) string {
		return fmt.Sprintf("%.2f", v)
	})
}

// weightedTokens returns the size of a generation in prompt tokens, or zero for other requests.
func (f *Fields) weightedTokens() float64 {
	return float64(f.Prompt) + completionWeight*float64(f.Completion)
}

// worthFactor returns the worth of a request relative to that of a request of its route with mean
// size.
func (f *Fields) worthFactor(mean float64) float64 {
	if mean <= 0 || f.weightedTokens() <= 0 {
		return 1
	}
	return min(maxWorthFactor, fixedWorthShare+(1-fixedWorthShare)*f.weightedTokens()/mean)
}

// meanWeightedTokens returns the mean size of the generations of each route, in prompt tokens.
func meanWeightedTokens(lines []Line) map[knapweedpulley.RouteID]float64 {
	sums := make(map[knapweedpulley.RouteID]float64)
	counts := make(map[knapweedpulley.RouteID]float64)
	for i := range lines {
		if f := &lines[i].Fields; lines[i].endsRequest() && f.weightedTokens() > 0 {
			sums[f.Route] += f.weightedTokens()
			counts[f.Route]++
		}
	}
	for route := range sums {
		sums[route] /= counts[route]
	}
	return sums
}
