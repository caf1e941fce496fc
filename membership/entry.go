package membership

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

// entry is the value of an entry process's object in the store.
type entry struct {
	Incarnation knapweedpulley.Incarnation `json:"incarnation"`
	Machine     knapweedpulley.MachineID   `json:"machine"`
	Zone        knapweedpulley.ZoneID      `json:"zone"`
	Address     string                     `json:"address"`
	State       knapweedpulley.EntryState  `json:"state"`
}

func encodeEntry(m knapweedpulley.Member, state knapweedpulley.EntryState) ([]byte, error) {
	value, err := json.Marshal(entry{
		Incarnation: m.Incarnation,
		Machine:     m.Machine,
		Zone:        m.Zone,
		Address:     m.Address,
		State:       state,
	})
	return value, errors.Wrap(err, "encode entry")
}

// DecodeEntry decodes the object of an entry process. The error says which object is not
// valid JSON.
func DecodeEntry(o knapweedpulley.Object) (knapweedpulley.RegisteredEntry, error) {
	var e entry
	if err := json.Unmarshal(o.Value, &e); err != nil {
		return knapweedpulley.RegisteredEntry{}, errors.Wrapf(err, "decode entry %s", o.Name)
	}
	return knapweedpulley.RegisteredEntry{
		Member: knapweedpulley.Member{
			Entry:       knapweedpulley.EntryID(o.Name),
			Incarnation: e.Incarnation,
			Machine:     e.Machine,
			Zone:        e.Zone,
			Address:     e.Address,
		},
		State:    e.State,
		Revision: o.Revision,
	}, nil
}

// NewView returns the view of the entry processes in a listing of the collection. The
// error is that of the first object that can't be decoded.
func NewView(l knapweedpulley.Listing) (knapweedpulley.EntryView, error) {
	view := knapweedpulley.EntryView{Revision: l.Revision}
	for _, o := range l.Objects {
		e, err := DecodeEntry(o)
		if err != nil {
			return knapweedpulley.EntryView{}, err
		}
		view.Entries = append(view.Entries, e)
	}
	slices.SortFunc(view.Entries, func(a, b knapweedpulley.RegisteredEntry) int {
		return cmp.Compare(a.Entry, b.Entry)
	})
	return view, nil
}
