// Package clients runs sets of clients that follow no rules against the system's own processes, each
// of which must stay alive, stay within the memory and the descriptors of its machine, and answer
// an ordinary request while such clients are still connected.
//
// A [Site] is a gateway and a keeper beside fakes of the platform's store and of the endpoints. The
// entry and the agents run beside the stand-ins of package fleet. A [Crowd] is a fixed set of clients
// with one [Behavior]. The checks depend neither on the machine's speed nor on the share of requests
// that are served.
//
// # Usage
//
//	go test ./faults/clients                                   # the gateway's cases
//	KNAPWEEDPULLEY_CLIENTS=all go test -v ./faults/clients     # the entry's cases as well
package clients
