package engine

import (
	"net/http"
	"slices"
	"time"
)

// prefixKeyBytes is the length of a prompt's beginning that names an entry of the prefix cache.
const prefixKeyBytes = 128

// prefill waits for as long as reading the prompt takes when its prefix is not in the cache, and puts it there.
func (s *Server) prefill(r *http.Request, current *run, prompt string) {
	if s.cfg.CachedPrefixes == 0 || s.cached(prompt[:min(len(prompt), prefixKeyBytes)]) {
		return
	}
	s.pauseFor(r, current, s.cfg.PrefillDelay)
}

// cached reports whether a prefix is held, and makes it the one used last. The one unused for longest makes room.
func (s *Server) cached(prefix string) bool {
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

// pause waits for the time of one part.
func (s *Server) pause(r *http.Request, current *run) { s.pauseFor(r, current, s.cfg.TokenDelay) }

// pauseFor waits unless the caller goes away or the engine restarts.
func (s *Server) pauseFor(r *http.Request, current *run, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	case <-current.life:
		panic(http.ErrAbortHandler)
	case <-timer.C:
	}
	s.conns.BlockIfStalled(r)
}
