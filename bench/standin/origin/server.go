// Package origin implements a test stand-in for the weight origin and the weight store.
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

// maxWriteBytes bounds one write, and so the burst of the rate limit.
const maxWriteBytes = 16 << 10

type modelVersion struct {
	manifest []byte
	body     []byte
	etag     string
}

// Server serves manifests and weights of model versions; weights support range requests.
type Server struct {
	mu              sync.RWMutex
	versions        map[string]modelVersion
	limiter         *rate.Limiter
	outage          atomic.Bool
	refusalsLeft    atomic.Int64
	corruptionsLeft atomic.Int64
	corrupted       atomic.Int64
	bytesSent       atomic.Int64
	requests        atomic.Int64
	droppedRequests atomic.Int64
}

// New returns a Server without versions and without a rate limit.
func New() *Server {
	return &Server{versions: make(map[string]modelVersion), limiter: rate.NewLimiter(rate.Inf, maxWriteBytes)}
}

// SetRate limits the total send rate to all clients.
func (s *Server) SetRate(bytesPerSecond float64) { s.limiter.SetLimit(rate.Limit(bytesPerSecond)) }

// SetOutage starts or ends an outage, during which the server drops every connection.
func (s *Server) SetOutage(outage bool) { s.outage.Store(outage) }

// RefuseNext makes the server answer the next n requests with 429 and Retry-After.
func (s *Server) RefuseNext(n int64) { s.refusalsLeft.Store(n) }

// CorruptNext flips a bit in each of the next n weight responses.
func (s *Server) CorruptNext(n int64) { s.corruptionsLeft.Store(n) }

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
	s.versions[string(model)+"/"+version] = modelVersion{manifest: canonical, body: body, etag: `"` + string(manifest.Content) + `"`}
	return manifest.Digest()
}

// BytesSent returns the number of weight bytes sent.
func (s *Server) BytesSent() int64 { return s.bytesSent.Load() }

// CorruptedResponses returns the number of responses sent with a flipped bit.
func (s *Server) CorruptedResponses() int64 { return s.corrupted.Load() }

// Requests returns the number of requests received.
func (s *Server) Requests() int64 { return s.requests.Load() }

// DroppedRequests returns the number of requests received during outages.
func (s *Server) DroppedRequests() int64 { return s.droppedRequests.Load() }

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /models/{model}/{version}/manifest", s.serveManifest)
	mux.HandleFunc("GET /models/{model}/{version}/weights", s.serveWeights)
	return s.withFaults(mux)
}

func (s *Server) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.requests.Add(1)
		if s.outage.Load() {
			s.droppedRequests.Add(1)
			panic(http.ErrAbortHandler)
		}
		if decrementIfPositive(&s.refusalsLeft) {
			w.Header().Set("Retry-After", "1")
			http.Error(w, "rate limit exceeded", http.StatusTooManyRequests)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) serveManifest(w http.ResponseWriter, r *http.Request) {
	if published, ok := s.findVersion(w, r); ok {
		w.Header().Set("ETag", published.etag)
		_, _ = w.Write(published.manifest)
	}
}

func (s *Server) serveWeights(w http.ResponseWriter, r *http.Request) {
	published, ok := s.findVersion(w, r)
	if !ok {
		return
	}
	w.Header().Set("ETag", published.etag)
	out := &limitedWriter{ResponseWriter: w, ctx: r.Context(), server: s, corruptFirstByte: decrementIfPositive(&s.corruptionsLeft)}
	http.ServeContent(out, r, "", time.Time{}, bytes.NewReader(published.body))
}

func (s *Server) findVersion(w http.ResponseWriter, r *http.Request) (modelVersion, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	published, ok := s.versions[r.PathValue("model")+"/"+r.PathValue("version")]
	if !ok {
		http.NotFound(w, r)
	}
	return published, ok
}

// decrementIfPositive decrements n if it is positive and reports whether it did.
func decrementIfPositive(n *atomic.Int64) bool {
	for {
		remaining := n.Load()
		if remaining <= 0 {
			return false
		}
		if n.CompareAndSwap(remaining, remaining-1) {
			return true
		}
	}
}

// limitedWriter counts the bytes of a weight response and applies the shared rate limit.
type limitedWriter struct {
	http.ResponseWriter
	ctx              context.Context
	server           *Server
	corruptFirstByte bool
}

// Write implements io.Writer.
func (l *limitedWriter) Write(p []byte) (int, error) {
	if l.corruptFirstByte && len(p) > 0 {
		p = bytes.Clone(p)
		p[0] ^= 1
		l.corruptFirstByte = false
		l.server.corrupted.Add(1)
	}
	written := 0
	for written < len(p) {
		part := p[written:min(written+maxWriteBytes, len(p))]
		if err := l.server.limiter.WaitN(l.ctx, len(part)); err != nil {
			return written, err
		}
		n, err := l.ResponseWriter.Write(part)
		written += n
		l.server.bytesSent.Add(int64(n))
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
