package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the platform's store.
type object struct {
	kind     string
	name     string
	revision uint64
	spec     json.RawMessage
	deleted  bool
}

func (o *object) encode() string {
	spec := o.spec
	if o.deleted {
		spec = json.RawMessage("null")
	}
	return fmt.Sprintf(`{"metadata":{"name":%q,"revision":%d,"createRev":1,"finalizers":[],"deleting":false},"spec":%s,"status":null}`,
		o.name, o.revision, spec)
}

// platformStore is a stand-in for the platform's metadata store. It serves lists and watches.
type platformStore struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]*object
	history  []*object
	changed  chan struct{}
	watches  map[*watch]bool
}

// watch is a watch that waits.
type watch struct {
	kind  string
	since time.Time
	cut   chan struct{}
}

func newPlatformStore() *platformStore {
	return &platformStore{revision: 100, objects: make(map[string]*object), changed: make(chan struct{}), watches: make(map[*watch]bool)}
}

// put creates or replaces an object. An object that doesn't change gets no new revision.
func (s *platformStore) put(kind, name string, value any) uint64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if last := s.objects[kind+"/"+name]; last != nil && string(last.spec) == string(data) {
		return s.revision
	}
	s.add(&object{kind: kind, name: name, spec: data})
	return s.revision
}

func (s *platformStore) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[kind+"/"+name] != nil {
		s.add(&object{kind: kind, name: name, deleted: true})
	}
}

func (s *platformStore) add(o *object) {
	s.revision++
	o.revision = s.revision
	if o.deleted {
		delete(s.objects, o.kind+"/"+o.name)
	} else {
		s.objects[o.kind+"/"+o.name] = o
	}
	s.history = append(s.history, o)
	close(s.changed)
	s.changed = make(chan struct{})
}

// since returns the changes of a kind after a revision, and the revision up to which they are complete.
func (s *platformStore) since(kind string, after uint64) (events []string, current uint64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.history {
		if o.kind == kind && o.revision > after {
			events = append(events, fmt.Sprintf(`{"object":%s,"deleted":%t}`, o.encode(), o.deleted))
		}
	}
	return events, s.revision, s.changed
}

func (s *platformStore) list(kind string) ([]string, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for _, o := range s.objects {
		if o.kind == kind {
			names = append(names, o.name)
		}
	}
	sort.Strings(names)
	items := make([]string, 0, len(names))
	for _, n := range names {
		items = append(items, s.objects[kind+"/"+n].encode())
	}
	return items, s.revision
}

// ServeHTTP implements http.Handler.
func (s *platformStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, found := strings.CutPrefix(r.URL.Path, "/api/objects/")
	if !found || r.Method != http.MethodGet || strings.Contains(kind, "/") {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	after := r.URL.Query().Get("watch")
	if after == "" {
		items, revision := s.list(kind)
		fmt.Fprintf(w, `{"items":[%s],"hasMore":false,"currentRev":%d}`, strings.Join(items, ","), revision)
		return
	}
	revision, _ := strconv.ParseUint(after, 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	own := &watch{kind: kind, since: time.Now(), cut: make(chan struct{})}
	s.setWaiting(own, true)
	defer s.setWaiting(own, false)
	for {
		events, current, changed := s.since(kind, revision)
		if len(events) > 0 {
			fmt.Fprintf(w, `{"events":[%s],"currentRev":%d}`, strings.Join(events, ","), current)
			return
		}
		select {
		case <-changed:
		case <-end:
			fmt.Fprintf(w, `{"events":[],"currentRev":%d}`, current)
			return
		case <-own.cut:
			if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
				_ = c.Close()
			}
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *platformStore) setWaiting(w *watch, waits bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if waits {
		s.watches[w] = true
		return
	}
	delete(s.watches, w)
}

// cutWatches cuts off the watches of a kind that wait, if there are n and each has waited for least. The channels are
// closed in order, without an answer. It reports whether it has cut them.
func (s *platformStore) cutWatches(kind string, n int, least time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*watch
	for w := range s.watches {
		if w.kind == kind && time.Since(w.since) >= least {
			list = append(list, w)
		}
	}
	if len(list) < n {
		return false
	}
	for _, w := range list {
		close(w.cut)
		delete(s.watches, w)
	}
	return true
}
