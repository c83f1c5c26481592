package engine

import (
	"net/http"
	"slices"
	"time"
)

// prefixKeyBytes is the length of the prompt prefix that keys the prefix cache.
const prefixKeyBytes = 128

// prefill delays the request by PrefillDelay if the prompt's prefix is not cached, and caches it.
func (s *Server) prefill(r *http.Request, current *activeRequest, prompt string) {
	if s.cfg.CachedPrefixes == 0 || s.touchPrefix(prompt[:min(len(prompt), prefixKeyBytes)]) {
		return
	}
	s.waitOrAbort(r, current, s.cfg.PrefillDelay)
}

// touchPrefix reports whether prefix is cached and makes it the most recently used entry, evicting the least recently
// used one if the cache is full.
func (s *Server) touchPrefix(prefix string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := slices.Index(s.prefixes, prefix)
	if at >= 0 {
		s.prefixes = slices.Delete(s.prefixes, at, at+1)
		s.counts.PrefixHits++
	} else {
		s.counts.PrefixMisses++
	}
	s.prefixes = append(s.prefixes, prefix)
	if len(s.prefixes) > s.cfg.CachedPrefixes {
		s.prefixes = slices.Delete(s.prefixes, 0, 1)
	}
	return at >= 0
}

// waitTokenDelay waits for the time between two parts of a response.
func (s *Server) waitTokenDelay(r *http.Request, current *activeRequest) {
	s.waitOrAbort(r, current, s.cfg.TokenDelay)
}

// waitOrAbort waits for d; it aborts the request if the caller disconnects or the engine restarts.
func (s *Server) waitOrAbort(r *http.Request, current *activeRequest, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	case <-current.restarted:
		panic(http.ErrAbortHandler)
	case <-timer.C:
	}
	s.conns.BlockIfStalled(r)
}
