package processes_test

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/zeromicro/go-zero/core/logx"

	"github.com/knapweedpulley/knapweedpulley/cmd/demo/fleet"
	"github.com/knapweedpulley/knapweedpulley/faults/processes"
)

const (
	// enableVariable, binariesVariable and sumsFileVariable are environment
	// variables that `make faults` sets.
	enableVariable   = "KNAPWEEDPULLEY_FAULTS"
	binariesVariable = "KNAPWEEDPULLEY_BINARIES"
	// sumsFileVariable holds the path of the file to which the sums are written.
	sumsFileVariable = "KNAPWEEDPULLEY_SUMS"

	// trafficTime is how long traffic runs before and after a fault.
	trafficTime = 1500 * time.Millisecond
	// faultTime is how long a temporary fault lasts.
	faultTime = 3 * time.Second
	// recoveryTimeout bounds the time until all models and routes answer again.
	recoveryTimeout = 20 * time.Second
	// rowTimeout bounds the time of a row.
	rowTimeout = 2 * time.Minute
)

var matrix processes.Matrix

func TestMain(m *testing.M) {
	// The HTTP library would write log lines between the lines of the table.
	logx.Disable()
	code := m.Run()
	matrix.Print(os.Stdout)
	if path := os.Getenv(sumsFileVariable); path != "" {
		if err := matrix.WriteSums(path); err != nil {
			fmt.Println(err)
			code = 1
		}
	}
	os.Exit(code)
}

// rowRun is one run of a row: a fleet under traffic and the results so far.
type rowRun struct {
	t              *testing.T
	ctx            context.Context
	fleet          *fleet.Fleet
	caller         *processes.Caller
	results        map[processes.Invariant]processes.CheckResult
	receivedBefore processes.Received
}

func (rr *rowRun) check(v processes.Invariant, ok bool, format string, args ...any) {
	f := rr.results[v]
	f.Check(ok, format, args...)
	rr.results[v] = f
}

func (rr *rowRun) signal(name string, s os.Signal) {
	rr.t.Helper()
	is.New(rr.t).NoErr(rr.fleet.Signal(name, s))
}

func (rr *rowRun) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-rr.ctx.Done():
	}
}

// row is a fault and the failed requests that it may cause.
type row struct {
	name    string
	allowed processes.AllowedOutcomes
	run     func(rr *rowRun)
}

func TestProcesses(t *testing.T) {
	if os.Getenv(enableVariable) == "" {
		t.Skipf("starts real processes: run `make faults`, or set %s=1 and %s to the folder of the programs", enableVariable, binariesVariable)
	}
	for _, r := range rows() {
		t.Run(r.name, func(t *testing.T) { runRow(t, r) })
	}
}

func runRow(t *testing.T, r row) {
	ctx, cancel := context.WithTimeout(t.Context(), rowTimeout)
	defer cancel()
	d, err := processes.Deployment()
	is.New(t).NoErr(err)
	f, cleanup, err := fleet.Start(ctx, fleet.Options{
		Binaries: os.Getenv(binariesVariable), Deployment: d, Entries: 2, Folder: t.TempDir(),
	})
	is.New(t).NoErr(err)
	defer cleanup()
	rr := &rowRun{
		t: t, ctx: ctx, fleet: f, caller: processes.NewCaller(),
		results: make(map[processes.Invariant]processes.CheckResult),
	}
	watch := processes.StartMonitor(ctx, f)
	traffic := processes.StartTraffic(ctx, f, rr.caller)
	rr.sleep(trafficTime)
	r.run(rr)
	rr.sleep(trafficTime)
	traffic.Stop()
	rr.checkServesAgain(r.allowed)
	watch.Stop()
	matrix.Add(rr.evaluate(r, watch))
	assertHeld(t, rr.results)
}

// checkServesAgain checks that each customer's models and the open route answer
// within recoveryTimeout.
func (rr *rowRun) checkServesAgain(a processes.AllowedOutcomes) {
	deadline := time.Now().Add(recoveryTimeout)
	for _, e := range rr.fleet.Entries {
		if e.ID == a.Gone {
			continue
		}
		for _, c := range rr.fleet.Customers {
			for _, m := range c.Template.Models {
				rr.retryUntilAnswered(deadline, string(m.ID), func() processes.Request {
					return rr.caller.Chat(rr.ctx, processes.Chat{Customer: c, Entry: e, Model: string(m.ID), Kind: "probe"})
				})
			}
			rr.retryUntilAnswered(deadline, "open route", func() processes.Request {
				return rr.caller.Call(rr.ctx, processes.Call{Customer: c, Entry: e, Route: "prices", Open: true, Kind: "probe"})
			})
		}
	}
}

// retryUntilAnswered repeats a request until it is answered or the deadline has
// passed.
func (rr *rowRun) retryUntilAnswered(deadline time.Time, name string, send func() processes.Request) {
	for {
		r := send()
		if r.Outcome == processes.Answered || time.Now().After(deadline) {
			rr.check(processes.ServesAfter, r.Outcome == processes.Answered, "%s at %s: %s %s", name, r.Entry, r.Outcome, r.Text)
			return
		}
		rr.sleep(faultTime / 10)
	}
}

func (rr *rowRun) evaluate(r row, watch *processes.Monitor) processes.Row {
	rr.sleep(trafficTime)
	list := rr.caller.Requests()
	seen := processes.ReadReceived(rr.ctx, rr.fleet)
	for id, n := range rr.receivedBefore.Runs {
		seen.Runs[id] += n
	}
	keys := seen.Keys
	logs := processes.CheckLogs(rr.fleet)
	keys.Checked += logs.Checked
	keys.Violations = append(keys.Violations, logs.Violations...)
	rr.results[processes.EndedInTime] = processes.CheckEnded(list)
	rr.results[processes.WholeAnswer] = processes.CheckWhole(list)
	rr.results[processes.NotRunIsTrue] = processes.CheckNotRun(list, seen.Runs)
	rr.results[processes.AtMostOnce] = processes.CheckOnce(list, seen.Runs)
	rr.results[processes.KeysKept] = keys
	rr.results[processes.PermitsKept] = watch.Permits
	rr.results[processes.ReplicasKept] = watch.Replicas
	rr.results[processes.MemoryKept] = watch.Memory
	rr.results[processes.NothingCut] = processes.CheckCut(list, r.allowed)
	var rate processes.CheckResult
	for _, c := range rr.fleet.Customers {
		f := processes.CheckRate(list, c.Template)
		rate.Checked += f.Checked
		rate.Violations = append(rate.Violations, f.Violations...)
	}
	rr.results[processes.RateKept] = rate
	return processes.Row{Fault: r.name, Results: rr.results, Counts: countOutcomes(list)}
}

func countOutcomes(list []processes.Request) string {
	var sums [processes.Unended + 1]int
	for _, r := range list {
		sums[r.Outcome]++
	}
	var parts []string
	for o, n := range sums {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, processes.Outcome(o)))
		}
	}
	return strings.Join(parts, ", ")
}

func assertHeld(t *testing.T, findings map[processes.Invariant]processes.CheckResult) {
	t.Helper()
	for _, v := range processes.Invariants() {
		for i, f := range findings[v].Violations {
			if i < 5 {
				t.Errorf("%s: %s", v, f)
			}
		}
	}
}
