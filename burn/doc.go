// Package burn computes, for operators, the burn rates of the error budgets of each customer's
// service-level objectives, and decides which of them raise an alert.
//
// Each entry counts the outcomes of its requests with tally. A [History] is one of the reporters of
// its metrics: it keeps the counters of the last six hours by minute and returns them as one JSON
// [Document]. A [Report] is computed from the documents of all entries and the contracts of the
// customers. For each customer and objective it contains the remaining error budget and the burn
// rates over a fast and a slow pair of windows. A pair raises an alert only if the burn rates of
// both of its windows reach the threshold, so that an alert is raised early and ends soon after its
// cause.
//
// # Usage
//
// In an entry:
//
//	history := burn.NewHistory(time.Now)
//	scope, handler, cleanup := metric.New("entry", id, history)
//	meter := burn.NewMeter(scope)
//	meter.Record(burn.Event{Customer: id, Err: err, Charge: charge})
//
// In the operator command:
//
//	report := burn.NewReport(documents, contracts, time.Now())
//	err := report.WriteText(os.Stdout)
//	err = report.WritePage(file)
package burn
