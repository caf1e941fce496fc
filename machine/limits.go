package machine

import "runtime/debug"

const (
	// memoryPart is the part of a process's memory that the collector aims to
	// stay below; the rest is for stacks, buffers of the kernel and bursts.
	memoryPart = 0.6
	// gcPercent saves processor time, which is dearer than memory on small
	// machines. The bound of the memory goes first.
	gcPercent = 300
	// bytesPerMB is a platform's unit of memory.
	bytesPerMB = 1_000_000
)

// LimitMemory has the collector keep the process within so many millions of
// bytes.
func LimitMemory(megabytes int64) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryPart * float64(megabytes*bytesPerMB)))
}
