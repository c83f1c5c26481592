// Package objectapi implements a test stand-in for the platform's object API.
package objectapi

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
)

// maxObjectBytes bounds the size of a request body.
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
	Type    string   `json:"type"`
	Object  resource `json:"object"`
	version uint64
}

// Server keeps objects in memory and serves them with resource versions, conditional updates and watches.
type Server struct {
	mu          sync.Mutex
	changed     *sync.Cond
	lastVersion uint64
	objects     map[string]resource
	history     []event
	// trimmedVersion is the version of the newest event removed from the history.
	trimmedVersion uint64
	closed         bool
	faults         faults
	counts         Counts
	// watchers holds the number of open watches by caller.
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
	return s.withCaller(s.withFaults(mux))
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	object, ok := s.objects[objectKey(r, r.PathValue("name"))]
	s.mu.Unlock()
	if !ok {
		writeError(w, http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, object)
}

func (s *Server) create(w http.ResponseWriter, r *http.Request) {
	object, ok := decodeObject(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k := objectKey(r, object.Metadata.Name)
	if _, exists := s.objects[k]; exists {
		writeError(w, http.StatusConflict)
		return
	}
	writeJSON(w, http.StatusCreated, s.storeObject(k, "ADDED", object))
}

func (s *Server) update(w http.ResponseWriter, r *http.Request) {
	object, ok := decodeObject(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k := objectKey(r, r.PathValue("name"))
	stored, exists := s.objects[k]
	if !exists {
		writeError(w, http.StatusNotFound)
		return
	}
	if stored.Metadata.ResourceVersion != object.Metadata.ResourceVersion {
		writeError(w, http.StatusConflict)
		return
	}
	writeJSON(w, http.StatusOK, s.storeObject(k, "MODIFIED", object))
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	required := deletePrecondition(w, r)
	s.mu.Lock()
	defer s.mu.Unlock()
	k := objectKey(r, r.PathValue("name"))
	stored, exists := s.objects[k]
	if !exists {
		writeError(w, http.StatusNotFound)
		return
	}
	if required != "" && required != stored.Metadata.ResourceVersion {
		writeError(w, http.StatusConflict)
		return
	}
	s.lastVersion++
	delete(s.objects, k)
	stored.Metadata.ResourceVersion = strconv.FormatUint(s.lastVersion, 10)
	s.recordEvent(event{Type: "DELETED", Object: stored, version: s.lastVersion})
	writeJSON(w, http.StatusOK, stored)
}

// storeObject stores object under the next version and records an event; the caller holds the lock.
func (s *Server) storeObject(k, eventType string, object resource) resource {
	s.lastVersion++
	object.Metadata.ResourceVersion = strconv.FormatUint(s.lastVersion, 10)
	object.plural = strings.SplitN(k, "/", 3)[1]
	s.objects[k] = object
	s.recordEvent(event{Type: eventType, Object: object, version: s.lastVersion})
	return object
}

func (s *Server) recordEvent(e event) {
	s.history = append(s.history, e)
	if limit := s.faults.historyLimit; limit > 0 && len(s.history) > limit {
		drop := len(s.history) - limit
		s.trimmedVersion = s.history[drop-1].version
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
		if strings.HasPrefix(k, objectKey(r, "")) && (name == "" || object.Metadata.Labels[name] == value) {
			items = append(items, object)
		}
	}
	version := strconv.FormatUint(s.lastVersion, 10)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"metadata": metadata{ResourceVersion: version}, "items": items})
}

func objectKey(r *http.Request, name string) string {
	return r.PathValue("ns") + "/" + r.PathValue("plural") + "/" + name
}

// deletePrecondition returns the resource version that a delete is conditional on, or an empty string.
func deletePrecondition(w http.ResponseWriter, r *http.Request) string {
	var options struct {
		Preconditions struct {
			ResourceVersion string `json:"resourceVersion"`
		} `json:"preconditions"`
	}
	_ = json.NewDecoder(http.MaxBytesReader(w, r.Body, maxObjectBytes)).Decode(&options)
	return options.Preconditions.ResourceVersion
}

func decodeObject(w http.ResponseWriter, r *http.Request) (resource, bool) {
	var object resource
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxObjectBytes)).Decode(&object); err != nil {
		writeError(w, http.StatusBadRequest)
		return object, false
	}
	return object, true
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func writeError(w http.ResponseWriter, status int) {
	writeJSON(w, status, map[string]any{"kind": "Status", "code": status})
}
