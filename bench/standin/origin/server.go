// Package origin is a small stand-in for the origin of weights and the weight store.
package origin

import (
	"bytes"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
)

type content struct {
	manifest []byte
	body     []byte
	etag     string
}

// Server serves model versions with range requests.
type Server struct {
	mu       sync.RWMutex
	versions map[string]content
	sent     atomic.Int64
}

// New returns a Server without versions.
func New() *Server { return &Server{versions: make(map[string]content)} }

// Add publishes a version and returns its digest.
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

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /models/{model}/{version}/manifest", func(w http.ResponseWriter, r *http.Request) {
		if c, ok := s.find(w, r); ok {
			w.Header().Set("ETag", c.etag)
			_, _ = w.Write(c.manifest)
		}
	})
	mux.HandleFunc("GET /models/{model}/{version}/weights", func(w http.ResponseWriter, r *http.Request) {
		if c, ok := s.find(w, r); ok {
			w.Header().Set("ETag", c.etag)
			http.ServeContent(countingWriter{w, &s.sent}, r, "", time.Time{}, bytes.NewReader(c.body))
		}
	})
	return mux
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

type countingWriter struct {
	http.ResponseWriter
	sent *atomic.Int64
}

// Write implements io.Writer.
func (c countingWriter) Write(p []byte) (int, error) {
	n, err := c.ResponseWriter.Write(p)
	c.sent.Add(int64(n))
	return n, err
}
