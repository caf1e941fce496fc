package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store: listing and watching of objects. Only the
// operator and the servers of a case write, by calling it directly.
type store struct {
	mu      sync.Mutex
	rev     uint64
	objects map[string]map[string]*object
	log     []event
	changed chan struct{}
	// era is what the store states in all its answers. away is set while it answers nothing.
	era  int
	away bool
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	CreateRev  uint64   `json:"createRev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	kind    string
	rev     uint64
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

func newStore() *store {
	return &store{era: 1, rev: 100, objects: make(map[string]map[string]*object), changed: make(chan struct{})}
}

// serve listens on an address until the process ends.
func (s *store) serve(address string) {
	l, err := net.Listen("tcp", address)
	check(err)
	go func() { _ = http.Serve(l, s) }()
}

func (s *store) put(kind, name string, spec any) {
	b, err := json.Marshal(spec)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	byName := s.objects[kind]
	if byName == nil {
		byName = make(map[string]*object)
		s.objects[kind] = byName
	}
	o := byName[name]
	if o == nil {
		o = &object{Metadata: metadata{Name: name, CreateRev: s.rev, Finalizers: []string{}}, Status: json.RawMessage("null")}
		byName[name] = o
	}
	o.Metadata.Revision = s.rev
	o.Spec = b
	s.notify(event{kind: kind, rev: s.rev, Object: *o})
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	if o == nil {
		return
	}
	delete(s.objects[kind], name)
	s.rev++
	gone := *o
	gone.Metadata.Revision = s.rev
	s.notify(event{kind: kind, rev: s.rev, Object: gone, Deleted: true})
}

// backup is a copy of the store's content.
type backup struct {
	rev     uint64
	objects map[string]map[string]*object
}

// copy returns a copy of the present content.
func (s *store) copy() backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := backup{rev: s.rev, objects: make(map[string]map[string]*object)}
	for kind, byName := range s.objects {
		b.objects[kind] = make(map[string]*object)
		for name, o := range byName {
			kept := *o
			b.objects[kind][name] = &kept
		}
	}
	return b
}

// leave makes the store answer nothing.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// comeBack makes the store answer again, with the content of a copy and in the next era.
func (s *store) comeBack(b backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
	s.era++
	s.rev, s.objects, s.log = b.rev, b.objects, nil
}

// notify records an event and wakes the watches. The caller holds mu.
func (s *store) notify(e event) {
	s.log = append(s.log, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	away, era := s.away, s.era
	s.mu.Unlock()
	if away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Store-Era", strconv.Itoa(era))
	w.Header().Set("Content-Type", "application/json")
	path, found := strings.CutPrefix(r.URL.Path, "/api/objects/")
	if !found || r.Method != http.MethodGet {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, one := strings.Cut(path, "/")
	switch watch := r.URL.Query().Get("watch"); {
	case one:
		s.one(w, kind, name)
	case watch != "":
		after, _ := strconv.ParseUint(watch, 10, 64)
		wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
		s.watch(w, r, kind, after, time.Duration(wait)*time.Millisecond)
	default:
		s.list(w, kind)
	}
}

func (s *store) one(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	if o == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(o)
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := make([]object, 0)
	for _, o := range s.objects[kind] {
		items = append(items, *o)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "hasMore": false, "currentRev": s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for last := false; ; {
		s.mu.Lock()
		if s.away || s.era != era {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		events := make([]event, 0)
		for _, e := range s.log {
			if e.kind == kind && e.rev > after {
				events = append(events, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if after > rev {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || last || wait <= 0 {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "currentRev": rev})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}
