// Package engine is a small stand-in for a model engine and for a plain service.
package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/blake3"

	"github.com/guavatrestle/guavatrestle/protocol/platform"
	"github.com/guavatrestle/guavatrestle/state/core"
)

// Config sets the behaviour of a Server.
type Config struct {
	// Tokens is the number of parts of a streamed response.
	Tokens int
	// TokenDelay is the time between two parts.
	TokenDelay time.Duration
	// ChecksFencing makes the engine refuse orders with an old fencing token.
	ChecksFencing bool
}

// Server answers completions with the digest of the version that it holds.
type Server struct {
	cfg    Config
	mu     sync.Mutex
	status platform.EngineStatus
	runs   map[string]int
}

// New returns a Server that holds no version.
func New(cfg Config) *Server {
	return &Server{cfg: cfg, status: platform.EngineStatus{BootID: uuid.NewString()}, runs: make(map[string]int)}
}

// Runs returns how often each request ID ran.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for id, n := range s.runs {
		out[id] = n
	}
	return out
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /engine/status", s.serveStatus)
	mux.HandleFunc("POST /engine/load", s.load)
	mux.HandleFunc("/", s.call)
	return mux
}

func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	status := s.status
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(status)
}

func (s *Server) load(w http.ResponseWriter, r *http.Request) {
	token, _ := strconv.ParseUint(r.Header.Get("Engine-Fencing-Token"), 10, 64)
	s.mu.Lock()
	if s.cfg.ChecksFencing && token < s.status.FencingToken {
		s.mu.Unlock()
		http.Error(w, "fencing token is old", http.StatusConflict)
		return
	}
	s.status.FencingToken = max(token, s.status.FencingToken)
	s.status.Complete = false
	s.mu.Unlock()
	hash := blake3.New()
	_, err := io.Copy(hash, r.Body)
	content := core.DigestFromSum(hash.Sum(nil))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status.Model = core.Model(r.Header.Get("Engine-Model"))
	s.status.Digest = core.Digest(r.Header.Get("Engine-Digest"))
	s.status.Complete = err == nil && string(content) == r.Header.Get("Engine-Content")
	if !s.status.Complete {
		http.Error(w, "weights are not complete", http.StatusUnprocessableEntity)
	}
}

func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.status.InFlight++
	s.runs[r.Header.Get("Gt-Request-Id")]++
	digest := s.status.Digest
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.status.InFlight--
		s.mu.Unlock()
	}()
	var request struct {
		Stream bool   `json:"stream"`
		Prompt string `json:"prompt"`
	}
	_ = json.Unmarshal(body, &request)
	if request.Stream {
		s.stream(w, r, digest, request.Prompt)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"digest": digest, "echo": string(body)})
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, digest core.Digest, prompt string) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range s.cfg.Tokens {
		_, _ = fmt.Fprintf(w, "data: {\"index\":%d,\"digest\":%q,\"text\":%q}\n\n", i, digest, prompt)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(s.cfg.TokenDelay):
		}
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}
