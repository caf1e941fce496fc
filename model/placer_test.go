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

// fakeStore keeps one collection and can lose answers.
type fakeStore struct {
	knapweedpulley.ObjectStore
	revision knapweedpulley.Revision
	objects  map[string]knapweedpulley.Object
	// fates is what becomes of the next writes: lost after taking effect, lost
	// before, or taking effect only after the next call.
	fates []string
	late  func()
	sink  func(c knapweedpulley.Change)
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
	late := s.late
	s.late = nil
	if late != nil {
		late()
	}
	if len(s.fates) == 0 {
		return s.put(name, value, expected)
	}
	fate := s.fates[0]
	s.fates = s.fates[1:]
	switch fate {
	case "lostAfter":
		_, _ = s.put(name, value, expected)
	case "late":
		s.late = func() { _, _ = s.put(name, value, expected) }
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
	s.sink(knapweedpulley.Change{Object: o})
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
	s.sink(knapweedpulley.Change{
		Object:  knapweedpulley.Object{Kind: knapweedpulley.KindPermits, Name: name, Revision: s.revision},
		Deleted: true,
	})
	return s.revision, nil
}

// plant is a placer with what it decides on.
type plant struct {
	*world
	store    *fakeStore
	decision knapweedpulley.DesiredModel
	gone     knapweedpulley.Set[knapweedpulley.EndpointID]
}

func (p *plant) DesiredModels() []knapweedpulley.DesiredModel {
	return []knapweedpulley.DesiredModel{p.decision}
}
func (p *plant) Gone(e knapweedpulley.EndpointID) bool { return p.gone.Has(e) }

// placer returns a placer with its own view of the permits.
func (p *plant) placer(permits *model.Permits) *model.Placer {
	fleet := p.entries["n1"].fleet
	return model.NewPlacer(model.NewPlanner(fleet, p, permits, p), permits, p.store, p, testClock{})
}

func newPlant(replicas knapweedpulley.Replicas, agents ...*fakeAgent) (*plant, func()) {
	w, cleanup := newWorld(1, agents...)
	p := &plant{
		world:    w,
		decision: knapweedpulley.DesiredModel{Model: "m", Replicas: replicas, Size: 8 * knapweedpulley.GiB},
		gone:     knapweedpulley.NewSet[knapweedpulley.EndpointID](),
	}
	p.store = &fakeStore{objects: make(map[string]knapweedpulley.Object), sink: func(c knapweedpulley.Change) {
		_ = w.permits.Apply([]knapweedpulley.Change{c})
	}}
	return p, cleanup
}

func (p *plant) stored() knapweedpulley.Permit {
	var permit knapweedpulley.Permit
	_ = json.Unmarshal(p.store.objects["m"].Value, &permit)
	return permit
}

func assertPermit(t *testing.T, p *plant, endpoints, releasing string) {
	t.Helper()
	got := p.stored()
	is := is.New(t)
	is.Equal(fmt.Sprint(got.Endpoints), endpoints)
	is.Equal(fmt.Sprint(got.Releasing), releasing)
}

func inPlant(t *testing.T, replicas knapweedpulley.Replicas, check func(t *testing.T, p *plant, r *model.Placer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p, cleanup := newPlant(replicas, agent("x", time.Second), agent("y", time.Second), agent("z", time.Second))
		defer cleanup()
		check(t, p, p.placer(p.permits))
	})
}

func TestPlacer(t *testing.T) {
	step := func(t *testing.T, p *plant, r *model.Placer) {
		t.Helper()
		is.New(t).NoErr(r.Reconcile(t.Context(), p.decision))
	}
	t.Run("a new model gets a standing permit", func(t *testing.T) {
		inPlant(t, 2, func(t *testing.T, p *plant, r *model.Placer) {
			step(t, p, r)
			assertPermit(t, p, "[x y]", "[]")
		})
	})
	t.Run("an endpoint is replaced only after its release and the lease time", func(t *testing.T) {
		inPlant(t, 2, func(t *testing.T, p *plant, r *model.Placer) {
			step(t, p, r)
			p.agents["x"].status.Draining = true
			p.entries["n1"].fleet.Update(p.agents["x"].status)
			step(t, p, r)
			assertPermit(t, p, "[y]", "[x]")
			p.agents["x"].dead = true
			step(t, p, r)
			time.Sleep(time.Hour)
			step(t, p, r)
			assertPermit(t, p, "[y]", "[x]")
			p.agents["x"].dead = false
			step(t, p, r)
			step(t, p, r)
			assertPermit(t, p, "[y]", "[x]")
			time.Sleep(4 * time.Second)
			step(t, p, r)
			assertPermit(t, p, "[y z]", "[]")
		})
	})
	t.Run("an endpoint that only can't be reached keeps its permit", func(t *testing.T) {
		inPlant(t, 2, func(t *testing.T, p *plant, r *model.Placer) {
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
	t.Run("fewer replicas release the ones that don't hold the model", func(t *testing.T) {
		inPlant(t, 2, func(t *testing.T, p *plant, r *model.Placer) {
			step(t, p, r)
			is.New(t).NoErr(p.agents["y"].Order(t.Context(), knapweedpulley.Order{Model: "m"}))
			p.decision.Replicas = 1
			step(t, p, r)
			assertPermit(t, p, "[y]", "[x]")
		})
	})
	t.Run("a model that is decided no longer loses its permit", func(t *testing.T) {
		inPlant(t, 1, func(t *testing.T, p *plant, r *model.Placer) {
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
		t.Run(fmt.Sprint("an answer of the store that is lost is found out: ", fates), func(t *testing.T) {
			inPlant(t, 2, func(t *testing.T, p *plant, r *model.Placer) {
				p.store.fates = fates
				step(t, p, r)
				assertPermit(t, p, "[x y]", "[]")
			})
		})
	}
}

// TestRacingPlacers explores all orders of the steps of two placers, of which
// one has an old view, with an agent that drains and one that dies.
func TestRacingPlacers(t *testing.T) {
	states := 0
	var explore func(t *testing.T, path []int)
	explore = func(t *testing.T, path []int) {
		synctest.Test(t, func(t *testing.T) {
			p, cleanup := newPlant(2, agent("x", time.Second), agent("y", time.Second), agent("z", time.Second))
			defer cleanup()
			runRace(t, p, path)
		})
		states++
		if len(path) == raceDepth {
			return
		}
		for event := range raceEvents {
			explore(t, append(slices.Clone(path), event))
		}
	}
	explore(t, nil)
	t.Logf("%d paths", states)
}

const (
	raceDepth  = 5
	raceEvents = 6
)

// runRace takes the steps of a path and checks after each that no more replicas
// can be loaded than were decided.
func runRace(t *testing.T, p *plant, path []int) {
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
		assertDecided(t, p)
	}
}

// assertDecided checks that living endpoints which may hold the model are no
// more than decided.
func assertDecided(t *testing.T, p *plant) {
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
