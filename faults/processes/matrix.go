package processes

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley/faults"
)

const privateFile = 0o600

// Row holds the results of one fault.
type Row struct {
	Fault   string
	Results map[Invariant]CheckResult
	// Counts lists the number of requests per outcome.
	Counts string
}

// Matrix collects the rows of all faults.
type Matrix struct {
	rows []Row
}

// Add adds a row.
func (m *Matrix) Add(r Row) {
	m.rows = append(m.rows, r)
}

// Count returns the number of all cells, of held cells and of broken cells. A cell
// without a checked observation is neither held nor broken.
func (m *Matrix) Count() (all, held, broken int) {
	for _, r := range m.rows {
		for _, v := range Invariants() {
			f, ok := r.Results[v]
			if !ok {
				continue
			}
			all++
			switch cellSymbol(f) {
			case '+':
				held++
			case 'X':
				broken++
			}
		}
	}
	return all, held, broken
}

// Print writes the table, the broken cells and the sums. It writes nothing if the
// matrix has no rows.
func (m *Matrix) Print(w io.Writer) {
	if len(m.rows) == 0 {
		return
	}
	for i, v := range Invariants() {
		printf(w, "%c %s\n", 'a'+i, v)
	}
	printf(w, "+ held, X broken, - not judged, . not of this row\n")
	for _, r := range m.rows {
		var line strings.Builder
		for _, v := range Invariants() {
			if f, ok := r.Results[v]; ok {
				line.WriteByte(cellSymbol(f))
			} else {
				line.WriteByte('.')
			}
		}
		printf(w, "%s %-40s %s\n", line.String(), r.Fault, r.Counts)
	}
	for _, r := range m.rows {
		for _, v := range Invariants() {
			if f := r.Results[v]; len(f.Violations) > 0 {
				printf(w, "broken: %s: %s: %s (%d of %d)\n", r.Fault, v, f.Violations[0], len(f.Violations), f.Checked)
			}
		}
	}
	all, held, broken := m.Count()
	printf(w, "faults/processes: %d cells, %d held, %d broken\n", all, held, broken)
}

// WriteSums writes the sums to the file at path, for the matrix of package faults,
// which adds them to its own. It returns an error if the file can't be written.
func (m *Matrix) WriteSums(path string) error {
	var s faults.Sums
	s.All, s.Held, s.Broken = m.Count()
	data, err := json.Marshal(s)
	if err != nil {
		return errors.Wrap(err, "encode sums")
	}
	return errors.Wrap(os.WriteFile(path, data, privateFile), "write sums")
}

func cellSymbol(f CheckResult) byte {
	switch {
	case len(f.Violations) > 0:
		return 'X'
	case f.Checked == 0:
		return '-'
	default:
		return '+'
	}
}

func printf(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}
