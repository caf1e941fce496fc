package objects

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/standin/fault"
	"github.com/knapweedpulley/knapweedpulley/standin/web"
)

const (
	// MaxValue bounds the value of an object, in bytes.
	MaxValue = 1 << 20
	// maxWait bounds how long a watch may wait for a change.
	maxWait = 60 * time.Second
	// headerIfMatch carries the revision that a write expects the object to have.
	headerIfMatch = "If-Match"
	pathCounts    = "/counts"
)

// Object is one object in a response.
type Object struct {
	Kind     knapweedpulley.Kind     `json:"kind"`
	Name     string                  `json:"name"`
	Revision knapweedpulley.Revision `json:"revision"`
	Value    json.RawMessage         `json:"value,omitempty"`
	Deleted  bool                    `json:"deleted,omitempty"`
}

// ObjectList is the response body of GET /objects/{kind}.
type ObjectList struct {
	Objects  []Object                `json:"objects"`
	Revision knapweedpulley.Revision `json:"revision"`
}

// ChangeList is the response body of GET /watch/{kind}.
type ChangeList struct {
	Changes  []Object                `json:"changes"`
	Revision knapweedpulley.Revision `json:"revision"`
}

// WriteResult is the response body of a write. If the write conflicts, it carries the
// object's current revision.
type WriteResult struct {
	Revision knapweedpulley.Revision `json:"revision"`
}

// Handler serves a store over HTTP.
type Handler struct {
	store *Store
	http.Handler
}

// NewHandler returns the HTTP API of store, subject to the fault that is set in faults.
func NewHandler(store *Store, faults *fault.Injector) *Handler {
	h := &Handler{store: store}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{kind}/{name}", h.get)
	mux.HandleFunc("GET /objects/{kind}", h.list)
	mux.HandleFunc("PUT /objects/{kind}/{name}", h.put)
	mux.HandleFunc("DELETE /objects/{kind}/{name}", h.remove)
	mux.HandleFunc("GET /watch/{kind}", h.watch)
	mux.HandleFunc("POST /compact/{kind}", h.compact)
	mux.HandleFunc("GET "+pathCounts, h.counts)
	h.Handler = faults.Wrap(mux, pathCounts)
	return h
}

func kindOf(r *http.Request) knapweedpulley.Kind {
	return knapweedpulley.Kind(r.PathValue("kind"))
}

func (h *Handler) get(w http.ResponseWriter, r *http.Request) {
	o, err := h.store.Get(r.Context(), kindOf(r), r.PathValue("name"))
	if err != nil {
		writeError(w, err, 0)
		return
	}
	web.Write(w, http.StatusOK, encode(o))
}

func (h *Handler) list(w http.ResponseWriter, r *http.Request) {
	listing, err := h.store.List(r.Context(), kindOf(r))
	if err != nil {
		writeError(w, err, 0)
		return
	}
	result := ObjectList{Objects: make([]Object, 0, len(listing.Objects)), Revision: listing.Revision}
	for _, o := range listing.Objects {
		result.Objects = append(result.Objects, encode(o))
	}
	web.Write(w, http.StatusOK, result)
}

func (h *Handler) put(w http.ResponseWriter, r *http.Request) {
	expected, ok := readExpectedRevision(w, r)
	if !ok {
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValue))
	if err != nil {
		web.WriteError(w, http.StatusRequestEntityTooLarge, "bodyTooLarge", err.Error())
		return
	}
	if !json.Valid(value) {
		web.WriteError(w, http.StatusBadRequest, "invalidRequest", "the value must be JSON")
		return
	}
	revision, err := h.store.Put(r.Context(), kindOf(r), r.PathValue("name"), value, expected)
	if err != nil {
		writeError(w, err, revision)
		return
	}
	web.Write(w, http.StatusOK, WriteResult{Revision: revision})
}

func (h *Handler) remove(w http.ResponseWriter, r *http.Request) {
	expected, ok := readExpectedRevision(w, r)
	if !ok {
		return
	}
	revision, err := h.store.Delete(r.Context(), kindOf(r), r.PathValue("name"), expected)
	if err != nil {
		writeError(w, err, revision)
		return
	}
	web.Write(w, http.StatusOK, WriteResult{Revision: revision})
}

func (h *Handler) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		web.WriteError(w, http.StatusBadRequest, "invalidRequest", "after must be a revision")
		return
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil || wait < 0 || wait > maxWait {
		web.WriteError(w, http.StatusBadRequest, "invalidRequest", "wait must be a duration up to "+maxWait.String())
		return
	}
	changes, revision, err := h.store.Watch(r.Context(), kindOf(r), knapweedpulley.Revision(after), wait)
	if err != nil {
		writeError(w, err, revision)
		return
	}
	result := ChangeList{Changes: make([]Object, 0, len(changes)), Revision: revision}
	for _, c := range changes {
		o := encode(c.Object)
		o.Deleted = c.Deleted
		result.Changes = append(result.Changes, o)
	}
	web.Write(w, http.StatusOK, result)
}

func (h *Handler) compact(w http.ResponseWriter, r *http.Request) {
	h.store.Compact(kindOf(r))
	w.WriteHeader(http.StatusNoContent)
}

func (h *Handler) counts(w http.ResponseWriter, _ *http.Request) {
	web.Write(w, http.StatusOK, h.store.Counts())
}

func encode(o knapweedpulley.Object) Object {
	return Object{Kind: o.Kind, Name: o.Name, Revision: o.Revision, Value: o.Value}
}

func readExpectedRevision(w http.ResponseWriter, r *http.Request) (knapweedpulley.Revision, bool) {
	expected, err := strconv.ParseUint(r.Header.Get(headerIfMatch), 10, 64)
	if err != nil {
		web.WriteError(w, http.StatusPreconditionRequired, "invalidRequest", "If-Match must be a revision")
		return 0, false
	}
	return knapweedpulley.Revision(expected), true
}

func writeError(w http.ResponseWriter, err error, revision knapweedpulley.Revision) {
	switch {
	case errors.Is(err, knapweedpulley.ErrConflict):
		web.Write(w, http.StatusConflict, WriteResult{Revision: revision})
	case errors.Is(err, knapweedpulley.ErrObjectNotFound):
		web.WriteError(w, http.StatusNotFound, "notFound", err.Error())
	case errors.Is(err, knapweedpulley.ErrCompacted):
		web.WriteError(w, http.StatusGone, "compacted", err.Error())
	default:
		web.WriteError(w, http.StatusServiceUnavailable, "unavailable", err.Error())
	}
}
