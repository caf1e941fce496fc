package endpoint_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/endpoint"
)

// testClock reads the virtual time of a synctest bubble.
type testClock struct{}

func (testClock) Now() knapweedpulley.Instant {
	return knapweedpulley.Instant(time.Now().UnixNano())
}

func TestDepartures(t *testing.T) {
	list := func(sequence uint64, ids ...knapweedpulley.MachineID) knapweedpulley.MachineListing {
		l := knapweedpulley.MachineListing{Sequence: sequence}
		for _, id := range ids {
			l.Machines = append(l.Machines, knapweedpulley.Machine{ID: id, Role: knapweedpulley.RoleAgent})
		}
		return l
	}
	assertGone := func(t *testing.T, d *endpoint.Departures, id knapweedpulley.EndpointID, want bool) {
		t.Helper()
		is.New(t).Equal(d.Gone(id), want)
	}
	synctest.Test(t, func(t *testing.T) {
		d := endpoint.NewDepartures(testClock{})
		d.UpdateEndpoint(status("x", "a", 1))
		d.UpdateMachines(list(1, "vm-y"))
		time.Sleep(time.Hour)
		assertGone(t, d, "x", false) // It was never listed.
		d.UpdateMachines(list(2, "vm-x", "vm-y"))
		d.UpdateMachines(list(3, "vm-y"))
		assertGone(t, d, "x", false) // A process on vm-x may still hold a lease.
		time.Sleep(4 * time.Second)
		assertGone(t, d, "x", true)
		d.UpdateMachines(list(2, "vm-x", "vm-y"))
		assertGone(t, d, "x", true)    // The list was older than the last one.
		assertGone(t, d, "old", false) // It may run on vm-y, whose endpoint is unknown.
		d.UpdateEndpoint(status("y", "a", 1))
		time.Sleep(2 * time.Minute)
		assertGone(t, d, "old", true)
	})
}
