package membership

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
)

// fakeStore is a store with one object. It can lose the answer to a write.
type fakeStore struct {
	knapweedpulley.ObjectStore
	object         knapweedpulley.Object
	loseNextAnswer bool
	writes         int
}

func (s *fakeStore) Get(context.Context, knapweedpulley.Kind, string) (knapweedpulley.Object, error) {
	if s.object.Revision == 0 {
		return knapweedpulley.Object{}, knapweedpulley.ErrObjectNotFound
	}
	return s.object, nil
}

func (s *fakeStore) Put(
	_ context.Context, kind knapweedpulley.Kind, name string, value []byte, expected knapweedpulley.Revision,
) (knapweedpulley.Revision, error) {
	if s.object.Revision != expected {
		return 0, knapweedpulley.ErrConflict
	}
	s.writes++
	s.object = knapweedpulley.Object{Kind: kind, Name: name, Value: value, Revision: expected + 1}
	if s.loseNextAnswer {
		s.loseNextAnswer = false
		return 0, knapweedpulley.ErrOutcomeUnknown
	}
	return s.object.Revision, nil
}

func assertRegistered(t *testing.T, s *fakeStore, writes int) knapweedpulley.RegisteredEntry {
	t.Helper()
	is := is.New(t)
	r, err := register(t.Context(), s, knapweedpulley.Member{Entry: "a", Machine: "m"})
	is.NoErr(err)
	is.Equal(s.writes, writes)
	is.Equal(r.Revision, s.object.Revision)
	stored, err := DecodeEntry(s.object)
	is.NoErr(err)
	is.Equal(stored, r)
	return r
}

func TestRegister(t *testing.T) {
	run := func(name string, f func(t *testing.T)) {
		t.Run(name, func(t *testing.T) { synctest.Test(t, f) })
	}
	run("a new entry is registered with one write", func(t *testing.T) {
		assertRegistered(t, &fakeStore{}, 1)
	})
	run("a write whose answer was lost is not repeated", func(t *testing.T) {
		assertRegistered(t, &fakeStore{loseNextAnswer: true}, 1)
	})
	run("a restart on the same machine gets a higher incarnation", func(t *testing.T) {
		s := &fakeStore{}
		first := assertRegistered(t, s, 1)
		second := assertRegistered(t, s, 2)
		is.New(t).True(second.Incarnation > first.Incarnation)
	})
	run("the name of a process on another machine is refused", func(t *testing.T) {
		s := &fakeStore{}
		assertRegistered(t, s, 1)
		ctx, cancel := context.WithTimeout(t.Context(), 2*retryPeriod)
		defer cancel()
		_, err := register(ctx, s, knapweedpulley.Member{Entry: "a", Machine: "other"})
		is.New(t).True(errors.Is(err, errNameTaken))
	})
}
