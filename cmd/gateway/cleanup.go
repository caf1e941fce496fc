package main

import (
	"net"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/machine"
)

const (
	// exitTime is the time reserved at the end of the grace period for the last log lines and the
	// exit of the process.
	exitTime = 200 * time.Millisecond
	// slowStep is the time from which on a step of the clean-up is logged.
	slowStep = 50 * time.Millisecond
	// acceptTime bounds the wait for connections that callers have made to be accepted. A process that
	// got no processor time for a while can have some.
	acceptTime = 250 * time.Millisecond
	// acceptPollPeriod is the time between two looks for them.
	acceptPollPeriod = 5 * time.Millisecond
)

// awaitAccepted waits until no connection to the listener waits to be accepted, for at most acceptTime
// and until end. Closing the listener resets these connections, over which callers may have sent requests.
func awaitAccepted(l net.Listener, end time.Time) {
	for until := time.Now().Add(acceptTime); machine.HasPending(l); time.Sleep(acceptPollPeriod) {
		if now := time.Now(); now.After(until) || now.After(end) {
			return
		}
	}
}

// timed returns the clean-up of a component, which logs if it is slow.
func (p *process) timed(step string, cleanup knapweedpulley.Cleanup) knapweedpulley.Cleanup {
	return func() {
		p.step.Store(&step)
		began := time.Now()
		cleanup()
		if took := time.Since(began); took >= slowStep {
			p.log.WithField("step", step).WithField("tookMs", took.Milliseconds()).Info("a step of the clean-up was slow")
		}
	}
}

// cleanUp runs the clean-ups, but not beyond end: the platform kills a process that runs for longer
// than the grace period. What is left to close then ends with the process.
func (p *process) cleanUp(end time.Time) {
	began := time.Now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.cleanups.Run()
	}()
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
		step := ""
		if s := p.step.Load(); s != nil {
			step = *s
		}
		p.log.WithField("step", step).WithField("tookMs", time.Since(began).Milliseconds()).
			Warn("clean-up didn't end in time; exiting without the rest of it")
	}
	p.flush()
}
