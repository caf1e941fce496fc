package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley/faults/soak"
)

const (
	// seedCountVariable is the number of new random seeds to run. seedVariable is a single
	// seed to run instead of all others.
	seedCountVariable = "KNAPWEEDPULLEY_SOAK"
	seedVariable      = "KNAPWEEDPULLEY_SOAK_SEED"
	// logsVariable is a directory to which the logs of failed seeds are copied.
	logsVariable = "KNAPWEEDPULLEY_SOAK_LOGS"

	callerCount   = 12
	longBodyCount = 3
	shortDuration = 5 * time.Second
	longDuration  = 20 * time.Second
	recoveryPause = 7 * time.Second
	checkDuration = 2 * time.Second
)

// regressionSeeds returns the seeds that failed once, each with the cause of its failure.
func regressionSeeds() []uint64 {
	return []uint64{
		// At its shutdown, a keeper waited two minutes for the first bytes of a silent
		// connection.
		1579587738715472539,
		// A keeper received SIGTERM before it had installed its signal handler, and the
		// signal was lost.
		14077715190520550373,
		// A key was used within milliseconds of its addition, at a gateway that gets the
		// configuration from another one. The check now allows the time within which a
		// configuration comes into force.
		12023239464591184914,
		// A gateway canceled an exchange with a silent endpoint before it knew that the call
		// could move to another one.
		2,
		// A gateway took a refusal that an endpoint had written twice for the answer to the
		// second send of the same request.
		18,
	}
}

// buildPrograms builds the gateway and the keeper and returns their directory.
func buildPrograms(t *testing.T) string {
	t.Helper()
	directory := t.TempDir()
	c := exec.Command("go", "build", "-o", directory+"/", "./cmd/gateway", "./cmd/keeper")
	c.Dir = filepath.Join("..", "..")
	out, err := c.CombinedOutput()
	if err != nil {
		t.Fatalf("build the programs: %v\n%s", err, out)
	}
	return directory
}

// assertSoak injects faults drawn from one seed for duration, and asserts that no
// guarantee is broken and that requests are served again afterwards.
func assertSoak(t *testing.T, binaries string, seed uint64, duration time.Duration) {
	t.Helper()
	is := is.New(t)
	random := rand.New(rand.NewPCG(seed, 0))
	cluster, err := soak.NewCluster(binaries, t.TempDir(), random)
	is.NoErr(err)
	defer cluster.Close()
	calls := soak.NewCallers(cluster)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var group sync.WaitGroup
	for n := range callerCount {
		group.Go(func() { calls.Run(ctx, n, seed) })
	}
	for n := range longBodyCount {
		group.Go(func() { calls.RunLong(ctx, callerCount+n, seed) })
	}
	injector := soak.NewInjector(cluster, random, seed)
	faults, stop := context.WithTimeout(ctx, duration)
	defer stop()
	injector.Run(faults)
	time.Sleep(recoveryPause)
	recoveredAt := time.Now()
	time.Sleep(checkDuration)
	cancel()
	group.Wait()
	outcomes := calls.Outcomes()
	soak.Check(cluster, slices.Concat(outcomes, injector.Outcomes()))
	t.Logf("seed %d: %d requests, faults %v, largest process %d MB", seed, len(outcomes), injector.Counts(), cluster.PeakMemory()/1_000_000)
	assertRecovered(t, cluster, outcomes, recoveredAt)
	for _, f := range cluster.Violations() {
		t.Error(f)
	}
	if directory := os.Getenv(logsVariable); t.Failed() && directory != "" {
		is.NoErr(cluster.SaveLogs(filepath.Join(directory, fmt.Sprint(seed))))
	}
}

// assertRecovered asserts that at least 95% of the requests sent since recoveredAt with a
// valid key are served.
func assertRecovered(t *testing.T, cluster *soak.Cluster, outcomes []soak.Outcome, recoveredAt time.Time) {
	t.Helper()
	sent, served := 0, 0
	statuses := make(map[int]int)
	for _, o := range outcomes {
		if _, withdrawn := cluster.WithdrawnAt(o.Key); withdrawn || o.Sent.Before(recoveredAt) {
			continue
		}
		sent++
		statuses[o.Status]++
		if o.Status == http.StatusOK && o.Complete {
			served++
		}
	}
	if sent == 0 || float64(served) < 0.95*float64(sent) {
		t.Errorf("%d of %d requests were served after the faults, want at least 95%%; statuses: %v", served, sent, statuses)
	}
}

// runAlone runs a scenario on a cluster without other faults, and asserts that it violates nothing.
func runAlone(
	t *testing.T, name string, seed uint64, scenario func(*soak.Cluster, *rand.Rand) ([]soak.Outcome, error),
) []soak.Outcome {
	t.Helper()
	is := is.New(t)
	random := rand.New(rand.NewPCG(seed, 0))
	cluster, err := soak.NewCluster(buildPrograms(t), t.TempDir(), random)
	is.NoErr(err)
	defer cluster.Close()
	outcomes, err := scenario(cluster, random)
	is.NoErr(err)
	soak.Check(cluster, outcomes)
	for _, f := range cluster.Violations() {
		t.Error(f)
	}
	if directory := os.Getenv(logsVariable); t.Failed() && directory != "" {
		is.NoErr(cluster.SaveLogs(filepath.Join(directory, fmt.Sprint(name, "-", seed))))
	}
	return outcomes
}

// forEachSeed runs a test with two seeds, or with the one of the environment.
func forEachSeed(t *testing.T, test func(t *testing.T, seed uint64)) {
	t.Helper()
	seeds := []uint64{1, 2}
	if seed, err := strconv.ParseUint(os.Getenv(seedVariable), 10, 64); err == nil {
		seeds = []uint64{seed}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { test(t, seed) })
	}
}

func TestWaitingRequestRunsForCustomerThatHoldsItsKey(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(t *testing.T, seed uint64) {
		outcomes := runAlone(t, "merge", seed, func(c *soak.Cluster, random *rand.Rand) ([]soak.Outcome, error) {
			time.Sleep(recoveryPause / 2)
			var outcomes []soak.Outcome
			for range 3 {
				next, err := soak.MergeCustomer(c, random)
				if err != nil {
					return nil, err
				}
				outcomes = append(outcomes, next...)
			}
			return outcomes, nil
		})
		waited := 0
		for _, o := range outcomes {
			if o.Kind == soak.Stream && o.Status == http.StatusOK && o.Elapsed > time.Second {
				waited++
			}
		}
		t.Logf("seed %d: %d requests, of which %d were answered after they had waited for a model", seed, len(outcomes), waited)
		is.New(t).True(waited > 0)
	})
}

func TestPlannedStopCutsNoLateRequest(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(t *testing.T, seed uint64) {
		outcomes := runAlone(t, "stop", seed, soak.StopGateway)
		statuses := make(map[int]int)
		for _, o := range outcomes {
			statuses[o.Status]++
		}
		t.Logf("seed %d: %d requests, statuses %v", seed, len(outcomes), statuses)
		is := is.New(t)
		is.True(statuses[http.StatusOK] > 0)
		is.True(statuses[http.StatusServiceUnavailable] > 0)
	})
}

// Guards against requests to an evacuated zone under the calls of a whole cluster.
func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(t *testing.T, seed uint64) {
		outcomes := runAlone(t, "evacuation", seed, func(c *soak.Cluster, _ *rand.Rand) ([]soak.Outcome, error) {
			calls := soak.NewCallers(c)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var group sync.WaitGroup
			for n := range callerCount {
				group.Go(func() { calls.Run(ctx, n, seed) })
			}
			time.Sleep(recoveryPause / 2)
			err := c.Evacuate(recoveryPause + time.Second)
			time.Sleep(recoveryPause / 2)
			cancel()
			group.Wait()
			if c.RunsInEvacuatedZone(calls.Outcomes()) == 0 {
				t.Error("the zone had no requests at all, so that the check shows nothing")
			}
			return calls.Outcomes(), err
		})
		t.Logf("seed %d: %d requests", seed, len(outcomes))
	})
}

// Guards against gateways that together send a cold endpoint more requests than it bears, also while one of
// them is paused or restarts.
func TestColdEndpointGetsNoMoreThanItBears(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(t *testing.T, seed uint64) {
		statuses, cold := make(map[int]int), 0
		outcomes := runAlone(t, "cold", seed, func(c *soak.Cluster, random *rand.Rand) ([]soak.Outcome, error) {
			time.Sleep(recoveryPause / 2)
			outcomes, err := soak.StartCold(c, random)
			cold = c.ColdRequests()
			return outcomes, err
		})
		for _, o := range outcomes {
			statuses[o.Status]++
		}
		t.Logf("seed %d: %d requests, statuses %v, %d while the endpoint was cold", seed, len(outcomes), statuses, cold)
		is := is.New(t)
		is.True(cold > 0)
		is.True(statuses[http.StatusOK] > cold)
		is.True(statuses[http.StatusServiceUnavailable] > 0)
	})
}

func TestClusterLeavesNetworkToOtherPrograms(t *testing.T) {
	t.Parallel()
	const seed = 1
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.30.1:7600", 1+rand.New(rand.NewPCG(seed, 0)).IntN(200)))
	is.New(t).NoErr(err)
	defer func() { _ = listener.Close() }()
	runAlone(t, "network", seed, func(*soak.Cluster, *rand.Rand) ([]soak.Outcome, error) { return nil, nil })
}

func TestSoak(t *testing.T) {
	binaries := buildPrograms(t)
	if text := os.Getenv(seedVariable); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		is.New(t).NoErr(err)
		t.Run(text, func(t *testing.T) { assertSoak(t, binaries, seed, longDuration) })
		return
	}
	for _, seed := range slices.Concat([]uint64{1}, regressionSeeds()) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { assertSoak(t, binaries, seed, shortDuration) })
	}
	count, err := strconv.Atoi(os.Getenv(seedCountVariable))
	if err != nil {
		return
	}
	for range count {
		seed := rand.Uint64()
		t.Run(fmt.Sprint(seed), func(t *testing.T) { assertSoak(t, binaries, seed, longDuration) })
	}
}
