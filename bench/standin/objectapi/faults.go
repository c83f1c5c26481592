package objectapi

import (
	"maps"
	"math"
	"net/http"
	"net/http/httptest"
	"strconv"
	"time"

	"golang.org/x/time/rate"
)

// CallKind is a kind of API call.
type CallKind string

// Kinds of API calls.
const (
	CallGet    CallKind = "get"
	CallList   CallKind = "list"
	CallWatch  CallKind = "watch"
	CallCreate CallKind = "create"
	CallUpdate CallKind = "update"
	CallDelete CallKind = "delete"
)

// retryAfterSeconds is the Retry-After value of a 429 response.
const retryAfterSeconds = 1

// Counts holds the counters of a Server.
type Counts struct {
	// Calls is the number of calls by kind, refused ones included.
	Calls map[CallKind]int `json:"calls"`
	// RateLimited is the number of calls refused with 429.
	RateLimited int `json:"rate_limited"`
	// OpenWatches is the number of watches that are open now.
	OpenWatches int `json:"open_watches"`
}

// Total returns the number of calls of all kinds.
func (c Counts) Total() int {
	total := 0
	for _, n := range c.Calls {
		total += n
	}
	return total
}

func newCounts() Counts { return Counts{Calls: make(map[CallKind]int)} }

// faults holds the faults that the API injects. A change of watchEpoch ends the watches opened before it.
type faults struct {
	reads           *rate.Limiter
	writes          *rate.Limiter
	outage          bool
	delay           time.Duration
	responsesToDrop int
	eventsToDrop    int
	watchEpoch      uint64
	historyLimit    int
}

func newFaults() faults {
	return faults{reads: rate.NewLimiter(rate.Inf, 1), writes: rate.NewLimiter(rate.Inf, 1)}
}

// Counts returns a copy of the counters.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.counts
	out.Calls = maps.Clone(s.counts.Calls)
	return out
}

// SetRates limits the rates of reads and writes; calls above a limit get 429 with Retry-After.
func (s *Server) SetRates(readsPerSecond, writesPerSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.reads = newLimiter(readsPerSecond)
	s.faults.writes = newLimiter(writesPerSecond)
}

// SetOutage starts or ends an outage, during which the API drops every connection and ends every watch.
func (s *Server) SetOutage(outage bool) {
	s.mu.Lock()
	s.faults.outage = outage
	s.mu.Unlock()
	if outage {
		s.EndWatches()
	}
}

// SetDelay delays every call except watches.
func (s *Server) SetDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.delay = delay
}

// DropResponses makes the next n writes take effect without a response: the connection closes instead.
func (s *Server) DropResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.responsesToDrop = n
}

// EndWatches ends all open watches.
func (s *Server) EndWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.watchEpoch++
	s.changed.Broadcast()
}

// DropEvents drops the next n events, counted across all watches.
func (s *Server) DropEvents(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.eventsToDrop = n
}

// SetHistoryLimit limits the history to the last n events; a watch that starts before them gets 410.
func (s *Server) SetHistoryLimit(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.historyLimit = n
}

// withFaults counts each call, applies the configured faults and calls next.
func (s *Server) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call := callKindOf(r)
		outage, limited, delay := s.countCall(call)
		if outage {
			panic(http.ErrAbortHandler)
		}
		if limited {
			w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
			writeError(w, http.StatusTooManyRequests)
			return
		}
		if call == CallWatch {
			next.ServeHTTP(w, r)
			return
		}
		waitDelay(r, delay)
		s.serveCall(next, call, w, r)
	})
}

// countCall counts a call and returns the faults that apply to it.
func (s *Server) countCall(call CallKind) (outage, limited bool, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Calls[call]++
	limiter := s.faults.reads
	if call.isWrite() {
		limiter = s.faults.writes
	}
	limited = !limiter.Allow()
	if limited {
		s.counts.RateLimited++
	}
	return s.faults.outage, limited, s.faults.delay
}

// serveCall serves a call, and drops the response of a write if that fault is pending.
func (s *Server) serveCall(next http.Handler, call CallKind, w http.ResponseWriter, r *http.Request) {
	if !call.isWrite() || !s.consumeResponseDrop() {
		next.ServeHTTP(w, r)
		return
	}
	next.ServeHTTP(httptest.NewRecorder(), r)
	panic(http.ErrAbortHandler)
}

func (s *Server) consumeResponseDrop() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.responsesToDrop == 0 {
		return false
	}
	s.faults.responsesToDrop--
	return true
}

func (c CallKind) isWrite() bool { return c == CallCreate || c == CallUpdate || c == CallDelete }

func callKindOf(r *http.Request) CallKind {
	switch {
	case r.Method == http.MethodPost:
		return CallCreate
	case r.Method == http.MethodPut:
		return CallUpdate
	case r.Method == http.MethodDelete:
		return CallDelete
	case r.URL.Query().Get("watch") == "true":
		return CallWatch
	case isObjectPath(r.URL.Path):
		return CallGet
	default:
		return CallList
	}
}

// isObjectPath reports whether path names one object: /apis/<group>/<version>/namespaces/<ns>/<plural>/<name>.
func isObjectPath(path string) bool {
	const slashes = 7
	n := 0
	for _, c := range path {
		if c == '/' {
			n++
		}
	}
	return n == slashes
}

func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(math.Ceil(perSecond))))
}

func waitDelay(r *http.Request, delay time.Duration) {
	if delay == 0 {
		return
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-r.Context().Done():
	case <-timer.C:
	}
}
