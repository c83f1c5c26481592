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

// object is an object of the store as the protocol page describes it.
type object struct {
	Metadata struct {
		Name     string `json:"name"`
		Revision int64  `json:"revision"`
	} `json:"metadata"`
	Specification any `json:"specification"`
}

type event struct {
	kind    string
	Removed bool   `json:"removed"`
	Object  object `json:"object"`
}

// store is a stand-in for the platform's metadata store: lists, watches and writes by this program.
type store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object
	events   []event
	changed  chan struct{}
	down     bool
}

func newStore() *store {
	return &store{revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// put writes an object. It returns false, and does nothing, while the store is down.
func (s *store) put(kind, name string, specification any) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.revision++
	var o object
	o.Metadata.Name, o.Metadata.Revision, o.Specification = name, s.revision, specification
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.events = append(s.events, event{kind: kind, Object: o})
	s.wake()
	return true
}

// setDown makes the store refuse every call with 503, or serve again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, ok := strings.CutPrefix(r.URL.Path, "/objects/")
	if !ok || r.Method != http.MethodGet {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	since, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	if err != nil {
		s.list(w, kind)
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	s.watch(w, r, kind, since, time.After(time.Duration(wait)*time.Millisecond))
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	items := []object{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	writeJSON(w, map[string]any{"items": items, "has_more": false, "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string, since int64, over <-chan time.Time) {
	for waiting := true; ; {
		s.mu.Lock()
		down, at, changed := s.down, s.revision, s.changed
		events := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.Object.Metadata.Revision > since {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case len(events) > 0 || !waiting:
			writeJSON(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-over:
			waiting = false
		}
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
