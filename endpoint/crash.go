package endpoint

import (
	"cmp"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// maxContents and maxParts bound the suspects of one crash.
	maxContents = 256
	maxParts    = 512
	// separateCrashes is the time between two crashes from which on they count as
	// independent. Engines that lose power together crash at about the same time.
	separateCrashes = 250 * time.Millisecond
	// A prompt part is refused once it was a suspect of minIndependent independent
	// crashes, or of minCrashes crashes of which two are independent.
	minIndependent = 3
	minCrashes     = 4
	// minCrashesIfAnswered is the number of crashes that a part needs which engines have
	// answered before.
	minCrashesIfAnswered = 5
	// maxAmbiguousCrashes is the number of crashes at which parts are refused together
	// that can't be told apart.
	maxAmbiguousCrashes = 5
)

// crashID identifies one crash of an engine by the endpoint and the engine start
// that ended in the crash.
type crashID struct {
	endpoint knapweedpulley.EndpointID
	start    uint64
}

// crash holds the suspects of a crash. A suspect maps to false once it has been
// answered, so that a repeated report doesn't make it a suspect again.
type crash struct {
	at       knapweedpulley.Instant
	contents map[knapweedpulley.Fingerprint]bool
	parts    map[knapweedpulley.PartFingerprint]bool
}

func newCrash(at knapweedpulley.Instant) *crash {
	return &crash{
		at:       at,
		contents: make(map[knapweedpulley.Fingerprint]bool),
		parts:    make(map[knapweedpulley.PartFingerprint]bool),
	}
}

// add adds the suspects of a report and reports whether one of them is new.
func (c *crash) add(r knapweedpulley.SuspectReport) bool {
	added := addSuspects(c.contents, r.Fingerprints, maxContents)
	return addSuspects(c.parts, r.Parts, maxParts) || added
}

// explainedBy reports whether one of the parts is a suspect of the crash.
func (c *crash) explainedBy(refused map[knapweedpulley.PartFingerprint]*refusedPart) bool {
	for p := range refused {
		if c.parts[p] {
			return true
		}
	}
	return false
}

// heldParts returns the parts that are still suspects.
func (c *crash) heldParts() []knapweedpulley.PartFingerprint {
	return heldSuspects(c.parts)
}

// heldContents returns the contents that are still suspects.
func (c *crash) heldContents() []knapweedpulley.Fingerprint {
	return heldSuspects(c.contents)
}

func addSuspects[T comparable](suspects map[T]bool, list []T, limit int) bool {
	added := false
	for _, f := range list {
		if _, known := suspects[f]; !known && len(suspects) < limit {
			suspects[f] = true
			added = true
		}
	}
	return added
}

func heldSuspects[T comparable](suspects map[T]bool) []T {
	var held []T
	for f, isHeld := range suspects {
		if isHeld {
			held = append(held, f)
		}
	}
	return held
}

// evidence sums up the crashes of which a prompt part is a suspect.
type evidence struct {
	crashes     int
	independent int
	last        knapweedpulley.Instant
	// answeredBefore is set if engines have answered requests with the part.
	answeredBefore bool
}

// add counts a crash. Crashes must be added in their order.
func (e *evidence) add(at knapweedpulley.Instant) {
	e.crashes++
	if e.independent == 0 || at.Sub(e.last) >= separateCrashes {
		e.independent++
		e.last = at
	}
}

// isSufficient reports whether the part may be refused.
func (e *evidence) isSufficient() bool {
	if e.answeredBefore {
		return e.crashes >= minCrashesIfAnswered && e.independent >= minIndependent
	}
	return e.independent >= minIndependent || (e.independent >= 2 && e.crashes >= minCrashes)
}

// compare returns a positive number if the part is a stronger suspect than one with
// evidence f, and zero if both are equal.
func (e *evidence) compare(f evidence) int {
	switch {
	case e.answeredBefore && !f.answeredBefore:
		return -1
	case !e.answeredBefore && f.answeredBefore:
		return 1
	default:
		return cmp.Compare(e.crashes, f.crashes)
	}
}
