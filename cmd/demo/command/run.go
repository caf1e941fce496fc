package command

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"time"

	"github.com/knapweedpulley/knapweedpulley/cmd/demo/fleet"
	"github.com/knapweedpulley/knapweedpulley/cmd/demo/traffic"
)

// deployments returns the names of the files of the deployments that the demo runs.
func deployments() []string {
	return []string{"gasesIturralde.json", "idegenvezetok.json"}
}

// runDemo runs the deployments one after the other, so that they fit on a small
// machine, prints the table of results and returns the exit status. A deployment
// that can't be loaded or started, or that is interrupted, counts as one wrong result.
func runDemo(ctx context.Context, o options, stdout, stderr io.Writer) int {
	tally := traffic.NewTally()
	for _, name := range deployments() {
		if err := runDeployment(ctx, o, name, tally, stdout); err != nil {
			_, _ = fmt.Fprintf(stderr, "demo run: %s: %v\n", name, err)
			tally.Add(traffic.Result{
				Deployment: name, Kind: "start and stop", Outcome: traffic.Wrong, Fault: err.Error(),
			})
		}
	}
	tally.Print(stdout)
	if tally.Wrong() > 0 {
		return exitFailure
	}
	return 0
}

// runDeployment starts a deployment, sends its traffic and stops it.
func runDeployment(ctx context.Context, o options, name string, tally *traffic.Tally, stdout io.Writer) error {
	d, err := fleet.LoadDeployment(filepath.Join(o.fixtures, name))
	if err != nil {
		return err
	}
	scaled := d.Scaled(o.scale)
	_, _ = fmt.Fprintf(stdout, "%s: %d zones, %d of %d engines, %d of %d plain services (servers scaled by 1/%d), "+
		"%d entries, %d customers\n", d.Name, len(d.Zones), scaled.Engines, d.Engines, scaled.Services, d.Services,
		o.scale, entryCount, len(d.Customers))
	start := time.Now()
	f, cleanup, err := fleet.Start(ctx, fleet.Options{
		Binaries: o.binaries, Deployment: scaled, Entries: entryCount, Folder: o.folder,
	})
	if err != nil {
		return err
	}
	defer cleanup()
	ready := time.Now()
	traffic.NewRun(f, tally).Send(ctx)
	_, _ = fmt.Fprintf(stdout, "%s: ready after %s, traffic took %s\n", d.Name,
		ready.Sub(start).Round(time.Millisecond), time.Since(ready).Round(time.Millisecond))
	return ctx.Err()
}
