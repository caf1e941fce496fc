package bench

import (
	_ "embed" // The bounds are embedded in the program.
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sync"

	"github.com/cockroachdb/errors"
)

// FullVariable is the name of the environment variable that enables the long figures.
const FullVariable = "KNAPWEEDPULLEY_BENCH"

// Full reports whether the long figures are enabled.
func Full() bool {
	return os.Getenv(FullVariable) != ""
}

//go:embed bounds.json
var boundsJSON []byte

// Bound is the range of allowed values of a figure, limits included. At least one
// of Min and Max is set.
type Bound struct {
	Figure string   `json:"figure"`
	Min    *float64 `json:"min,omitempty"`
	Max    *float64 `json:"max,omitempty"`
	// Aim is the target from which the bound is derived.
	Aim string `json:"aim"`
}

// contains reports whether v is within the bound, limits included.
func (b Bound) contains(v float64) bool {
	return (b.Min == nil || v >= *b.Min) && (b.Max == nil || v <= *b.Max)
}

// String returns the range of the bound.
func (b Bound) String() string {
	switch {
	case b.Min != nil && b.Max != nil:
		return fmt.Sprintf("%g to %g", *b.Min, *b.Max)
	case b.Min != nil:
		return fmt.Sprintf("at least %g", *b.Min)
	default:
		return fmt.Sprintf("at most %g", *b.Max)
	}
}

// Recorder collects measured figures and compares them with the committed bounds.
// It is safe for concurrent use.
type Recorder struct {
	bounds []Bound
	mu     sync.Mutex
	values map[string]float64
}

// NewRecorder returns a recorder with the committed bounds. It returns an error if
// bounds.json is malformed or has a figure with neither a minimum nor a maximum.
func NewRecorder() (*Recorder, error) {
	r := &Recorder{values: make(map[string]float64)}
	if err := json.Unmarshal(boundsJSON, &r.bounds); err != nil {
		return nil, errors.Wrap(err, "parse bounds.json")
	}
	for _, x := range r.bounds {
		if x.Min == nil && x.Max == nil {
			return nil, errors.Newf("bounds.json: figure %q has neither min nor max", x.Figure)
		}
	}
	return r, nil
}

// Record stores the value of a figure and replaces an earlier one. Print omits
// figures that have no bound.
func (r *Recorder) Record(figure string, value float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.values[figure] = value
}

// Print writes all figures that have a bound. It returns their number and how many
// of them are out of bounds. In a full run, a figure that was not measured counts as
// out of bounds; otherwise it is omitted.
func (r *Recorder) Print(w io.Writer) (figures, out int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range r.bounds {
		value, measured := r.values[x.Figure]
		if !measured && !Full() {
			continue
		}
		figures++
		verdict := "ok"
		if !measured {
			verdict = "NOT TAKEN"
		} else if !x.contains(value) {
			verdict = "OUT OF BOUNDS"
		}
		if verdict != "ok" {
			out++
		}
		_, _ = fmt.Fprintf(w, "%-52s %12.5g  %-18s %s\n", x.Figure, value, x.String(), verdict)
	}
	return figures, out
}
