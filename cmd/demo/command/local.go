package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/cmd/demo/fleet"
)

const (
	localFolder       = ".local"
	addressesFile     = "addresses.json"
	localEngines      = 3
	localServices     = 1
	localZones        = 2
	privateFileMode   = 0o600
	privateFolderMode = 0o700
)

// addresses is the content of .local/addresses.json, from which tools read how to
// reach the local fleet.
type addresses struct {
	Entries     []string          `json:"entries"`
	Admin       []string          `json:"admin"`
	Customers   []customerAddress `json:"customers"`
	OperatorKey string            `json:"operatorKey"`
}

// customerAddress is a customer with the API key that tools use to send requests in
// its name, and with what these requests can address.
type customerAddress struct {
	Name     knapweedpulley.CustomerID  `json:"name"`
	Key      string                     `json:"key"`
	Models   []knapweedpulley.ModelID   `json:"models"`
	Adapters []knapweedpulley.AdapterID `json:"adapters"`
	Routes   []knapweedpulley.RouteID   `json:"routes"`
}

func newCustomerAddress(c fleet.Customer) customerAddress {
	a := customerAddress{Name: c.ID, Key: c.Key}
	for _, m := range c.Template.Models {
		a.Models = append(a.Models, m.ID)
	}
	for _, d := range c.Template.Adapters {
		a.Adapters = append(a.Adapters, d.ID)
	}
	for _, r := range c.Template.Routes {
		a.Routes = append(a.Routes, r.ID)
	}
	return a
}

func newAddresses(f *fleet.Fleet) addresses {
	a := addresses{OperatorKey: f.OperatorKey}
	for _, e := range f.Entries {
		a.Entries = append(a.Entries, e.Listen)
		a.Admin = append(a.Admin, e.Admin)
	}
	for _, c := range f.Customers {
		a.Customers = append(a.Customers, newCustomerAddress(c))
	}
	return a
}

// runLocal runs a small fleet until ctx ends and returns the exit status.
func runLocal(ctx context.Context, o options, stdout, stderr io.Writer) int {
	if err := serveLocal(ctx, o, stdout); err != nil {
		_, _ = fmt.Fprintf(stderr, "demo local: %v\n", err)
		return exitFailure
	}
	return 0
}

// serveLocal runs a small fleet until ctx ends. The file of addresses exists only
// while the fleet is running.
func serveLocal(ctx context.Context, o options, stdout io.Writer) error {
	path := filepath.Join(localFolder, addressesFile)
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return errors.Wrap(err, "remove old addresses file")
	}
	d, err := fleet.LoadDeployment(filepath.Join(o.fixtures, deployments()[0]))
	if err != nil {
		return err
	}
	d.Engines, d.Services, d.Zones = localEngines, localServices, d.Zones[:localZones]
	f, cleanup, err := fleet.Start(ctx, fleet.Options{
		Binaries: o.binaries, Deployment: d, Entries: entryCount, Folder: o.folder,
	})
	if err != nil {
		return err
	}
	defer cleanup()
	defer func() { _ = os.Remove(path) }()
	if err := writeAddresses(path, newAddresses(f)); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(stdout, "%s is up; see %s; interrupt to stop\n", d.Name, path)
	<-ctx.Done()
	return nil
}

// writeAddresses replaces the file atomically, so that no tool reads an incomplete
// one.
func writeAddresses(path string, a addresses) error {
	data, err := json.MarshalIndent(a, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode addresses")
	}
	if err := os.MkdirAll(filepath.Dir(path), privateFolderMode); err != nil {
		return errors.Wrap(err, "create folder for addresses file")
	}
	if err := os.WriteFile(path+".new", append(data, '\n'), privateFileMode); err != nil {
		return errors.Wrap(err, "write addresses file")
	}
	return errors.Wrap(os.Rename(path+".new", path), "rename addresses file")
}
