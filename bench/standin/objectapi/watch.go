package objectapi

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
)

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("resourceVersion"), 10, 64)
	if s.tooOld(since) {
		fail(w, http.StatusGone)
		return
	}
	stop := context.AfterFunc(r.Context(), s.wake)
	defer stop()
	epoch := s.openWatch(callerOf(r))
	defer s.closeWatch(callerOf(r))
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	encoder := json.NewEncoder(w)
	for {
		events, ok := s.next(r, since, epoch)
		if !ok {
			return
		}
		since = events[len(events)-1].seq
		for _, e := range events {
			if e.Object.plural != r.PathValue("plural") || s.missEvent() {
				continue
			}
			if encoder.Encode(e) != nil {
				return
			}
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// next waits for events after since; it reports false when the watch ends.
func (s *Server) next(r *http.Request, since, epoch uint64) ([]event, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.seq <= since && s.watchGoesOn(r, epoch) {
		s.changed.Wait()
	}
	if !s.watchGoesOn(r, epoch) || since < s.trimmed {
		return nil, false
	}
	var events []event
	for _, e := range s.history {
		if e.seq > since {
			events = append(events, e)
		}
	}
	return events, true
}

// watchGoesOn reports whether a watch opened in epoch still runs; the caller holds the lock.
func (s *Server) watchGoesOn(r *http.Request, epoch uint64) bool {
	return !s.closed && !s.faults.outage && s.faults.watchEpoch == epoch && r.Context().Err() == nil
}

func (s *Server) tooOld(since uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return since < s.trimmed
}

func (s *Server) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed.Broadcast()
}

// openWatch counts an open watch and returns the epoch that it belongs to.
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

func (s *Server) missEvent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.missEvents == 0 {
		return false
	}
	s.faults.missEvents--
	return true
}
