package burn_test

import (
	"bytes"
	"errors"
	"fmt"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/burn"
)

var noon = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// entry has the meter and history of an entry process whose clock the test sets.
type entry struct {
	name    string
	now     time.Time
	history *burn.History
	meter   *burn.Meter
	flush   func()
}

func newEntry(t *testing.T, name string) *entry {
	t.Helper()
	e := &entry{name: name, now: noon}
	e.history = burn.NewHistory(func() time.Time { return e.now })
	e.openScope(t)
	return e
}

// openScope creates a meter in a new scope, whose counters are reported to the history when the
// scope is closed.
func (e *entry) openScope(t *testing.T) {
	t.Helper()
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "knapweedpulley", Separator: "_", CachedReporter: e.history,
	}, 0)
	e.meter = burn.NewMeter(scope)
	e.flush = func() { is.New(t).NoErr(closer.Close()) }
}

// record counts n requests of customer c at the given time after noon, each with a charge of 10
// tokens and the result err.
func (e *entry) record(t *testing.T, at time.Duration, n int, err error) {
	t.Helper()
	e.now = noon.Add(at)
	for range n {
		e.meter.Record(burn.Event{Customer: "c", Err: err, Charge: 10})
	}
	e.flush()
	e.openScope(t)
}

func refusal(code knapweedpulley.Code, verdict knapweedpulley.Verdict) error {
	return knapweedpulley.NewRefusal(code, verdict, "no")
}

var (
	overRate = refusal(knapweedpulley.CodeRateExceeded, knapweedpulley.NotRun)
	late     = refusal(knapweedpulley.CodeDeadlineExceeded, knapweedpulley.MayHaveRun)
	full     = refusal(knapweedpulley.CodeQueueFull, knapweedpulley.NotRun)
)

// report returns the report on customer c at the given time after noon. The contract allows 60 of
// the requests of record a minute, and a burst of 60 more.
func report(at time.Duration, entries ...*entry) burn.Report {
	documents := make([]burn.Document, 0, len(entries))
	for _, e := range entries {
		e.now = noon.Add(at)
		documents = append(documents, e.history.Document(e.name))
	}
	contracts := []knapweedpulley.Contract{{Customer: "c", Rate: 10, Burst: 600}}
	return burn.NewReport(documents, contracts, noon.Add(at))
}

// objective returns the report on one objective of the only customer.
func objective(r burn.Report, o burn.Objective) burn.ObjectiveReport {
	for _, report := range r.Customers[0].Objectives {
		if report.Objective == o {
			return report
		}
	}
	return burn.ObjectiveReport{}
}

func assertEvents(t *testing.T, r burn.Report, o burn.Objective, bad, all float64) {
	t.Helper()
	got := objective(r, o)
	is.New(t).Equal(fmt.Sprintf("%s: %.0f of %.0f", o, got.Bad, got.All), fmt.Sprintf("%s: %.0f of %.0f", o, bad, all))
}

// assertAlert asserts the alert about answers in time.
func assertAlert(t *testing.T, r burn.Report, want burn.Alert) {
	t.Helper()
	is.New(t).Equal(objective(r, burn.ObjectiveAnswers).Alert, want)
}

func TestOutcomes(t *testing.T) {
	cases := []struct {
		name    string
		err     error
		failed  float64
		refused float64
		counted float64
	}{
		{"an answer counts as good", nil, 0, 0, 1},
		{"a late answer counts as failed", late, 1, 0, 1},
		{"an answer that is cut off counts as failed", errors.New("reset"), 1, 0, 1},
		{"a refusal of a request that may have run counts as failed", refusal(knapweedpulley.CodeLinkLost, knapweedpulley.MayHaveRun), 1, 0, 1},
		{"a refusal because of a full queue counts as refused in time", full, 0, 1, 1},
		{"an invalid key is the caller's fault and is not counted", refusal(knapweedpulley.CodeInvalidKey, knapweedpulley.NotRun), 0, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := newEntry(t, "entry-1")
			e.record(t, 0, 1, c.err)
			r := report(0, e)
			assertEvents(t, r, burn.ObjectiveAnswers, c.failed, c.counted)
			assertEvents(t, r, burn.ObjectiveRefusals, c.refused, c.counted)
		})
	}
}

func TestColdStart(t *testing.T) {
	e := newEntry(t, "entry-1")
	for _, d := range []time.Duration{0, time.Second, 3 * time.Second} {
		e.meter.Record(burn.Event{Customer: "c", ColdStart: d, ColdStartTarget: 2 * time.Second})
	}
	e.meter.Record(burn.Event{Customer: "c", ColdStart: time.Hour})
	e.flush()
	assertEvents(t, report(0, e), burn.ObjectiveColdStart, 1, 2)
}

func TestRefusalsOverRate(t *testing.T) {
	t.Run("refusals are not counted if the fleet's demand exceeds rate and burst", func(t *testing.T) {
		a, b := newEntry(t, "entry-1"), newEntry(t, "entry-2")
		a.record(t, 0, 70, nil)
		b.record(t, 0, 50, nil)
		b.record(t, 0, 10, overRate)
		assertEvents(t, report(0, a, b), burn.ObjectiveRefusals, 0, 120)
	})
	t.Run("refusals count as bad if the fleet's demand is within rate and burst", func(t *testing.T) {
		a, b := newEntry(t, "entry-1"), newEntry(t, "entry-2")
		a.record(t, 0, 70, nil)
		b.record(t, 0, 10, overRate)
		assertEvents(t, report(0, a, b), burn.ObjectiveRefusals, 10, 80)
	})
	t.Run("a burst that was used up is not available in the next minute", func(t *testing.T) {
		e := newEntry(t, "entry-1")
		e.record(t, 0, 120, nil)
		e.record(t, time.Minute, 60, nil)
		e.record(t, time.Minute, 10, overRate)
		assertEvents(t, report(time.Minute, e), burn.ObjectiveRefusals, 0, 180)
	})
	t.Run("a burst is available again after an idle minute", func(t *testing.T) {
		e := newEntry(t, "entry-1")
		e.record(t, 0, 120, nil)
		e.record(t, 2*time.Minute, 60, nil)
		e.record(t, 2*time.Minute, 10, overRate)
		assertEvents(t, report(2*time.Minute, e), burn.ObjectiveRefusals, 10, 190)
	})
}

func TestShare(t *testing.T) {
	t.Run("due tokens are limited to what the contract allows", func(t *testing.T) {
		e := newEntry(t, "entry-1")
		e.record(t, 0, 90, nil)
		e.record(t, 0, 500, overRate)
		assertEvents(t, report(0, e), burn.ObjectiveShare, 300, 1200)
	})
	t.Run("the report names the worst-served customer and ignores idle ones", func(t *testing.T) {
		e := newEntry(t, "entry-1")
		e.meter.Record(burn.Event{Customer: "a", Charge: 10})
		e.meter.Record(burn.Event{Customer: "b", Charge: 10, Err: full})
		e.flush()
		contracts := []knapweedpulley.Contract{{Customer: "a", Rate: 10}, {Customer: "b", Rate: 10}, {Customer: "idle", Rate: 10}}
		r := burn.NewReport([]burn.Document{e.history.Document("entry-1")}, contracts, noon)
		is.New(t).Equal(r.Worst, knapweedpulley.CustomerID("b"))
	})
}

func TestAlerts(t *testing.T) {
	t.Run("a fast burn raises an alert that ends soon after its cause", func(t *testing.T) {
		e := newEntry(t, "entry-1")
		e.record(t, 0, 100, nil)
		e.record(t, 10*time.Minute, 5, late)
		assertAlert(t, report(11*time.Minute, e), burn.AlertFast)
		assertAlert(t, report(20*time.Minute, e), burn.AlertSlow)
		assertAlert(t, report(50*time.Minute, e), burn.AlertNone)
	})
	t.Run("a slow burn raises the slow alert", func(t *testing.T) {
		e := newEntry(t, "entry-1")
		for m := range 300 {
			at := time.Duration(m) * time.Minute
			e.record(t, at, 100, nil)
			if m%10 == 0 {
				e.record(t, at, 8, late)
			}
		}
		assertAlert(t, report(299*time.Minute, e), burn.AlertSlow)
	})
	t.Run("a single failure two hours ago raises no alert", func(t *testing.T) {
		e := newEntry(t, "entry-1")
		e.record(t, 0, 1, late)
		e.record(t, 2*time.Hour, 100, nil)
		assertAlert(t, report(2*time.Hour, e), burn.AlertNone)
	})
}

func TestHistory(t *testing.T) {
	t.Run("buckets older than the longest window are discarded", func(t *testing.T) {
		e := newEntry(t, "entry-1")
		e.record(t, 0, 1, nil)
		is.New(t).Equal(len(e.history.Document("entry-1").Customers), 1)
		e.now = noon.Add(7 * time.Hour)
		is.New(t).Equal(len(e.history.Document("entry-1").Customers), 0)
	})
	t.Run("a bucket that is reused for a later minute starts at zero", func(t *testing.T) {
		e := newEntry(t, "entry-1")
		e.record(t, 0, 5, nil)
		e.record(t, 361*time.Minute, 1, nil)
		assertEvents(t, report(361*time.Minute, e), burn.ObjectiveAnswers, 0, 1)
	})
	t.Run("other metrics are ignored", func(t *testing.T) {
		e := newEntry(t, "entry-1")
		counter := e.history.AllocateCounter("knapweedpulley_requests", map[string]string{"customer": "c"})
		counter.ReportCount(1)
		is.New(t).Equal(len(e.history.Document("entry-1").Customers), 0)
	})
}

func TestPage(t *testing.T) {
	e := newEntry(t, "entry-1")
	e.record(t, 0, 100, nil)
	e.record(t, time.Minute, 10, late)
	r := report(2*time.Minute, e)

	t.Run("the page has all plots and no references to other files", func(t *testing.T) {
		is := is.New(t)
		var page bytes.Buffer
		is.NoErr(r.WritePage(&page))
		is.Equal(strings.Count(page.String(), "<svg"), 4)
		references := regexp.MustCompile(`(src|href)="[^"]*"|url\(|<script`).FindAllString(page.String(), -1)
		is.Equal(len(references), 0)
	})
	t.Run("the text contains the alert", func(t *testing.T) {
		is := is.New(t)
		var text bytes.Buffer
		is.NoErr(r.WriteText(&text))
		is.True(regexp.MustCompile(`c +answersInTime +99.90% +90.91% +110 .* fast\n`).MatchString(text.String()))
	})
	t.Run("the report can be written as JSON", func(t *testing.T) {
		is := is.New(t)
		var data bytes.Buffer
		is.NoErr(r.WriteJSON(&data))
		is.True(strings.Contains(data.String(), `"budgetLeft"`))
	})
}
