package knapweedpulley

import "context"

// SuspectPeer sends crash reports to other entry processes.
type SuspectPeer interface {
	// SendSuspects delivers a report to one entry process and returns once it
	// has been merged there.
	SendSuspects(ctx context.Context, to Member, r SuspectReport) error
}

// SuspectMerger merges crash reports that other processes have recorded.
type SuspectMerger interface {
	// Merge adds a report. Merging a report again changes nothing.
	Merge(r SuspectReport)
}
