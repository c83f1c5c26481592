// Package objectapi is a small stand-in for the platform's object API.
package objectapi

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
)

// maxObjectBytes is the largest object that the API holds.
const maxObjectBytes = 1 << 20

type metadata struct {
	Name            string            `json:"name"`
	ResourceVersion string            `json:"resourceVersion"`
	Labels          map[string]string `json:"labels,omitempty"`
}

type resource struct {
	APIVersion string          `json:"apiVersion"`
	Kind       string          `json:"kind"`
	Metadata   metadata        `json:"metadata"`
	Spec       json.RawMessage `json:"spec"`
	plural     string
}

type event struct {
	Type   string   `json:"type"`
	Object resource `json:"object"`
	seq    uint64
}

// Server keeps objects in memory and serves them with versions, conditional updates and watches.
type Server struct {
	mu      sync.Mutex
	changed *sync.Cond
	seq     uint64
	objects map[string]resource
	history []event
	// trimmed is the version of the newest event that the history no longer holds.
	trimmed uint64
	closed  bool
	faults  faults
	counts  Counts
	// watchers counts the open watches by caller.
	watchers map[string]int
}

// New returns an empty Server without faults.
func New() *Server {
	s := &Server{objects: make(map[string]resource), faults: newFaults(), counts: newCounts(), watchers: make(map[string]int)}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// Close ends all watches.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.changed.Broadcast()
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	const root = "/apis/guavatrestle.io/v1/namespaces/{ns}/{plural}"
	mux.HandleFunc("GET "+root, s.listOrWatch)
	mux.HandleFunc("POST "+root, s.create)
	mux.HandleFunc("GET "+root+"/{name}", s.get)
	mux.HandleFunc("PUT "+root+"/{name}", s.update)
	mux.HandleFunc("DELETE "+root+"/{name}", s.remove)
	return s.named(s.guard(mux))
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	object, ok := s.objects[key(r, r.PathValue("name"))]
	s.mu.Unlock()
	if !ok {
		fail(w, http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, object)
}

func (s *Server) create(w http.ResponseWriter, r *http.Request) {
	object, ok := decode(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k := key(r, object.Metadata.Name)
	if _, exists := s.objects[k]; exists {
		fail(w, http.StatusConflict)
		return
	}
	reply(w, http.StatusCreated, s.store(k, "ADDED", object))
}

func (s *Server) update(w http.ResponseWriter, r *http.Request) {
	object, ok := decode(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k := key(r, r.PathValue("name"))
	held, exists := s.objects[k]
	if !exists {
		fail(w, http.StatusNotFound)
		return
	}
	if held.Metadata.ResourceVersion != object.Metadata.ResourceVersion {
		fail(w, http.StatusConflict)
		return
	}
	reply(w, http.StatusOK, s.store(k, "MODIFIED", object))
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	wanted := precondition(w, r)
	s.mu.Lock()
	defer s.mu.Unlock()
	k := key(r, r.PathValue("name"))
	held, exists := s.objects[k]
	if !exists {
		fail(w, http.StatusNotFound)
		return
	}
	if wanted != "" && wanted != held.Metadata.ResourceVersion {
		fail(w, http.StatusConflict)
		return
	}
	s.seq++
	delete(s.objects, k)
	held.Metadata.ResourceVersion = strconv.FormatUint(s.seq, 10)
	s.record(event{Type: "DELETED", Object: held, seq: s.seq})
	reply(w, http.StatusOK, held)
}

// store saves object under the next version; the caller holds the lock.
func (s *Server) store(k, eventType string, object resource) resource {
	s.seq++
	object.Metadata.ResourceVersion = strconv.FormatUint(s.seq, 10)
	object.plural = strings.SplitN(k, "/", 3)[1]
	s.objects[k] = object
	s.record(event{Type: eventType, Object: object, seq: s.seq})
	return object
}

func (s *Server) record(e event) {
	s.history = append(s.history, e)
	if limit := s.faults.history; limit > 0 && len(s.history) > limit {
		drop := len(s.history) - limit
		s.trimmed = s.history[drop-1].seq
		s.history = s.history[drop:]
	}
	s.changed.Broadcast()
}

func (s *Server) listOrWatch(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("watch") == "true" {
		s.watch(w, r)
		return
	}
	name, value, _ := strings.Cut(r.URL.Query().Get("labelSelector"), "=")
	s.mu.Lock()
	items := []resource{}
	for k, object := range s.objects {
		if strings.HasPrefix(k, key(r, "")) && (name == "" || object.Metadata.Labels[name] == value) {
			items = append(items, object)
		}
	}
	version := strconv.FormatUint(s.seq, 10)
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"metadata": metadata{ResourceVersion: version}, "items": items})
}

func key(r *http.Request, name string) string {
	return r.PathValue("ns") + "/" + r.PathValue("plural") + "/" + name
}

// precondition returns the version that a delete is conditional on, if any.
func precondition(w http.ResponseWriter, r *http.Request) string {
	var options struct {
		Preconditions struct {
			ResourceVersion string `json:"resourceVersion"`
		} `json:"preconditions"`
	}
	_ = json.NewDecoder(http.MaxBytesReader(w, r.Body, maxObjectBytes)).Decode(&options)
	return options.Preconditions.ResourceVersion
}

func decode(w http.ResponseWriter, r *http.Request) (resource, bool) {
	var object resource
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxObjectBytes)).Decode(&object); err != nil {
		fail(w, http.StatusBadRequest)
		return object, false
	}
	return object, true
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func fail(w http.ResponseWriter, status int) {
	reply(w, status, map[string]any{"kind": "Status", "code": status})
}
