package knapweedpulley

import "context"

// SuspectPeer sends crash reports and requests for probes to other entry processes.
type SuspectPeer interface {
	// SendSuspects delivers a report to one entry process and returns once it
	// has been merged there.
	SendSuspects(ctx context.Context, to Member, r SuspectReport) error
	// RequestProbe asks one entry process whether a refused request may be sent as a probe.
	RequestProbe(ctx context.Context, to Member, r ProbeRequest) (bool, error)
}

// ProbeRequest names what is refused of a request: shared parts of its prompt, or its content
// if there are none.
type ProbeRequest struct {
	Content Fingerprint
	Parts   []PartFingerprint
}

// ProbeGranter decides which refused requests may be sent as probes.
type ProbeGranter interface {
	// GrantProbe reports whether a request may be sent as a probe now. It counts the probe.
	GrantProbe(r ProbeRequest) bool
}

// SuspectFetcher asks other entry processes for what they know of suspects.
type SuspectFetcher interface {
	// FetchSuspects returns the reports that tell what one entry process knows.
	FetchSuspects(ctx context.Context, from Member) ([]SuspectReport, error)
}

// SuspectMerger merges crash reports that other processes have recorded.
type SuspectMerger interface {
	// Merge adds a report. Merging a report again changes nothing.
	Merge(r SuspectReport)
}

// SuspectStore holds what an entry process knows of suspects.
type SuspectStore interface {
	SuspectMerger
	ProbeGranter
	// Snapshot returns the reports that tell another process all that is known.
	Snapshot() []SuspectReport
}
