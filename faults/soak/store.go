package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/store/fake"
)

// Store is a fake of the platform's store. The soak writes its content directly, and the
// gateways read it over HTTP.
type Store struct {
	objects *fake.Store
	// failing makes all HTTP requests fail with status 503.
	failing atomic.Bool

	mu        sync.Mutex
	revisions map[string]knapweedpulley.Revision
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{objects: fake.New(), revisions: make(map[string]knapweedpulley.Revision)}
}

// Put creates or overwrites an object, whatever its current revision is.
func (s *Store) Put(kind knapweedpulley.Kind, name string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode an object")
	}
	return s.PutRaw(kind, name, data)
}

// PutRaw creates or overwrites an object with a value that need not be valid.
func (s *Store) PutRaw(kind knapweedpulley.Kind, name string, data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := string(kind) + "/" + name
	r, err := s.objects.Put(context.Background(), kind, name, data, s.revisions[key])
	if err != nil {
		return err
	}
	s.revisions[key] = r
	return nil
}

// Delete removes an object if it exists.
func (s *Store) Delete(kind knapweedpulley.Kind, name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := string(kind) + "/" + name
	if s.revisions[key] == 0 {
		return nil
	}
	_, err := s.objects.Delete(context.Background(), kind, name, s.revisions[key])
	delete(s.revisions, key)
	return err
}

// encodeItem returns an object in the JSON encoding of the platform. It copies the value as it is,
// because package json rejects deeply nested values.
func encodeItem(o knapweedpulley.Object) string {
	return fmt.Sprintf(`{"metadata":{"name":%q,"revision":%d},"spec":%s}`, o.Name, o.Revision, o.Value)
}

// ServeHTTP implements http.Handler. It serves lists and watches.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.failing.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	kind := knapweedpulley.KindEndpoints
	switch {
	case strings.HasSuffix(r.URL.Path, "/config"):
		kind = knapweedpulley.KindInstallation
	case strings.HasSuffix(r.URL.Path, "/evacuations"):
		kind = knapweedpulley.KindEvacuations
	}
	if after := r.URL.Query().Get("watch"); after != "" {
		s.watch(w, r, kind, after)
		return
	}
	l, err := s.objects.List(r.Context(), kind)
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	items := make([]string, 0, len(l.Objects))
	for _, o := range l.Objects {
		items = append(items, encodeItem(o))
	}
	writeText(w, fmt.Sprintf(`{"items":[%s],"hasMore":false,"currentRev":%d}`, strings.Join(items, ","), l.Revision))
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind knapweedpulley.Kind, after string) {
	revision, err := strconv.ParseUint(after, 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("waitMs") + "ms")
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	changes, next, err := s.objects.Watch(r.Context(), kind, knapweedpulley.Revision(revision), wait)
	if errors.Is(err, knapweedpulley.ErrCompacted) {
		w.WriteHeader(http.StatusGone)
		return
	}
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	list := make([]string, 0, len(changes))
	for _, c := range changes {
		if c.Deleted && len(c.Value) == 0 {
			c.Value = []byte("null")
		}
		list = append(list, fmt.Sprintf(`{"object":%s,"deleted":%t}`, encodeItem(c.Object), c.Deleted))
	}
	writeText(w, fmt.Sprintf(`{"events":[%s],"currentRev":%d}`, strings.Join(list, ","), next))
}

// writeJSON answers with v as JSON. It ignores write errors: the client has disconnected.
func writeJSON(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	writeText(w, string(data))
}

// writeText answers with text in JSON.
func writeText(w http.ResponseWriter, text string) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, text) //nolint:gosec // No browser reads it.
}
