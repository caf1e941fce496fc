package claim

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
)

// The test in this file is a model checker. It visits all interleavings of two ledgers that decide
// on two requests with the same key. Request r0 is forwarded to ledger 0; when its caller stops
// waiting, it claims again at ledger 1 as a second attempt. Request r1 claims at ledger 0. Writes
// can conflict, get lost, lose their reply or take effect at any later time, callers can stop
// waiting and batches can time out.

const (
	modelRetention = time.Hour
	maxModelFaults = 1
)

var modelTime = time.Unix(1_000_000, 0)

// modelWrite is a conditional write that may still take effect.
type modelWrite struct {
	expected knapweedpulley.Revision
	records  []record
}

// modelOperation is an operation on the claim and its progress.
type modelOperation struct {
	Kind         operationKind
	Ledger       int
	Request      knapweedpulley.RequestID
	Attempt      uint32
	Compensating bool
	Queued       bool
	// Waiting is set while the caller waits, Granted once it has received the grant.
	Waiting bool
	Granted bool
}

// modelLedger is the state of a ledger: its view of the bucket, its queue and its current batch.
type modelLedger struct {
	Current        bool
	Reloaded       bool
	OutcomeUnknown bool
	Revision       knapweedpulley.Revision
	View           []record
	Queue          []int
	Batch          []int
}

// modelState is one state of the store, the operations and the ledgers.
type modelState struct {
	Revision      knapweedpulley.Revision
	Records       []record
	DelayedWrites []modelWrite
	Faults        int
	Operations    []modelOperation
	Ledgers       [2]modelLedger
}

func initialState() modelState {
	return modelState{Operations: []modelOperation{
		{Kind: kindClaim, Ledger: 0, Request: "r0", Attempt: attemptForwarded, Waiting: true},
		{Kind: kindClaim, Ledger: 1, Request: "r0", Attempt: attemptLocal, Waiting: true},
		{Kind: kindClaim, Ledger: 0, Request: "r1", Waiting: true},
	}}
}

// clone returns a state that can be changed. It copies the lists whose elements change or to which
// elements are appended; the other lists are only replaced as a whole, so the states share them.
func (s modelState) clone() modelState {
	s.DelayedWrites = slices.Clone(s.DelayedWrites)
	s.Operations = slices.Clone(s.Operations)
	for i := range s.Ledgers {
		s.Ledgers[i].Queue = slices.Clone(s.Ledgers[i].Queue)
	}
	return s
}

// key returns a string that is the same only for equal states.
func (s modelState) key() string {
	b := fmt.Appendf(nil, "%d/%d%s", s.Revision, s.Faults, recordsKey(s.Records))
	for _, l := range s.DelayedWrites {
		b = fmt.Appendf(b, "l%d%s", l.expected, recordsKey(l.records))
	}
	for _, o := range s.Operations {
		b = fmt.Appendf(b, "o%d%d%s%d%t%t%t%t", o.Kind, o.Ledger, o.Request, o.Attempt, o.Compensating, o.Queued, o.Waiting, o.Granted)
	}
	for _, g := range s.Ledgers {
		b = fmt.Appendf(b, "g%t%t%t%d%s%v%v%t", g.Current, g.Reloaded, g.OutcomeUnknown, g.Revision, recordsKey(g.View), g.Queue, g.Batch,
			g.Batch == nil)
	}
	return string(b)
}

// recordsKey returns the part of the key for records, which hold at most the one claim.
func recordsKey(records []record) string {
	if len(records) == 0 {
		return "-"
	}
	r := records[0]
	return string(r.Request) + string(rune('0'+r.Attempt)) + string(r.State)
}

// bothGranted reports whether both requests received a grant, which must never happen.
func (s modelState) bothGranted() bool {
	first := s.Operations[0].Granted || s.Operations[1].Granted
	return first && s.Operations[2].Granted
}

// successors returns the states that can follow.
func (s modelState) successors() []modelState {
	var states []modelState
	for i, o := range s.Operations {
		// The second attempt begins when the caller has stopped waiting for the first.
		ready := i != 1 || !s.Operations[0].Waiting && !s.Operations[0].Granted
		if !o.Queued && ready {
			n := s.clone()
			n.Operations[i].Queued = true
			n.Ledgers[o.Ledger].Queue = append(n.Ledgers[o.Ledger].Queue, i)
			states = append(states, n)
		}
		if o.Queued && o.Waiting && !o.Granted {
			n := s.clone()
			n.Operations[i].Waiting = false
			states = append(states, n)
		}
	}
	for i, l := range s.DelayedWrites {
		n := s.clone()
		n.DelayedWrites = slices.Delete(n.DelayedWrites, i, i+1)
		n.applyWrite(l)
		states = append(states, n)
	}
	for i := range s.Ledgers {
		states = append(states, s.ledgerSteps(i)...)
	}
	return states
}

// applyWrite makes a conditional write and reports whether it took effect.
func (s *modelState) applyWrite(l modelWrite) bool {
	if l.expected != s.Revision {
		return false
	}
	s.Revision++
	s.Records = l.records
	return true
}

// ledgerSteps returns the states that can follow a step of a ledger. It models bucket.flush and
// bucket.commit.
func (s modelState) ledgerSteps(i int) []modelState {
	l := s.Ledgers[i]
	n := s.clone()
	g := &n.Ledgers[i]
	if l.Batch == nil {
		if len(l.Queue) == 0 {
			return nil
		}
		g.Batch, g.Queue, g.Reloaded, g.OutcomeUnknown = l.Queue, nil, false, false
		return []modelState{n}
	}
	timeout := s.clone()
	timeout.failBatch(i)
	states := []modelState{timeout}
	if !l.Current {
		g.Current, g.Reloaded, g.View, g.Revision = true, true, s.Records, s.Revision
		return append(states, n)
	}
	p := s.plan(i)
	if p.mayBeStale && !l.Reloaded {
		g.Current = false
		return append(states, n)
	}
	if len(p.changes) == 0 {
		n.finishBatch(i, p)
		return append(states, n)
	}
	write := modelWrite{
		expected: l.Revision, records: mergeRecords(l.View, p.changes, modelTime, modelRetention),
	}
	return append(states, s.writeOutcomes(i, p, write)...)
}

// plan decides on the batch of a ledger with the code under test.
func (s modelState) plan(i int) *plan {
	l := s.Ledgers[i]
	v := newView()
	v.setHead(l.Revision, document{Records: l.View})
	operations := make([]*operation, 0, len(l.Batch))
	for _, j := range l.Batch {
		o := s.Operations[j]
		c := knapweedpulley.Claim{Request: o.Request, Attempt: o.Attempt}
		operation := newOperation(o.Kind, c, "key")
		operation.compensating = o.Compensating
		operations = append(operations, operation)
	}
	return newPlan(v, operations, modelTime, modelRetention)
}

// writeOutcomes returns the states that can follow a write: it succeeds or conflicts, and as long
// as faults remain, it gets lost, loses its reply or is delayed.
func (s modelState) writeOutcomes(i int, p *plan, write modelWrite) []modelState {
	done := s.clone()
	if done.applyWrite(write) {
		done.Ledgers[i].View, done.Ledgers[i].Revision = write.records, done.Revision
		done.finishBatch(i, p)
	} else {
		done.Ledgers[i].Current = false
	}
	states := []modelState{done}
	if s.Faults == maxModelFaults {
		return states
	}
	for _, fault := range []func(n *modelState){
		func(*modelState) {},
		func(n *modelState) { n.applyWrite(write) },
		func(n *modelState) { n.DelayedWrites = append(n.DelayedWrites, write) },
	} {
		n := s.clone()
		n.Faults++
		n.Ledgers[i].Current = false
		n.Ledgers[i].OutcomeUnknown = true
		fault(&n)
		states = append(states, n)
	}
	return states
}

// finishBatch delivers the outcomes of a batch, as bucket.finish does.
func (s *modelState) finishBatch(i int, p *plan) {
	for k, j := range s.Ledgers[i].Batch {
		granted := p.outcomes[k].result.State == knapweedpulley.ClaimGranted
		o := &s.Operations[j]
		switch {
		case o.Kind != kindClaim:
		case o.Waiting:
			o.Granted = granted
			o.Waiting = granted
		case granted:
			s.addCompensatingRelease(*o)
		}
	}
	s.Ledgers[i].Batch = nil
}

// failBatch ends a batch that timed out, as bucket.failBatch does.
func (s *modelState) failBatch(i int) {
	l := s.Ledgers[i]
	for _, j := range l.Batch {
		o := &s.Operations[j]
		switch {
		case o.Compensating:
			s.Ledgers[i].Queue = append(s.Ledgers[i].Queue, j)
		case l.OutcomeUnknown:
			s.addCompensatingRelease(*o)
		}
		o.Waiting = false
	}
	s.Ledgers[i].Batch = nil
	s.Ledgers[i].Current = false
}

func (s *modelState) addCompensatingRelease(o modelOperation) {
	release := modelOperation{
		Kind: kindRelease, Ledger: o.Ledger, Request: o.Request, Attempt: o.Attempt, Compensating: true, Queued: true,
	}
	s.Operations = append(s.Operations, release)
	s.Ledgers[o.Ledger].Queue = append(s.Ledgers[o.Ledger].Queue, len(s.Operations)-1)
}

func TestInterleavings(t *testing.T) {
	visited := make(map[string]struct{})
	queue := []modelState{initialState()}
	granted := 0
	for len(queue) > 0 {
		s := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		key := s.key()
		if _, ok := visited[key]; ok {
			continue
		}
		visited[key] = struct{}{}
		if s.bothGranted() {
			t.Fatalf("both requests were granted; %d states visited: %+v", len(visited), s)
		}
		if s.Operations[2].Granted {
			granted++
		}
		queue = append(queue, s.successors()...)
	}
	t.Logf("visited %d states; the second request is granted in %d of them", len(visited), granted)
	is.New(t).True(granted > 0)
}
