package traffic

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
)

const (
	// maxFaults bounds the number of faults that are printed.
	maxFaults = 20
	// requestsPerLoadRefusal is the number of requests to a deployment for which one
	// refusal under load is allowed. Further ones count as wrong, because the demo
	// sends less than the fleet can serve.
	requestsPerLoadRefusal = 20
)

// Outcome classifies the result of a request.
type Outcome int

// Outcomes of requests.
const (
	// Answered means that the answer matches the request.
	Answered Outcome = iota + 1
	// Refused means that the request got the expected refusal.
	Refused
	// RefusedUnderLoad means that an answer was expected, but the request got a valid
	// refusal with status 429 or 503, which has a verdict and a Retry-After time.
	RefusedUnderLoad
	// Wrong means that none of the other outcomes applies.
	Wrong
)

// Result is the outcome of one request.
type Result struct {
	Deployment string
	Kind       string
	Outcome    Outcome
	// Fault describes what was wrong. It is printed for the outcomes Wrong and
	// RefusedUnderLoad only.
	Fault string
}

// row counts the results of one kind of requests to one deployment.
type row struct {
	deployment       string
	kind             string
	answered         int
	refused          int
	refusedUnderLoad int
	wrong            int
}

func (r *row) add(outcome Outcome) {
	switch outcome {
	case Answered:
		r.answered++
	case Refused:
		r.refused++
	case RefusedUnderLoad:
		r.refusedUnderLoad++
	case Wrong:
		r.wrong++
	}
}

func (r *row) requests() int {
	return r.answered + r.refused + r.refusedUnderLoad + r.wrong
}

// Tally counts results by deployment and kind. It is safe for concurrent use.
type Tally struct {
	mu     sync.Mutex
	rows   []*row
	faults []Result
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{}
}

// Add counts a result and keeps its fault, if it has one, for Print.
func (t *Tally) Add(r Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.row(r.Deployment, r.Kind).add(r.Outcome)
	if r.Outcome == Wrong || r.Outcome == RefusedUnderLoad {
		t.faults = append(t.faults, r)
	}
}

// row returns the row of a deployment and kind. It appends one if there is none.
func (t *Tally) row(deployment, kind string) *row {
	for _, r := range t.rows {
		if r.deployment == deployment && r.kind == kind {
			return r
		}
	}
	r := &row{deployment: deployment, kind: kind}
	t.rows = append(t.rows, r)
	return r
}

// limitLoadRefusals counts the refusals under load that exceed the allowance of their
// deployment as wrong.
func (t *Tally) limitLoadRefusals() {
	allowed := make(map[string]int)
	for _, r := range t.rows {
		allowed[r.deployment] += r.requests()
	}
	for deployment, requests := range allowed {
		allowed[deployment] = requests / requestsPerLoadRefusal
	}
	for _, r := range t.rows {
		surplus := max(0, r.refusedUnderLoad-allowed[r.deployment])
		allowed[r.deployment] -= r.refusedUnderLoad - surplus
		r.refusedUnderLoad -= surplus
		r.wrong += surplus
	}
}

// Wrong returns the number of wrong results, including refusals under load above the
// allowance.
func (t *Tally) Wrong() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limitLoadRefusals()
	wrong := 0
	for _, r := range t.rows {
		wrong += r.wrong
	}
	return wrong
}

// Print writes the table, then the first faults, and the summary as the last line.
func (t *Tally) Print(w io.Writer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limitLoadRefusals()
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "deployment\tkind\trequests\tanswered\trefused as due\trefused under load\twrong")
	sum := row{}
	for _, r := range t.rows {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\n",
			r.deployment, r.kind, r.requests(), r.answered, r.refused, r.refusedUnderLoad, r.wrong)
		sum.answered += r.answered
		sum.refused += r.refused + r.refusedUnderLoad
		sum.wrong += r.wrong
	}
	_ = table.Flush()
	for i, f := range t.faults {
		if i == maxFaults {
			_, _ = fmt.Fprintf(w, "and %d more\n", len(t.faults)-maxFaults)
			break
		}
		_, _ = fmt.Fprintf(w, "%s, %s: %s\n", f.Deployment, f.Kind, f.Fault)
	}
	_, _ = fmt.Fprintf(w, "demo: %d requests, %d answered, %d refused, %d wrong\n",
		sum.answered+sum.refused+sum.wrong, sum.answered, sum.refused, sum.wrong)
}
