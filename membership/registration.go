package membership

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

// retryPeriod is the time between two attempts at a registration.
const retryPeriod = 500 * time.Millisecond

// errNameTaken means that the object belongs to a process that may still act.
var errNameTaken = errors.New("entry name is registered to a process on another machine")

// register writes the object of self, with a higher incarnation than the previous object
// had. It retries until it succeeds or ctx ends.
func register(
	ctx context.Context, store knapweedpulley.ObjectStore, self knapweedpulley.Member,
) (knapweedpulley.RegisteredEntry, error) {
	for {
		entry, err := tryRegister(ctx, store, &self)
		if err == nil {
			return entry, nil
		}
		select {
		case <-ctx.Done():
			return knapweedpulley.RegisteredEntry{}, errors.Wrap(err, "register entry")
		case <-time.After(retryPeriod):
		}
	}
}

// tryRegister makes one attempt. It recognizes an earlier write whose answer was lost by
// its incarnation. An earlier process on the same machine has certainly ended, since this
// process could bind its port; its object is replaced.
func tryRegister(
	ctx context.Context, store knapweedpulley.ObjectStore, self *knapweedpulley.Member,
) (knapweedpulley.RegisteredEntry, error) {
	var none knapweedpulley.RegisteredEntry
	old, err := store.Get(ctx, knapweedpulley.KindEntries, string(self.Entry))
	if err != nil && !errors.Is(err, knapweedpulley.ErrObjectNotFound) {
		return none, err
	}
	previous := none
	if err == nil {
		if previous, err = DecodeEntry(old); err != nil {
			return none, err
		}
		if previous.Member == *self {
			return previous, nil
		}
		if previous.Machine != self.Machine {
			return none, errNameTaken
		}
	}
	if self.Incarnation == 0 {
		self.Incarnation = max(previous.Incarnation+1, knapweedpulley.Incarnation(time.Now().UnixNano()))
	}
	value, err := encodeEntry(*self, knapweedpulley.EntryActive)
	if err != nil {
		return none, err
	}
	revision, err := store.Put(ctx, knapweedpulley.KindEntries, string(self.Entry), value, old.Revision)
	if err != nil {
		return none, err
	}
	return knapweedpulley.RegisteredEntry{Member: *self, State: knapweedpulley.EntryActive, Revision: revision}, nil
}
