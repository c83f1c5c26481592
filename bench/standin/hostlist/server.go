// Package hostlist implements a test stand-in for the platform's host list, which lags behind changes.
package hostlist

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/guavatrestle/guavatrestle/state/core"
)

type snapshot struct {
	visibleAt time.Time
	hosts     []core.Host
}

// Server serves a host list in which each change becomes visible after a delay.
type Server struct {
	mu      sync.Mutex
	lag     time.Duration
	current []core.Host
	pending []snapshot
	view    func(viewer string, hosts []core.Host) []core.Host
	counts  Counts
}

// Counts holds the read counters of a Server.
type Counts struct {
	// Reads is the number of reads; NotModified is the number of those that got 304.
	Reads       int
	NotModified int
}

// New returns a Server with an empty list and no lag.
func New() *Server { return &Server{} }

// SetLag sets the delay after which a change becomes visible.
func (s *Server) SetLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = lag
}

// SetView makes the served list depend on its reader. The argument viewer is the first element of the request path, or
// empty if the path has none.
func (s *Server) SetView(view func(viewer string, hosts []core.Host) []core.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view = view
}

// Add adds host, or replaces the host with the same ID.
func (s *Server) Add(host core.Host) {
	s.replaceHost(host.ID, func(hosts []core.Host) []core.Host { return append(hosts, host) })
}

// Remove removes a host.
func (s *Server) Remove(id core.HostID) {
	s.replaceHost(id, func(hosts []core.Host) []core.Host { return hosts })
}

// SetState changes the state of a host.
func (s *Server) SetState(host core.Host, state core.HostState) {
	host.State = state
	s.Add(host)
}

// replaceHost applies edit to the list without host id and schedules the result to become visible.
func (s *Server) replaceHost(id core.HostID, edit func([]core.Host) []core.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	hosts := slices.DeleteFunc(slices.Clone(s.current), func(h core.Host) bool { return h.ID == id })
	s.current = edit(hosts)
	s.pending = append(s.pending, snapshot{visibleAt: time.Now().Add(s.lag), hosts: s.current})
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", s.serveHosts)
	mux.HandleFunc("GET /{viewer}/v1/hosts", s.serveHosts)
	return mux
}

// Counts returns the counters.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// serveHosts sends the list with an entity tag, or 304 if the reader has the same version.
func (s *Server) serveHosts(w http.ResponseWriter, r *http.Request) {
	hosts, view := s.visibleHosts(time.Now())
	if view != nil {
		hosts = view(r.PathValue("viewer"), hosts)
	}
	body, err := json.Marshal(hosts)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf("%q", fmt.Sprintf("%016x", xxhash.Sum64(body)))
	unchanged := r.Header.Get("If-None-Match") == tag
	s.countRead(unchanged)
	w.Header().Set("ETag", tag)
	if unchanged {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func (s *Server) countRead(unchanged bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	if unchanged {
		s.counts.NotModified++
	}
}

func (s *Server) visibleHosts(now time.Time) ([]core.Host, func(string, []core.Host) []core.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.pending) > 1 && !s.pending[1].visibleAt.After(now) {
		s.pending = s.pending[1:]
	}
	if len(s.pending) == 0 || s.pending[0].visibleAt.After(now) {
		return []core.Host{}, s.view
	}
	return s.pending[0].hosts, s.view
}
