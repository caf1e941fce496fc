package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
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
	// seedsVariable asks for so many fresh seeds, seedVariable for one.
	seedsVariable = "KNAPWEEDPULLEY_SOAK"
	seedVariable  = "KNAPWEEDPULLEY_SOAK_SEED"
	// logsVariable names a directory that keeps the logs of failed seeds.
	logsVariable = "KNAPWEEDPULLEY_SOAK_LOGS"

	callers   = 12
	shortRun  = 5 * time.Second
	longRun   = 20 * time.Second
	afterward = 7 * time.Second
	checkRun  = 2 * time.Second
)

// regressions are the seeds that failed once, each with its cause.
func regressions() []uint64 {
	return []uint64{
		// A keeper waited two minutes for the first bytes of a silent connection
		// before it ended.
		1579587738715472539,
		// A keeper got SIGTERM before it had asked for signals, and lost it.
		14077715190520550373,
	}
}

// build builds the programs and returns where they are.
func build(t *testing.T) string {
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

// assertSoak runs one seed and asserts that no promise was broken.
func assertSoak(t *testing.T, binaries string, seed uint64, duration time.Duration) {
	t.Helper()
	is := is.New(t)
	random := rand.New(rand.NewPCG(seed, 0))
	w, err := soak.NewWorld(binaries, t.TempDir(), random)
	is.NoErr(err)
	defer w.Close()
	calls := soak.NewCallers(w)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var group sync.WaitGroup
	for n := range callers {
		group.Go(func() { calls.Run(ctx, n, seed) })
	}
	injector := soak.NewInjector(w, random)
	faults, stop := context.WithTimeout(ctx, duration)
	defer stop()
	injector.Run(faults)
	time.Sleep(afterward)
	healed := time.Now()
	time.Sleep(checkRun)
	cancel()
	group.Wait()
	outcomes := calls.Outcomes()
	soak.Check(w, outcomes)
	t.Logf("seed %d: %d requests, faults %v", seed, len(outcomes), injector.Counts())
	assertRecovered(t, w, outcomes, healed)
	for _, f := range w.Faults() {
		t.Error(f)
	}
	if directory := os.Getenv(logsVariable); t.Failed() && directory != "" {
		is.NoErr(w.Logs(filepath.Join(directory, fmt.Sprint(seed))))
	}
}

// assertRecovered asserts that nearly all is served once the faults are over.
func assertRecovered(t *testing.T, w *soak.World, outcomes []soak.Outcome, healed time.Time) {
	t.Helper()
	asked, served := 0, 0
	statuses := make(map[int]int)
	for _, o := range outcomes {
		if _, revoked := w.RevokedAt(o.Key); revoked || o.Sent.Before(healed) {
			continue
		}
		asked++
		statuses[o.Status]++
		if o.Status == http.StatusOK && o.Whole {
			served++
		}
	}
	if asked == 0 || float64(served) < 0.95*float64(asked) {
		t.Errorf("%d of %d requests are served after the faults: %v", served, asked, statuses)
	}
}

func TestSoak(t *testing.T) {
	binaries := build(t)
	if text := os.Getenv(seedVariable); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		is.New(t).NoErr(err)
		t.Run(text, func(t *testing.T) { assertSoak(t, binaries, seed, longRun) })
		return
	}
	for _, seed := range slices.Concat([]uint64{1}, regressions()) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { assertSoak(t, binaries, seed, shortRun) })
	}
	count, err := strconv.Atoi(os.Getenv(seedsVariable))
	if err != nil {
		return
	}
	for range count {
		seed := rand.Uint64()
		t.Run(fmt.Sprint(seed), func(t *testing.T) { assertSoak(t, binaries, seed, longRun) })
	}
}
