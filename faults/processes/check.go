package processes

import (
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/customer"
)

// Invariant names a column of the matrix.
type Invariant string

// Invariants that rows are checked for.
const (
	EndedInTime   Invariant = "ended in time"
	WholeAnswer   Invariant = "whole own answer"
	NotRunIsTrue  Invariant = "not run is true"
	AtMostOnce    Invariant = "at most once"
	KeysKept      Invariant = "no key at back ends or in logs"
	RateKept      Invariant = "rate and burst kept"
	PermitsKept   Invariant = "loaded within permits"
	ReplicasKept  Invariant = "replicas as decided"
	MemoryKept    Invariant = "memory kept"
	NothingCut    Invariant = "only lost processes cut"
	ServesAfter   Invariant = "serves again"
	KeyStops      Invariant = "withdrawn key stops"
	CrashesBound  Invariant = "at most two crashes"
	OneChangeWins Invariant = "no change lost"
)

// Invariants returns the columns in their order.
func Invariants() []Invariant {
	return []Invariant{
		EndedInTime, WholeAnswer, NotRunIsTrue, AtMostOnce, KeysKept, RateKept, PermitsKept, ReplicasKept, MemoryKept,
		NothingCut, ServesAfter, KeyStops, CrashesBound, OneChangeWins,
	}
}

// AllowedOutcomes lists the failed requests that the fault of a row may cause.
type AllowedOutcomes struct {
	// Cut is the entry whose requests may lose their connection.
	Cut knapweedpulley.EntryID
	// Unreachable is the entry that may refuse connections.
	Unreachable knapweedpulley.EntryID
	// Gone is the entry that does not restart.
	Gone knapweedpulley.EntryID
	// Graceful is set if every refusal must have the verdict NotRun.
	Graceful bool
}

// CheckEnded checks that each request ended in time.
func CheckEnded(list []Request) CheckResult {
	var f CheckResult
	for _, r := range list {
		f.Check(r.Outcome != Unended, "%s %s at %s: %s", r.Kind, r.Marker, r.Entry, r.Text)
	}
	return f
}

// CheckWhole checks that each answer or refusal is complete and belongs to its request.
func CheckWhole(list []Request) CheckResult {
	var f CheckResult
	for _, r := range list {
		f.Check(r.Outcome != Garbled, "%s %s at %s: %d %s", r.Kind, r.Marker, r.Entry, r.Status, r.Text)
	}
	return f
}

// CheckNotRun checks that no back end ran a request that was refused as not run. It
// skips requests whose marker was sent more than once.
func CheckNotRun(list []Request, runs map[string]int) CheckResult {
	var f CheckResult
	for _, r := range list {
		if r.Sends == 1 && r.Outcome == Refused && r.Verdict == knapweedpulley.NotRun.String() {
			f.Check(runs[r.Marker] == 0, "%s %s at %s ran %d times: %s", r.Kind, r.Marker, r.Entry, runs[r.Marker], r.Text)
		}
	}
	return f
}

// CheckOnce checks that requests that must not be repeated ran at most once.
func CheckOnce(list []Request, runs map[string]int) CheckResult {
	var f CheckResult
	for _, r := range list {
		if r.Once {
			f.Check(runs[r.Marker] <= 1, "%s %s at %s ran %d times", r.Kind, r.Marker, r.Entry, runs[r.Marker])
		}
	}
	return f
}

// CheckCut checks that requests failed only in the ways that a allows.
func CheckCut(list []Request, a AllowedOutcomes) CheckResult {
	var f CheckResult
	for _, r := range list {
		ok := true
		switch r.Outcome {
		case Cut:
			ok = r.Entry == a.Cut
		case Unreachable:
			ok = r.Entry == a.Unreachable
		case Refused:
			ok = !a.Graceful || r.Verdict == knapweedpulley.NotRun.String()
		}
		f.Check(ok, "%s %s at %s %s: %s", r.Kind, r.Marker, r.Entry, r.Outcome, r.Text)
	}
	return f
}

// CheckRate checks that a customer got no more tokens than its burst and rate allow.
func CheckRate(list []Request, t customer.Template) CheckResult {
	var first, last time.Time
	var got knapweedpulley.Tokens
	for _, r := range list {
		if r.Customer != t.Customer {
			continue
		}
		if first.IsZero() || r.Sent.Before(first) {
			first = r.Sent
		}
		if r.Ended.After(last) {
			last = r.Ended
		}
		got += r.Tokens
	}
	allowed := float64(t.Burst) + float64(t.Rate)*last.Sub(first).Seconds()
	var f CheckResult
	if !first.IsZero() {
		f.Check(float64(got) <= allowed, "%s got %d of %.0f tokens", t.Customer, got, allowed)
	}
	return f
}
