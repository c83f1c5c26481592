// Package engine implements a test stand-in for a model engine.
//
// A cold engine fails requests above its load limit and counts them.
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

// Config sets the behavior of a Server.
type Config struct {
	// Tokens is the number of parts of a streamed response.
	Tokens int
	// TokenDelay is the time between two parts, and the time that a plain response takes.
	TokenDelay time.Duration
	// ColdLimit is the number of requests in flight that a cold engine serves; 0 means no limit.
	ColdLimit int
	// WarmLimit is the number of requests in flight towards which the limit rises during the warm-up. If it is set, the
	// limit rises from ColdLimit with the completed requests; if it is 0, ColdLimit applies until the engine is warm. A
	// warm engine has no limit.
	WarmLimit int
	// WarmupCompletions is the number of completed requests after which the engine is warm.
	WarmupCompletions int
	// ResetOnOverload makes an overloaded cold engine reset the connection instead of returning 500.
	ResetOnOverload bool
	// ChecksFencing makes the engine refuse load orders with an old fencing token.
	ChecksFencing bool
	// LoadLag is the age of the number of requests in flight that the status endpoint reports; 0 means the current number.
	LoadLag time.Duration
	// KeepsWeights makes a restarted engine keep its loaded version.
	KeepsWeights bool
	// CachedPrefixes is the capacity of the prefix cache in prompt prefixes; 0 disables prefill delays.
	CachedPrefixes int
	// PrefillDelay is the delay of a prompt whose prefix is not cached.
	PrefillDelay time.Duration
}

// Counts holds the counters of a Server.
type Counts struct {
	// ColdOverload is the number of requests above the limit of an engine that is not warm.
	ColdOverload int `json:"cold_overload"`
	// Completed is the number of requests whose response was complete.
	Completed int `json:"completed"`
	// Mixed is the number of load orders whose content differs from the expected one, as when two versions are mixed.
	Mixed int `json:"mixed"`
	// Incomplete is the number of requests received while no complete version was loaded.
	Incomplete int `json:"incomplete"`
	// OldToken is the number of load orders with an old fencing token.
	OldToken int `json:"old_token"`
	// Loads is the number of successful load orders.
	Loads int `json:"loads"`
	// Started is the number of requests that reached the engine.
	Started int `json:"started"`
	// PrefixHits and PrefixMisses count the requests whose prompt prefix was cached and not cached.
	PrefixHits   int `json:"prefix_hits"`
	PrefixMisses int `json:"prefix_misses"`
}

type loadSample struct {
	at       time.Time
	inFlight int
}

// Server serves completions; each response contains the digest of the loaded version.
type Server struct {
	cfg             Config
	conns           *conns.Server
	mu              sync.Mutex
	status          platform.EngineStatus
	restarted       chan struct{}
	warmupCompleted int
	counts          Counts
	runsByRequest   map[string]int
	expectedContent map[core.Digest]core.Digest
	loadedVersions  []core.Digest
	loadSamples     []loadSample
	lastRequest     time.Time
	// prefixes holds the cached prompt prefixes, the most recently used one last.
	prefixes []string
}

// New starts a Server that has no version loaded.
func New(cfg Config) *Server {
	s := &Server{
		cfg:             cfg,
		status:          platform.EngineStatus{BootID: uuid.NewString()},
		restarted:       make(chan struct{}),
		runsByRequest:   make(map[string]int),
		expectedContent: make(map[core.Digest]core.Digest),
	}
	s.conns = conns.Start(s.handler())
	return s
}

// URL returns the base URL.
func (s *Server) URL() string { return s.conns.URL() }

// Close stops the server.
func (s *Server) Close() { s.conns.Close() }

// StallConnections makes requests on the open connections hang for good; new connections work.
func (s *Server) StallConnections() { s.conns.StallConnections() }

// ExpectContent records the content digest of a version; load orders with other content count as Mixed.
func (s *Server) ExpectContent(version, content core.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expectedContent[version] = content
}

// Restart aborts all requests and starts cold under a new boot ID.
func (s *Server) Restart() {
	s.conns.Reset(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		close(s.restarted)
		s.restarted = make(chan struct{})
		s.warmupCompleted = 0
		s.prefixes = nil
		s.setInFlight(0)
		restartedStatus := platform.EngineStatus{BootID: uuid.NewString()}
		if s.cfg.KeepsWeights {
			restartedStatus.Model, restartedStatus.Digest, restartedStatus.Complete = s.status.Model, s.status.Digest, s.status.Complete
		}
		s.status = restartedStatus
	})
}

// Counts returns the counters.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// LastRequestTime returns when the last request reached the engine.
func (s *Server) LastRequestTime() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastRequest
}

// Warm reports whether the engine has completed its warm-up and has no load limit.
func (s *Server) Warm() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.warmupCompleted >= s.cfg.WarmupCompletions
}

// Status returns the current status; LoadLag does not apply.
func (s *Server) Status() platform.EngineStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status
}

// RunsByRequest returns the number of runs of each request, by request ID.
func (s *Server) RunsByRequest() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runsByRequest))
	for id, n := range s.runsByRequest {
		out[id] = n
	}
	return out
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /engine/status", s.serveStatus)
	mux.HandleFunc("POST /engine/load", s.serveLoad)
	mux.HandleFunc("/", s.serveCompletion)
	return mux
}

func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	status := s.status
	status.InFlight = s.laggedInFlight(time.Now())
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(status)
}

// setInFlight sets the number of requests in flight and records a sample; the caller holds the lock.
func (s *Server) setInFlight(n int) {
	s.status.InFlight = n
	if s.cfg.LoadLag == 0 {
		return
	}
	s.loadSamples = append(s.loadSamples, loadSample{at: time.Now(), inFlight: n})
}

// laggedInFlight returns the number of requests in flight LoadLag ago; the caller holds the lock.
func (s *Server) laggedInFlight(now time.Time) int {
	if s.cfg.LoadLag == 0 {
		return s.status.InFlight
	}
	for len(s.loadSamples) > 1 && !s.loadSamples[1].at.After(now.Add(-s.cfg.LoadLag)) {
		s.loadSamples = s.loadSamples[1:]
	}
	if len(s.loadSamples) == 0 || s.loadSamples[0].at.After(now.Add(-s.cfg.LoadLag)) {
		return 0
	}
	return s.loadSamples[0].inFlight
}
