// Package ratequeue decides in which order the requests of one customer get the tokens of its contract,
// at one holder of the contract.
//
// It responds to a customer that asks for more than its rate, for example 44,000 tokens a second of
// 18,800 on three routes with latency objectives from 0.5 s to 8 s, and to a small customer whose
// requests (1,600 to 4,700 tokens of 2,600 a second) are larger than what a gateway's part holds.
// [Queue] has no clock, starts no goroutine and does no I/O: it is given the tokens, the requests and
// the time.
//
// # Usage
//
//	supply := ratequeue.Supply{Level: level, Rate: rate, Burst: burst}
//	ticket := queue.Enter(now, &supply, request)
//	for _, o := range queue.Outcomes() {
//		// Answer the request with the ticket o.Ticket.
//	}
//	level = supply.Level
package ratequeue
