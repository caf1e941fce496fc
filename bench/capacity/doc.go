// Package capacity measures what each part of the system costs at two or more
// sizes, so that the cost at another size can be extrapolated from the slope.
//
// Bytes of traffic are counted on the connections or by the kernel, and the encoder
// gives the sizes of messages. Memory is what the kernel or the garbage collector
// reports. Processor time is the user and system time that the kernel charges to a
// process over a fixed number of operations; on a shared machine it gives only the
// order of magnitude.
//
// # Usage
//
//	line := capacity.LineThrough("bytes of the list of VMs", "VM", 100, small, 1000, large)
//	atPlan := line.At(float64(capacity.Plan().Machines()))
//
// The tests of the package take the measurements. Those that start processes need
// the built programs and run only if KNAPWEEDPULLEY_BENCH is set:
//
//	make build
//	KNAPWEEDPULLEY_BENCH=full go test -v -run 'TestSlopes|TestProcesses|TestWarmRequest' ./bench/capacity
package capacity
