// Package origin is a small stand-in for the origin of weights and the weight store.
package origin

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// writeBytes is the largest piece that the rate limit is charged for at once.
const writeBytes = 16 << 10

type content struct {
	manifest []byte
	body     []byte
	etag     string
}

// Server serves model versions with range requests.
type Server struct {
	mu       sync.RWMutex
	versions map[string]content
	limiter  *rate.Limiter
	outage   atomic.Bool
	refuse   atomic.Int64
	corrupt  atomic.Int64
	spoiled  atomic.Int64
	sent     atomic.Int64
	requests atomic.Int64
	dropped  atomic.Int64
}

// New returns a Server without versions and without a rate limit.
func New() *Server {
	return &Server{versions: make(map[string]content), limiter: rate.NewLimiter(rate.Inf, writeBytes)}
}

// SetRate limits the bytes a second of all clients together.
func (s *Server) SetRate(bytesPerSecond float64) { s.limiter.SetLimit(rate.Limit(bytesPerSecond)) }

// SetOutage makes the server drop every connection, or ends that.
func (s *Server) SetOutage(outage bool) { s.outage.Store(outage) }

// RefuseNext makes the next n requests fail with 429 and Retry-After.
func (s *Server) RefuseNext(n int64) { s.refuse.Store(n) }

// CorruptNext flips a bit in each of the next n responses with weights.
func (s *Server) CorruptNext(n int64) { s.corrupt.Store(n) }

// Add publishes a version, or replaces it under a new entity tag, and returns its digest.
func (s *Server) Add(model core.Model, version string, body []byte, chunkSize int64) (core.Digest, error) {
	manifest, err := core.BuildManifest(model, version, body, chunkSize)
	if err != nil {
		return "", err
	}
	canonical, err := manifest.Canonical()
	if err != nil {
		return "", err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions[string(model)+"/"+version] = content{manifest: canonical, body: body, etag: `"` + string(manifest.Content) + `"`}
	return manifest.Digest()
}

// BytesSent returns the bytes of weights sent so far.
func (s *Server) BytesSent() int64 { return s.sent.Load() }

// CorruptedResponses returns the number of corrupted responses so far.
func (s *Server) CorruptedResponses() int64 { return s.spoiled.Load() }

// Requests returns the requests received so far.
func (s *Server) Requests() int64 { return s.requests.Load() }

// DroppedRequests returns the requests received during outages so far.
func (s *Server) DroppedRequests() int64 { return s.dropped.Load() }

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /models/{model}/{version}/manifest", s.serveManifest)
	mux.HandleFunc("GET /models/{model}/{version}/weights", s.serveWeights)
	return s.faults(mux)
}

func (s *Server) faults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.requests.Add(1)
		if s.outage.Load() {
			s.dropped.Add(1)
			panic(http.ErrAbortHandler)
		}
		if take(&s.refuse) {
			w.Header().Set("Retry-After", "1")
			http.Error(w, "rate limit exceeded", http.StatusTooManyRequests)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) serveManifest(w http.ResponseWriter, r *http.Request) {
	if c, ok := s.find(w, r); ok {
		w.Header().Set("ETag", c.etag)
		_, _ = w.Write(c.manifest)
	}
}

func (s *Server) serveWeights(w http.ResponseWriter, r *http.Request) {
	c, ok := s.find(w, r)
	if !ok {
		return
	}
	w.Header().Set("ETag", c.etag)
	out := &limitedWriter{ResponseWriter: w, ctx: r.Context(), server: s, corrupt: take(&s.corrupt)}
	http.ServeContent(out, r, "", time.Time{}, bytes.NewReader(c.body))
}

func (s *Server) find(w http.ResponseWriter, r *http.Request) (content, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	c, ok := s.versions[r.PathValue("model")+"/"+r.PathValue("version")]
	if !ok {
		http.NotFound(w, r)
	}
	return c, ok
}

// take counts n down and reports whether it was above zero.
func take(n *atomic.Int64) bool {
	for {
		held := n.Load()
		if held <= 0 {
			return false
		}
		if n.CompareAndSwap(held, held-1) {
			return true
		}
	}
}

// limitedWriter counts the bytes of a response and charges them to the shared rate limit.
type limitedWriter struct {
	http.ResponseWriter
	ctx     context.Context
	server  *Server
	corrupt bool
}

// Write implements io.Writer.
func (l *limitedWriter) Write(p []byte) (int, error) {
	if l.corrupt && len(p) > 0 {
		p = bytes.Clone(p)
		p[0] ^= 1
		l.corrupt = false
		l.server.spoiled.Add(1)
	}
	written := 0
	for written < len(p) {
		piece := p[written:min(written+writeBytes, len(p))]
		if err := l.server.limiter.WaitN(l.ctx, len(piece)); err != nil {
			return written, err
		}
		n, err := l.ResponseWriter.Write(piece)
		written += n
		l.server.sent.Add(int64(n))
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
