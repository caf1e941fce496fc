package installation_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/installation"
	installationfake "github.com/knapweedpulley/knapweedpulley/installation/fake"
	"github.com/knapweedpulley/knapweedpulley/logbook"
	"github.com/knapweedpulley/knapweedpulley/machine/fake"
	storefake "github.com/knapweedpulley/knapweedpulley/store/fake"
)

// deeplyNested is nested more deeply than encoding/json decodes.
var deeplyNested = strings.Repeat("[", 10_001) + strings.Repeat("]", 10_001)

// fixture is a follower with a fake store. It records the endpoints that the
// follower passes on.
type fixture struct {
	t         *testing.T
	store     *storefake.Store
	follower  *installation.Follower
	revisions map[string]knapweedpulley.Revision
	// evacuations makes the follower follow the evacuated zones.
	evacuations bool

	mu        sync.Mutex
	endpoints knapweedpulley.Set[knapweedpulley.EndpointID]
	arrivals  map[knapweedpulley.EndpointID]knapweedpulley.Instant
	updates   int
	logged    bytes.Buffer
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, store: storefake.New(), revisions: make(map[string]knapweedpulley.Revision)}
	return f
}

func (f *fixture) start() {
	follower, cleanup := installation.NewFollower(installation.Options{
		Objects: f.store, Decoder: installationfake.InstallationDecoder{}, Clock: fake.Clock{},
		Log: logbook.New(f, log.InfoLevel, "test", "test"), Evacuations: f.evacuations,
		OnConfiguration: func(*installation.Snapshot) {}, OnEndpoints: f.apply,
	})
	f.follower = follower
	f.t.Cleanup(cleanup)
	synctest.Wait()
}

// Write implements io.Writer for the log.
func (f *fixture) Write(line []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.logged.Write(line)
}

// linesWith returns the logged lines that contain a text.
func (f *fixture) linesWith(text string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var lines []string
	for line := range strings.Lines(f.logged.String()) {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}

func (f *fixture) apply(list []knapweedpulley.RegisteredEndpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.updates++
	f.endpoints = make(knapweedpulley.Set[knapweedpulley.EndpointID])
	f.arrivals = make(map[knapweedpulley.EndpointID]knapweedpulley.Instant)
	for _, e := range list {
		f.arrivals[e.ID] = e.Arrived
		if !e.Draining && !e.Evacuated {
			f.endpoints.Add(e.ID)
		}
	}
}

func (f *fixture) put(kind knapweedpulley.Kind, name string, value any) {
	f.t.Helper()
	f.write(kind, name, value)
	f.waitForChanges()
}

func (f *fixture) write(kind knapweedpulley.Kind, name string, value any) {
	f.t.Helper()
	data, raw := value.(json.RawMessage)
	if !raw {
		var err error
		data, err = json.Marshal(value)
		is.New(f.t).NoErr(err)
	}
	r, err := f.store.Put(f.t.Context(), kind, name, data, f.revisions[name])
	is.New(f.t).NoErr(err)
	f.revisions[name] = r
}

// updateCount returns how often the follower passed on the endpoints.
func (f *fixture) updateCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.updates
}

// waitForChanges waits 1 s for the follower to apply a change: half of the time
// after which a draining endpoint must get no more work.
func (f *fixture) waitForChanges() {
	time.Sleep(time.Second)
	synctest.Wait()
}

func (f *fixture) remove(name string) {
	f.t.Helper()
	_, err := f.store.Delete(f.t.Context(), knapweedpulley.KindEndpoints, name, f.revisions[name])
	is.New(f.t).NoErr(err)
	delete(f.revisions, name)
	f.waitForChanges()
}

func (f *fixture) configure(version knapweedpulley.Version) {
	f.t.Helper()
	f.put(knapweedpulley.KindInstallation, knapweedpulley.MainInstallation,
		knapweedpulley.Installation{Version: version})
}

func (f *fixture) register(id string) {
	f.t.Helper()
	f.put(knapweedpulley.KindEndpoints, id, knapweedpulley.RegisteredEndpoint{Address: "10.0.0.1:1"})
}

func (f *fixture) assertVersion(want knapweedpulley.Version) {
	f.t.Helper()
	is := is.New(f.t)
	s, known := f.follower.Current()
	is.Equal(known, want != 0)
	if known {
		is.Equal(s.Version, want)
	}
}

func (f *fixture) assertUses(id knapweedpulley.EndpointID, want bool) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	is.New(f.t).Equal(f.endpoints.Has(id), want)
}

func runWithFakeTime(name string, t *testing.T, test func(t *testing.T, f *fixture)) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { test(t, newFixture(t)) })
	})
}

func TestConfiguration(t *testing.T) {
	runWithFakeTime("a follower is not ready before the first configuration", t, func(t *testing.T, f *fixture) {
		f.start()
		f.assertVersion(0)
		is.New(t).True(!f.follower.Usable())
		f.configure(3)
		f.assertVersion(3)
		is.New(t).True(f.follower.Usable())
	})
	runWithFakeTime("an older version is ignored", t, func(_ *testing.T, f *fixture) {
		f.start()
		f.configure(7)
		f.configure(5)
		f.assertVersion(7)
	})
	runWithFakeTime("an invalid configuration leaves the last one in force", t, func(_ *testing.T, f *fixture) {
		f.start()
		f.configure(7)
		f.put(knapweedpulley.KindInstallation, knapweedpulley.MainInstallation, "nonsense")
		f.assertVersion(7)
	})
	runWithFakeTime("of several versions in one watch, the newest valid one comes into force", t, func(_ *testing.T, f *fixture) {
		f.start()
		f.configure(2)
		f.store.SetDown(true)
		f.waitForChanges()
		f.store.SetDown(false)
		for _, v := range []any{knapweedpulley.Installation{Version: 3}, knapweedpulley.Installation{Version: 4}, "none"} {
			f.write(knapweedpulley.KindInstallation, knapweedpulley.MainInstallation, v)
		}
		f.waitForChanges()
		f.assertVersion(4)
	})
	runWithFakeTime("the last configuration stays in force during a store outage", t, func(_ *testing.T, f *fixture) {
		f.start()
		f.configure(7)
		f.store.SetDown(true)
		time.Sleep(time.Minute)
		f.assertVersion(7)
		f.store.SetDown(false)
		time.Sleep(time.Second)
		f.configure(8)
		f.assertVersion(8)
	})
	runWithFakeTime("changes that were compacted are not missed", t, func(_ *testing.T, f *fixture) {
		f.start()
		f.configure(7)
		f.store.SetDown(true)
		time.Sleep(time.Second)
		f.store.SetDown(false)
		f.configure(8)
		f.store.Compact()
		time.Sleep(4 * time.Second)
		f.assertVersion(8)
	})
}

func TestEndpoints(t *testing.T) {
	runWithFakeTime("an invalid registration removes only its own endpoint", t, func(_ *testing.T, f *fixture) {
		f.start()
		f.register("good")
		f.register("spoiled")
		f.put(knapweedpulley.KindEndpoints, "spoiled", "nonsense")
		f.assertUses("good", true)
		f.assertUses("spoiled", false)
	})
	runWithFakeTime("a registration keeps its arrival until it is written again", t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		f.start()
		f.register("a")
		first := f.arrivals["a"]
		is.True(first != 0)
		f.register("b")
		is.Equal(f.arrivals["a"], first)
		f.register("a")
		is.True(f.arrivals["a"] > first)
	})
	runWithFakeTime("changes in quick succession are applied together", t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		f.start()
		f.register("i-0")
		before := f.updateCount()
		for _, id := range []string{"i-1", "i-2", "i-3", "i-4", "i-5"} {
			f.write(knapweedpulley.KindEndpoints, id, knapweedpulley.RegisteredEndpoint{Address: "10.0.0.1:1"})
		}
		f.waitForChanges()
		f.assertUses("i-5", true)
		is.True(f.updateCount()-before <= 2) // The first change may be applied on its own.
	})
	runWithFakeTime("a draining endpoint is not used", t, func(_ *testing.T, f *fixture) {
		f.start()
		f.register("a")
		f.put(knapweedpulley.KindEndpoints, "a", knapweedpulley.RegisteredEndpoint{Address: "10.0.0.1:1", Draining: true})
		f.assertUses("a", false)
	})
	runWithFakeTime("an endpoint whose registration vanishes is removed at once", t, func(_ *testing.T, f *fixture) {
		f.start()
		f.register("a")
		f.remove("a")
		f.assertUses("a", false)
	})
	runWithFakeTime("an endpoint whose registration vanishes after a time without changes is removed at once", t, func(_ *testing.T, f *fixture) {
		f.start()
		f.register("a")
		time.Sleep(time.Minute)
		f.remove("a")
		f.assertUses("a", false)
	})
	runWithFakeTime("endpoints whose registrations lapse in an outage are kept for the grace period after it", t,
		func(_ *testing.T, f *fixture) {
			f.start()
			f.register("lapsed")
			f.register("back")
			f.store.SetDown(true)
			time.Sleep(5 * time.Second)
			f.assertUses("lapsed", true)
			f.store.SetDown(false)
			f.remove("lapsed")
			f.assertUses("lapsed", true)
			f.remove("back")
			f.assertUses("back", true)
			f.register("back")
			time.Sleep(2500 * time.Millisecond)
			f.assertUses("lapsed", false)
			f.assertUses("back", true)
		})
}

func (f *fixture) assertInvalidLogged(times int) {
	f.t.Helper()
	is := is.New(f.t)
	lines := f.linesWith("invalid endpoint registration")
	is.Equal(len(lines), times)
	for _, l := range lines {
		is.True(len(l) < 1000)
	}
}

func TestOddRegistrationIsLoggedOnce(t *testing.T) {
	runWithFakeTime("a registration that is written again and again", t, func(_ *testing.T, f *fixture) {
		f.start()
		for n := range 5 {
			f.put(knapweedpulley.KindEndpoints, "odd", n)
		}
		f.assertInvalidLogged(1)
		f.register("odd")
		f.put(knapweedpulley.KindEndpoints, "odd", "nonsense")
		f.assertInvalidLogged(2)
		f.remove("odd")
		f.put(knapweedpulley.KindEndpoints, "odd", "nonsense")
		f.assertInvalidLogged(3)
	})
	runWithFakeTime("a registration with a long number", t, func(_ *testing.T, f *fixture) {
		f.start()
		f.put(knapweedpulley.KindEndpoints, "odd", json.RawMessage(`{"Slots":`+strings.Repeat("9", 1<<20)+`}`))
		f.assertInvalidLogged(1)
	})
}

func TestOddRegistrationIsRemovedAlone(t *testing.T) {
	runWithFakeTime("a registration that turns odd and vanishes", t, func(_ *testing.T, f *fixture) {
		f.start()
		f.register("good")
		f.register("odd")
		f.put(knapweedpulley.KindEndpoints, "odd", json.RawMessage(deeplyNested))
		f.assertUses("odd", false)
		f.remove("odd")
		f.assertUses("good", true)
		f.register("odd")
		f.assertUses("odd", true)
	})
	runWithFakeTime("a registration that is odd when the store returns", t, func(_ *testing.T, f *fixture) {
		f.start()
		f.register("good")
		f.register("odd")
		f.store.SetDown(true)
		time.Sleep(5 * time.Second)
		f.store.SetDown(false)
		f.put(knapweedpulley.KindEndpoints, "odd", json.RawMessage(`5`))
		f.assertUses("odd", false)
		f.assertUses("good", true)
	})
}

func TestRegistrationOfUnknownServiceHidesNoEndpoint(t *testing.T) {
	sound := knapweedpulley.RegisteredEndpoint{Service: "llm", Address: "10.0.0.1:1", Start: 1}
	later := knapweedpulley.RegisteredEndpoint{Service: "novel", Address: "10.0.0.1:1", Start: 2}
	configuration := knapweedpulley.Installation{
		Version: 1, Services: map[knapweedpulley.ServiceID]knapweedpulley.Service{"llm": {ID: "llm"}},
	}
	runWithFakeTime("an endpoint of an unknown service at the address of another is not used", t, func(_ *testing.T, f *fixture) {
		f.start()
		f.put(knapweedpulley.KindEndpoints, "sound", sound)
		f.put(knapweedpulley.KindEndpoints, "later", later)
		f.put(knapweedpulley.KindInstallation, knapweedpulley.MainInstallation, configuration)
		f.assertUses("sound", true)
		f.assertUses("later", false)
	})
	runWithFakeTime("it is used once the configuration has its service", t, func(_ *testing.T, f *fixture) {
		f.start()
		f.put(knapweedpulley.KindInstallation, knapweedpulley.MainInstallation, configuration)
		f.put(knapweedpulley.KindEndpoints, "sound", sound)
		f.put(knapweedpulley.KindEndpoints, "later", later)
		f.assertUses("later", false)
		next := configuration
		next.Version = 2
		next.Services = map[knapweedpulley.ServiceID]knapweedpulley.Service{"llm": {ID: "llm"}, "novel": {ID: "novel"}}
		f.put(knapweedpulley.KindInstallation, knapweedpulley.MainInstallation, next)
		f.assertUses("later", true)
		f.assertUses("sound", true) // The fleet decides which of them is used.
	})
}

func assertCode(t *testing.T, err error, want knapweedpulley.Code) {
	t.Helper()
	is := is.New(t)
	is.Equal(knapweedpulley.RefusalOf(err, "none").Code, want)
	is.Equal(knapweedpulley.VerdictOf(err), knapweedpulley.NotRun)
}

func TestAdmit(t *testing.T) {
	key := knapweedpulley.HashKey("secret")
	s := installation.NewSnapshot(knapweedpulley.Installation{
		Version: 4,
		Routes: []knapweedpulley.Route{
			{ID: "keyed", Host: "h", Prefix: "/keyed/", Priority: 2, Shares: []knapweedpulley.ServiceShare{{Service: "s", Weight: 1}}},
			{ID: "open", Host: "h", Prefix: "/open/", Public: true, Shares: []knapweedpulley.ServiceShare{{Service: "s", Weight: 1}}},
		},
		Services: map[knapweedpulley.ServiceID]knapweedpulley.Service{"s": {ID: "s"}},
		Accounts: []knapweedpulley.Account{{
			Contract: knapweedpulley.Contract{Customer: "firm"}, Keys: []knapweedpulley.KeyHash{key},
			Priority: knapweedpulley.Some(1),
		}},
	})
	t.Run("a key identifies its customer, whose priority overrides that of the route", func(t *testing.T) {
		is := is.New(t)
		a, err := s.Admit(&knapweedpulley.Call{Host: "h", Path: "/keyed/x", Key: knapweedpulley.Some(key)})
		is.NoErr(err)
		is.Equal(a.Customer().Or(""), knapweedpulley.CustomerID("firm"))
		is.Equal(a.Priority, 1)
	})
	t.Run("calls with an unknown key or without one are refused", func(t *testing.T) {
		_, err := s.Admit(&knapweedpulley.Call{Host: "h", Path: "/keyed/x"})
		assertCode(t, err, knapweedpulley.CodeInvalidKey)
		_, err = s.Admit(&knapweedpulley.Call{
			Host: "h", Path: "/keyed/x", Key: knapweedpulley.Some(knapweedpulley.HashKey("other")),
		})
		assertCode(t, err, knapweedpulley.CodeInvalidKey)
	})
	t.Run("a public route needs no key and yields no customer", func(t *testing.T) {
		is := is.New(t)
		a, err := s.Admit(&knapweedpulley.Call{Host: "h", Path: "/open/x", Key: knapweedpulley.Some(key)})
		is.NoErr(err)
		is.Equal(a.Customer().Or(""), knapweedpulley.CustomerID(""))
	})
	t.Run("a call that matches no route is not found", func(t *testing.T) {
		_, err := s.Admit(&knapweedpulley.Call{Host: "h", Path: "/else"})
		assertCode(t, err, knapweedpulley.CodeRouteNotFound)
	})
}
