package claim

import (
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

// outcome is the result of an operation.
type outcome struct {
	result knapweedpulley.ClaimResult
	// archive names the archive that holds the answer; it is empty if the answer is in result.
	archive string
	err     error
}

// plan is the decision on a batch of operations: their outcomes and the records to write.
type plan struct {
	view      *view
	now       time.Time
	retention time.Duration
	// outcomes holds the outcomes of the first operations of the batch. The remaining operations
	// wait for the next write.
	outcomes []outcome
	// changes holds the records to write, and changeIndex their indexes by claim.
	changes     []record
	changeIndex map[claimID]int
	size        knapweedpulley.Bytes
	// mayBeStale is set if an outcome depends on a record that another entry process may have
	// changed since it was read.
	mayBeStale bool
}

// newPlan decides on the operations in order, each on the state that the previous ones leave. It
// stops when the records to write exceed maxBatchSize.
func newPlan(v *view, operations []*operation, now time.Time, retention time.Duration) *plan {
	p := &plan{view: v, now: now, retention: retention, changeIndex: make(map[claimID]int)}
	for _, o := range operations {
		if p.size > maxBatchSize {
			break
		}
		p.outcomes = append(p.outcomes, p.decide(o))
	}
	return p
}

// find returns the newest record of a claim that has not expired, whether staged or in the view,
// and the name of the archive that holds it.
func (p *plan) find(id claimID) (r record, archive string, ok bool) {
	if i, staged := p.changeIndex[id]; staged {
		r, ok = p.changes[i], true
	} else {
		r, archive, ok = p.view.find(id)
	}
	if ok && r.expired(p.now, p.retention) {
		return record{}, "", false
	}
	return r, archive, ok
}

// stage adds a record to the changes of the plan.
func (p *plan) stage(r record) {
	r.UpdatedSeconds = p.now.Unix()
	p.size += r.size()
	if i, ok := p.changeIndex[r.ID]; ok {
		p.changes[i] = r
		return
	}
	p.changeIndex[r.ID] = len(p.changes)
	p.changes = append(p.changes, r)
}

func (p *plan) decide(o *operation) outcome {
	switch o.kind {
	case kindClaim:
		return p.decideClaim(o)
	case kindAnswered:
		return p.decideAnswer(o)
	default:
		return p.decideRelease(o)
	}
}

func (p *plan) decideClaim(o *operation) outcome {
	r, archive, ok := p.find(o.id)
	switch {
	case !ok:
		return p.grant(o)
	case r.Request == o.claim.Request && r.State != stateAnswered:
		return p.decideRepeatedClaim(o, r)
	case r.State == stateReleased:
		return p.grant(o)
	case r.Fingerprint != o.claim.Fingerprint:
		p.mayBeStale = true
		return outcome{result: knapweedpulley.ClaimResult{State: knapweedpulley.ClaimMismatch}}
	case r.State == stateRunning:
		p.mayBeStale = true
		return outcome{result: knapweedpulley.ClaimResult{State: knapweedpulley.ClaimRunning}}
	default:
		result := knapweedpulley.ClaimResult{State: knapweedpulley.ClaimAnswered, Answer: r.Answer.toAnswer()}
		return outcome{result: result, archive: archive}
	}
}

// grant stages a record that the claim is held.
func (p *plan) grant(o *operation) outcome {
	p.stage(o.newRecord(stateRunning))
	return outcome{result: knapweedpulley.ClaimResult{State: knapweedpulley.ClaimGranted}}
}

// decideRepeatedClaim decides on a claim whose record belongs to the same request. A later attempt
// replaces an earlier one, so that a compensating release of the earlier attempt doesn't affect it.
// An earlier attempt that arrives after a later one is refused.
func (p *plan) decideRepeatedClaim(o *operation, r record) outcome {
	switch {
	case r.Attempt < o.claim.Attempt:
		return p.grant(o)
	case r.Attempt == o.claim.Attempt && r.State == stateRunning:
		return outcome{result: knapweedpulley.ClaimResult{State: knapweedpulley.ClaimGranted}}
	default:
		p.mayBeStale = true
		return outcome{err: errSuperseded}
	}
}

func (p *plan) decideAnswer(o *operation) outcome {
	r, _, ok := p.find(o.id)
	if !ok || r.Request != o.claim.Request || r.State == stateReleased {
		p.mayBeStale = true
		return outcome{err: errNotHeld}
	}
	if r.State == stateRunning {
		answered := o.newRecord(stateAnswered)
		answered.Attempt = r.Attempt
		answered.Answer = o.answer
		p.stage(answered)
	}
	return outcome{}
}

// decideRelease releases a running claim that the request holds, and ignores any other.
func (p *plan) decideRelease(o *operation) outcome {
	r, _, ok := p.find(o.id)
	if o.compensating {
		p.decideCompensatingRelease(o, r, ok)
		return outcome{}
	}
	if ok && r.Request == o.claim.Request && r.State == stateRunning {
		released := o.newRecord(stateReleased)
		released.Attempt = r.Attempt
		p.stage(released)
	}
	return outcome{}
}

// decideCompensatingRelease releases the attempt of the operation and those before it. It writes a
// record even if there is none to release, because a delayed write of the claim may still take
// effect: the write of the record advances the revision of the head, so that the delayed write
// fails.
func (p *plan) decideCompensatingRelease(o *operation, r record, ok bool) {
	sameRequest := r.Request == o.claim.Request
	covered := r.Attempt <= o.claim.Attempt
	switch {
	case !ok,
		r.State == stateRunning && sameRequest && covered,
		r.State == stateReleased && !sameRequest,
		r.State == stateReleased && r.Attempt < o.claim.Attempt:
		p.stage(o.newRecord(stateReleased))
	}
}
