package store

import (
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

// codec implements knapweedpulley.StoreCodec for the project's own format, which the
// stand-in for the store uses.
type codec struct{}

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

// Listing implements knapweedpulley.StoreCodec.
func (codec) Listing(
	_ knapweedpulley.Kind, body []byte,
) (knapweedpulley.Listing, knapweedpulley.Option[string], error) {
	var l listing
	err := decode(body, &l)
	return l.listing(), knapweedpulley.None[string](), err
}

// Changes implements knapweedpulley.StoreCodec.
func (codec) Changes(
	_ knapweedpulley.Kind, body []byte,
) ([]knapweedpulley.Change, knapweedpulley.Revision, error) {
	var l changeList
	err := decode(body, &l)
	return l.changes(), l.Revision, err
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
