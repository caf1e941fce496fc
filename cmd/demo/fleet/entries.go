package fleet

import (
	"context"
	"fmt"
	"time"

	"github.com/knapweedpulley/knapweedpulley/admin"
	"github.com/knapweedpulley/knapweedpulley/customer"
	"github.com/knapweedpulley/knapweedpulley/entry"
	"github.com/knapweedpulley/knapweedpulley/store"
	"github.com/knapweedpulley/knapweedpulley/zone"
)

// startEntries starts the entries and waits until they are ready.
func (f *Fleet) startEntries(ctx context.Context) error {
	urls := make([]string, 0, len(f.Entries))
	for _, e := range f.Entries {
		if err := f.processes.start(string(e.ID), "entry", f.entrySettings(e)); err != nil {
			return err
		}
		urls = append(urls, fmt.Sprintf("http://%s/ready", e.Listen))
	}
	return waitForAll(ctx, urls)
}

func (f *Fleet) entrySettings(e Entry) entry.Settings {
	return entry.Settings{
		ID:        e.ID,
		Machine:   machineOfEntry(e.ID),
		Zone:      e.Zone,
		Region:    f.Deployment.Region,
		Listen:    e.Listen,
		Admin:     e.Admin,
		Link:      e.Link,
		Store:     store.Settings{Address: f.platform.objects},
		Machines:  store.Settings{Address: f.platform.machines},
		Distances: f.distances(),
		MemoryMB:  f.memoryMB,
		Operators: admin.Operators{{ID: operatorID, KeyHash: customer.HashOf(f.OperatorKey)}},
	}
}

// distances lists the round-trip times between all zones.
func (f *Fleet) distances() []zone.Distance {
	var list []zone.Distance
	for i, a := range f.Deployment.Zones {
		for _, b := range f.Deployment.Zones[:i] {
			list = append(list, zone.Distance{From: a, To: b, RoundTrip: time.Duration(f.Deployment.RoundTrip)})
		}
	}
	return list
}
