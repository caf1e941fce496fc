package store

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/rawjson"
)

// codec implements knapweedpulley.StoreCodec for the project's own format, which the
// stand-in for the store uses.
type codec struct{}

// EpochHeader implements knapweedpulley.StoreCodec.
func (codec) EpochHeader() string {
	return ""
}

// Get implements knapweedpulley.StoreCodec.
func (codec) Get(kind knapweedpulley.Kind, name string) knapweedpulley.StoreCall {
	return knapweedpulley.StoreCall{Method: http.MethodGet, Target: objectTarget(kind, name)}
}

// List implements knapweedpulley.StoreCodec. A listing has only one page.
func (codec) List(kind knapweedpulley.Kind, _ string) knapweedpulley.StoreCall {
	return knapweedpulley.StoreCall{Method: http.MethodGet, Target: "/objects/" + string(kind)}
}

// Watch implements knapweedpulley.StoreCodec.
func (codec) Watch(kind knapweedpulley.Kind, after knapweedpulley.Revision, wait time.Duration) knapweedpulley.StoreCall {
	query := url.Values{"after": {after.String()}, "wait": {wait.String()}}
	return knapweedpulley.StoreCall{Method: http.MethodGet, Target: "/watch/" + string(kind) + "?" + query.Encode()}
}

// Put implements knapweedpulley.StoreCodec.
func (codec) Put(
	kind knapweedpulley.Kind, name string, value []byte, expected knapweedpulley.Revision,
) knapweedpulley.StoreCall {
	return knapweedpulley.StoreCall{
		Method: http.MethodPut, Target: objectTarget(kind, name), Header: ifMatch(expected), Body: value,
	}
}

// Delete implements knapweedpulley.StoreCodec.
func (codec) Delete(kind knapweedpulley.Kind, name string, expected knapweedpulley.Revision) knapweedpulley.StoreCall {
	return knapweedpulley.StoreCall{
		Method: http.MethodDelete, Target: objectTarget(kind, name), Header: ifMatch(expected),
	}
}

// Object implements knapweedpulley.StoreCodec.
func (codec) Object(_ knapweedpulley.Kind, body []byte) (knapweedpulley.Object, error) {
	var o object
	err := decode(body, &o)
	return o.object(), err
}

// Listing implements knapweedpulley.StoreCodec. Each object is decoded by itself. One that can't be
// decoded stays in the listing without a value, because it exists.
func (codec) Listing(
	kind knapweedpulley.Kind, body []byte,
) (knapweedpulley.Listing, knapweedpulley.Option[string], error) {
	changes, revision, err := decodeObjects(kind, body, "objects")
	l := knapweedpulley.Listing{Revision: revision, Objects: make([]knapweedpulley.Object, 0, len(changes))}
	for _, c := range changes {
		l.Objects = append(l.Objects, c.Object)
	}
	return l, knapweedpulley.None[string](), err
}

// Changes implements knapweedpulley.StoreCodec. Each change is decoded by itself, as in Listing.
func (codec) Changes(
	kind knapweedpulley.Kind, body []byte,
) ([]knapweedpulley.Change, knapweedpulley.Revision, error) {
	return decodeObjects(kind, body, "changes")
}

// Written implements knapweedpulley.StoreCodec.
func (codec) Written(body []byte) (knapweedpulley.Revision, error) {
	var w writeAnswer
	err := decode(body, &w)
	return w.Revision, err
}

func objectTarget(kind knapweedpulley.Kind, name string) string {
	return "/objects/" + string(kind) + "/" + url.PathEscape(name)
}

func ifMatch(expected knapweedpulley.Revision) []knapweedpulley.HeaderField {
	return []knapweedpulley.HeaderField{{Name: headerIfMatch, Value: expected.String()}}
}

func decode(body []byte, answer any) error {
	return errors.Wrap(json.Unmarshal(body, answer), "decode store answer")
}

// decodeObjects decodes the objects in a member of an answer, and the revision of the answer.
func decodeObjects(
	kind knapweedpulley.Kind, body []byte, member string,
) ([]knapweedpulley.Change, knapweedpulley.Revision, error) {
	answer, err := rawjson.Members(body)
	if err != nil {
		return nil, 0, errors.Wrap(err, "decode store answer")
	}
	// An answer that was cut before its body is empty.
	if _, present := answer["revision"]; !present {
		return nil, 0, errors.New("store answer has no revision")
	}
	var revision knapweedpulley.Revision
	if err := decodeMember(answer, "revision", &revision); err != nil {
		return nil, 0, err
	}
	objects, err := rawjson.Elements(answer[member])
	if err != nil {
		return nil, 0, errors.Wrapf(err, "decode %s of store answer", member)
	}
	changes := make([]knapweedpulley.Change, 0, len(objects))
	for _, o := range objects {
		if c, named := decodeLenient(kind, o, revision); named {
			changes = append(changes, c)
		}
	}
	return changes, revision, nil
}

// decodeLenient decodes an object of an answer that is complete up to the given revision. It
// returns false if the name can't be decoded. An object of which another member can't be decoded
// gets no value and changed no later than that revision.
func decodeLenient(
	kind knapweedpulley.Kind, text json.RawMessage, complete knapweedpulley.Revision,
) (knapweedpulley.Change, bool) {
	// An error leaves members out.
	members, _ := rawjson.Members(text)
	c := knapweedpulley.Change{Object: knapweedpulley.Object{Kind: kind}}
	if err := decodeMember(members, "name", &c.Name); err != nil || c.Name == "" {
		return c, false
	}
	err := errors.CombineErrors(
		decodeMember(members, "revision", &c.Revision), decodeMember(members, "deleted", &c.Deleted))
	if err != nil {
		c.Revision, c.Deleted = complete, false
		return c, true
	}
	// The members share the memory of the whole answer.
	c.Value = bytes.Clone(members["value"])
	return c, true
}

// decodeMember decodes a member of an object unless it is left out.
func decodeMember(members map[string]json.RawMessage, name string, value any) error {
	text, present := members[name]
	if !present {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(text, value), "decode %s of store answer", name)
}
