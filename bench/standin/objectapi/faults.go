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

// CallKind is a kind of call of the API.
type CallKind string

// Kinds of calls.
const (
	CallGet    CallKind = "get"
	CallList   CallKind = "list"
	CallWatch  CallKind = "watch"
	CallCreate CallKind = "create"
	CallUpdate CallKind = "update"
	CallDelete CallKind = "delete"
)

// retryAfterSeconds is the Retry-After of a 429.
const retryAfterSeconds = 1

// Counts is what the API has counted so far.
type Counts struct {
	// Calls is the number of calls by kind, refused ones included.
	Calls map[CallKind]int `json:"calls"`
	// RateLimited is the number of calls refused with 429.
	RateLimited int `json:"rate_limited"`
	// OpenWatches is the number of watches that wait now.
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

// faults are the faults that the API shows.
type faults struct {
	reads       *rate.Limiter
	writes      *rate.Limiter
	outage      bool
	delay       time.Duration
	loseAnswers int
	missEvents  int
	watchEpoch  uint64
	history     int
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

// SetRates limits reads and writes a second; calls above them get 429 with Retry-After.
func (s *Server) SetRates(readsPerSecond, writesPerSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.reads = newLimiter(readsPerSecond)
	s.faults.writes = newLimiter(writesPerSecond)
}

// SetOutage makes the API drop every connection and end every watch, or ends that.
func (s *Server) SetOutage(outage bool) {
	s.mu.Lock()
	s.faults.outage = outage
	s.mu.Unlock()
	if outage {
		s.EndWatches()
	}
}

// SetDelay makes every call but a watch take longer.
func (s *Server) SetDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.delay = delay
}

// DropResponses makes the next n writes take effect without an answer: the connection closes instead.
func (s *Server) DropResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.loseAnswers = n
}

// EndWatches ends all open watches.
func (s *Server) EndWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.watchEpoch++
	s.changed.Broadcast()
}

// DropEvents drops the next n events, counted over all watches.
func (s *Server) DropEvents(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.missEvents = n
}

// SetHistoryLimit keeps only the last n events; a watch from before them gets 410.
func (s *Server) SetHistoryLimit(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.history = n
}

// guard counts each call and applies the faults around next.
func (s *Server) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call := kindOf(r)
		outage, limited, delay := s.admit(call)
		if outage {
			panic(http.ErrAbortHandler)
		}
		if limited {
			w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
			fail(w, http.StatusTooManyRequests)
			return
		}
		if call == CallWatch {
			next.ServeHTTP(w, r)
			return
		}
		wait(r, delay)
		s.answer(next, call, w, r)
	})
}

func (s *Server) admit(call CallKind) (outage, limited bool, delay time.Duration) {
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

// answer runs a call and loses the answer of a write when that fault is due.
func (s *Server) answer(next http.Handler, call CallKind, w http.ResponseWriter, r *http.Request) {
	if !call.isWrite() || !s.takeLostAnswer() {
		next.ServeHTTP(w, r)
		return
	}
	next.ServeHTTP(httptest.NewRecorder(), r)
	panic(http.ErrAbortHandler)
}

func (s *Server) takeLostAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.loseAnswers == 0 {
		return false
	}
	s.faults.loseAnswers--
	return true
}

func (c CallKind) isWrite() bool { return c == CallCreate || c == CallUpdate || c == CallDelete }

func kindOf(r *http.Request) CallKind {
	switch {
	case r.Method == http.MethodPost:
		return CallCreate
	case r.Method == http.MethodPut:
		return CallUpdate
	case r.Method == http.MethodDelete:
		return CallDelete
	case r.URL.Query().Get("watch") == "true":
		return CallWatch
	case isObject(r.URL.Path):
		return CallGet
	default:
		return CallList
	}
}

// isObject reports whether path names one object: /apis/<group>/<version>/namespaces/<ns>/<plural>/<name>.
func isObject(path string) bool {
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

func wait(r *http.Request, delay time.Duration) {
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
