package capacity

import "fmt"

// Line is a linear model of a cost as a function of a size, through two measured
// points.
type Line struct {
	Name string
	// Per is the name of the unit that the size counts.
	Per string
	// Slope is the cost of one more unit, Intercept the cost at size zero.
	Slope     float64
	Intercept float64
}

// LineThrough returns the line through cost a at size x and cost b at size y. The two
// sizes must differ.
func LineThrough(name, per string, x, a, y, b float64) Line {
	slope := (b - a) / (y - x)
	return Line{Name: name, Per: per, Slope: slope, Intercept: a - slope*x}
}

// At returns the cost at the given size.
func (l Line) At(size float64) float64 {
	return l.Intercept + l.Slope*size
}

// SizeAtCost returns the size at which the cost equals the budget.
func (l Line) SizeAtCost(budget float64) float64 {
	return (budget - l.Intercept) / l.Slope
}

// String returns the line in the form that the capacity page shows.
func (l Line) String() string {
	return fmt.Sprintf("%s: %.5g + %.5g per %s", l.Name, l.Intercept, l.Slope, l.Per)
}
