package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// plannedStopCallers is the number of callers of a gateway that is stopped.
	plannedStopCallers = 240
	// lastConnect is the latest time after SIGTERM at which callers connect to the gateway.
	lastConnect = 2400 * time.Millisecond
	// answerTime is the time after SIGTERM until which each request gets an answer that is sent over an
	// open connection.
	answerTime = 2900 * time.Millisecond
	// stopTimeout is a time limit that lies past the end of the gateway.
	stopTimeout = 20 * time.Second
	// closeTolerance is the time within which a connection may end that the gateway closed at the
	// moment at which a request was sent over it.
	closeTolerance = 200 * time.Millisecond
)

// StopGateway terminates the first gateway of a cluster without faults while its endpoints take long,
// with further signals during the stop, and starts it again. Callers connect before its listener is closed, and send requests or the bodies
// of requests over these connections until the end of the grace period. StopGateway records a
// violation for each request that the gateway cuts, and returns the outcomes of all requests.
func StopGateway(cluster *Cluster, random *rand.Rand) ([]Outcome, error) {
	g := cluster.gateways[0]
	for _, s := range cluster.endpoints() {
		s.Inject(Slow, time.Minute, random.Uint64())
	}
	cluster.extraTimeout = stopTimeout
	if err := cluster.WriteConfiguration(); err != nil {
		return nil, err
	}
	calls := NewCallers(cluster)
	stopAt := time.Now().Add(configurationLimit)
	var group sync.WaitGroup
	for n := range plannedStopCallers {
		connectAt := stopAt.Add(time.Duration(random.Int64N(int64(lastConnect))))
		longest := []time.Duration{time.Second, stopAt.Add(gracePeriod).Sub(connectAt)}[random.IntN(2)]
		sendAt := connectAt.Add(time.Duration(random.Int64N(int64(longest))))
		o := calls.draw(random, fmt.Sprintf("late-%d", n), g)
		o.Timeout = []time.Duration{o.Timeout, stopTimeout}[random.IntN(2)]
		if random.IntN(2) == 0 {
			o.BodyAt = sendAt
			sendAt = connectAt
		}
		group.Go(func() { calls.callOnce(o, connectAt, sendAt) })
	}
	time.Sleep(time.Until(stopAt))
	err := g.Signal(syscall.SIGTERM)
	time.Sleep(time.Duration(random.Int64N(int64(lastConnect))))
	err = errors.CombineErrors(err, g.Signal(syscall.SIGHUP))
	err = errors.CombineErrors(err, g.Signal(syscall.SIGTERM))
	select {
	case <-g.Ended():
	case <-time.After(time.Until(stopAt.Add(gracePeriod))):
		cluster.recorder.RecordViolation("%s is still running %s after SIGTERM", g.name, gracePeriod)
		g.Kill()
	}
	group.Wait()
	outcomes := calls.Outcomes()
	for _, o := range outcomes {
		checkLate(cluster, o, stopAt)
	}
	return outcomes, errors.CombineErrors(err, g.Start())
}

// callOnce connects to a gateway, and later sends one request over the connection if it is still open.
func (c *Callers) callOnce(o Outcome, connectAt, sendAt time.Time) {
	time.Sleep(time.Until(connectAt))
	connection, err := net.Dial("tcp", o.Gateway.callerAddress)
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	time.Sleep(time.Until(sendAt))
	if !isOpen(connection) {
		return
	}
	var once sync.Once
	client := &http.Client{Transport: &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			err := errors.New("the caller connects once")
			once.Do(func() { err = nil })
			return connection, err
		},
	}}
	defer client.CloseIdleConnections()
	o.Sent, o.UndisturbedAtStart = time.Now(), c.cluster.UndisturbedFor(o.Gateway)
	c.cluster.send(client, &o, o.Model)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
}

// isOpen reports whether the peer has not closed a connection over which nothing was sent.
func isOpen(connection net.Conn) bool {
	_ = connection.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := connection.Read(make([]byte, 1))
	_ = connection.SetReadDeadline(time.Time{})
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// checkLate checks that a gateway that stops without faults answers a request that it has read, and
// that it lets a run end that it has begun.
func checkLate(cluster *Cluster, o Outcome, stopAt time.Time) {
	runs := len(cluster.recorder.Runs(o.ID))
	whole := o.Sent
	if o.BodyAt.After(whole) {
		whole = o.BodyAt
	}
	unanswered := !o.Complete && (runs > 0 || o.Sent.Add(o.Elapsed).Sub(whole) > closeTolerance || whole.Sub(stopAt) < answerTime)
	cutShort := o.Status == http.StatusBadGateway && runs > 0
	if (unanswered || cutShort) && o.Elapsed < o.Timeout {
		cluster.recorder.RecordViolation("%s request %s, sent %s and whole %s after the SIGTERM of its gateway, was cut with status %d after %s and %d runs",
			o.Kind, o.ID, o.Sent.Sub(stopAt), whole.Sub(stopAt), o.Status, o.Elapsed, runs)
	}
}
