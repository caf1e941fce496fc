package faults_test

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"testing/synctest"

	"github.com/knapweedpulley/knapweedpulley/faults"
)

// matrix is filled by TestFaults and printed by TestMain.
var matrix = faults.NewMatrix(rows())

// rows lists the rows of all flows.
func rows() []faults.Row {
	return slices.Concat(orderRows(), pairRows(), requestRows(), drainRows())
}

// sumsFile is the environment variable that holds the path of the sums of the
// matrix with real processes, which `make faults` runs first.
const sumsFile = "KNAPWEEDPULLEY_SUMS"

func TestMain(m *testing.M) {
	code := m.Run()
	if path := os.Getenv(sumsFile); path != "" {
		if err := matrix.AddFile(path); err != nil {
			fmt.Println(err)
			code = 1
		}
	}
	matrix.Print(os.Stdout)
	if _, _, broken := matrix.Count(); broken > 0 {
		code = 1
	}
	os.Exit(code)
}

func TestFaults(t *testing.T) {
	for _, r := range rows() {
		t.Run(r.Name(), func(t *testing.T) {
			var observed faults.Observations
			if r.Real {
				observed = r.Run(t)
			} else {
				synctest.Test(t, func(t *testing.T) { observed = r.Run(t) })
			}
			assertHeld(t, matrix.Evaluate(r, observed))
		})
	}
}

func assertHeld(t *testing.T, cells []faults.Cell) {
	t.Helper()
	for _, c := range cells {
		for _, f := range c.Violations {
			t.Errorf("%s: %s", c.Invariant, f)
		}
	}
}

func TestMissingCellsAreNotHeld(t *testing.T) {
	row := faults.Row{Flow: "flow", Fault: "fault", Step: "step"}
	m := faults.NewMatrix([]faults.Row{row})
	m.Evaluate(row, faults.Observations{Repeats: []faults.Repeat{{Runs: 1}}, Refusals: []faults.Refusal{{Runs: 1, Verdict: 1}}})
	all, held, broken := m.Count()
	if all != 13 || held != 1 || broken != 1 {
		t.Errorf("got %d cells, %d held, %d broken; want 13, 1, 1", all, held, broken)
	}
}
