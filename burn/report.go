package burn

import (
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

// Alert is the level of the alert about an error budget that is used up too fast.
type Alert string

// Alerts.
const (
	AlertNone Alert = ""
	// AlertSlow means that both slow windows have reached a burn rate of 6, which uses up a 30-day
	// budget in 5 days.
	AlertSlow Alert = "slow"
	// AlertFast means that both fast windows have reached a burn rate of 14.4, which uses up a 30-day
	// budget in about 2 days.
	AlertFast Alert = "fast"
)

// Burn has the burn rates over the four windows. A burn rate is how many times faster than the
// target allows an error budget is used up.
type Burn struct {
	FastLong  float64 `json:"hour"`
	FastShort float64 `json:"fiveMinutes"`
	SlowLong  float64 `json:"sixHours"`
	SlowShort float64 `json:"halfHour"`
}

// alert returns the alert that the burn rates raise.
func (b Burn) alert() Alert {
	switch {
	case b.FastLong >= fastBurnThreshold && b.FastShort >= fastBurnThreshold:
		return AlertFast
	case b.SlowLong >= slowBurnThreshold && b.SlowShort >= slowBurnThreshold:
		return AlertSlow
	default:
		return AlertNone
	}
}

// Point is the burn rate over the shortest window, which ends with the given minute since the Unix
// epoch.
type Point struct {
	Minute int64   `json:"minute"`
	Burn   float64 `json:"burn"`
}

// ObjectiveReport is the state of one objective of one customer over the longest window, six hours.
type ObjectiveReport struct {
	Objective Objective `json:"objective"`
	Target    float64   `json:"target"`
	// Bad and All are the numbers of bad events and of all events in the longest window. The events
	// of ObjectiveShare are tokens, those of all others are requests.
	Bad float64 `json:"bad"`
	All float64 `json:"all"`
	// Good is the share of good events, from 0 to 1. It is 1 if there are no events.
	Good float64 `json:"good"`
	// BudgetLeft is the remaining share of the longest window's error budget. It is negative if the
	// budget is exceeded.
	BudgetLeft float64 `json:"budgetLeft"`
	Burn       Burn    `json:"burn"`
	Alert      Alert   `json:"alert,omitempty"`
	Series     []Point `json:"series"`
}

// CustomerReport is the state of all objectives of one customer.
type CustomerReport struct {
	Customer   knapweedpulley.CustomerID `json:"customer"`
	Objectives []ObjectiveReport         `json:"objectives"`
}

// objective returns the report on one objective.
func (c CustomerReport) objective(o Objective) ObjectiveReport {
	return c.Objectives[slices.Index(objectives(), o)]
}

// Report is the state of all objectives of all customers at one time.
type Report struct {
	Time time.Time `json:"time"`
	// Entries has the names of the entries whose documents the report is computed from.
	Entries   []string         `json:"entries"`
	Customers []CustomerReport `json:"customers"`
	// Worst is the customer with the lowest share of due tokens served. It is empty if no tokens were
	// due to any customer.
	Worst knapweedpulley.CustomerID `json:"worst,omitempty"`
}

// NewReport computes the report at the time now, for the customers of the contracts, from the
// documents of the entries.
func NewReport(documents []Document, contracts []knapweedpulley.Contract, now time.Time) Report {
	r := Report{Time: now.UTC(), Entries: []string{}, Customers: []CustomerReport{}}
	for _, d := range documents {
		r.Entries = append(r.Entries, d.Entry)
	}
	slices.Sort(r.Entries)
	for _, c := range contracts {
		t := newTimeline(documents, c)
		report := CustomerReport{Customer: c.Customer}
		for _, o := range objectives() {
			report.Objectives = append(report.Objectives, t.report(o, minuteOf(now)))
		}
		r.Customers = append(r.Customers, report)
	}
	slices.SortFunc(r.Customers, func(a, b CustomerReport) int { return cmp.Compare(a.Customer, b.Customer) })
	r.Worst = r.worst()
	return r
}

// report returns the state of one objective at the minute now.
func (t timeline) report(o Objective, now int64) ObjectiveReport {
	target := o.target()
	longest := t.ratioOver(o, slowLongWindow, now)
	r := ObjectiveReport{
		Objective: o, Target: target, Bad: longest.bad, All: longest.all, Good: 1,
		Burn: Burn{
			FastLong:  t.ratioOver(o, fastLongWindow, now).burn(target),
			FastShort: t.ratioOver(o, fastShortWindow, now).burn(target),
			SlowLong:  longest.burn(target),
			SlowShort: t.ratioOver(o, slowShortWindow, now).burn(target),
		},
		Series: []Point{},
	}
	if longest.all > 0 {
		r.Good = 1 - longest.bad/longest.all
	}
	r.BudgetLeft = 1 - r.Burn.SlowLong
	r.Alert = r.Burn.alert()
	for m := now - int64(slowLongWindow/bucketDuration) + 1; m <= now; m++ {
		if w := t.ratioOver(o, fastShortWindow, m); w.all > 0 {
			r.Series = append(r.Series, Point{Minute: m, Burn: w.burn(target)})
		}
	}
	return r
}

// worst returns the customer with the lowest share of due tokens served, or an empty id if no
// tokens were due.
func (r Report) worst() knapweedpulley.CustomerID {
	var worst knapweedpulley.CustomerID
	least := 1.0
	for _, c := range r.Customers {
		share := c.objective(ObjectiveShare)
		if share.All > 0 && (worst == "" || share.Good < least) {
			worst, least = c.Customer, share.Good
		}
	}
	return worst
}

// Alerts returns the number of objectives that raise an alert.
func (r Report) Alerts() int {
	count := 0
	for _, c := range r.Customers {
		for _, o := range c.Objectives {
			if o.Alert != AlertNone {
				count++
			}
		}
	}
	return count
}

// WriteJSON writes the report as JSON.
func (r Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(r), "write report")
}
