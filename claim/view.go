package claim

import (
	"slices"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

// archivedRecord is a record in an archive, without its answer.
type archivedRecord struct {
	record
	archive string
}

// view is a ledger's copy of a bucket. It holds all claims of the bucket as of the revision of the
// head.
type view struct {
	// current is false if the head must be read again before the next decision.
	current  bool
	revision knapweedpulley.Revision
	head     document
	// archivedRecords holds the records of all archives that the head lists. A record in the head
	// or in a later archive replaces an earlier one.
	archivedRecords map[claimID]archivedRecord
	loadedArchives  knapweedpulley.Set[string]
}

func newView() *view {
	return &view{archivedRecords: make(map[claimID]archivedRecord), loadedArchives: knapweedpulley.NewSet[string]()}
}

// find returns the newest record of a claim and the name of the archive that holds it; the name is
// empty for a record in the head.
func (v *view) find(id claimID) (r record, archive string, ok bool) {
	i := slices.IndexFunc(v.head.Records, func(r record) bool { return r.ID == id })
	if i >= 0 {
		return v.head.Records[i], "", true
	}
	a, ok := v.archivedRecords[id]
	return a.record, a.archive, ok
}

// addArchive adds the records of an archive, without their answers.
func (v *view) addArchive(name string, records []record) {
	v.loadedArchives.Add(name)
	for _, r := range records {
		r.Answer = nil
		v.archivedRecords[r.ID] = archivedRecord{record: r, archive: name}
	}
}

// setHead replaces the head and drops the archives that it no longer lists.
func (v *view) setHead(revision knapweedpulley.Revision, head document) {
	v.revision = revision
	v.head = head
	referenced := knapweedpulley.NewSet[string]()
	for _, a := range head.Archives {
		referenced.Add(a.Name)
	}
	for name := range v.loadedArchives {
		if !referenced.Has(name) {
			v.dropArchive(name)
		}
	}
}

func (v *view) dropArchive(name string) {
	v.loadedArchives.Remove(name)
	for id, a := range v.archivedRecords {
		if a.archive == name {
			delete(v.archivedRecords, id)
		}
	}
}

// mergeRecords returns the records with the changes applied, without expired records.
func mergeRecords(records, changes []record, now time.Time, retention time.Duration) []record {
	changed := make(map[claimID]record, len(changes))
	for _, c := range changes {
		changed[c.ID] = c
	}
	merged := make([]record, 0, len(records)+len(changes))
	for _, r := range records {
		if c, ok := changed[r.ID]; ok {
			r = c
			delete(changed, r.ID)
		}
		if !r.expired(now, retention) {
			merged = append(merged, r)
		}
	}
	for _, c := range changes {
		if _, ok := changed[c.ID]; ok {
			merged = append(merged, c)
		}
	}
	return merged
}

// splitExpired divides the archives into live and expired ones.
func splitExpired(archives []archive, now time.Time, retention time.Duration) (live, expired []archive) {
	for _, a := range archives {
		if now.Sub(time.Unix(a.UpdatedSeconds, 0)) > retention {
			expired = append(expired, a)
		} else {
			live = append(live, a)
		}
	}
	return live, expired
}
