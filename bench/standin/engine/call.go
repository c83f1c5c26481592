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

// run is one request in flight.
type run struct {
	life   chan struct{}
	digest core.Digest
	ended  bool
}

func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	current, status := s.begin(r)
	if status == http.StatusInternalServerError && s.cfg.ResetOnOverload {
		panic(http.ErrAbortHandler)
	}
	if status != http.StatusOK {
		http.Error(w, "the engine cannot serve the request", status)
		return
	}
	defer s.end(current, false)
	var request struct {
		Stream bool   `json:"stream"`
		Prompt string `json:"prompt"`
	}
	_ = json.Unmarshal(body, &request)
	s.prefill(r, current, request.Prompt)
	if request.Stream {
		s.stream(w, r, current, request.Prompt)
		return
	}
	s.pause(r, current)
	s.end(current, true)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"digest": current.digest, "echo": string(body)})
}

// begin counts a request in and returns 200, or the status of its failure.
func (s *Server) begin(r *http.Request) (*run, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.conns.OpenedSinceReset(r) {
		return nil, http.StatusServiceUnavailable
	}
	s.counts.Started++
	s.last = time.Now()
	if !s.status.Complete {
		s.counts.Incomplete++
		return nil, http.StatusServiceUnavailable
	}
	if s.cfg.ColdLimit > 0 && s.status.InFlight >= s.bearable() {
		s.counts.ColdOverload++
		return nil, http.StatusInternalServerError
	}
	s.setInFlight(s.status.InFlight + 1)
	s.runs[r.Header.Get("Gt-Request-Id")]++
	return &run{life: s.life, digest: s.status.Digest}, http.StatusOK
}

// bearable returns the load that the engine bears now; the caller holds the lock.
func (s *Server) bearable() int {
	if s.warmth >= s.cfg.WarmupCompletions {
		return math.MaxInt
	}
	if s.cfg.WarmLimit == 0 {
		return s.cfg.ColdLimit
	}
	return s.cfg.ColdLimit + (s.cfg.WarmLimit-s.cfg.ColdLimit)*s.warmth/s.cfg.WarmupCompletions
}

// end counts a request out once, before its last byte is sent.
func (s *Server) end(current *run, completed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current.ended || current.life != s.life {
		return
	}
	current.ended = true
	s.setInFlight(s.status.InFlight - 1)
	if completed {
		s.counts.Completed++
		s.warmth++
	}
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, current *run, prompt string) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range s.cfg.Tokens {
		_, _ = fmt.Fprintf(w, "data: {\"index\":%d,\"digest\":%q,\"text\":%q}\n\n", i, current.digest, prompt)
		_ = http.NewResponseController(w).Flush()
		s.pause(r, current)
	}
	s.end(current, true)
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}
