// Package engine is a small stand-in for a model engine.
//
// A cold engine falls over above the load that it can bear, and counts it.
package engine

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/guavatrestle/guavatrestle/bench/standin/conns"
	"github.com/guavatrestle/guavatrestle/protocol/platform"
	"github.com/guavatrestle/guavatrestle/state/core"
)

// Config sets the behaviour of a Server.
type Config struct {
	// Tokens is the number of parts of a streamed response.
	Tokens int
	// TokenDelay is the time between two parts, and the time that a plain response takes.
	TokenDelay time.Duration
	// ColdLimit is the number of requests in flight that a cold engine bears; 0 means no limit.
	ColdLimit int
	// WarmLimit is the load that a warm engine bears. When it is set, the load borne rises with completed work
	// from ColdLimit to WarmLimit; when it is 0, ColdLimit holds until the engine is warm.
	WarmLimit int
	// WarmupCompletions is the number of completed requests that turn the engine warm.
	WarmupCompletions int
	// ResetOnOverload makes an overloaded cold engine reset the connection instead of returning 500.
	ResetOnOverload bool
	// ChecksFencing makes the engine refuse orders with an old fencing token.
	ChecksFencing bool
	// LoadLag is the age of the load that the status reports.
	LoadLag time.Duration
	// KeepsWeights says that a restarted engine still holds its version.
	KeepsWeights bool
	// CachedPrefixes is the number of prompt prefixes that the engine holds; 0 means that prompts cost nothing.
	CachedPrefixes int
	// PrefillDelay is the time that a prompt takes whose prefix is not held.
	PrefillDelay time.Duration
}

// Counts is what an engine has counted so far.
type Counts struct {
	// ColdOverload is the number of requests above the load that the cold engine bears.
	ColdOverload int `json:"cold_overload"`
	// Completed is the number of requests answered whole.
	Completed int `json:"completed"`
	// Mixed is the number of load orders whose bytes are not exactly an expected version.
	Mixed int `json:"mixed"`
	// Incomplete is the number of requests received while no whole version was loaded.
	Incomplete int `json:"incomplete"`
	// OldToken is the number of load orders with an old fencing token.
	OldToken int `json:"old_token"`
	// Loads is the number of load orders that took effect.
	Loads int `json:"loads"`
	// Started is the number of requests that reached the engine.
	Started int `json:"started"`
	// PrefixHits and PrefixMisses are the requests whose prompt prefix was held or not.
	PrefixHits   int `json:"prefix_hits"`
	PrefixMisses int `json:"prefix_misses"`
}

type sample struct {
	at       time.Time
	inFlight int
}

// Server answers completions with the digest of the version that it holds.
type Server struct {
	cfg      Config
	conns    *conns.Server
	mu       sync.Mutex
	status   platform.EngineStatus
	life     chan struct{}
	warmth   int
	counts   Counts
	runs     map[string]int
	expected map[core.Digest]core.Digest
	loaded   []core.Digest
	load     []sample
	last     time.Time
	// prefixes are the cached prompt prefixes, the one used last at the end.
	prefixes []string
}

// New returns a running Server that holds no version.
func New(cfg Config) *Server {
	s := &Server{
		cfg:      cfg,
		status:   platform.EngineStatus{BootID: uuid.NewString()},
		life:     make(chan struct{}),
		runs:     make(map[string]int),
		expected: make(map[core.Digest]core.Digest),
	}
	s.conns = conns.Start(s.handler())
	return s
}

// URL returns the base URL.
func (s *Server) URL() string { return s.conns.URL() }

// Close stops the server.
func (s *Server) Close() { s.conns.Close() }

// StallConnections makes all open connections silent for good; new connections work.
func (s *Server) StallConnections() { s.conns.StallConnections() }

// ExpectContent records the content of a version; load orders with other bytes count as mixed.
func (s *Server) ExpectContent(version, content core.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expected[version] = content
}

// Restart cuts off all requests and starts cold under a new boot ID.
func (s *Server) Restart() {
	s.conns.Reset(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		close(s.life)
		s.life = make(chan struct{})
		s.warmth = 0
		s.prefixes = nil
		s.setInFlight(0)
		fresh := platform.EngineStatus{BootID: uuid.NewString()}
		if s.cfg.KeepsWeights {
			fresh.Model, fresh.Digest, fresh.Complete = s.status.Model, s.status.Digest, s.status.Complete
		}
		s.status = fresh
	})
}

// Counts returns the counters.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// LastRequestTime returns the time at which the last request reached the engine.
func (s *Server) LastRequestTime() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last
}

// Warm reports whether the engine bears its full load.
func (s *Server) Warm() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.warmth >= s.cfg.WarmupCompletions
}

// Status returns the engine's own view, without lag.
func (s *Server) Status() platform.EngineStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status
}

// RunsByRequest returns how often each request ID ran.
func (s *Server) RunsByRequest() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for id, n := range s.runs {
		out[id] = n
	}
	return out
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /engine/status", s.serveStatus)
	mux.HandleFunc("POST /engine/load", s.serveLoad)
	mux.HandleFunc("/", s.call)
	return mux
}

func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	status := s.status
	status.InFlight = s.lagged(time.Now())
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(status)
}

// setInFlight records the load; the caller holds the lock.
func (s *Server) setInFlight(n int) {
	s.status.InFlight = n
	if s.cfg.LoadLag == 0 {
		return
	}
	s.load = append(s.load, sample{at: time.Now(), inFlight: n})
}

// lagged returns the load as it was LoadLag ago; the caller holds the lock.
func (s *Server) lagged(now time.Time) int {
	if s.cfg.LoadLag == 0 {
		return s.status.InFlight
	}
	for len(s.load) > 1 && !s.load[1].at.After(now.Add(-s.cfg.LoadLag)) {
		s.load = s.load[1:]
	}
	if len(s.load) == 0 || s.load[0].at.After(now.Add(-s.cfg.LoadLag)) {
		return 0
	}
	return s.load[0].inFlight
}
