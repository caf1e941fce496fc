package installation_test

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	configurationfake "github.com/knapweedpulley/knapweedpulley/configuration/fake"
	"github.com/knapweedpulley/knapweedpulley/installation"
	installationfake "github.com/knapweedpulley/knapweedpulley/installation/fake"
	"github.com/knapweedpulley/knapweedpulley/logbook"
	"github.com/knapweedpulley/knapweedpulley/machine/fake"
	storefake "github.com/knapweedpulley/knapweedpulley/store/fake"
)

const (
	// callsPerSecond is the number of calls per second that each gateway makes which watches the
	// store: two for the endpoints and one for the configuration.
	callsPerSecond = 3
	// watchersPerZone is the number of these gateways in each zone.
	watchersPerZone = 2
	// applyTime is the shortest time within which our users want a change in force everywhere in
	// a fleet of several gateways per zone.
	applyTime = 3 * time.Second
	// storeTimeout bounds a call to the store, as in deploy/gateway.json.tmpl.
	storeTimeout = 700 * time.Millisecond
	// stretchTime is the time by which our users let a configuration be later at a gateway that the
	// store turns away. A leaving endpoint is bound only by what a stable store has confirmed.
	stretchTime = 5 * time.Second
)

// gatewayFollower is the follower of one gateway with the endpoints that it uses.
type gatewayFollower struct {
	*installation.Follower
	member knapweedpulley.Member
	store  *storefake.Access

	mu        sync.Mutex
	endpoints knapweedpulley.Set[knapweedpulley.EndpointID]
}

func (g *gatewayFollower) apply(list []knapweedpulley.RegisteredEndpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endpoints = make(knapweedpulley.Set[knapweedpulley.EndpointID])
	for _, e := range list {
		if !e.Draining && !e.Evacuated {
			g.endpoints.Add(e.ID)
		}
	}
}

func (g *gatewayFollower) uses(id knapweedpulley.EndpointID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.endpoints.Has(id)
}

// gatewayFleet is a set of gateways that all know each other.
type gatewayFleet struct {
	*fixture
	members  []knapweedpulley.Member
	links    *configurationfake.Links
	gateways []*gatewayFollower
}

func newGatewayFleet(t *testing.T) *gatewayFleet {
	t.Helper()
	return &gatewayFleet{fixture: newFixture(t), links: configurationfake.NewLinks()}
}

// Peers implements knapweedpulley.PeerList.
func (f *gatewayFleet) Peers() []knapweedpulley.Member {
	return f.members
}

// startGateways starts the given number of gateways in each zone and waits until they follow the
// installation.
func (f *gatewayFleet) startGateways(zones, perZone int) {
	for z := range zones {
		for n := range perZone {
			f.members = append(f.members, knapweedpulley.Member{
				Entry:   knapweedpulley.EntryID(fmt.Sprintf("front-%d-%d", z, n)),
				Zone:    knapweedpulley.ZoneID(fmt.Sprintf("zone-%d", z)),
				Address: fmt.Sprintf("10.%d.0.%d:7600", z, n),
			})
		}
	}
	f.write(knapweedpulley.KindInstallation, knapweedpulley.MainInstallation, knapweedpulley.Installation{Version: 1})
	f.write(knapweedpulley.KindEndpoints, "i-0", knapweedpulley.RegisteredEndpoint{Address: "10.0.0.1:1", Zone: "zone-0"})
	for n, m := range f.members {
		if n%7 == 6 {
			// All machines start within 0.3 s of each other.
			time.Sleep(10 * time.Millisecond)
		}
		g := &gatewayFollower{member: m, store: storefake.NewAccess(f.store, storeTimeout)}
		follower, cleanup := installation.NewFollower(installation.Options{
			Self: m, Peers: f, Link: f.links, Objects: g.store,
			Decoder: installationfake.InstallationDecoder{}, Clock: fake.Clock{},
			Log: logbook.New(io.Discard, log.InfoLevel, "test", "test"), Evacuations: f.evacuations,
			OnConfiguration: func(*installation.Snapshot) {}, OnEndpoints: g.apply,
		})
		f.t.Cleanup(cleanup)
		g.Follower = follower
		f.links.Add(m, follower)
		f.gateways = append(f.gateways, g)
	}
	time.Sleep(10 * time.Second)
}

func (f *gatewayFleet) calls() int {
	return f.store.Calls(storefake.CallList) + f.store.Calls(storefake.CallWatch)
}

// rank returns the rank of a gateway in the order in which those of its zone watch the store.
func (f *gatewayFleet) rank(m knapweedpulley.Member) int {
	rank := 0
	for _, o := range f.members {
		if o.Zone == m.Zone && xxhash.Sum64String(o.Address) > xxhash.Sum64String(m.Address) {
			rank++
		}
	}
	return rank
}

// watchers returns the gateways that watch the store.
func (f *gatewayFleet) watchers() []*gatewayFollower {
	var list []*gatewayFollower
	for _, g := range f.gateways {
		if g.Watching() {
			list = append(list, g)
		}
	}
	return list
}

// assertEverywhere requires that the gateways for which counts returns true come to use an
// endpoint, or cease to, within a time.
func (f *gatewayFleet) assertEverywhere(
	id knapweedpulley.EndpointID, used bool, within time.Duration, counts func(*gatewayFollower) bool,
) {
	f.t.Helper()
	start := time.Now()
	for _, g := range f.gateways {
		for counts(g) && g.uses(id) != used {
			if time.Since(start) > within {
				f.t.Fatalf("%s: use of %s is not %t after %s", g.member.Entry, id, used, within)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

func all(*gatewayFollower) bool { return true }

func withGateways(name string, t *testing.T, zones, perZone int, test func(f *gatewayFleet)) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newGatewayFleet(t)
			f.startGateways(zones, perZone)
			test(f)
		})
	})
}

func TestGatewayFleet(t *testing.T) {
	for _, perZone := range []int{2, 5, 17, 48} {
		withGateways(fmt.Sprintf("calls to the store don't grow with the gateways: %d per zone", perZone), t, 6, perZone,
			func(f *gatewayFleet) {
				is := is.New(f.t)
				before := f.calls()
				for n := range 20 {
					f.write(knapweedpulley.KindEndpoints, "i-0", knapweedpulley.RegisteredEndpoint{Address: "10.0.0.1:1", Slots: n})
					time.Sleep(500 * time.Millisecond)
				}
				is.True(f.calls()-before <= 6*watchersPerZone*callsPerSecond*11)
			})
	}
	withGateways("a change is in force at all gateways in time", t, 6, 17, func(f *gatewayFleet) {
		f.write(knapweedpulley.KindEndpoints, "i-1", knapweedpulley.RegisteredEndpoint{Address: "10.0.0.1:1"})
		f.assertEverywhere("i-1", true, time.Second, all)
	})
	withGateways("an odd registration keeps no gateway from following the others", t, 3, 8, func(f *gatewayFleet) {
		for n, odd := range []string{
			deeplyNested, deeplyNested[1:], "\x00\xff", "", strings.Repeat("\xff", 1000), strings.Repeat("\xff", 1001),
			`{"Slots":1e400}`, `{"Slots":"` + strings.Repeat("x", 2<<20) + `"}`,
		} {
			f.write(knapweedpulley.KindEndpoints, "odd", json.RawMessage(odd))
			id := fmt.Sprintf("i-%d", n+1)
			f.write(knapweedpulley.KindEndpoints, id, knapweedpulley.RegisteredEndpoint{Address: "10.0.0.1:1"})
			f.assertEverywhere(knapweedpulley.EndpointID(id), true, time.Second, all)
		}
		for _, g := range f.gateways {
			is.New(f.t).True(!g.uses("odd"))
		}
	})
	withGateways("an endpoint that leaves is out of use in time though all watchers of the store freeze", t, 3, 8,
		func(f *gatewayFleet) {
			frozen := knapweedpulley.NewSet[knapweedpulley.EntryID]()
			for _, g := range f.watchers() {
				frozen.Add(g.member.Entry)
				g.store.CutOff(true)
				f.links.Silence(g.member)
			}
			is.New(f.t).Equal(len(frozen), 3*watchersPerZone)
			f.write(knapweedpulley.KindEndpoints, "i-0", "draining")
			f.assertEverywhere("i-0", false, applyTime, func(g *gatewayFollower) bool { return !frozen.Has(g.member.Entry) })
		})
	withGateways("an endpoint that leaves is out of use in time at gateways that the store turns away", t, 3, 8,
		func(f *gatewayFleet) {
			for _, g := range f.watchers() {
				g.store.CutOff(true)
			}
			time.Sleep(1200 * time.Millisecond)
			_, err := f.store.Delete(f.t.Context(), knapweedpulley.KindEndpoints, "i-0", f.revisions["i-0"])
			is.New(f.t).NoErr(err)
			f.assertEverywhere("i-0", false, applyTime, func(g *gatewayFollower) bool { return !g.store.IsCutOff() })
			f.assertEverywhere("i-0", false, stretchTime, all)
		})
	withGateways("a change is in force in time at the gateways that the store serves while it turns most away", t, 3, 17,
		func(f *gatewayFleet) {
			turnedAway := knapweedpulley.NewSet[knapweedpulley.EntryID]()
			for _, g := range f.gateways {
				if f.rank(g.member) < 8 {
					turnedAway.Add(g.member.Entry)
					g.store.CutOff(true)
				}
			}
			// The watches that the store has accepted end.
			time.Sleep(1200 * time.Millisecond)
			f.write(knapweedpulley.KindEndpoints, "i-0", "draining")
			f.assertEverywhere("i-0", false, applyTime, func(g *gatewayFollower) bool { return !turnedAway.Has(g.member.Entry) })
		})
	withGateways("all gateways keep endpoints whose registrations lapse in an outage", t, 2, 6, func(f *gatewayFleet) {
		f.store.SetDown(true)
		time.Sleep(6 * time.Second)
		f.store.SetDown(false)
		_, err := f.store.Delete(f.t.Context(), knapweedpulley.KindEndpoints, "i-0", f.revisions["i-0"])
		is.New(f.t).NoErr(err)
		time.Sleep(time.Second)
		f.assertEverywhere("i-0", true, 0, all)
		time.Sleep(4 * time.Second)
		f.assertEverywhere("i-0", false, 0, all)
	})
}

func TestClose(t *testing.T) {
	withGateways("a gateway that stops ends the feeds of its subscribers at once", t, 1, 4, func(f *gatewayFleet) {
		is := is.New(f.t)
		m := f.members[0]
		follower, cleanup := installation.NewFollower(installation.Options{
			Self: m, Peers: f, Link: f.links, Objects: f.store,
			Decoder: installationfake.InstallationDecoder{}, Clock: fake.Clock{},
			Log:             logbook.New(io.Discard, log.InfoLevel, "test", "test"),
			OnConfiguration: func(*installation.Snapshot) {}, OnEndpoints: func([]knapweedpulley.RegisteredEndpoint) {},
		})
		f.links.Add(m, follower)
		stream, err := f.links.Subscribe(f.t.Context(), m)
		is.NoErr(err)
		is.NoErr(stream.Send(knapweedpulley.ConfigurationPing{}))
		_, err = stream.Receive()
		is.NoErr(err)
		cleanup()
		start := time.Now()
		for err == nil {
			_, err = stream.Receive()
		}
		is.True(time.Since(start) < 100*time.Millisecond)
	})
}

func TestStart(t *testing.T) {
	withGateways("a gateway that starts doesn't use the content of a peer that lags behind the store", t, 1, 3, func(f *gatewayFleet) {
		is := is.New(f.t)
		stale := f.gateways[0]
		for _, g := range f.gateways {
			g.store.CutOff(true)
			if g != stale {
				f.links.Silence(g.member)
			}
		}
		time.Sleep(5 * time.Second)
		f.write(knapweedpulley.KindInstallation, knapweedpulley.MainInstallation, knapweedpulley.Installation{Version: 2})
		store := storefake.NewAccess(f.store, storeTimeout)
		store.CutOff(true)
		follower, cleanup := installation.NewFollower(installation.Options{
			Self:  knapweedpulley.Member{Entry: "new", Zone: stale.member.Zone, Address: "10.0.0.99:7600"},
			Peers: f, Link: f.links, Objects: store,
			Decoder: installationfake.InstallationDecoder{}, Clock: fake.Clock{},
			Log:             logbook.New(io.Discard, log.InfoLevel, "test", "test"),
			OnConfiguration: func(*installation.Snapshot) {}, OnEndpoints: func([]knapweedpulley.RegisteredEndpoint) {},
		})
		defer cleanup()
		time.Sleep(800 * time.Millisecond)
		_, known := follower.Current()
		is.True(!known)
		is.True(!follower.Usable())
		store.CutOff(false)
		time.Sleep(2 * time.Second)
		s, known := follower.Current()
		is.True(known)
		is.Equal(s.Version, knapweedpulley.Version(2))
	})
}
