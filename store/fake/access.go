package fake

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

// ErrCutOff is the error of reads through an access that is cut off.
var ErrCutOff = errors.New("cut off from the store")

// Access is one process's access to a store that several processes share. Its lists and watches can
// be cut off.
type Access struct {
	knapweedpulley.ObjectStore
	cutOff atomic.Bool
}

// NewAccess returns an access that is not cut off.
func NewAccess(s knapweedpulley.ObjectStore) *Access {
	return &Access{ObjectStore: s}
}

// CutOff makes further lists and watches fail, or succeed again.
func (a *Access) CutOff(cutOff bool) {
	a.cutOff.Store(cutOff)
}

// IsCutOff reports whether lists and watches fail.
func (a *Access) IsCutOff() bool {
	return a.cutOff.Load()
}

// List implements knapweedpulley.ObjectStore.
func (a *Access) List(ctx context.Context, kind knapweedpulley.Kind) (knapweedpulley.Listing, error) {
	if a.IsCutOff() {
		return knapweedpulley.Listing{}, ErrCutOff
	}
	return a.ObjectStore.List(ctx, kind)
}

// Watch implements knapweedpulley.ObjectStore.
func (a *Access) Watch(
	ctx context.Context, kind knapweedpulley.Kind, after knapweedpulley.Revision, wait time.Duration,
) ([]knapweedpulley.Change, knapweedpulley.Revision, error) {
	if a.IsCutOff() {
		return nil, 0, ErrCutOff
	}
	return a.ObjectStore.Watch(ctx, kind, after, wait)
}
