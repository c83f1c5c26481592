package engine

import (
	"io"
	"net/http"
	"slices"
	"strconv"

	"github.com/zeebo/blake3"

	"github.com/guavatrestle/guavatrestle/state/core"
)

func (s *Server) serveLoad(w http.ResponseWriter, r *http.Request) {
	token, _ := strconv.ParseUint(r.Header.Get("Engine-Fencing-Token"), 10, 64)
	if !s.startLoad(token) {
		http.Error(w, "fencing token is old", http.StatusConflict)
		return
	}
	hash := blake3.New()
	_, err := io.Copy(hash, r.Body)
	s.finishLoad(w, r, core.DigestFromSum(hash.Sum(nil)), err)
}

// startLoad drops the version held; it reports false when the engine refuses the token.
func (s *Server) startLoad(token uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if token < s.status.FencingToken {
		s.counts.OldToken++
		if s.cfg.ChecksFencing {
			return false
		}
	}
	s.status.FencingToken = max(token, s.status.FencingToken)
	s.status.Complete = false
	s.warmth = 0
	return true
}

func (s *Server) finishLoad(w http.ResponseWriter, r *http.Request, content core.Digest, err error) {
	version := core.Digest(r.Header.Get("Engine-Digest"))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status.Model = core.Model(r.Header.Get("Engine-Model"))
	s.status.Digest = version
	if err == nil && s.unexpected(version, content) {
		s.counts.Mixed++
	}
	s.status.Complete = err == nil && string(content) == r.Header.Get("Engine-Content")
	if !s.status.Complete {
		http.Error(w, "weights are not complete", http.StatusUnprocessableEntity)
		return
	}
	s.counts.Loads++
	s.loaded = append(s.loaded, version)
}

// LoadedVersions returns the versions of the load orders that took effect, in order.
func (s *Server) LoadedVersions() []core.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.loaded)
}

// unexpected reports whether content is not the one of version; without expectations nothing is unexpected.
func (s *Server) unexpected(version, content core.Digest) bool {
	return len(s.expected) > 0 && s.expected[version] != content
}

// ExpectedContent returns the content that Expect recorded for a version.
func (s *Server) ExpectedContent(version core.Digest) core.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.expected[version]
}
