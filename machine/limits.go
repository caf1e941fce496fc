package machine

import "runtime/debug"

const (
	// memoryFraction is the part of a process's memory that the garbage collector
	// aims to stay below. The rest is for stacks, buffers of the kernel and bursts.
	memoryFraction = 0.6
	// gcPercent is higher than Go's default to save processor time, which costs
	// more than memory on small machines. The memory limit takes precedence.
	gcPercent = 300
	// bytesPerMB is the size of a megabyte, the platform's unit of memory.
	bytesPerMB = 1_000_000
)

// LimitMemory sets the garbage collector's limits for a process that may use the
// given number of megabytes.
func LimitMemory(megabytes int64) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryFraction * float64(megabytes*bytesPerMB)))
}
