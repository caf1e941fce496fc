package installation_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	storefake "github.com/knapweedpulley/knapweedpulley/store/fake"
)

const (
	// leaving is the endpoint whose registration is removed.
	leaving = "i-0"
	// contactTime is the time after which our users count a gateway whose connections went silent, or
	// that was cut off, as being in contact with the platform again.
	contactTime = 3 * time.Second
	// drainTime is the time after which a leaving endpoint must get no more work.
	drainTime = 2 * time.Second
	// phases is the number of instants within phaseSpan at which a disruption begins. The span is
	// longer than the time between two watches.
	phases    = 24
	phaseSpan = 3 * time.Second
)

// withGatewaysInPhases runs a test for disruptions that begin at different instants between two watches.
func withGatewaysInPhases(name string, t *testing.T, zones, perZone int, test func(f *gatewayFleet)) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		for n := range phases {
			synctest.Test(t, func(t *testing.T) {
				f := newGatewayFleet(t)
				f.evacuations = true
				f.startGateways(zones, perZone)
				time.Sleep(phaseSpan * time.Duration(n) / phases)
				test(f)
			})
		}
	})
}

// removeLeaving removes the registration of the endpoint that leaves, shortly after a disruption.
func (f *gatewayFleet) removeLeaving() {
	f.t.Helper()
	time.Sleep(50 * time.Millisecond)
	_, err := f.store.Delete(f.t.Context(), knapweedpulley.KindEndpoints, leaving, f.revisions[leaving])
	is.New(f.t).NoErr(err)
}

// changeEndpoints changes the registration of another endpoint again and again. The watches of the
// endpoints have pauses in between then.
func (f *gatewayFleet) changeEndpoints(d time.Duration) {
	f.t.Helper()
	for start, n := time.Now(), 0; time.Since(start) < d; n++ {
		f.write(knapweedpulley.KindEndpoints, "i-1", knapweedpulley.RegisteredEndpoint{Address: "10.0.0.2:1", Slots: n})
		time.Sleep(70 * time.Millisecond)
	}
}

func (f *gatewayFleet) silenceStore() {
	for _, g := range f.gateways {
		g.store.SilenceConnections()
	}
}

// assertUnused requires that no gateway uses the endpoint that leaves at an instant.
func (f *gatewayFleet) assertUnused(at time.Time) {
	f.t.Helper()
	time.Sleep(time.Until(at))
	synctest.Wait()
	f.assertEverywhere(leaving, false, 0, all)
}

// Guards against requests to an endpoint that has left, because a gateway takes a silent connection
// to the store for an outage of the store.
func TestEndpointThatLeavesBehindSilentConnections(t *testing.T) {
	for _, size := range []struct{ zones, perZone int }{{2, 1}, {1, 2}, {2, 6}} {
		name := fmt.Sprintf("%d zones of %d gateways", size.zones, size.perZone)
		withGatewaysInPhases("connections to the store, "+name, t, size.zones, size.perZone, func(f *gatewayFleet) {
			start := time.Now()
			f.silenceStore()
			f.removeLeaving()
			f.assertUnused(start.Add(contactTime))
		})
		withGatewaysInPhases("connections to the store after many changes, "+name, t, size.zones, size.perZone, func(f *gatewayFleet) {
			f.changeEndpoints(time.Second)
			start := time.Now()
			f.silenceStore()
			f.removeLeaving()
			f.assertUnused(start.Add(contactTime))
		})
		withGatewaysInPhases("all connections, "+name, t, size.zones, size.perZone, func(f *gatewayFleet) {
			start := time.Now()
			f.silenceStore()
			f.links.SilenceStreams()
			f.removeLeaving()
			f.assertUnused(start.Add(contactTime))
		})
	}
}

// Guards against requests to an endpoint that has left, because a gateway takes watches that were cut
// off for an outage of the store.
func TestEndpointThatLeavesWhileWatchesAreCut(t *testing.T) {
	withGatewaysInPhases("watches are cut for 300 ms", t, 2, 1, func(f *gatewayFleet) {
		for range 30 {
			for _, g := range f.gateways {
				g.store.ResetConnections()
			}
			time.Sleep(10 * time.Millisecond)
		}
		start := time.Now()
		f.removeLeaving()
		f.assertUnused(start.Add(drainTime))
	})
}

// Guards against requests to an endpoint that has left, because a gateway that begins to watch the store
// takes the silence of its peers for an outage of the store.
func TestEndpointThatLeavesBehindSilentPeers(t *testing.T) {
	withGatewaysInPhases("all watchers of the store freeze", t, 2, 8, func(f *gatewayFleet) {
		start := time.Now()
		frozen := knapweedpulley.NewSet[knapweedpulley.EntryID]()
		for _, g := range f.watchers() {
			frozen.Add(g.member.Entry)
			g.store.CutOff(true)
			f.links.Silence(g.member)
		}
		f.removeLeaving()
		time.Sleep(time.Until(start.Add(contactTime)))
		synctest.Wait()
		f.assertEverywhere(leaving, false, 0, func(g *gatewayFollower) bool { return !frozen.Has(g.member.Entry) })
	})
}

// Guards against a withdrawn key that is still accepted, because the watch of the configuration is silent.
func TestConfigurationBehindSilentConnections(t *testing.T) {
	withGatewaysInPhases("connections to the store", t, 2, 1, func(f *gatewayFleet) {
		start := time.Now()
		f.silenceStore()
		time.Sleep(50 * time.Millisecond)
		f.write(knapweedpulley.KindInstallation, knapweedpulley.MainInstallation, knapweedpulley.Installation{Version: 2})
		f.write(knapweedpulley.KindEvacuations, "zone-0", struct{}{})
		time.Sleep(time.Until(start.Add(contactTime)))
		synctest.Wait()
		for _, g := range f.gateways {
			s, known := g.Current()
			is.New(f.t).True(known)
			is.New(f.t).Equal(s.Version, knapweedpulley.Version(2))
			is.New(f.t).True(!g.uses(leaving)) // Its zone is evacuated.
		}
	})
}

// Guards against requests to an endpoint that left while the gateways were cut off from the store, because
// a call that was sent during the cut is awaited for long after it.
func TestEndpointThatLeavesWhileGatewaysAreCutOff(t *testing.T) {
	withGatewaysInPhases("the store answers nothing", t, 2, 1, func(f *gatewayFleet) {
		f.setReachability(storefake.Unanswered)
		f.silenceStore()
		time.Sleep(4 * time.Second)
		f.removeLeaving()
		start := time.Now()
		f.setReachability(storefake.Reachable)
		f.assertUnused(start.Add(contactTime))
	})
}

func (f *gatewayFleet) setReachability(r storefake.Reachability) {
	for _, g := range f.gateways {
		g.store.SetReachability(r)
	}
}

// Guards against a removal of all endpoints after an outage of the store that was noticed only by silence.
func TestRegistrationsThatLapseInSilentOutage(t *testing.T) {
	for _, size := range []struct{ zones, perZone int }{{2, 1}, {2, 6}} {
		name := fmt.Sprintf("%d zones of %d gateways", size.zones, size.perZone)
		withGatewaysInPhases(name, t, size.zones, size.perZone, func(f *gatewayFleet) {
			f.setReachability(storefake.Unanswered)
			f.silenceStore()
			time.Sleep(4500 * time.Millisecond)
			f.removeLeaving()
			f.setReachability(storefake.Reachable)
			// The endpoint registers again within 2 s.
			time.Sleep(2 * time.Second)
			f.assertEverywhere(leaving, true, 0, all)
			time.Sleep(3 * time.Second)
			f.assertEverywhere(leaving, false, 0, all)
		})
	}
}
