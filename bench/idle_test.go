package bench_test

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/bench"
	"github.com/knapweedpulley/knapweedpulley/bench/capacity"
	"github.com/knapweedpulley/knapweedpulley/cmd/demo/fleet"
)

// placementTime is how long a small fleet takes at most to place its models.
const placementTime = 15 * time.Second

// TestIdleMemory starts the built programs and records the largest resident memory of
// the idle entry and agent processes.
func TestIdleMemory(t *testing.T) {
	if !bench.Full() {
		t.Skip("starts processes; requires the environment variable " + bench.FullVariable)
	}
	is := is.New(t)
	d, err := fleet.LoadDeployment("../_fixtures/idegenvezetok.json")
	is.NoErr(err)
	d.Engines, d.Services = 3, 1
	binaries, err := filepath.Abs("../.build")
	is.NoErr(err)
	_, cleanup, err := fleet.Start(t.Context(), fleet.Options{Binaries: binaries, Deployment: d, Entries: 2})
	is.NoErr(err) // make build builds the programs
	defer cleanup()
	time.Sleep(placementTime)
	processes, err := capacity.Children()
	is.NoErr(err)
	var entry, agent float64
	for _, p := range processes {
		switch {
		case strings.HasPrefix(p.Name, "entry-"):
			entry = max(entry, p.Resident)
		case strings.HasPrefix(p.Name, "agent-"):
			agent = max(agent, p.Resident)
		}
	}
	is.True(entry > 0 && agent > 0)
	recorder.Record("idleEntryMiB", entry/float64(knapweedpulley.MiB))
	recorder.Record("idleAgentMiB", agent/float64(knapweedpulley.MiB))
}
