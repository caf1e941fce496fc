package endpoint

import (
	"slices"

	"github.com/knapweedpulley/knapweedpulley"
)

// partStates holds the states of prompt parts that all members of the group agree on.
type partStates struct {
	byPart map[knapweedpulley.PartFingerprint]knapweedpulley.PartState
	// order lists the parts in the order in which they were added.
	order []knapweedpulley.PartFingerprint
	// changed are the parts whose states the other members may not know.
	changed knapweedpulley.Set[knapweedpulley.PartFingerprint]
}

func newPartStates() *partStates {
	return &partStates{
		byPart:  make(map[knapweedpulley.PartFingerprint]knapweedpulley.PartState),
		changed: make(knapweedpulley.Set[knapweedpulley.PartFingerprint]),
	}
}

// set replaces the state of a part, and drops the oldest parts beyond maxPartStates.
func (p *partStates) set(st knapweedpulley.PartState) {
	if _, known := p.byPart[st.Part]; !known {
		p.order = append(p.order, st.Part)
	}
	p.byPart[st.Part] = st
	if len(p.order) > maxPartStates {
		p.drop(p.order[0])
	}
}

// drop forgets a part.
func (p *partStates) drop(part knapweedpulley.PartFingerprint) {
	if i := slices.Index(p.order, part); i >= 0 {
		p.order = slices.Delete(p.order, i, i+1)
	}
	delete(p.byPart, part)
	p.changed.Remove(part)
}

// merge merges the state that another member holds and reports whether it is later than
// that held here. A member that lacks something is sent the state held here.
func (p *partStates) merge(st knapweedpulley.PartState) bool {
	held := p.byPart[st.Part]
	held.Part = st.Part
	later := held.Precedes(st)
	merged := held
	if later {
		merged = st
	}
	merged.Probes = max(st.Probes, held.Probes)
	merged.ReturnedProbes = max(st.ReturnedProbes, held.ReturnedProbes)
	if merged != held {
		p.set(merged)
	}
	if merged != st {
		p.changed.Add(st.Part)
	}
	return later
}

// refuse starts a refusal of a part that isn't refused.
func (p *partStates) refuse(part knapweedpulley.PartFingerprint) {
	if st := p.byPart[part]; !st.IsRefused() {
		p.change(knapweedpulley.PartState{Part: part, Round: st.Round + 1, Probes: st.Probes, ReturnedProbes: st.ReturnedProbes})
	}
}

// recordAnswer ends the refusal of a part. If no other member has been told of the refusal,
// the answer precedes none that they may start from the same crashes.
func (p *partStates) recordAnswer(part knapweedpulley.PartFingerprint) {
	st := p.byPart[part]
	if !st.IsRefused() {
		st.Round++
	}
	st.Part, st.Answered = part, true
	p.change(st)
}

// countProbe counts a probe of a part.
func (p *partStates) countProbe(part knapweedpulley.PartFingerprint) {
	st := p.byPart[part]
	st.Part = part
	st.Probes++
	p.change(st)
}

// returnProbe returns a probe of a part, and reports whether it may be. At most limit probes of
// the part are returned.
func (p *partStates) returnProbe(part knapweedpulley.PartFingerprint, limit uint32) bool {
	st := p.byPart[part]
	if st.ReturnedProbes >= min(st.Probes, limit) {
		return false
	}
	st.ReturnedProbes++
	p.change(st)
	return true
}

// countedProbes returns the number of probes of a part that weren't returned.
func (p *partStates) countedProbes(part knapweedpulley.PartFingerprint) uint32 {
	st := p.byPart[part]
	return st.Probes - min(st.Probes, st.ReturnedProbes)
}

// change replaces the state of a part, for the other members as well.
func (p *partStates) change(st knapweedpulley.PartState) {
	p.changed.Add(st.Part)
	p.set(st)
}

// takeChanged returns the states that the other members may not know, once.
func (p *partStates) takeChanged() []knapweedpulley.PartState {
	var states []knapweedpulley.PartState
	for part := range p.changed {
		states = append(states, p.byPart[part])
	}
	clear(p.changed)
	return states
}

// all returns the states of all parts.
func (p *partStates) all() []knapweedpulley.PartState {
	var states []knapweedpulley.PartState
	for _, part := range p.order {
		states = append(states, p.byPart[part])
	}
	return states
}
