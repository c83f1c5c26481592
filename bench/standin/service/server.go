// Package service implements a test stand-in for a plain service that takes bookings.
//
// It counts how often each booking, idempotency key and request ran.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/guavatrestle/guavatrestle/bench/standin/conns"
	"github.com/guavatrestle/guavatrestle/protocol/platform"
)

// Config sets the behavior of a Server.
type Config struct {
	// Delay is the time that a booking takes.
	Delay time.Duration
}

// Runs holds how often each booking ran, by three identifiers.
type Runs struct {
	// ByBooking is keyed by the field "booking" of the body, which the caller chooses once per booking.
	ByBooking map[string]int
	// ByKey is keyed by the header Idempotency-Key.
	ByKey map[string]int
	// ByRequest is keyed by the request ID that guavatrestle gave the call.
	ByRequest map[string]int
}

// Server accepts bookings at every path.
type Server struct {
	cfg             Config
	conns           *conns.Server
	mu              sync.Mutex
	bootID          string
	inFlight        int
	responsesToDrop int
	runs            Runs
}

// New starts a Server.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, bootID: uuid.NewString(), runs: newRuns()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /engine/status", s.serveStatus)
	mux.HandleFunc("/", s.serveBooking)
	s.conns = conns.Start(mux)
	return s
}

// URL returns the base URL.
func (s *Server) URL() string { return s.conns.URL() }

// Close stops the server.
func (s *Server) Close() { s.conns.Close() }

// StallConnections makes requests on the open connections hang for good; new connections work.
func (s *Server) StallConnections() { s.conns.StallConnections() }

// DropResponses makes the next n bookings run without a response: the connection closes instead.
func (s *Server) DropResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responsesToDrop = n
}

// Restart aborts all requests and starts under a new boot ID.
func (s *Server) Restart() {
	s.conns.Reset(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.bootID = uuid.NewString()
	})
}

// Runs returns a copy of the counters.
func (s *Server) Runs() Runs {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := newRuns()
	copyCounts(out.ByBooking, s.runs.ByBooking)
	copyCounts(out.ByKey, s.runs.ByKey)
	copyCounts(out.ByRequest, s.runs.ByRequest)
	return out
}

func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	status := platform.EngineStatus{BootID: s.bootID, Complete: true, InFlight: s.inFlight}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(status)
}

func (s *Server) serveBooking(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	dropResponse := s.startRun(r, body)
	defer s.endRun()
	timer := time.NewTimer(s.cfg.Delay)
	defer timer.Stop()
	select {
	case <-r.Context().Done():
		return
	case <-timer.C:
	}
	if dropResponse {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]string{"booked": string(body)})
}

// startRun counts a run and reports whether its response is to be dropped.
func (s *Server) startRun(r *http.Request, body []byte) bool {
	var request struct {
		Booking string `json:"booking"`
	}
	_ = json.Unmarshal(body, &request)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	s.runs.ByBooking[request.Booking]++
	s.runs.ByRequest[r.Header.Get("Gt-Request-Id")]++
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		s.runs.ByKey[key]++
	}
	if s.responsesToDrop == 0 {
		return false
	}
	s.responsesToDrop--
	return true
}

func (s *Server) endRun() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

func newRuns() Runs {
	return Runs{ByBooking: make(map[string]int), ByKey: make(map[string]int), ByRequest: make(map[string]int)}
}

func copyCounts(to, from map[string]int) {
	for name, n := range from {
		to[name] = n
	}
}
