package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: lists and watches of objects.
type store struct {
	address string

	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object
	events   []event
	changed  chan struct{}
}

type metadata struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
}

type object struct {
	Metadata      metadata        `json:"metadata"`
	Specification json.RawMessage `json:"specification"`
}

type event struct {
	kind     string
	revision int64
	Object   object `json:"object"`
	Removed  bool   `json:"removed"`
}

func newStore() *store {
	return &store{revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// put writes an object and returns the time of the acknowledgment.
func (s *store) put(kind, name string, specification any) time.Time {
	body, err := json.Marshal(specification)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o := object{Metadata: metadata{Name: name, Revision: s.revision}, Specification: body}
	s.objects[kind][name] = o
	s.add(event{kind: kind, revision: s.revision, Object: o})
	return time.Now()
}

// remove removes an object and returns the time of the acknowledgment.
func (s *store) remove(kind, name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if ok {
		s.revision++
		delete(s.objects[kind], name)
		o.Metadata.Revision = s.revision
		s.add(event{kind: kind, revision: s.revision, Object: o, Removed: true})
	}
	return time.Now()
}

func (s *store) add(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, ok := strings.CutPrefix(r.URL.Path, "/objects/")
	if !ok || r.Method != http.MethodGet {
		http.NotFound(w, r)
		return
	}
	query := r.URL.Query()
	if query.Has("watch") {
		s.watch(w, r, kind)
		return
	}
	s.mu.Lock()
	items := []object{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	reply(w, map[string]any{"items": items, "has_more": false, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		found := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > since {
				found = append(found, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(found) > 0 || over {
			reply(w, map[string]any{"events": found, "at": at})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-timer.C:
			over = true
		}
	}
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
