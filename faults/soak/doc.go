// Package soak runs gateways and keepers as separate processes under random
// faults, and checks what callers and endpoints see.
//
// The platform's store, the endpoints and the callers are in the process of the
// soak. Everything that a gateway or keeper connects to is behind a [Proxy],
// which delays, resets, cuts one way or silences connections; the processes are
// stopped, paused, killed and started again by signals. A seed decides about all
// of it. Only processes that the soak started are signaled, by their ids.
//
// # Usage
//
//	go test ./faults/soak                                        # a short seeded run
//	KNAPWEEDPULLEY_SOAK=50 go test -timeout 60m ./faults/soak    # so many fresh seeds
//	KNAPWEEDPULLEY_SOAK_SEED=7 go test ./faults/soak             # one seed again
package soak
