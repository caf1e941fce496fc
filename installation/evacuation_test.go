package installation_test

import (
	"context"
	"encoding/json"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	configurationfake "github.com/knapweedpulley/knapweedpulley/configuration/fake"
	"github.com/knapweedpulley/knapweedpulley/installation"
	installationfake "github.com/knapweedpulley/knapweedpulley/installation/fake"
	"github.com/knapweedpulley/knapweedpulley/logbook"
	"github.com/knapweedpulley/knapweedpulley/machine/fake"
	storefake "github.com/knapweedpulley/knapweedpulley/store/fake"
)

// evacuationLimit is the time after which our users want no more requests in a zone that they have
// evacuated.
const evacuationLimit = 5 * time.Second

var emptySpec = json.RawMessage("{}")

func (f *fixture) registerIn(id string, zone knapweedpulley.ZoneID) {
	f.t.Helper()
	f.put(knapweedpulley.KindEndpoints, id, knapweedpulley.RegisteredEndpoint{Address: id + ":1", Zone: zone})
}

func (f *fixture) evacuate(zone string) {
	f.t.Helper()
	f.write(knapweedpulley.KindEvacuations, zone, emptySpec)
	f.waitForEvacuation()
}

func (f *fixture) giveBack(zone string) {
	f.t.Helper()
	f.deleteEvacuation(zone)
	f.waitForEvacuation()
}

func (f *fixture) deleteEvacuation(zone string) {
	f.t.Helper()
	_, err := f.store.Delete(f.t.Context(), knapweedpulley.KindEvacuations, zone, f.revisions[zone])
	is.New(f.t).NoErr(err)
	delete(f.revisions, zone)
}

func (f *fixture) waitForEvacuation() {
	time.Sleep(evacuationLimit)
	synctest.Wait()
}

// withZones runs a subtest with a follower of the evacuated zones and an endpoint in each of two zones.
func withZones(name string, t *testing.T, test func(t *testing.T, f *fixture)) {
	t.Helper()
	runWithFakeTime(name, t, func(t *testing.T, f *fixture) {
		f.evacuations = true
		f.start()
		f.configure(1)
		f.registerIn("i-a", "a")
		f.registerIn("i-b", "b")
		test(t, f)
	})
}

// assertUse asserts which of the endpoints in the zones a and b are in use.
func (f *fixture) assertUse(a, b bool) {
	f.t.Helper()
	f.assertUses("i-a", a)
	f.assertUses("i-b", b)
}

// Guards against endpoints of an evacuated zone that stay in use, or stay out of use once it is given back.
func TestEvacuatedZoneIsNotUsed(t *testing.T) {
	withZones("until it is given back", t, func(_ *testing.T, f *fixture) {
		f.assertUse(true, true)
		f.evacuate("a")
		f.assertUse(false, true)
		time.Sleep(10 * time.Minute)
		f.assertUse(false, true)
		f.giveBack("a")
		f.assertUse(true, true)
	})
	withZones("by endpoints that register later or again", t, func(_ *testing.T, f *fixture) {
		f.evacuate("a")
		f.registerIn("i-late", "a")
		f.assertUses("i-late", false)
		f.put(knapweedpulley.KindEndpoints, "i-a", knapweedpulley.RegisteredEndpoint{Address: "i-a:1", Zone: "a", Start: 2})
		f.assertUse(false, true)
		f.configure(2)
		f.assertUse(false, true)
	})
	withZones("when it is evacuated twice in a row", t, func(_ *testing.T, f *fixture) {
		f.evacuate("a")
		f.write(knapweedpulley.KindEvacuations, "a", emptySpec)
		f.waitForEvacuation()
		f.assertUse(false, true)
		f.deleteEvacuation("a")
		f.write(knapweedpulley.KindEvacuations, "a", emptySpec)
		f.waitForEvacuation()
		f.assertUse(false, true)
		f.giveBack("a")
		f.assertUse(true, true)
	})
	withZones("when all zones are evacuated", t, func(_ *testing.T, f *fixture) {
		f.evacuate("a")
		f.evacuate("b")
		f.assertUse(false, false)
		f.giveBack("a")
		f.assertUse(true, false)
	})
	for _, spec := range []string{"null", "5", `"x"`, deeplyNested, deeplyNested[1:], "\xff", ""} {
		withZones("whatever its spec is", t, func(t *testing.T, f *fixture) {
			f.write(knapweedpulley.KindEvacuations, "a", json.RawMessage(spec))
			f.waitForEvacuation()
			f.assertUse(false, true)
			is.New(t).Equal(len(f.linesWith("spec of an evacuation can't be read")), 1)
		})
	}
	withZones("and an empty spec is readable", t, func(t *testing.T, f *fixture) {
		f.evacuate("a")
		is.New(t).Equal(len(f.linesWith("spec of an evacuation can't be read")), 0)
	})
}

// Guards against an evacuation that is forgotten because its zone had no endpoint at the time.
func TestEvacuationOfZoneWithoutEndpoints(t *testing.T) {
	withZones("is logged, and holds for endpoints that register there", t, func(t *testing.T, f *fixture) {
		f.evacuate("nowhere")
		f.assertUse(true, true)
		is.New(t).Equal(len(f.linesWith("evacuated availability zone contains no endpoint")), 1)
		f.registerIn("i-late", "nowhere")
		f.assertUses("i-late", false)
		f.giveBack("nowhere")
		f.assertUses("i-late", true)
	})
}

// Guards against zones that come back into use while the store is down, or are never given back after it.
func TestEvacuationInStoreOutage(t *testing.T) {
	withZones("stays in force, and ends after it", t, func(_ *testing.T, f *fixture) {
		f.evacuate("a")
		f.store.SetDown(true)
		time.Sleep(10 * time.Minute)
		f.assertUse(false, true)
		f.store.SetDown(false)
		f.waitForEvacuation()
		f.assertUse(false, true)
		f.giveBack("a")
		f.assertUse(true, true)
	})
	withZones("that loses the history of changes", t, func(_ *testing.T, f *fixture) {
		f.evacuate("a")
		f.store.SetDown(true)
		time.Sleep(time.Minute)
		f.store.SetDown(false)
		f.deleteEvacuation("a")
		f.write(knapweedpulley.KindEvacuations, "b", emptySpec)
		f.store.Compact()
		f.waitForEvacuation()
		f.assertUse(true, false)
	})
}

// partialStore is a store that answers no lists of the evacuations until they are released.
type partialStore struct {
	*storefake.Store
	released atomic.Bool
}

// List implements knapweedpulley.ObjectStore.
func (s *partialStore) List(ctx context.Context, kind knapweedpulley.Kind) (knapweedpulley.Listing, error) {
	if kind == knapweedpulley.KindEvacuations && !s.released.Load() {
		return knapweedpulley.Listing{}, storefake.ErrDown
	}
	return s.Store.List(ctx, kind)
}

// Guards against a gateway that sends to an evacuated zone because it has just started.
func TestGatewayThatStartsWaitsForTheEvacuations(t *testing.T) {
	runWithFakeTime("before it is usable", t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		f.write(knapweedpulley.KindInstallation, knapweedpulley.MainInstallation, knapweedpulley.Installation{Version: 1})
		f.write(knapweedpulley.KindEndpoints, "i-a", knapweedpulley.RegisteredEndpoint{Address: "i-a:1", Zone: "a"})
		f.write(knapweedpulley.KindEvacuations, "a", emptySpec)
		s := &partialStore{Store: f.store}
		follower, cleanup := installation.NewFollower(installation.Options{
			Objects: s, Decoder: installationfake.InstallationDecoder{}, Clock: fake.Clock{}, Evacuations: true,
			Log:             logbook.New(io.Discard, log.InfoLevel, "test", "test"),
			OnConfiguration: func(*installation.Snapshot) {}, OnEndpoints: f.apply,
		})
		defer cleanup()
		time.Sleep(time.Minute)
		_, known := follower.Current()
		is.True(!known)
		is.True(!follower.Usable())
		s.released.Store(true)
		for !follower.Usable() {
			time.Sleep(time.Millisecond)
		}
		f.assertUses("i-a", false)
	})
}

// Guards against calls to the store that a deployment without evacuations would pay for.
func TestEvacuationsAreNotFollowedUnlessAskedFor(t *testing.T) {
	calls := func(t *testing.T, f *fixture) int {
		t.Helper()
		f.start()
		f.configure(1)
		time.Sleep(time.Minute)
		return f.store.Calls(storefake.CallList) + f.store.Calls(storefake.CallWatch)
	}
	runWithFakeTime("and cost no call to the store", t, func(t *testing.T, f *fixture) {
		without := calls(t, f)
		f.write(knapweedpulley.KindEvacuations, "a", emptySpec)
		f.registerIn("i-a", "a")
		f.waitForEvacuation()
		f.assertUses("i-a", true)
		followed := newFixture(t)
		followed.evacuations = true
		is.New(t).True(calls(t, followed) > without)
	})
}

// withEvacuations is like withGateways, with gateways that follow the evacuated zones. The endpoint i-0
// is in zone-0.
func withEvacuations(name string, t *testing.T, zones, perZone int, test func(f *gatewayFleet)) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := &gatewayFleet{fixture: newFixture(t), links: configurationfake.NewLinks()}
			f.evacuations = true
			f.startGateways(zones, perZone)
			test(f)
		})
	})
}

// Guards against gateways that learn of an evacuation late because those fail that they have it from.
func TestEvacuationReachesAllGateways(t *testing.T) {
	withEvacuations("in time, and so does its end", t, 6, 17, func(f *gatewayFleet) {
		f.write(knapweedpulley.KindEvacuations, "zone-0", emptySpec)
		f.assertEverywhere("i-0", false, applyTime, all)
		f.deleteEvacuation("zone-0")
		f.assertEverywhere("i-0", true, applyTime, all)
	})
	withEvacuations("in time though all watchers of the store freeze", t, 3, 8, func(f *gatewayFleet) {
		frozen := knapweedpulley.NewSet[knapweedpulley.EntryID]()
		for _, g := range f.watchers() {
			frozen.Add(g.member.Entry)
			g.store.CutOff(true)
			f.links.Silence(g.member)
		}
		f.write(knapweedpulley.KindEvacuations, "zone-0", emptySpec)
		f.assertEverywhere("i-0", false, evacuationLimit, func(g *gatewayFollower) bool { return !frozen.Has(g.member.Entry) })
	})
	withEvacuations("in time also if the store turns the watchers away", t, 3, 8, func(f *gatewayFleet) {
		for _, g := range f.watchers() {
			g.store.CutOff(true)
		}
		f.write(knapweedpulley.KindEvacuations, "zone-0", emptySpec)
		f.assertEverywhere("i-0", false, evacuationLimit, all)
	})
	withEvacuations("also one that starts in an outage of the store and has it from a peer", t, 2, 3, func(f *gatewayFleet) {
		f.write(knapweedpulley.KindEvacuations, "zone-0", emptySpec)
		f.assertEverywhere("i-0", false, applyTime, all)
		f.store.SetDown(true)
		time.Sleep(10 * time.Second)
		g := &gatewayFollower{member: knapweedpulley.Member{Entry: "new", Zone: "zone-1", Address: "10.1.0.99:7600"}}
		follower, cleanup := installation.NewFollower(installation.Options{
			Self: g.member, Peers: f, Link: f.links, Objects: f.store, Evacuations: true,
			Decoder: installationfake.InstallationDecoder{}, Clock: fake.Clock{},
			Log:             logbook.New(io.Discard, log.InfoLevel, "test", "test"),
			OnConfiguration: func(*installation.Snapshot) {}, OnEndpoints: g.apply,
		})
		defer cleanup()
		for !follower.Usable() {
			time.Sleep(time.Millisecond)
		}
		is := is.New(f.t)
		is.True(!g.uses("i-0"))
		is.Equal(len(follower.View(knapweedpulley.KindEndpoints).Objects), 1)
		f.assertEverywhere("i-0", false, 0, all)
	})
}

// replicatedStore is a store of which some replicas lag behind others.
type replicatedStore struct {
	answering atomic.Pointer[storefake.Store]
}

// Get implements knapweedpulley.ObjectStore.
func (s *replicatedStore) Get(ctx context.Context, kind knapweedpulley.Kind, name string) (knapweedpulley.Object, error) {
	return s.answering.Load().Get(ctx, kind, name)
}

// List implements knapweedpulley.ObjectStore.
func (s *replicatedStore) List(ctx context.Context, kind knapweedpulley.Kind) (knapweedpulley.Listing, error) {
	return s.answering.Load().List(ctx, kind)
}

// Put implements knapweedpulley.ObjectStore.
func (s *replicatedStore) Put(
	ctx context.Context, kind knapweedpulley.Kind, name string, value []byte, expected knapweedpulley.Revision,
) (knapweedpulley.Revision, error) {
	return s.answering.Load().Put(ctx, kind, name, value, expected)
}

// Delete implements knapweedpulley.ObjectStore.
func (s *replicatedStore) Delete(
	ctx context.Context, kind knapweedpulley.Kind, name string, expected knapweedpulley.Revision,
) (knapweedpulley.Revision, error) {
	return s.answering.Load().Delete(ctx, kind, name, expected)
}

// Watch implements knapweedpulley.ObjectStore.
func (s *replicatedStore) Watch(
	ctx context.Context, kind knapweedpulley.Kind, after knapweedpulley.Revision, wait time.Duration,
) ([]knapweedpulley.Change, knapweedpulley.Revision, error) {
	return s.answering.Load().Watch(ctx, kind, after, wait)
}

// Guards against a replica of the store that lags and undoes an evacuation or its end.
func TestEvacuationDoesNotRevertToAnOlderState(t *testing.T) {
	// writeTo returns a replica with n versions of the evacuation of zone a, of which the even ones are
	// its removal.
	writeTo := func(f *fixture, n int) *storefake.Store {
		f.store, f.revisions = storefake.New(), make(map[string]knapweedpulley.Revision)
		f.write(knapweedpulley.KindInstallation, knapweedpulley.MainInstallation, knapweedpulley.Installation{Version: 1})
		f.write(knapweedpulley.KindEndpoints, "i-a", knapweedpulley.RegisteredEndpoint{Address: "i-a:1", Zone: "a"})
		for i := range n {
			if i%2 == 0 {
				f.write(knapweedpulley.KindEvacuations, "a", emptySpec)
			} else {
				f.deleteEvacuation("a")
			}
		}
		return f.store
	}
	for _, c := range []struct {
		name          string
		newest, older int
		used          bool
	}{
		{name: "in which the zone was still evacuated", newest: 2, older: 1, used: true},
		{name: "in which the zone was not evacuated yet", newest: 3, older: 2, used: false},
	} {
		runWithFakeTime(c.name, t, func(_ *testing.T, f *fixture) {
			newest, older := writeTo(f, c.newest), writeTo(f, c.older)
			s := &replicatedStore{}
			s.answering.Store(newest)
			_, cleanup := installation.NewFollower(installation.Options{
				Objects: s, Decoder: installationfake.InstallationDecoder{}, Clock: fake.Clock{}, Evacuations: true,
				Log:             logbook.New(io.Discard, log.InfoLevel, "test", "test"),
				OnConfiguration: func(*installation.Snapshot) {}, OnEndpoints: f.apply,
			})
			defer cleanup()
			f.waitForEvacuation()
			f.assertUses("i-a", c.used)
			s.answering.Store(older)
			// The collection is listed anew after five minutes.
			time.Sleep(10 * time.Minute)
			f.assertUses("i-a", c.used)
		})
	}
}
