// Package hostlist is a small stand-in for the platform's lagging list of hosts.
package hostlist

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// Server serves a list of hosts.
type Server struct {
	mu    sync.Mutex
	hosts []core.Host
}

// New returns a Server with an empty list.
func New() *Server { return &Server{} }

// Set replaces the list.
func (s *Server) Set(hosts []core.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = hosts
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		hosts := s.hosts
		s.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(hosts)
	})
	return mux
}
