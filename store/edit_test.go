package store_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/store"
	"github.com/knapweedpulley/knapweedpulley/store/fake"
)

const (
	kind = knapweedpulley.KindPermits
	name = "gas-mixes"
)

// appendItem returns an edit that appends an item to the value.
func appendItem(item string) store.Edit {
	return store.Edit{
		Kind: kind, Name: name, RetryOnConflict: true,
		Mutate: func(current knapweedpulley.Object) ([]byte, error) {
			return append(append([]byte(nil), current.Value...), item...), nil
		},
	}
}

func assertValue(t *testing.T, s *fake.Store, want string) {
	t.Helper()
	is := is.New(t)
	o, err := s.Get(t.Context(), kind, name)
	is.NoErr(err)
	is.Equal(string(o.Value), want)
}

func assertError(t *testing.T, err, want error) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Errorf("error is %v, want %v", err, want)
	}
}

func TestEditWrite(t *testing.T) {
	cases := []struct {
		name  string
		fault func(s *fake.Store)
		want  string
	}{
		{"without faults", func(*fake.Store) {}, "12"},
		{"a write whose answer is lost is found by reading back", func(s *fake.Store) { s.LoseAnswers(1) }, "12"},
		{"a late write takes effect once", func(s *fake.Store) { s.DelayWrites(1, time.Minute) }, "12"},
		{"a write that takes effect before the retry takes effect once", func(s *fake.Store) { s.DelayWrites(1, time.Millisecond) }, "12"},
		{"several late writes take effect once", func(s *fake.Store) { s.DelayWrites(3, 120*time.Millisecond) }, "12"},
		{"an outage after the write delays the edit until it ends", func(s *fake.Store) {
			s.DelayWrites(1, time.Minute)
			time.AfterFunc(time.Millisecond, func() { s.SetDown(true) })
			time.AfterFunc(5*time.Second, func() { s.SetDown(false) })
		}, "12"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := fake.New()
				_, err := appendItem("1").Write(t.Context(), s)
				is.NoErr(err)
				c.fault(s)
				_, err = appendItem("2").Write(t.Context(), s)
				is.NoErr(err)
				assertValue(t, s, c.want)
				time.Sleep(time.Hour)
				assertValue(t, s, c.want)
			})
		})
	}
	t.Run("an edit without retries fails if another write came first", func(t *testing.T) {
		s := fake.New()
		e := appendItem("2")
		e.RetryOnConflict = false
		e.Mutate = func(current knapweedpulley.Object) ([]byte, error) {
			_, _ = s.Put(t.Context(), kind, name, []byte("1"), current.Revision)
			return []byte("2"), nil
		}
		_, err := e.Write(t.Context(), s)
		assertError(t, err, knapweedpulley.ErrConflict)
		assertValue(t, s, "1")
	})
	t.Run("the outcome is unknown if another write replaces the value after a lost answer", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := fake.New()
			s.DelayWrites(1, time.Minute)
			time.AfterFunc(time.Millisecond, func() { _, _ = s.Put(context.Background(), kind, name, []byte("9"), 0) })
			_, err := appendItem("2").Write(t.Context(), s)
			assertError(t, err, knapweedpulley.ErrOutcomeUnknown)
			assertValue(t, s, "9")
			time.Sleep(time.Hour)
		})
	})
	t.Run("an outage from the start fails at once", func(t *testing.T) {
		s := fake.New()
		s.SetDown(true)
		_, err := appendItem("1").Write(t.Context(), s)
		assertError(t, err, fake.ErrDown)
		is.New(t).True(!errors.Is(err, knapweedpulley.ErrOutcomeUnknown))
	})
	t.Run("the outcome is unknown if an outage outlasts the deadline", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := fake.New()
			s.DelayWrites(1, time.Minute)
			time.AfterFunc(time.Millisecond, func() { s.SetDown(true) })
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := appendItem("1").Write(ctx, s)
			assertError(t, err, knapweedpulley.ErrOutcomeUnknown)
			time.Sleep(time.Hour)
		})
	})
}

func TestRemove(t *testing.T) {
	t.Run("a removal whose answer is lost is found by reading back", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := fake.New()
			o, err := appendItem("1").Write(t.Context(), s)
			is.NoErr(err)
			s.LoseAnswers(1)
			is.NoErr(store.Remove(t.Context(), s, kind, name, o.Revision))
			_, err = s.Get(t.Context(), kind, name)
			assertError(t, err, knapweedpulley.ErrObjectNotFound)
		})
	})
	t.Run("an object at another revision is not removed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := fake.New()
			_, err := appendItem("1").Write(t.Context(), s)
			is.New(t).NoErr(err)
			assertError(t, store.Remove(t.Context(), s, kind, name, 7), knapweedpulley.ErrConflict)
			assertValue(t, s, "1")
		})
	})
}
