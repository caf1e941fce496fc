package fleet

import (
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/customer"
	"github.com/knapweedpulley/knapweedpulley/settings"
)

// CustomerFixture is the template of one customer with the values of its
// parameters.
type CustomerFixture struct {
	Template   json.RawMessage     `json:"template"`
	Parameters customer.Parameters `json:"parameters"`
}

// Deployment describes the fleet and the customers of one of the software's users.
type Deployment struct {
	Name   string                  `json:"name"`
	Region knapweedpulley.RegionID `json:"region"`
	Zones  []knapweedpulley.ZoneID `json:"zones"`
	// RoundTrip is the network round-trip time between any two zones.
	RoundTrip settings.Duration `json:"roundTrip"`
	// Engines and Services are the numbers of engines and of plain services.
	Engines   int               `json:"engines"`
	Services  int               `json:"services"`
	Customers []CustomerFixture `json:"customers"`
}

// LoadDeployment reads a deployment from a JSON file. It fails if the file can't be
// read or decoded, or if Check reports an error.
func LoadDeployment(path string) (Deployment, error) {
	var d Deployment
	data, err := os.ReadFile(path) //nolint:gosec // The caller names the file.
	if err != nil {
		return d, errors.Wrap(err, "read deployment")
	}
	if err := settings.Decode(data, &d); err != nil {
		return d, errors.Wrap(err, path)
	}
	var f settings.Faults
	d.Check(&f)
	return d, errors.Wrap(f.Err(), path)
}

// Check implements knapweedpulley.Checker.
func (d *Deployment) Check(f knapweedpulley.FieldErrors) {
	f.Required("name", d.Name)
	f.Positive("zones", float64(len(d.Zones)))
	f.Positive("engines", float64(d.Engines))
	f.Positive("services", float64(d.Services))
	for i, c := range d.Customers {
		if _, err := customer.Resolve(c.Template, c.Parameters); err != nil {
			f.In("customers[%d]", i).Addf("template", "", "%s", err.Error())
		}
	}
}

// Scaled returns the deployment with its numbers of engines and plain services
// divided by n and rounded up.
func (d Deployment) Scaled(n int) Deployment {
	d.Engines = (d.Engines + n - 1) / n
	d.Services = (d.Services + n - 1) / n
	return d
}

// zone returns the zone of the i-th process of a kind. The processes are distributed
// over the zones in turn.
func (d Deployment) zone(i int) knapweedpulley.ZoneID {
	return d.Zones[i%len(d.Zones)]
}
