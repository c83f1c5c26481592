package objectapi

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
)

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("resourceVersion"), 10, 64)
	if s.isTrimmed(since) {
		writeError(w, http.StatusGone)
		return
	}
	stop := context.AfterFunc(r.Context(), s.wakeWatches)
	defer stop()
	epoch := s.openWatch(callerOf(r))
	defer s.closeWatch(callerOf(r))
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	encoder := json.NewEncoder(w)
	for {
		events, ok := s.nextEvents(r, since, epoch)
		if !ok {
			return
		}
		since = events[len(events)-1].version
		for _, e := range events {
			if e.Object.plural != r.PathValue("plural") || s.consumeEventDrop() {
				continue
			}
			if encoder.Encode(e) != nil {
				return
			}
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// nextEvents waits for events after version since; it returns false when the watch ends.
func (s *Server) nextEvents(r *http.Request, since, epoch uint64) ([]event, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.lastVersion <= since && s.watchIsOpen(r, epoch) {
		s.changed.Wait()
	}
	if !s.watchIsOpen(r, epoch) || since < s.trimmedVersion {
		return nil, false
	}
	var events []event
	for _, e := range s.history {
		if e.version > since {
			events = append(events, e)
		}
	}
	return events, true
}

// watchIsOpen reports whether a watch opened in epoch is still open; the caller holds the lock.
func (s *Server) watchIsOpen(r *http.Request, epoch uint64) bool {
	return !s.closed && !s.faults.outage && s.faults.watchEpoch == epoch && r.Context().Err() == nil
}

func (s *Server) isTrimmed(since uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return since < s.trimmedVersion
}

func (s *Server) wakeWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed.Broadcast()
}

// openWatch counts an open watch and returns the current watch epoch.
func (s *Server) openWatch(caller string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.OpenWatches++
	s.watchers[caller]++
	return s.faults.watchEpoch
}

func (s *Server) closeWatch(caller string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.OpenWatches--
	if s.watchers[caller]--; s.watchers[caller] == 0 {
		delete(s.watchers, caller)
	}
}

func (s *Server) consumeEventDrop() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.eventsToDrop == 0 {
		return false
	}
	s.faults.eventsToDrop--
	return true
}
