package model_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/model"
)

// fakeStore is a store with one collection. It can lose the answers to writes.
type fakeStore struct {
	knapweedpulley.ObjectStore
	revision knapweedpulley.Revision
	objects  map[string]knapweedpulley.Object
	// writeOutcomes lists the outcomes of the next writes, whose answers are lost: the
	// write takes effect (lostAfter), has no effect (lostBefore), or takes effect only at
	// the next call (late).
	writeOutcomes []string
	delayedWrite  func()
	onChange      func(c knapweedpulley.Change)
}

func (s *fakeStore) Get(_ context.Context, _ knapweedpulley.Kind, name string) (knapweedpulley.Object, error) {
	o, ok := s.objects[name]
	if !ok {
		return o, knapweedpulley.ErrObjectNotFound
	}
	return o, nil
}

func (s *fakeStore) Put(
	_ context.Context, _ knapweedpulley.Kind, name string, value []byte, expected knapweedpulley.Revision,
) (knapweedpulley.Revision, error) {
	late := s.delayedWrite
	s.delayedWrite = nil
	if late != nil {
		late()
	}
	if len(s.writeOutcomes) == 0 {
		return s.put(name, value, expected)
	}
	fate := s.writeOutcomes[0]
	s.writeOutcomes = s.writeOutcomes[1:]
	switch fate {
	case "lostAfter":
		_, _ = s.put(name, value, expected)
	case "late":
		s.delayedWrite = func() { _, _ = s.put(name, value, expected) }
	}
	return 0, knapweedpulley.ErrOutcomeUnknown
}

func (s *fakeStore) put(
	name string, value []byte, expected knapweedpulley.Revision,
) (knapweedpulley.Revision, error) {
	if s.objects[name].Revision != expected {
		return 0, knapweedpulley.ErrConflict
	}
	s.revision++
	o := knapweedpulley.Object{Kind: knapweedpulley.KindPermits, Name: name, Revision: s.revision, Value: value}
	s.objects[name] = o
	s.onChange(knapweedpulley.Change{Object: o})
	return s.revision, nil
}

func (s *fakeStore) Delete(
	_ context.Context, _ knapweedpulley.Kind, name string, expected knapweedpulley.Revision,
) (knapweedpulley.Revision, error) {
	if s.objects[name].Revision != expected {
		return 0, knapweedpulley.ErrConflict
	}
	s.revision++
	delete(s.objects, name)
	s.onChange(knapweedpulley.Change{
		Object:  knapweedpulley.Object{Kind: knapweedpulley.KindPermits, Name: name, Revision: s.revision},
		Deleted: true,
	})
	return s.revision, nil
}

// placerFixture is a test cluster with the store and the state that a placer decides on.
type placerFixture struct {
	*testCluster
	store    *fakeStore
	decision knapweedpulley.DesiredModel
	gone     knapweedpulley.Set[knapweedpulley.EndpointID]
}

func (p *placerFixture) DesiredModels() []knapweedpulley.DesiredModel {
	return []knapweedpulley.DesiredModel{p.decision}
}
func (p *placerFixture) Gone(e knapweedpulley.EndpointID) bool { return p.gone.Has(e) }

// placer returns a placer that reads the given view of the permits.
func (p *placerFixture) placer(permits *model.Permits) *model.Placer {
	fleet := p.entries["n1"].fleet
	return model.NewPlacer(model.NewPlanner(fleet, p, permits, p), permits, p.store, p, testClock{})
}

func newPlacerFixture(replicas knapweedpulley.Replicas, agents ...*fakeAgent) (*placerFixture, func()) {
	w, cleanup := newTestCluster(1, agents...)
	p := &placerFixture{
		testCluster: w,
		decision:    knapweedpulley.DesiredModel{Model: "m", Replicas: replicas, Size: 8 * knapweedpulley.GiB},
		gone:        knapweedpulley.NewSet[knapweedpulley.EndpointID](),
	}
	p.store = &fakeStore{objects: make(map[string]knapweedpulley.Object), onChange: func(c knapweedpulley.Change) {
		_ = w.permits.Apply([]knapweedpulley.Change{c})
	}}
	return p, cleanup
}

func (p *placerFixture) stored() knapweedpulley.Permit {
	var permit knapweedpulley.Permit
	_ = json.Unmarshal(p.store.objects["m"].Value, &permit)
	return permit
}

func assertPermit(t *testing.T, p *placerFixture, endpoints, releasing string) {
	t.Helper()
	got := p.stored()
	is := is.New(t)
	is.Equal(fmt.Sprint(got.Endpoints), endpoints)
	is.Equal(fmt.Sprint(got.Releasing), releasing)
}

func withPlacerFixture(t *testing.T, replicas knapweedpulley.Replicas, check func(t *testing.T, p *placerFixture, r *model.Placer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p, cleanup := newPlacerFixture(replicas, newFakeAgent("x", time.Second), newFakeAgent("y", time.Second), newFakeAgent("z", time.Second))
		defer cleanup()
		check(t, p, p.placer(p.permits))
	})
}

func TestPlacer(t *testing.T) {
	step := func(t *testing.T, p *placerFixture, r *model.Placer) {
		t.Helper()
		is.New(t).NoErr(r.Reconcile(t.Context(), p.decision))
	}
	t.Run("a new model gets a permit with the desired replicas", func(t *testing.T) {
		withPlacerFixture(t, 2, func(t *testing.T, p *placerFixture, r *model.Placer) {
			step(t, p, r)
			assertPermit(t, p, "[x y]", "[]")
		})
	})
	t.Run("a draining endpoint is replaced only after its release and the lease time", func(t *testing.T) {
		withPlacerFixture(t, 2, func(t *testing.T, p *placerFixture, r *model.Placer) {
			step(t, p, r)
			p.agents["x"].status.Draining = true
			p.entries["n1"].fleet.Update(p.agents["x"].status)
			step(t, p, r)
			assertPermit(t, p, "[y]", "[x]")
			p.agents["x"].unreachable = true
			step(t, p, r)
			time.Sleep(time.Hour)
			step(t, p, r)
			assertPermit(t, p, "[y]", "[x]")
			p.agents["x"].unreachable = false
			step(t, p, r)
			step(t, p, r)
			assertPermit(t, p, "[y]", "[x]")
			time.Sleep(4 * time.Second)
			step(t, p, r)
			assertPermit(t, p, "[y z]", "[]")
		})
	})
	t.Run("an unreachable endpoint stays in the permit until it is gone", func(t *testing.T) {
		withPlacerFixture(t, 2, func(t *testing.T, p *placerFixture, r *model.Placer) {
			step(t, p, r)
			p.entries["n1"].fleet.Remove("x")
			step(t, p, r)
			assertPermit(t, p, "[x y]", "[]")
			p.gone.Add("x")
			step(t, p, r)
			step(t, p, r)
			assertPermit(t, p, "[y z]", "[]")
		})
	})
	t.Run("fewer replicas release endpoints that don't hold the model first", func(t *testing.T) {
		withPlacerFixture(t, 2, func(t *testing.T, p *placerFixture, r *model.Placer) {
			step(t, p, r)
			is.New(t).NoErr(p.agents["y"].Order(t.Context(), knapweedpulley.Order{Model: "m"}))
			p.decision.Replicas = 1
			step(t, p, r)
			assertPermit(t, p, "[y]", "[x]")
		})
	})
	t.Run("the permit of a model that is no longer desired is deleted", func(t *testing.T) {
		withPlacerFixture(t, 1, func(t *testing.T, p *placerFixture, r *model.Placer) {
			step(t, p, r)
			p.decision.Replicas = 0
			for range 4 {
				step(t, p, r)
				time.Sleep(4 * time.Second)
			}
			is.New(t).Equal(len(p.store.objects), 0)
		})
	})
	for _, fates := range [][]string{{"lostAfter"}, {"lostBefore"}, {"late"}, {"late", "lostAfter"}, {"late", "late"}} {
		t.Run(fmt.Sprint("a permit is written despite lost answers of the store: ", fates), func(t *testing.T) {
			withPlacerFixture(t, 2, func(t *testing.T, p *placerFixture, r *model.Placer) {
				p.store.writeOutcomes = fates
				step(t, p, r)
				assertPermit(t, p, "[x y]", "[]")
			})
		})
	}
}

// TestConcurrentPlacers runs all sequences of up to maxInterleavingLength events of two
// placers, one of which has an old view of the permits, with an endpoint that drains and
// one that is gone.
func TestConcurrentPlacers(t *testing.T) {
	states := 0
	var explore func(t *testing.T, path []int)
	explore = func(t *testing.T, path []int) {
		synctest.Test(t, func(t *testing.T) {
			p, cleanup := newPlacerFixture(2, newFakeAgent("x", time.Second), newFakeAgent("y", time.Second), newFakeAgent("z", time.Second))
			defer cleanup()
			runInterleaving(t, p, path)
		})
		states++
		if len(path) == maxInterleavingLength {
			return
		}
		for event := range eventCount {
			explore(t, append(slices.Clone(path), event))
		}
	}
	explore(t, nil)
	t.Logf("%d paths", states)
}

const (
	maxInterleavingLength = 5
	eventCount            = 6
)

// runInterleaving takes the steps of a path and checks after each that no more replicas can be
// loaded than desired.
func runInterleaving(t *testing.T, p *placerFixture, path []int) {
	t.Helper()
	stale := model.NewPermits()
	one, two := p.placer(p.permits), p.placer(stale)
	is.New(t).NoErr(one.Reconcile(t.Context(), p.decision))
	for _, event := range path {
		switch event {
		case 0:
			_ = one.Reconcile(t.Context(), p.decision)
		case 1:
			_ = two.Reconcile(t.Context(), p.decision)
		case 2:
			o := p.store.objects["m"]
			_ = stale.Apply([]knapweedpulley.Change{{Object: o}})
		case 3:
			p.agents["x"].status.Draining = true
			p.entries["n1"].fleet.Update(p.agents["x"].status)
		case 4:
			p.gone.Add("y")
			p.entries["n1"].fleet.Remove("y")
		case 5:
			time.Sleep(4 * time.Second)
		}
		assertWithinDesired(t, p)
	}
}

// assertWithinDesired checks that no more endpoints may hold the model than desired, apart from
// those that are gone.
func assertWithinDesired(t *testing.T, p *placerFixture) {
	t.Helper()
	permit := p.stored()
	living := 0
	for _, id := range slices.Concat(permit.Endpoints, permit.Releasing) {
		if !p.gone.Has(id) {
			living++
		}
	}
	is.New(t).True(living <= int(p.decision.Replicas))
}
