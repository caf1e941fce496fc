package installation_test

import (
	"context"
	"io"
	"sync/atomic"
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

// forgetfulStore discards each change before it can be watched, and counts the lists.
type forgetfulStore struct {
	*storefake.Store
	lists atomic.Int32
}

// List implements knapweedpulley.ObjectStore.
func (s *forgetfulStore) List(ctx context.Context, kind knapweedpulley.Kind) (knapweedpulley.Listing, error) {
	s.lists.Add(1)
	time.Sleep(time.Millisecond)
	return s.Store.List(ctx, kind)
}

// Watch implements knapweedpulley.ObjectStore.
func (s *forgetfulStore) Watch(
	context.Context, knapweedpulley.Kind, knapweedpulley.Revision, time.Duration,
) ([]knapweedpulley.Change, knapweedpulley.Revision, error) {
	return nil, 0, knapweedpulley.ErrCompacted
}

func TestForgetfulStoreIsNotListedWithoutPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &forgetfulStore{Store: storefake.New()}
		_, cleanup := installation.NewFollower(installation.Options{
			Objects: s, Decoder: installationfake.InstallationDecoder{}, Clock: fake.Clock{},
			Log:             logbook.New(io.Discard, log.InfoLevel, "test", "test"),
			OnConfiguration: func(*installation.Snapshot) {}, OnEndpoints: func([]knapweedpulley.RegisteredEndpoint) {},
		})
		defer cleanup()
		time.Sleep(10 * time.Second)
		t.Logf("%d lists", s.lists.Load())
		is.New(t).True(s.lists.Load() <= 60)
	})
}
