package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the platform's store.
type object struct {
	Metadata metadata `json:"metadata"`
	Spec     any      `json:"spec"`
}

type metadata struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
}

// store is a stand-in for the platform's store. It serves lists and watches, and keeps
// the whole history.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []event
	changed  chan struct{}
	// cut is closed and replaced when the watches that wait are cut off.
	cut chan struct{}
	// cuts counts the watches that were cut off, waiting those that wait, by kind.
	cuts    int
	waiting map[string]int
}

func newStore() *store {
	return &store{revision: 1, objects: make(map[string]map[string]object), changed: make(chan struct{}), cut: make(chan struct{}), waiting: make(map[string]int)}
}

// put creates or replaces an object.
func (s *store) put(kind, name string, spec any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	o := object{Metadata: metadata{Name: name, Revision: s.revision}, Spec: spec}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][name] = o
	s.record(event{Object: o, kind: kind})
}

// remove deletes an object if it exists.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, known := s.objects[kind][name]
	if !known {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	o.Metadata.Revision = s.revision
	s.record(event{Object: o, Deleted: true, kind: kind})
}

// cutWatches cuts off the watches that wait: it closes their channels without an answer. It returns
// how many were cut off before.
func (s *store) cutWatches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cut)
	s.cut = make(chan struct{})
	return s.cuts
}

// awaitWatch waits until a watch of a kind waits, for 5 s at most.
func (s *store) awaitWatch(kind string) {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		s.mu.Lock()
		n := s.waiting[kind]
		s.mu.Unlock()
		if n > 0 {
			return
		}
	}
}

func (s *store) record(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	if r.Method != http.MethodGet || name != "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	query := r.URL.Query()
	if after := query.Get("watch"); after != "" {
		s.watch(w, r, kind, after, query.Get("waitMs"))
		return
	}
	s.mu.Lock()
	names := make([]string, 0)
	for n := range s.objects[kind] {
		if n > query.Get("after") {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	items := make([]object, 0, len(names))
	for _, n := range names {
		items = append(items, s.objects[kind][n])
	}
	answer := map[string]any{"items": items, "hasMore": false, "currentRev": s.revision}
	s.mu.Unlock()
	writeJSON(w, answer)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind, after, wait string) {
	from, err := strconv.ParseUint(after, 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ms, err := strconv.Atoi(wait)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := make([]event, 0)
		for _, e := range s.history {
			if e.kind == kind && e.Object.Metadata.Revision > from {
				events = append(events, e)
			}
		}
		current, changed, cut := s.revision, s.changed, s.cut
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "currentRev": current})
			return
		}
		s.addWaiting(kind, 1)
		select {
		case <-changed:
			s.addWaiting(kind, -1)
		case <-cut:
			s.addWaiting(kind, -1)
			s.mu.Lock()
			s.cuts++
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		case <-timer.C:
			s.addWaiting(kind, -1)
			writeJSON(w, map[string]any{"events": events, "currentRev": current})
			return
		case <-r.Context().Done():
			s.addWaiting(kind, -1)
			return
		}
	}
}

func (s *store) addWaiting(kind string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting[kind] += n
}

func writeJSON(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = fmt.Fprintf(w, "%s", data)
}
