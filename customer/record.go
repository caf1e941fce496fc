package customer

import (
	"bytes"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/settings"
)

const (
	// maxHistoryTemplates bounds the earlier templates in the history of a record.
	maxHistoryTemplates = 10
	// maxHistoryEditions bounds the editions in the history of a record.
	maxHistoryEditions = 40
	// maxRecordSize bounds an encoded record. The store accepts objects of up to one megabyte.
	maxRecordSize = 900 * knapweedpulley.KiB
)

// Action is the kind of a change to a customer.
type Action string

// Actions of operators on a customer.
const (
	ActionApply       Action = "apply"
	ActionRollback    Action = "rollback"
	ActionIssueKey    Action = "issueKey"
	ActionWithdrawKey Action = "withdrawKey"
)

// Author identifies a change: its operator, its time and its id.
type Author struct {
	Operator knapweedpulley.OperatorID
	Time     time.Time
	Change   knapweedpulley.ChangeID
}

// Edition is one version of a customer's configuration.
type Edition struct {
	// Template is omitted from an earlier edition if the next edition has the same template. It is
	// the first field because an update can be sent as the changed remainder of a value: fields that
	// change less often belong at its start.
	Template   json.RawMessage           `json:"template,omitempty"`
	Parameters Parameters                `json:"parameters,omitempty"`
	Version    knapweedpulley.Version    `json:"version"`
	Action     Action                    `json:"action"`
	Operator   knapweedpulley.OperatorID `json:"operator"`
	Time       time.Time                 `json:"time"`
	Change     knapweedpulley.ChangeID   `json:"change"`
}

// Record is the object that the store holds for one customer: the current edition, the keys and the
// history.
type Record struct {
	Edition
	Keys []Key `json:"keys"`
	// History holds earlier editions, the oldest first.
	History []Edition `json:"history"`
}

// ParseRecord decodes a record from the store. It doesn't check the template.
func ParseRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return r, errors.Wrap(err, "decode record")
	}
	return r, nil
}

// Encode returns the record in the encoding of the store. It omits the oldest editions if the record
// would be too large, and returns an error if the record is too large even without a history.
func (r Record) Encode() ([]byte, error) {
	for {
		data, err := json.Marshal(r)
		if err != nil {
			return nil, errors.Wrap(err, "encode record")
		}
		if len(data) <= int(maxRecordSize) {
			return data, nil
		}
		if len(r.History) == 0 {
			return nil, errors.Newf("template: takes %d bytes, must take at most %d", len(data), int64(maxRecordSize))
		}
		r.History = r.History[1:]
	}
}

// TrimRecord returns an encoded record without its history, which is needed only to change the
// record. Data that can't be decoded as a record is returned unchanged.
func TrimRecord(data []byte) []byte {
	r, err := ParseRecord(data)
	if err != nil {
		return data
	}
	r.History = nil
	trimmed, err := json.Marshal(r)
	if err != nil {
		return data
	}
	return trimmed
}

// Resolve returns the template with its parameters filled in.
func (r Record) Resolve() (Template, error) {
	return Resolve(r.Template, r.Parameters)
}

// Apply returns the next version of the record, with a new template and parameters. It returns an
// error if the template is invalid with these parameters, or if its keys conflict with the keys of
// the record.
func (r Record) Apply(author Author, template json.RawMessage, parameters Parameters) (Record, error) {
	resolved, err := Resolve(template, parameters)
	if err != nil {
		return r, err
	}
	keys, err := r.mergeKeys(resolved.Keys, false)
	if err != nil {
		return r, err
	}
	compact := new(bytes.Buffer)
	if err := json.Compact(compact, template); err != nil {
		return r, errors.Wrap(err, "template")
	}
	next := r.nextVersion(author, ActionApply, compact.Bytes(), parameters)
	next.Keys = keys
	return next, nil
}

// Rollback returns the next version of the record, with the template and parameters of an earlier
// version. Withdrawn keys stay withdrawn. It returns an error if the history doesn't have the
// version.
func (r Record) Rollback(author Author, version knapweedpulley.Version) (Record, error) {
	e, ok := r.findEdition(version)
	if !ok {
		return r, errors.Newf("version: %q must be a version of the history", version)
	}
	old, err := Resolve(e.Template, e.Parameters)
	if err != nil {
		return r, errors.Wrapf(err, "version %s", version)
	}
	keys, err := r.mergeKeys(old.Keys, true)
	if err != nil {
		return r, err
	}
	next := r.nextVersion(author, ActionRollback, e.Template, e.Parameters)
	next.Keys = keys
	return next, nil
}

// IssueKey returns the next version of the record, with a new key. It returns an error if the id is
// invalid or if the record already has a key with this id, withdrawn or not.
func (r Record) IssueKey(author Author, id knapweedpulley.KeyID, hash Hash) (Record, error) {
	var f settings.Faults
	checkID(&f, "id", string(id))
	if r.keyIndex(id) >= 0 {
		f.Addf("id", id, "must not be the id of an existing or withdrawn key")
	}
	if err := f.Err(); err != nil {
		return r, err
	}
	next := r.nextVersion(author, ActionIssueKey, r.Template, r.Parameters)
	next.Keys = append(slices.Clone(r.Keys), Key{ID: id, Hash: hash})
	return next, nil
}

// WithdrawKey returns the next version of the record, with a key withdrawn permanently. It returns
// an error if the record has no key with this id.
func (r Record) WithdrawKey(author Author, id knapweedpulley.KeyID) (Record, error) {
	i := r.keyIndex(id)
	if i < 0 {
		return r, errors.Newf("id: %q must be the id of a key of the customer", id)
	}
	next := r.nextVersion(author, ActionWithdrawKey, r.Template, r.Parameters)
	next.Keys = slices.Clone(r.Keys)
	next.Keys[i].Withdrawn = true
	return next, nil
}

// nextVersion returns the next version of the record with the given template and parameters, and
// moves the present edition to the history.
func (r Record) nextVersion(author Author, action Action, template json.RawMessage, parameters Parameters) Record {
	next := Record{Edition: Edition{
		Version: r.Version + 1, Action: action, Operator: author.Operator, Time: author.Time, Change: author.Change,
		Template: template, Parameters: parameters,
	}, Keys: r.Keys}
	if r.Version == 0 {
		return next
	}
	previous := r.Edition
	if bytes.Equal(previous.Template, template) {
		previous.Template = nil
	}
	next.History = trimHistory(append(slices.Clone(r.History), previous))
	return next
}

// trimHistory drops the oldest editions beyond maxHistoryEditions and maxHistoryTemplates.
func trimHistory(history []Edition) []Edition {
	history = history[max(0, len(history)-maxHistoryEditions):]
	templates := 0
	for i := len(history) - 1; i >= 0; i-- {
		if history[i].Template != nil {
			templates++
		}
		if templates > maxHistoryTemplates {
			return history[i+1:]
		}
	}
	return history
}

// findEdition returns the edition of a version, with the template that a later edition may hold for
// it. It returns false if the record doesn't have the version.
func (r Record) findEdition(version knapweedpulley.Version) (Edition, bool) {
	if version == r.Version {
		return r.Edition, version != 0
	}
	i := slices.IndexFunc(r.History, func(e Edition) bool { return e.Version == version })
	if i < 0 {
		return Edition{}, false
	}
	e := r.History[i]
	for ; i < len(r.History) && e.Template == nil; i++ {
		e.Template = r.History[i].Template
	}
	if e.Template == nil {
		e.Template = r.Template
	}
	return e, true
}

func (r Record) keyIndex(id knapweedpulley.KeyID) int {
	return slices.IndexFunc(r.Keys, func(k Key) bool { return k.ID == id })
}

// mergeKeys returns the keys of the record together with those of a new template. Keys of the
// present template that the new one no longer lists become withdrawn. If the new template lists a
// withdrawn key, the key stays withdrawn with keepWithdrawn set and is an error otherwise.
func (r Record) mergeKeys(named []KeyTemplate, keepWithdrawn bool) ([]Key, error) {
	var f settings.Faults
	keys := slices.Clone(r.Keys)
	names := knapweedpulley.NewSet[knapweedpulley.KeyID]()
	for i, k := range named {
		names.Add(k.ID)
		in := f.In("keys[%d]", i)
		switch j := r.keyIndex(k.ID); {
		case j < 0:
			keys = append(keys, Key{ID: k.ID, Hash: k.Hash})
		case r.Keys[j].Hash != k.Hash:
			in.Addf("id", k.ID, "must not be the id of a key with another hash")
		case r.Keys[j].Withdrawn && !keepWithdrawn:
			in.Addf("id", k.ID, "must not be the id of a withdrawn key")
		}
	}
	for _, k := range r.templateKeys() {
		if j := r.keyIndex(k.ID); j >= 0 && !names.Has(k.ID) {
			keys[j].Withdrawn = true
		}
	}
	return keys, f.Err()
}

func (r Record) templateKeys() []KeyTemplate {
	if r.Version == 0 {
		return nil
	}
	t, err := r.Resolve()
	if err != nil {
		return nil
	}
	return t.Keys
}

// Contains reports whether a change led to the current edition or to one in the history.
func (r Record) Contains(change knapweedpulley.ChangeID) bool {
	return r.Change == change ||
		slices.ContainsFunc(r.History, func(e Edition) bool { return e.Change == change })
}
