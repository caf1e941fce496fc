package installation_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
)

// withRestoredStore runs a test with fleets of several sizes whose store comes back from a copy. The
// function write writes after the copy was made, check checks after the store has come back.
func withRestoredStore(name string, t *testing.T, write, check func(f *gatewayFleet)) {
	t.Helper()
	for _, perZone := range []int{1, 6} {
		withGatewaysInPhases(name, t, 2, perZone, func(f *gatewayFleet) {
			f.changeEndpoints(200 * time.Millisecond)
			stored := f.store.Copy()
			write(f)
			time.Sleep(2 * time.Second)
			f.store.SetDown(true)
			time.Sleep(500 * time.Millisecond)
			f.store.Restore(stored)
			f.store.SetDown(false)
			check(f)
		})
	}
}

// rewrite writes an object, whatever its revision is.
func (f *gatewayFleet) rewrite(kind knapweedpulley.Kind, name string, value any) {
	f.t.Helper()
	o, err := f.store.Get(f.t.Context(), kind, name)
	f.revisions[name] = o.Revision
	if err != nil {
		f.revisions[name] = 0
	}
	f.write(kind, name, value)
}

func (f *gatewayFleet) assertVersions(want knapweedpulley.Version) {
	f.t.Helper()
	for _, g := range f.gateways {
		s, known := g.Current()
		is.New(f.t).True(known)
		is.New(f.t).Equal(s.Version, want)
	}
}

var leavingRegistration = knapweedpulley.RegisteredEndpoint{Address: "10.0.0.1:1", Zone: "zone-0"}

// Guards against gateways that follow nothing after the store has come back from a copy, because its
// revisions are lower or were assigned again.
func TestStoreThatComesBackFromCopyIsFollowed(t *testing.T) {
	withRestoredStore("the configuration doesn't revert, and the next one comes into force", t, func(f *gatewayFleet) {
		f.rewrite(knapweedpulley.KindInstallation, knapweedpulley.MainInstallation, knapweedpulley.Installation{Version: 2})
	}, func(f *gatewayFleet) {
		time.Sleep(time.Second)
		f.assertVersions(2)
		f.rewrite(knapweedpulley.KindInstallation, knapweedpulley.MainInstallation, knapweedpulley.Installation{Version: 3})
		time.Sleep(contactTime)
		f.assertVersions(3)
	})
	withRestoredStore("an endpoint that registers under a revision that was assigned before is used", t, func(f *gatewayFleet) {
		f.rewrite(knapweedpulley.KindInstallation, knapweedpulley.MainInstallation, knapweedpulley.Installation{Version: 2})
	}, func(f *gatewayFleet) {
		// The first write gets the revision that the configuration had.
		f.rewrite(knapweedpulley.KindEndpoints, "i-2", knapweedpulley.RegisteredEndpoint{Address: "10.0.0.3:1"})
		time.Sleep(contactTime)
		f.assertEverywhere("i-2", true, 0, all)
	})
}

// Guards against a removal of endpoints that registered after the copy was made.
func TestEndpointThatCopyLacksIsKept(t *testing.T) {
	register := func(f *gatewayFleet) {
		f.rewrite(knapweedpulley.KindEndpoints, "i-2", knapweedpulley.RegisteredEndpoint{Address: "10.0.0.3:1"})
	}
	withRestoredStore("until it registers again", t, register, func(f *gatewayFleet) {
		time.Sleep(2 * time.Second)
		f.assertEverywhere("i-2", true, 0, all)
		register(f)
		time.Sleep(2 * contactTime)
		f.assertEverywhere("i-2", true, 0, all)
	})
	withRestoredStore("for the grace", t, register, func(f *gatewayFleet) {
		time.Sleep(2 * contactTime)
		f.assertEverywhere("i-2", false, 0, all)
	})
}

// Guards against requests to an endpoint that was known to leave, because the copy still has it.
func TestEndpointThatLeftStaysUnused(t *testing.T) {
	drain := func(f *gatewayFleet) {
		e := leavingRegistration
		e.Draining = true
		f.rewrite(knapweedpulley.KindEndpoints, leaving, e)
	}
	assertUnused := func(f *gatewayFleet) {
		f.t.Helper()
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
			f.assertEverywhere(leaving, false, 0, all)
		}
	}
	remove := func(f *gatewayFleet) {
		f.rewrite(knapweedpulley.KindEndpoints, leaving, leavingRegistration)
		f.removeLeaving()
	}
	for _, one := range []struct {
		name string
		how  func(*gatewayFleet)
	}{{"by draining", drain}, {"by its removal", remove}} {
		withRestoredStore(one.name, t, one.how, func(f *gatewayFleet) {
			assertUnused(f)
			f.rewrite(knapweedpulley.KindEndpoints, leaving, "gone")
			assertUnused(f)
		})
		withRestoredStore(one.name+", which turns out wrong", t, one.how, func(f *gatewayFleet) {
			assertUnused(f)
			time.Sleep(2 * contactTime)
			f.assertEverywhere(leaving, true, 0, all)
		})
		withRestoredStore(one.name+", and it starts again", t, one.how, func(f *gatewayFleet) {
			assertUnused(f)
			e := leavingRegistration
			e.Start = 1
			f.rewrite(knapweedpulley.KindEndpoints, leaving, e)
			time.Sleep(time.Second)
			f.assertEverywhere(leaving, true, 0, all)
		})
	}
}

// Guards against requests to an evacuated zone whose evacuation the copy lacks.
func TestZoneThatCopyLacksStaysEvacuated(t *testing.T) {
	evacuate := func(f *gatewayFleet) { f.rewrite(knapweedpulley.KindEvacuations, "zone-0", struct{}{}) }
	withRestoredStore("until the evacuation is written again", t, evacuate, func(f *gatewayFleet) {
		time.Sleep(2 * time.Second)
		f.assertEverywhere(leaving, false, 0, all)
		evacuate(f)
		time.Sleep(2 * contactTime)
		f.assertEverywhere(leaving, false, 0, all)
	})
	withRestoredStore("for the grace", t, evacuate, func(f *gatewayFleet) {
		time.Sleep(2 * contactTime)
		f.assertEverywhere(leaving, true, 0, all)
	})
}

// Guards against two losses in short succession, of which the second one lacks less.
func TestStoreThatComesBackTwice(t *testing.T) {
	withGatewaysInPhases("from one copy", t, 2, 1, func(f *gatewayFleet) {
		stored := f.store.Copy()
		for version := range knapweedpulley.Version(2) {
			f.rewrite(knapweedpulley.KindInstallation, knapweedpulley.MainInstallation, knapweedpulley.Installation{Version: version + 2})
			time.Sleep(contactTime)
			f.assertVersions(version + 2)
			f.store.Restore(stored)
		}
		time.Sleep(contactTime)
		f.assertVersions(3)
		is.New(f.t).Equal(f.gateways[0].View(knapweedpulley.KindEndpoints).Revision.Epoch(), knapweedpulley.StoreEpoch(2))
	})
}
