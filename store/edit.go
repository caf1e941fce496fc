package store

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// minRetryDelay is the delay before the first retry of a failed call.
	minRetryDelay = 50 * time.Millisecond
	// maxRetryDelay bounds the delay, which doubles with each retry.
	maxRetryDelay = time.Second
)

// Edit is a change of one object that determines whether it took effect.
type Edit struct {
	Kind knapweedpulley.Kind
	Name string
	// Mutate returns the new value of the object. The current object has revision
	// zero if it does not exist. Mutate may be called several times.
	Mutate func(current knapweedpulley.Object) ([]byte, error)
	// Applied reports whether a value contains the change. If it is nil, only a
	// value equal to the written one contains the change.
	Applied func(value []byte) bool
	// DetectsOverwritten is set if Applied also recognizes the change after others
	// have changed the object again.
	DetectsOverwritten bool
	// RetryOnConflict is set if the change is to be applied to the new value when
	// another write came first. Otherwise the edit fails with ErrConflict then.
	RetryOnConflict bool
}

// Write applies the change and returns the object that contains it. It fails with
// ErrOutcomeUnknown if ctx ends before the outcome is known, or if another write
// makes it impossible to determine.
func (e Edit) Write(ctx context.Context, objects knapweedpulley.ObjectStore) (knapweedpulley.Object, error) {
	s := editState{Edit: e, objects: objects, retryDelay: minRetryDelay}
	for {
		current, err := s.read(ctx)
		if err != nil {
			return knapweedpulley.Object{}, err
		}
		applied, err := s.check(current)
		if applied || err != nil {
			return current, err
		}
		written, err := s.write(ctx, current)
		if err == nil || !s.shouldRetry(err) {
			return written, err
		}
		s.backOff(ctx)
	}
}

// editState is the state of an edit in progress.
type editState struct {
	Edit
	objects    knapweedpulley.ObjectStore
	retryDelay time.Duration
	// written is the last written value, or nil before the first write.
	written []byte
	// expected is the revision that the last write expected.
	expected knapweedpulley.Revision
	// outcomeUnknown is set while the outcome of a write is not known.
	outcomeUnknown bool
	// conflicted is set after another write came first.
	conflicted bool
}

// read reads the object. It retries a failed read until ctx ends if the outcome of a
// write is to be determined from it.
func (s *editState) read(ctx context.Context) (knapweedpulley.Object, error) {
	for {
		o, err := s.objects.Get(ctx, s.Kind, s.Name)
		switch {
		case err == nil:
			return o, nil
		case errors.Is(err, knapweedpulley.ErrObjectNotFound):
			return knapweedpulley.Object{Kind: s.Kind, Name: s.Name}, nil
		case !s.outcomeUnknown:
			return o, err
		case ctx.Err() != nil:
			return o, errors.Mark(err, knapweedpulley.ErrOutcomeUnknown)
		}
		s.backOff(ctx)
	}
}

// check reports whether the current object contains the change. It returns an error
// if it does not and the change may not be written again.
func (s *editState) check(current knapweedpulley.Object) (bool, error) {
	if s.written == nil {
		return false, nil
	}
	if current.Revision != 0 && s.applied(current.Value) {
		return true, nil
	}
	if current.Revision == s.expected {
		// The last write may still take effect. Another write under the same
		// condition either takes effect itself or fails because that one did.
		return false, nil
	}
	if s.outcomeUnknown && !s.DetectsOverwritten {
		return false, errors.Wrapf(knapweedpulley.ErrOutcomeUnknown, "%s/%s was changed by another writer", s.Kind, s.Name)
	}
	s.outcomeUnknown, s.conflicted = false, true
	if !s.RetryOnConflict {
		return false, errors.Wrapf(knapweedpulley.ErrConflict, "%s/%s", s.Kind, s.Name)
	}
	return false, nil
}

func (s *editState) applied(value []byte) bool {
	if s.Applied != nil {
		return s.Applied(value)
	}
	return sameJSON(value, s.written)
}

func (s *editState) write(ctx context.Context, current knapweedpulley.Object) (knapweedpulley.Object, error) {
	value, err := s.Mutate(current)
	if err != nil {
		if s.outcomeUnknown {
			err = errors.Mark(err, knapweedpulley.ErrOutcomeUnknown)
		}
		return current, err
	}
	s.written, s.expected = value, current.Revision
	revision, err := s.objects.Put(ctx, s.Kind, s.Name, value, current.Revision)
	return knapweedpulley.Object{Kind: s.Kind, Name: s.Name, Revision: revision, Value: value}, err
}

// shouldRetry reports whether the edit continues after a failed write. It records
// whether the outcome of that write is unknown.
func (s *editState) shouldRetry(err error) bool {
	switch {
	case errors.Is(err, knapweedpulley.ErrOutcomeUnknown):
		s.outcomeUnknown = true
		return true
	case errors.Is(err, knapweedpulley.ErrConflict):
		return true
	default:
		return s.outcomeUnknown
	}
}

// backOff waits for the retry delay, or until ctx ends, and doubles the delay.
func (s *editState) backOff(ctx context.Context) {
	timer := time.NewTimer(s.retryDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	s.retryDelay = min(2*s.retryDelay, maxRetryDelay)
}

// sameJSON reports whether two JSON values are equal apart from white space.
func sameJSON(a, b []byte) bool {
	var x, y bytes.Buffer
	if json.Compact(&x, a) != nil || json.Compact(&y, b) != nil {
		return bytes.Equal(a, b)
	}
	return bytes.Equal(x.Bytes(), y.Bytes())
}

// Remove removes an object that is at the expected revision, and determines whether
// the removal took effect. An object that does not exist counts as removed. Remove
// fails with ErrConflict if the object is at another revision, and with
// ErrOutcomeUnknown if ctx ends before the outcome is known.
func Remove(
	ctx context.Context, objects knapweedpulley.ObjectStore,
	kind knapweedpulley.Kind, name string, expected knapweedpulley.Revision,
) error {
	s := editState{Edit: Edit{Kind: kind, Name: name}, objects: objects, retryDelay: minRetryDelay}
	for {
		_, err := objects.Delete(ctx, kind, name, expected)
		if err == nil || !s.shouldRetry(err) {
			return err
		}
		current, err := s.read(ctx)
		switch {
		case err != nil:
			return err
		case current.Revision == 0:
			return nil
		case current.Revision != expected:
			return errors.Wrapf(knapweedpulley.ErrConflict, "%s/%s", kind, name)
		case ctx.Err() != nil:
			return errors.Mark(ctx.Err(), knapweedpulley.ErrOutcomeUnknown)
		}
		s.backOff(ctx)
	}
}
