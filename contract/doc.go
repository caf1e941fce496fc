// Package contract is a distributed rate limiter: it decides whether a customer may use more
// tokens, so that all entry processes or gateways together stay within the rate and burst of
// the customer's contract.
//
// # Entry processes
//
// The contract is divided among the members, which are the entry processes. Each member holds a
// portion of it, and the portions add up to at most the whole. A member enforces the rate and
// burst of its portion with a token bucket, so that a charge needs no message. Because a
// portion is a fraction, a changed contract needs no message between the members either: each
// member scales its share as soon as it receives the changed contract.
//
// A member transfers a portion by a numbered [knapweedpulley.Grant]. The giver reduces its own
// share before it sends the grant, and repeats the grant until it is acknowledged. So a lost
// message withholds tokens for a while and never creates any. The portion of a member that has
// ended is reclaimed by a recount: each member reports what it held when it joined the epoch of
// the recount, and the portion that no member held is free.
//
// [Protocol] decides how portions move and are recounted. It uses no clock, starts no goroutine
// and does no I/O. [Limiter] implements [knapweedpulley.RateLimiter] with it: it charges customers,
// measures their demand, and exchanges the messages of the protocol with the other members.
//
// # Gateways
//
// [Allowances] is the limiter of one gateway. Each gateway holds an equal part of a contract,
// and the gateways lend each other tokens.
//
// # Usage
//
//	limiter, cleanup := contract.NewLimiter(clock, registry, link)
//	defer cleanup()
//	limiter.SetCustomers(contracts)
//	receipt, err := limiter.Charge("iturralde", 250)
//	if err != nil {
//		return err
//	}
//	limiter.Settle(receipt, usage.Total())
package contract
