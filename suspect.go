package knapweedpulley

import "context"

// SuspectState says whether a request content may have crashed an engine.
type SuspectState int

// States of a request content.
const (
	// SuspectNone means that the content has not been seen at a crash.
	SuspectNone SuspectState = iota
	// SuspectIsolate means that the content was running at one crash: it may run
	// again only alone.
	SuspectIsolate
	// SuspectRefuse means that the content crashed an engine while it ran alone.
	SuspectRefuse
)

// SuspectReport lists the request contents that were running when an engine
// crashed.
type SuspectReport struct {
	Endpoint EndpointID
	// Start is the engine start that ended in the crash; with Endpoint it
	// identifies the crash, so that a repeated report counts once.
	Start        uint64
	Fingerprints []Fingerprint
	// Isolated is set if the only suspect ran alone.
	Isolated bool
}

// SuspectList records which request contents may have crashed engines.
type SuspectList interface {
	// State returns what is known of a content.
	State(f Fingerprint) SuspectState
	// Report records a crash here and at the other entry processes. It returns
	// once they have recorded it or ctx ends.
	Report(ctx context.Context, r SuspectReport)
}
