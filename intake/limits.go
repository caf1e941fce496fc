package intake

import "github.com/knapweedpulley/knapweedpulley"

const (
	// memoryDivisor and headDivisor give the parts of the machine's memory that request bodies and long
	// request heads may take: a quarter and a sixteenth. The garbage collector's limit is 60 %; the rest
	// below it is for answers (24 MiB), connections and the process's own data. A quarter of the smallest
	// machine's 144 MB holds six bodies of 4 MiB beside the part for small requests.
	memoryDivisor = 4
	headDivisor   = 16
	// connectionDivisor and connectionSize bound the memory for connections: an eighth of the machine's,
	// for stack, buffers and a short head of each.
	connectionDivisor = 8
	connectionSize    = 32 * knapweedpulley.KiB
	// minReserve and maxReserve bound the descriptors that are kept for the store, the other processes
	// and the listeners: an eighth of all. The largest deployment has 180 keepers and 103 gateways.
	minReserve, maxReserve = 32, 512
	// minConnections is the number of connections of each server at least.
	minConnections = 4
	// SurplusDivisor gives the number of connections beyond the limit that only get a refusal, and need
	// no connection to an endpoint: a sixteenth.
	SurplusDivisor = 16
	// maxAuxiliary bounds the connections of a server that isn't for callers. Operators, the balancer's
	// probes and readers of metrics need few.
	maxAuxiliary = 64
	// auxiliaryDivisor gives the part of the descriptors for such a server.
	auxiliaryDivisor = 24
)

// Limits are what the clients of a process may hold together.
type Limits struct {
	// Bodies and Heads are the memory for request bodies and for long request heads.
	Bodies knapweedpulley.Bytes
	Heads  knapweedpulley.Bytes
	// Callers is the number of callers' connections, Auxiliary that of each other server.
	Callers   int
	Auxiliary int
}

// NewLimits derives the limits from the memory and the descriptors of a process. A caller's connection
// counts as two descriptors, because its request needs a connection to an endpoint.
func NewLimits(memory knapweedpulley.Bytes, descriptors int) Limits {
	reserve := min(maxReserve, max(minReserve, descriptors/8))
	auxiliary := min(maxAuxiliary, max(minConnections, descriptors/auxiliaryDivisor))
	byMemory := int(memory / connectionDivisor / connectionSize)
	byDescriptors := (descriptors-reserve)*SurplusDivisor/(2*SurplusDivisor+1) - auxiliary
	return Limits{
		Bodies:    memory / memoryDivisor,
		Heads:     memory / headDivisor,
		Callers:   max(minConnections, min(byMemory, byDescriptors)),
		Auxiliary: auxiliary,
	}
}
