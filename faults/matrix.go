package faults

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

// Row is a fault at a step of a flow.
type Row struct {
	Flow  string
	Fault string
	Step  string
	// Run injects the fault and returns the observations. It runs in a synctest
	// bubble with virtual time unless Real is set.
	Run  func(t *testing.T) Observations
	Real bool
}

// Name returns the flow, the fault and the step, separated by slashes.
func (r Row) Name() string {
	return r.Flow + "/" + r.Fault + "/" + r.Step
}

// Cell is the result of checking one invariant in one row. Checked counts the
// observations that the invariant applied to.
type Cell struct {
	Row        Row
	Invariant  string
	Checked    int
	Violations []string
}

// symbol returns the character for the cell in the table.
func (c Cell) symbol() string {
	switch {
	case len(c.Violations) > 0:
		return "X"
	case c.Checked == 0:
		return "-"
	}
	return "+"
}

// Matrix collects the cells of all rows.
type Matrix struct {
	rows []Row
	// external holds the sums of matrices that other test binaries ran.
	external Sums
	cells    map[string][]Cell
}

// NewMatrix returns a matrix of the given rows without results.
func NewMatrix(rows []Row) *Matrix {
	return &Matrix{rows: rows, cells: make(map[string][]Cell)}
}

// Sums holds the number of all, held and broken cells of a matrix.
type Sums struct {
	All    int `json:"all"`
	Held   int `json:"held"`
	Broken int `json:"broken"`
}

// AddFile adds the sums that another matrix wrote to the file at path. It returns
// an error if the file can't be read or decoded.
func (m *Matrix) AddFile(path string) error {
	data, err := os.ReadFile(path) //nolint:gosec // The caller names the file.
	if err != nil {
		return errors.Wrap(err, "read sums")
	}
	var s Sums
	if err := json.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, path)
	}
	m.external = Sums{All: m.external.All + s.All, Held: m.external.Held + s.Held, Broken: m.external.Broken + s.Broken}
	return nil
}

// Evaluate checks all invariants against the observations of a row, and stores and
// returns the cells.
func (m *Matrix) Evaluate(r Row, o Observations) []Cell {
	var cells []Cell
	for _, v := range Invariants() {
		violations, checked := v.Check(o)
		cells = append(cells, Cell{Row: r, Invariant: v.Name, Checked: checked, Violations: violations})
	}
	m.cells[r.Name()] = cells
	return cells
}

// Count returns the number of all cells, of held cells and of broken cells,
// including the added sums. Cells of a row that did not run count as missing.
func (m *Matrix) Count() (all, held, broken int) {
	all, held, broken = m.external.All, m.external.Held, m.external.Broken
	for _, r := range m.rows {
		all += len(Invariants())
		for _, c := range m.cells[r.Name()] {
			switch c.symbol() {
			case "+":
				held++
			case "X":
				broken++
			}
		}
	}
	return all, held, broken
}

// Print writes the table, the broken cells, the missing cells and the sums.
func (m *Matrix) Print(w io.Writer) {
	m.printTable(w)
	m.printBroken(w)
	m.printMissing(w)
	all, held, broken := m.Count()
	printf(w, "faults: %d cells, %d held, %d broken\n", all, held, broken)
}

func (m *Matrix) printTable(w io.Writer) {
	for i, v := range Invariants() {
		printf(w, "%c %s\n", 'a'+i, v.Name)
	}
	printf(w, "+ held, X broken, - missing\n")
	for _, r := range m.rows {
		var line strings.Builder
		for _, c := range m.cells[r.Name()] {
			line.WriteString(c.symbol())
		}
		printf(w, "%-13s %s\n", line.String(), r.Name())
	}
}

func (m *Matrix) printBroken(w io.Writer) {
	for _, r := range m.rows {
		for _, c := range m.cells[r.Name()] {
			if len(c.Violations) > 0 {
				printf(w, "broken: %s: %s: %s (%d in all)\n", r.Name(), c.Invariant, c.Violations[0], len(c.Violations))
			}
		}
	}
}

// printMissing lists the missing cells, with one line per flow and invariant.
func (m *Matrix) printMissing(w io.Writer) {
	counts := make(map[string]int)
	var order []string
	for _, r := range m.rows {
		for _, c := range m.cells[r.Name()] {
			if c.symbol() != "-" {
				continue
			}
			name := r.Flow + ": " + c.Invariant
			if counts[name] == 0 {
				order = append(order, name)
			}
			counts[name]++
		}
		if len(m.cells[r.Name()]) == 0 {
			printf(w, "missing: %s: did not run\n", r.Name())
		}
	}
	for _, n := range order {
		printf(w, "missing: %s: no checked observation in %d rows\n", n, counts[n])
	}
}

func printf(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}
