package configuration

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// maxLogChanges is the maximum number of changes that are kept to bring subscribers up to date.
	maxLogChanges = 1024
	// maxLogBytes bounds the total size of the values in the kept changes.
	maxLogBytes = int(4 * knapweedpulley.MiB)
	// outageGap is the gap in the evidence from which on the store counts as having been down. It
	// is longer than the time in which a process finds another source when its own fail.
	outageGap = 3 * time.Second
)

// Evidence says how complete the content of a collection is.
type Evidence struct {
	// CompleteAsOf is an instant. The content contains all writes that the store accepted before
	// it. It is zero if there is no evidence.
	CompleteAsOf knapweedpulley.Instant
	// ContinuousSince is the instant since which evidence has advanced without a gap longer than
	// outageGap. It is the end of the last outage of the store that lasted longer, and zero if
	// none is known of.
	ContinuousSince knapweedpulley.Instant
}

// merge returns the evidence after evidence has arrived from the store or from a peer.
func (e Evidence) merge(other Evidence) Evidence {
	merged := Evidence{CompleteAsOf: max(e.CompleteAsOf, other.CompleteAsOf), ContinuousSince: e.ContinuousSince}
	newer := other.CompleteAsOf > e.CompleteAsOf
	switch {
	case e.CompleteAsOf == 0 || other.ContinuousSince.After(e.CompleteAsOf.Add(outageGap)):
		merged.ContinuousSince = other.ContinuousSince
	case newer && other.ContinuousSince != 0 && other.ContinuousSince < e.ContinuousSince:
		// The peer has seen more of the time before: the outage ended earlier, or it was none of
		// the store but of the connections to it.
		merged.ContinuousSince = other.ContinuousSince
	}
	return merged
}

// Table holds the newest known content of one collection.
type Table struct {
	kind knapweedpulley.Kind
	// trim returns the part of a stored value that is kept. Nil keeps the whole value.
	trim func([]byte) []byte
	// watchWait, loneWatchWait and watchInterval are those of the collection.
	watchWait     time.Duration
	loneWatchWait time.Duration
	watchInterval time.Duration
	view          atomic.Pointer[View]
	// completeAsOf and continuousSince are the current evidence.
	completeAsOf    atomic.Int64
	continuousSince atomic.Int64
	// mu serializes the writers and guards the change log.
	mu sync.Mutex
	// changeLog holds all changes after logStart, as they are sent.
	changeLog []knapweedpulley.ConfigurationChange
	logStart  knapweedpulley.Revision
	logBytes  int
	// notify is called with the changes of each new view, in order.
	notify func([]knapweedpulley.Change)
}

// newTable returns a table whose content is unknown.
func newTable(c Collection) *Table {
	wait := cmp.Or(c.WatchWait, defaultWatchWait)
	t := &Table{
		kind: c.Kind, trim: c.Trim, notify: c.Apply,
		watchWait: wait, loneWatchWait: cmp.Or(c.LoneWatchWait, wait), watchInterval: c.WatchInterval,
	}
	t.view.Store(&View{changed: make(chan struct{})})
	return t
}

// View returns the current content.
func (t *Table) View() *View {
	return t.view.Load()
}

// Evidence returns how complete the content is.
func (t *Table) Evidence() Evidence {
	return Evidence{
		CompleteAsOf:    knapweedpulley.Instant(t.completeAsOf.Load()),
		ContinuousSince: knapweedpulley.Instant(t.continuousSince.Load()),
	}
}

// staleTolerance returns how much older evidence may be with the given wait of a watch than with
// the default one. Evidence counts from the sending of an answered request, so it is up to two
// waits old before the next answer.
func staleTolerance(wait time.Duration) time.Duration {
	return 2 * max(0, wait-defaultWatchWait)
}

// State describes the current content. It returns false if the content is unknown.
func (t *Table) State() (knapweedpulley.ConfigurationState, bool) {
	v := t.View()
	return knapweedpulley.ConfigurationState{Kind: t.kind, Revision: v.Revision, Digest: v.Digest}, v.Loaded
}

// Replace replaces the content with a whole collection that is complete up to revision. It has no
// effect if the table has a newer revision.
func (t *Table) Replace(
	objects []knapweedpulley.Object, revision knapweedpulley.Revision, evidence Evidence,
) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.View()
	if old.Loaded && revision < old.Revision {
		return
	}
	next := make(map[string]knapweedpulley.Object, len(objects))
	for _, o := range objects {
		next[o.Name] = o
	}
	merged := t.mergeEvidence(evidence, revision)
	t.continuousSince.Store(int64(merged.ContinuousSince))
	t.publish(next, difference(old.Objects, next, revision), revision, !old.Loaded)
	t.completeAsOf.Store(int64(merged.CompleteAsOf))
}

// Advance applies the changes after revision from, up to revision to. It returns false if the table
// lacks the content that the changes build on.
func (t *Table) Advance(
	from knapweedpulley.Revision, changes []knapweedpulley.ConfigurationChange, to knapweedpulley.Revision,
	evidence Evidence,
) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.View()
	if !old.Loaded || from > old.Revision {
		return false
	}
	// The owner may need to know of an outage when it is notified of the changes after it. The
	// content must be published before the evidence for it.
	merged := t.mergeEvidence(evidence, to)
	if to > old.Revision {
		fresh, next, ok := applyChanges(old, changes)
		if !ok {
			return false
		}
		t.continuousSince.Store(int64(merged.ContinuousSince))
		t.publish(next, fresh, to, false)
	}
	t.continuousSince.Store(int64(merged.ContinuousSince))
	t.completeAsOf.Store(int64(merged.CompleteAsOf))
	return true
}

// mergeEvidence returns the evidence after evidence of content up to a revision has arrived. A later
// epoch of the store follows an outage, however short that was.
func (t *Table) mergeEvidence(evidence Evidence, revision knapweedpulley.Revision) Evidence {
	merged := t.Evidence().merge(evidence)
	if v := t.View(); v.Loaded && revision.Epoch() > v.Revision.Epoch() {
		merged.ContinuousSince = cmp.Or(evidence.ContinuousSince, evidence.CompleteAsOf)
	}
	return merged
}

// Since returns the changes after a revision and the view that they lead to. It returns false if
// some of the changes are no longer kept.
func (t *Table) Since(revision knapweedpulley.Revision) ([]knapweedpulley.ConfigurationChange, *View, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.View()
	if revision >= v.Revision {
		return nil, v, true
	}
	if revision < t.logStart {
		return nil, v, false
	}
	first := slices.IndexFunc(t.changeLog, func(c knapweedpulley.ConfigurationChange) bool {
		return c.Revision > revision
	})
	if first < 0 {
		return nil, v, true
	}
	return slices.Clone(t.changeLog[first:]), v, true
}

// publish makes a new view the current one and notifies the owner of its changes.
func (t *Table) publish(
	objects map[string]knapweedpulley.Object, changes []knapweedpulley.Change,
	revision knapweedpulley.Revision, first bool,
) {
	old := t.View()
	v := &View{Loaded: true, Revision: revision, Objects: objects, changed: make(chan struct{})}
	for _, o := range objects {
		v.Digest ^= digestOf(o)
	}
	if first {
		t.logStart = revision
	} else {
		t.record(old, changes)
	}
	if len(changes) > 0 {
		t.notify(changes)
	}
	t.view.Store(v)
	close(old.changed)
}

// record appends changes to the change log, in the form in which they are sent, and discards the
// oldest ones beyond the limits.
func (t *Table) record(old *View, changes []knapweedpulley.Change) {
	latest := make(map[string]knapweedpulley.Object, len(changes))
	for _, c := range changes {
		before, ok := latest[c.Name]
		if !ok {
			before = old.Objects[c.Name]
		}
		latest[c.Name] = c.Object
		if c.Deleted {
			latest[c.Name] = knapweedpulley.Object{}
		}
		short := makePatch(before, c)
		t.changeLog = append(t.changeLog, short)
		t.logBytes += len(short.Value)
	}
	drop := 0
	for ; len(t.changeLog)-drop > maxLogChanges || (t.logBytes > maxLogBytes && drop < len(t.changeLog)); drop++ {
		t.logBytes -= len(t.changeLog[drop].Value)
	}
	if drop > 0 {
		t.logStart = t.changeLog[drop-1].Revision
		t.changeLog = slices.Clone(t.changeLog[drop:])
	}
}

// applyChanges returns the changes that a view lacks, with their full values, and the objects that
// result from them. It returns false if the value that a patch is based on is missing.
func applyChanges(
	old *View, changes []knapweedpulley.ConfigurationChange,
) ([]knapweedpulley.Change, map[string]knapweedpulley.Object, bool) {
	var fresh []knapweedpulley.Change
	next := old.Objects
	for _, c := range changes {
		if c.Revision <= old.Revision {
			continue
		}
		whole, ok := applyPatch(next[c.Name], c)
		if !ok {
			return nil, nil, false
		}
		if len(fresh) == 0 {
			next = maps.Clone(old.Objects)
		}
		fresh = append(fresh, whole)
		next[c.Name] = whole.Object
		if c.Deleted {
			delete(next, c.Name)
		}
	}
	return fresh, next, true
}

// difference returns the changes that lead from one content to another that is complete up to
// revision, ordered by revision.
func difference(
	old, next map[string]knapweedpulley.Object, revision knapweedpulley.Revision,
) []knapweedpulley.Change {
	var changes []knapweedpulley.Change
	for n, o := range next {
		if old[n].Revision != o.Revision {
			changes = append(changes, knapweedpulley.Change{Object: o})
		}
	}
	for n, o := range old {
		if _, kept := next[n]; !kept {
			removed := knapweedpulley.Object{Kind: o.Kind, Name: n, Revision: revision}
			changes = append(changes, knapweedpulley.Change{Object: removed, Deleted: true})
		}
	}
	slices.SortFunc(changes, func(a, b knapweedpulley.Change) int { return cmp.Compare(a.Revision, b.Revision) })
	return changes
}

// trimObjects trims objects that were read from the store.
func (t *Table) trimObjects(objects []knapweedpulley.Object) []knapweedpulley.Object {
	if t.trim != nil {
		for i, o := range objects {
			objects[i].Value = t.trim(o.Value)
		}
	}
	return objects
}

// trimChanges trims changes that were read from the store.
func (t *Table) trimChanges(changes []knapweedpulley.Change) []knapweedpulley.Change {
	if t.trim != nil {
		for i, c := range changes {
			if !c.Deleted {
				changes[i].Value = t.trim(c.Value)
			}
		}
	}
	return changes
}
