package knapweedpulley

// Receipt is the proof of a charge against a customer's rate. The holder
// settles it once, when the usage is known.
type Receipt struct {
	Customer CustomerID
	Charged  Tokens
	// At is when the charge was made.
	At Instant
}

// RateLimiter enforces the rate and burst of customers, counted in tokens over all
// entry processes.
type RateLimiter interface {
	// Charge takes n tokens from the customer's contract, or returns a
	// *Refusal with the time after which the charge may succeed.
	Charge(customer CustomerID, n Tokens) (Receipt, error)
	// Settle refunds what was charged beyond used.
	Settle(receipt Receipt, used Tokens)
}
