// Package machine represents the VM that a process runs on: its boot-time clock,
// the memory limit of the process, the ledger of an endpoint's accelerator memory,
// timers that end with a context, and a check whether an address refuses
// connections.
//
// # Usage
//
//	clock := machine.NewClock()
//	start := clock.Now()
package machine
