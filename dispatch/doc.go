// Package dispatch runs a request that an entry has authenticated until it is
// answered or refused.
//
// A [Dispatcher] checks that the entry holds its lease and that the content is
// not suspected of crashing engines, charges the customer's rate, claims the
// request if it must run at most once, selects an endpoint for each attempt, and
// settles the charge on the reported usage. A model that is loaded nowhere is
// loaded first.
//
// A failed attempt may be retried until the deadline, up to a maximum number of
// attempts. One that may have run is retried only if the request is idempotent, the
// caller has seen no part of an answer, and the retry budget allows it.
//
// The package does not depend on HTTP, so that another front end can use it.
//
// # Usage
//
//	d := dispatch.NewDispatcher(dispatch.Dependencies{Lease: members, Limiter: ledger, ...})
//	usage, err := d.Serve(ctx, &request, writer)
package dispatch
