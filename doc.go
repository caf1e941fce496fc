// Package knapweedpulley serves many rarely used models to several customers.
//
// It is the root package: it holds the named types for ids and units, the
// verdict that every refusal carries, and the interfaces between the parts of
// the system. The implementations are in the packages below it, each named
// after the thing it represents: machine, zone, link, contract, customer,
// model, endpoint and so on. No implementation package declares an interface
// of its own, so this package shows every point at which implementations vary.
//
// # Usage
//
// A program builds the implementations it needs and passes them to each other
// through the interfaces of this package. Constructors that own goroutines,
// connections or files return a clean-up function of type [Cleanup] beside the
// value:
//
//	clock := machine.NewClock()
//	objects, cleanup, err := store.NewClient(settings.Store, clock)
//	if err != nil {
//		return err
//	}
//	defer cleanup()
//
// Errors that end a request are of type [*Refusal]. [VerdictOf] tells whether
// the request may have run:
//
//	if knapweedpulley.VerdictOf(err) == knapweedpulley.NotRun {
//		// The request can be retried, even if it is not idempotent.
//	}
package knapweedpulley
