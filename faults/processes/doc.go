// Package processes injects faults into a deployment of real processes on
// loopback under steady traffic, and checks the invariants.
//
// # Usage
//
//	make faults
//
// The tests send signals only to processes that the fleet started, each by its
// own process id. The rows run only if the environment variable
// KNAPWEEDPULLEY_FAULTS is set; KNAPWEEDPULLEY_BINARIES names the folder of the
// programs.
package processes
