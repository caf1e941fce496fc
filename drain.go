package knapweedpulley

import "context"

// Drainer requests the draining of endpoints.
type Drainer interface {
	// Drain asks the agent of an endpoint to accept no new requests and to finish
	// those that it has.
	Drain(ctx context.Context, endpoint EndpointID) error
}

// DrainableAgent is an agent whose endpoint can be drained.
type DrainableAgent interface {
	// StartDrain makes the agent refuse new requests from now on. It doesn't wait
	// for the requests in progress, and may be called more than once.
	StartDrain()
}
