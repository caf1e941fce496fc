// Package claim deduplicates requests that must run at most once and carry an idempotency key. An
// entry process claims such a request before it runs it. The package decides from the records of
// earlier claims whether the request may run, is running already, was answered before, or uses the
// key of another request.
//
// A hash of customer, route and key assigns each claim to one of a fixed number of buckets. A
// bucket has one head object in the platform's store. Every grant is a conditional write of the
// head, so two entry processes that race for a claim can't both get it. The entry process that
// owns a bucket batches the claims of a short interval into one write, so that the write rate is
// bounded by the number of buckets and not by the number of requests. When the head has grown
// beyond a threshold, its records move to an archive object, which the head lists from then on.
// A process that has read the head at its current revision, with its archives, therefore has all
// claims of the bucket. Claims are kept for a day.
//
// If the outcome of a write is unknown, the process reads the head again. A record with the id of
// the request is its grant. If there is no such record, the process repeats the write with the same
// expected revision, so that at most one of the two writes takes effect, however late the first one
// arrives. If no write succeeds in time, the claim is refused. A compensating release follows once
// the store is available again; it advances the revision of the head, so that a delayed write of
// the claim fails.
//
// # Usage
//
//	ledger, cleanup := claim.NewLedger(objects, claim.DefaultSettings())
//	defer cleanup()
//	claimer := claim.NewClaimer(ledger, membership, forwarder)
//	result, err := claimer.Claim(ctx, c)
//	if err != nil {
//		return err // No claim was granted.
//	}
//	if refusal := result.Refusal(); refusal != nil {
//		return refusal
//	}
//
// Calls from other entry processes go to the ledger and not to the claimer, so that a claim is
// forwarded at most once.
package claim
