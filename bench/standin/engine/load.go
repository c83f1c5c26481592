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
		http.Error(w, "fencing token is older than the newest one seen", http.StatusConflict)
		return
	}
	hash := blake3.New()
	_, err := io.Copy(hash, r.Body)
	s.finishLoad(w, r, core.DigestFromSum(hash.Sum(nil)), err)
}

// startLoad discards the loaded version; it returns false if the engine refuses the fencing token.
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
	s.warmupCompleted = 0
	return true
}

func (s *Server) finishLoad(w http.ResponseWriter, r *http.Request, content core.Digest, err error) {
	version := core.Digest(r.Header.Get("Engine-Digest"))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status.Model = core.Model(r.Header.Get("Engine-Model"))
	s.status.Digest = version
	if err == nil && s.hasUnexpectedContent(version, content) {
		s.counts.Mixed++
	}
	s.status.Complete = err == nil && string(content) == r.Header.Get("Engine-Content")
	if !s.status.Complete {
		http.Error(w, "received weights are incomplete or do not match the announced digest", http.StatusUnprocessableEntity)
		return
	}
	s.counts.Loads++
	s.loadedVersions = append(s.loadedVersions, version)
}

// LoadedVersions returns the versions of the successful load orders, in order.
func (s *Server) LoadedVersions() []core.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.loadedVersions)
}

// hasUnexpectedContent reports whether content differs from the content expected for version. It returns false if no
// expectation was recorded.
func (s *Server) hasUnexpectedContent(version, content core.Digest) bool {
	return len(s.expectedContent) > 0 && s.expectedContent[version] != content
}

// ExpectedContent returns the content digest that ExpectContent recorded for version.
func (s *Server) ExpectedContent(version core.Digest) core.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.expectedContent[version]
}
