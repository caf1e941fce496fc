package knapweedpulley

import (
	"context"
	"time"
)

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

// SuspectReport lists the request contents and shared prompt parts that were running
// when an engine crashed, or tells what became of suspects since.
type SuspectReport struct {
	Endpoint EndpointID
	// Start is the engine start that ended in the crash; with Endpoint it
	// identifies the crash, so that a repeated report counts once.
	Start uint64
	// Age is the time since the crash was first reported to the sender. It is zero in a first report.
	Age          time.Duration
	Fingerprints []Fingerprint
	// Parts are the shared prompt parts of the requests.
	Parts []PartFingerprint
	// Isolated is set if the only suspect ran alone.
	Isolated bool
	// AnsweredContents and AnsweredParts are former suspects that an engine has answered.
	AnsweredContents []Fingerprint
	AnsweredParts    []PartFingerprint
	// PartStates tell which prompt parts are refused, and which no longer are.
	PartStates []PartState
}

// PartState is the state of a prompt part that is, or was, refused. Of two states of a part,
// the one that the other precedes holds.
type PartState struct {
	Part PartFingerprint
	// Round counts the refusals of the part. Answered is set if an engine has answered it
	// since the last one.
	Round    uint64
	Answered bool
	// Probes is the number of requests with the part that were sent as probes.
	Probes uint32
	// ReturnedProbes is the number of these that no engine ran.
	ReturnedProbes uint32
}

// IsRefused reports whether requests with the part are refused.
func (s PartState) IsRefused() bool {
	return s.Round > 0 && !s.Answered
}

// Precedes reports whether o is a later state of the part. It ignores the probes.
func (s PartState) Precedes(o PartState) bool {
	if s.Round != o.Round {
		return s.Round < o.Round
	}
	return !s.Answered && o.Answered
}

// SuspectList records which request contents may have crashed engines.
type SuspectList interface {
	// State returns what is known of a content.
	State(f Fingerprint) SuspectState
	// Report records a crash here and at the other entry processes. It returns
	// once they have recorded it or ctx ends.
	Report(ctx context.Context, r SuspectReport)
}

// ContentSuspectList is a SuspectList that stops suspecting contents which engines answer.
type ContentSuspectList interface {
	SuspectList
	// MayProbeContent reports whether TryProbeContent would allow a request now.
	MayProbeContent(f Fingerprint) bool
	// TryProbeContent reports whether a request may be sent now, though its content is
	// refused, to find out whether it still crashes engines. It counts the probe.
	TryProbeContent(f Fingerprint) bool
	// RecordAnswer records that an engine has answered a request to its end, which
	// clears its content and parts.
	RecordAnswer(f Fingerprint, parts []PartFingerprint)
}

// PromptSuspectList records which request contents and which prompt parts may have
// crashed engines.
type PromptSuspectList interface {
	ContentSuspectList
	// IsRefused reports whether requests with a prompt part are refused.
	IsRefused(p PartFingerprint) bool
	// MayProbe reports whether TryProbe would allow a request now.
	MayProbe(parts []PartFingerprint) bool
	// TryProbe reports whether a request may be sent now, though some of its parts are
	// refused, to find out whether they still crash engines. It counts the probe.
	TryProbe(parts []PartFingerprint) bool
	// ReturnProbe records that no engine ran the request of a probe, so that another one may
	// be sent. Once a part's probe has been returned, its others count.
	ReturnProbe(parts []PartFingerprint)
}
