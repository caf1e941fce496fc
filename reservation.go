package knapweedpulley

import "time"

// Reservation requests the tokens for one call in the queue of its customer's contract.
type Reservation struct {
	Customer CustomerID
	Tokens   Tokens
	Route    RouteID
	// Priority ranks the call's route; zero is the most urgent.
	Priority int
	// MaxWait is how long the call can wait. Zero asks for the tokens at once or for the
	// expected wait, and takes no place in the queue.
	MaxWait time.Duration
	// Fingerprint identifies the content of the call. A repeat takes the place that was kept
	// when the call was refused.
	Fingerprint Fingerprint
}

// ReservationResult is the outcome of a reservation.
type ReservationResult struct {
	// Granted is set if the tokens were taken.
	Granted bool
	// RetryAfter is the time after which the call is expected to be granted, if it was not.
	RetryAfter time.Duration
}
