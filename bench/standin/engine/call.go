package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// activeRequest is a request in flight.
type activeRequest struct {
	// restarted is closed when the engine restarts.
	restarted chan struct{}
	digest    core.Digest
	finished  bool
}

func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	current, status := s.admit(r)
	if status == http.StatusInternalServerError && s.cfg.ResetOnOverload {
		panic(http.ErrAbortHandler)
	}
	if status != http.StatusOK {
		http.Error(w, "engine is restarting, overloaded or has no complete version", status)
		return
	}
	defer s.finish(current, false)
	var request struct {
		Stream bool   `json:"stream"`
		Prompt string `json:"prompt"`
	}
	_ = json.Unmarshal(body, &request)
	s.prefill(r, current, request.Prompt)
	if request.Stream {
		s.streamResponse(w, r, current, request.Prompt)
		return
	}
	s.waitTokenDelay(r, current)
	s.finish(current, true)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"digest": current.digest, "echo": string(body)})
}

// admit counts a request as in flight and returns 200, or returns the status of the refusal.
func (s *Server) admit(r *http.Request) (*activeRequest, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.conns.OpenedSinceReset(r) {
		return nil, http.StatusServiceUnavailable
	}
	s.counts.Started++
	s.lastRequest = time.Now()
	if !s.status.Complete {
		s.counts.Incomplete++
		return nil, http.StatusServiceUnavailable
	}
	if s.cfg.ColdLimit > 0 && s.status.InFlight >= s.inFlightLimit() {
		s.counts.ColdOverload++
		return nil, http.StatusInternalServerError
	}
	s.setInFlight(s.status.InFlight + 1)
	s.runsByRequest[r.Header.Get("Gt-Request-Id")]++
	return &activeRequest{restarted: s.restarted, digest: s.status.Digest}, http.StatusOK
}

// inFlightLimit returns how many requests in flight the engine accepts now; the caller holds the lock.
func (s *Server) inFlightLimit() int {
	if s.warmupCompleted >= s.cfg.WarmupCompletions {
		return math.MaxInt
	}
	if s.cfg.WarmLimit == 0 {
		return s.cfg.ColdLimit
	}
	return s.cfg.ColdLimit + (s.cfg.WarmLimit-s.cfg.ColdLimit)*s.warmupCompleted/s.cfg.WarmupCompletions
}

// finish removes a request from the count of requests in flight, at most once. A completed request is removed before the
// last byte of its response is sent.
func (s *Server) finish(current *activeRequest, completed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current.finished || current.restarted != s.restarted {
		return
	}
	current.finished = true
	s.setInFlight(s.status.InFlight - 1)
	if completed {
		s.counts.Completed++
		s.warmupCompleted++
	}
}

func (s *Server) streamResponse(w http.ResponseWriter, r *http.Request, current *activeRequest, prompt string) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range s.cfg.Tokens {
		_, _ = fmt.Fprintf(w, "data: {\"index\":%d,\"digest\":%q,\"text\":%q}\n\n", i, current.digest, prompt)
		_ = http.NewResponseController(w).Flush()
		s.waitTokenDelay(r, current)
	}
	s.finish(current, true)
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}
