package soak

import (
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// recoveryTime is how long a gateway must have been undisturbed before the limits
	// on time apply to it.
	recoveryTime = 3 * time.Second
	// configurationLimit is the time within which a new configuration is in force.
	configurationLimit = 2 * time.Second
	// deadlineTolerance is the time past its deadline within which a request has to end.
	// It allows for other load on the machine.
	deadlineTolerance = time.Second
	// withdrawalTolerance is the time within which the withdrawal of a key is recorded.
	withdrawalTolerance = 500 * time.Millisecond
	// maxEndpoints bounds the endpoints at which one request runs.
	maxEndpoints = 2
)

// Check records a violation for each guarantee that an outcome breaks.
func Check(cluster *Cluster, outcomes []Outcome) {
	for _, p := range cluster.processes() {
		p.checkMemory(cluster.recorder)
		if n := p.OwnEnds(); n > 0 {
			cluster.recorder.RecordViolation("%s ended %d times by itself", p.name, n)
		}
	}
	checkDeadlyPart(cluster, outcomes)
	first := firstRuns(cluster, outcomes)
	for _, o := range outcomes {
		runs := cluster.recorder.Runs(o.ID)
		checkRuns(cluster, o, runs)
		checkCustomer(cluster, o, first)
		checkAnswer(cluster, o, runs)
		checkStamp(cluster, o, runs)
		checkTimeLimits(cluster, o, runs)
		checkNotCut(cluster, o, runs)
		checkEvacuation(cluster, o, runs)
		checkLeaving(cluster, o, runs)
	}
}

// returned reports whether the last run is at an endpoint at which an earlier one was canceled.
func returned(runs []Run) bool {
	last := len(runs) - 1
	return slices.ContainsFunc(runs[:last], func(r Run) bool {
		return r.End == RunCanceled && r.Endpoint == runs[last].Endpoint
	})
}

// checkRuns checks how often a request ran.
func checkRuns(cluster *Cluster, o Outcome, runs []Run) {
	if (o.Kind == Unsafe || o.Kind == Once || o.Kind == Long) && len(runs) > 1 {
		cluster.recorder.RecordViolation("%s request %s ran %d times, want at most once", o.Kind, o.ID, len(runs))
	}
	endpoints := make(map[string]bool)
	for _, r := range runs {
		endpoints[r.Endpoint] = true
	}
	if len(endpoints) > maxEndpoints {
		cluster.recorder.RecordViolation("%s request %s ran at %d endpoints, want at most %d", o.Kind, o.ID, len(endpoints), maxEndpoints)
	}
	if n := len(runs); n > maxEndpoints && (n > maxEndpoints+1 || !returned(runs)) {
		cluster.recorder.RecordViolation("%s request %s ran %d times, want at most %d runs: %v", o.Kind, o.ID, n, maxEndpoints, runs)
	}
	refusals := []int{
		http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
	}
	if slices.Contains(refusals, o.Status) && len(runs) > 0 {
		cluster.recorder.RecordViolation("%s request %s was refused with status %d but ran", o.Kind, o.ID, o.Status)
	}
}

// checkStamp checks that a failure with an endpoint's stamp has the status that the endpoint gave.
func checkStamp(cluster *Cluster, o Outcome, runs []Run) {
	given := slices.ContainsFunc(runs, func(r Run) bool { return r.Status == o.Status && r.Endpoint+"/"+o.ID == o.Stamp })
	if o.Stamp != "" && o.Status != http.StatusOK && !given {
		cluster.recorder.RecordViolation("%s request %s was answered with status %d and stamp %q, which no endpoint gave",
			o.Kind, o.ID, o.Status, o.Stamp)
	}
}

// checkAnswer checks that an answer is the one to this request, and that an answer that was cut is
// the start of it and does not look complete.
func checkAnswer(cluster *Cluster, o Outcome, runs []Run) {
	if o.Status != http.StatusOK {
		return
	}
	if !strings.HasSuffix(o.Stamp, "/"+o.ID) || len(runs) == 0 {
		cluster.recorder.RecordViolation("request %s was answered with stamp %q after %d runs", o.ID, o.Stamp, len(runs))
		return
	}
	want := "answer to " + o.ID
	if o.Kind == Stream || o.Kind == Once {
		want = expectedStream(o.ID)
	}
	if (o.Complete && o.Body != want) || !strings.HasPrefix(want, o.Body) {
		cluster.recorder.RecordViolation("%s request %s was answered with wrong body %q", o.Kind, o.ID, o.Body)
	}
}

// expectedStream returns the complete event stream that answers a request.
func expectedStream(id string) string {
	return strings.Join(events(id, 1), "")
}

// checkTimeLimits checks that a request ended by its deadline, that a withdrawn key no
// longer works, and that a valid key is accepted. Each check applies only if the gateway
// had been undisturbed for long enough.
func checkTimeLimits(cluster *Cluster, o Outcome, runs []Run) {
	if o.UndisturbedAtEnd > o.Elapsed+recoveryTime && o.Elapsed > o.Timeout+deadlineTolerance {
		cluster.recorder.RecordViolation("%s request %s ended late, after %s, with status %d", o.Kind, o.ID, o.Elapsed, o.Status)
	}
	if o.UndisturbedAtStart < recoveryTime {
		return
	}
	at, withdrawn := cluster.WithdrawnAt(o.Key)
	if withdrawn && o.Sent.Sub(at) > configurationLimit && len(runs) > 0 {
		cluster.recorder.RecordViolation("request %s ran with a key withdrawn %s before it was sent, at a gateway undisturbed for %s",
			o.ID, o.Sent.Sub(at), o.UndisturbedAtStart)
	}
	added := cluster.AddedAt(o.Key)
	if !withdrawn && o.Status == http.StatusUnauthorized && o.Sent.Sub(added) > configurationLimit {
		cluster.recorder.RecordViolation("request %s was refused as unauthorized with a valid key", o.ID)
	}
}

// checkNotCut checks that a gateway without faults does not end an answer in time at which a sound
// endpoint was still at work or which it had completed.
func checkNotCut(cluster *Cluster, o Outcome, runs []Run) {
	at, withdrawn := cluster.WithdrawnAt(o.Key)
	// The time of a withdrawal is recorded after it may have come into force.
	withdrawn = withdrawn && at.Before(o.Sent.Add(o.Elapsed+withdrawalTolerance))
	routeTimeout := shortestRouteTimeout
	if o.Kind == Long {
		routeTimeout = longRouteTimeout
	}
	cut := !o.Complete || o.Status == http.StatusBadGateway || o.Status == http.StatusGatewayTimeout
	if !cut || withdrawn || !o.RunsUndisturbed || o.UndisturbedAtEnd <= o.Elapsed ||
		o.Elapsed >= min(o.Timeout, routeTimeout) {
		return
	}
	for _, r := range runs {
		if r.Status == http.StatusOK && (r.End == RunCompleted || r.End == RunCanceled) {
			cluster.recorder.RecordViolation("%s request %s at %s was cut with status %d after %s while endpoint %s was sound and its run was %s: %v",
				o.Kind, o.ID, o.Gateway.name, o.Status, o.Elapsed, r.Endpoint, r.End, runs)
		}
	}
}
