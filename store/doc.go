// Package store is the client of the platform's service: its object API and
// its list of VMs.
//
// A [Client] sends each call once. A write whose answer is lost fails with
// knapweedpulley.ErrOutcomeUnknown, because it may have taken effect or may still
// do so. An [Edit] is a write that determines its own outcome: it reads the object
// back, recognizes its change there, and writes again until an attempt is known to
// have taken effect or to have come after another write.
//
// A read over an established connection that delivers no answer fails with
// knapweedpulley.ErrConnectionLost: the connection may be at fault and not the store.
// A store that has come back from an older copy of its content states another epoch,
// which becomes part of the revisions. A watch from a revision of another epoch fails
// with knapweedpulley.ErrCompacted.
//
// # Usage
//
//	objects, cleanup, err := store.NewClient(store.Settings{Address: "127.0.0.1:7100"})
//	if err != nil {
//		return err
//	}
//	defer cleanup()
//	object, err := store.Edit{
//		Kind:            knapweedpulley.KindPermits,
//		Name:            string(model),
//		Mutate:          func(current knapweedpulley.Object) ([]byte, error) { … },
//		RetryOnConflict: true,
//	}.Write(ctx, objects)
package store
