package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// coldTime is how long an endpoint of the service cold is cold after its start. It bears
	// coldPerSecond requests a second then, and may get allowedColdRequests in any second.
	coldTime            = 3 * time.Second
	coldPerSecond       = 8
	allowedColdRequests = 17
	// coldRounds is the number of starts of the endpoint, coldRoundTime the time of each.
	coldRounds    = 3
	coldRoundTime = 5 * time.Second
	// coldCallers send a request every coldCallPause each.
	coldCallers   = 18
	coldCallPause = 100 * time.Millisecond
	// coldPauseTime is how long a gateway is paused. It is shorter than the time for which the endpoint
	// is cold.
	coldPauseTime = 1500 * time.Millisecond
)

// StartCold restarts the endpoint of the service cold several times while callers send more requests than
// it bears while it is cold. Gateways are paused and killed meanwhile. StartCold records a violation if
// the endpoint got more requests in a second than it may, and returns the outcomes of all requests.
func StartCold(cluster *Cluster, random *rand.Rand) ([]Outcome, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	cluster.cold.coolDownAtStarts()
	calls := NewCallers(cluster)
	var group sync.WaitGroup
	for n := range coldCallers {
		seed := random.Uint64()
		group.Go(func() { calls.runCold(ctx, n, seed) })
	}
	var err error
	for round := range coldRounds {
		err = errors.CombineErrors(err, cluster.cold.Crash())
		time.Sleep(minFaultDuration)
		err = errors.CombineErrors(err, cluster.cold.Start())
		end := time.Now().Add(coldRoundTime)
		// The gateways learn of the endpoint first.
		time.Sleep(time.Second)
		g := cluster.gateways[random.IntN(gatewayCount)]
		switch round {
		case 1:
			err = errors.CombineErrors(err, g.Signal(syscall.SIGSTOP))
			time.Sleep(coldPauseTime)
			err = errors.CombineErrors(err, g.Signal(syscall.SIGCONT))
		case 2:
			err = errors.CombineErrors(err, g.Signal(syscall.SIGKILL))
			<-g.Ended()
			err = errors.CombineErrors(err, g.Start())
		}
		time.Sleep(time.Until(end))
	}
	cancel()
	group.Wait()
	cluster.cold.checkColdRequests()
	return calls.Outcomes(), err
}

// ColdRequests returns the number of requests that the endpoint of the service cold got while it was cold.
func (c *Cluster) ColdRequests() int {
	c.cold.mu.Lock()
	defer c.cold.mu.Unlock()
	return len(c.cold.coldArrivals)
}

// runCold sends requests to the service cold until ctx ends.
func (c *Callers) runCold(ctx context.Context, n int, seed uint64) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	random := rand.New(rand.NewPCG(seed, 0)) //nolint:gosec // It needs no secrecy.
	for i := 0; ctx.Err() == nil; i++ {
		g := c.cluster.gateways[random.IntN(gatewayCount)]
		o := Outcome{
			ID: fmt.Sprintf("cold-%d-%d", n, i), Kind: Cold, Key: c.cluster.RandomKey(random), Gateway: g, Timeout: shortTimeout,
			Sent: time.Now(), UndisturbedAtStart: c.cluster.UndisturbedFor(g),
		}
		c.cluster.send(client, &o, "")
		c.mu.Lock()
		c.outcomes = append(c.outcomes, o)
		c.mu.Unlock()
		time.Sleep(coldCallPause)
	}
}

// coolDownAtStarts makes the endpoint cold for coldTime after each start from now on.
func (e *Endpoint) coolDownAtStarts() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coldTime = coldTime
}

// coldLeft returns for how long the endpoint stays cold. The caller holds mu.
func (e *Endpoint) coldLeft() time.Duration {
	return max(0, e.coldTime-time.Since(time.UnixMilli(e.startedAtMs)))
}

// recordColdRequest records the arrival of a request if the endpoint is cold.
func (e *Endpoint) recordColdRequest() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.coldLeft() > 0 {
		e.coldArrivals = append(e.coldArrivals, time.Now())
	}
}

// checkColdRequests records a violation if the endpoint got more requests in a second than it may.
func (e *Endpoint) checkColdRequests() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := allowedColdRequests; i < len(e.coldArrivals); i++ {
		if d := e.coldArrivals[i].Sub(e.coldArrivals[i-allowedColdRequests]); d < time.Second {
			e.recorder.RecordViolation("cold endpoint %s got %d requests in %s, want at most %d in a second",
				e.id, allowedColdRequests+1, d, allowedColdRequests)
			return
		}
	}
}
