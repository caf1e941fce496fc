package knapweedpulley

import "context"

// SuspectPeer sends crash reports to other entry processes.
type SuspectPeer interface {
	// SendSuspects delivers a report to one entry process and returns once it
	// has been merged there.
	SendSuspects(ctx context.Context, to Member, r SuspectReport) error
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
	// Snapshot returns the reports that tell another process all that is known.
	Snapshot() []SuspectReport
}
