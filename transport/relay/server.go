package relay

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/internal/bootclock"
	"github.com/guavatrestle/guavatrestle/protocol/feed"
)

const (
	// maxListWait is the time for which a list waits until the relay has read the kind itself, as after a restart of all hosts.
	maxListWait = 2 * time.Second
	// listCheckInterval is the time between two looks for a kind that the relay has not read yet.
	listCheckInterval = 20 * time.Millisecond
	// maxWatchWait bounds the wait of a watch.
	maxWatchWait = 30 * time.Second
)

// Server answers lists and watches of other hosts from a Cache; it implements http.Handler.
type Server struct {
	Cache *Cache
	// Direct reports whether this host reads the store itself. Otherwise calls are refused, so that the other hosts read the store
	// themselves and no two hosts ever rely on each other.
	Direct func() bool
	Log    *logrus.Entry
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, ok := strings.CutPrefix(r.URL.Path, pathPrefix)
	if !ok || r.Method != http.MethodGet {
		http.NotFound(w, r)
		return
	}
	received := s.Cache.now()
	query := r.URL.Query()
	var result read
	if query.Has(paramSince) {
		since, errSince := strconv.ParseInt(query.Get(paramSince), 10, 64)
		era, errEra := strconv.ParseInt(query.Get(paramEra), 10, 64)
		waitMS, errWait := strconv.ParseInt(query.Get(paramWait), 10, 64)
		if errSince != nil || errEra != nil || errWait != nil || waitMS < 0 {
			http.Error(w, "parameters since, era and wait_ms must be whole numbers", http.StatusBadRequest)
			return
		}
		wait := min(time.Duration(min(waitMS, maxWatchWait.Milliseconds()))*time.Millisecond, maxWatchWait)
		result = s.watch(r.Context(), feed.Kind(kind), era, since, wait)
	} else {
		result = s.list(r.Context(), feed.Kind(kind))
	}
	switch {
	case !result.known || !s.available(feed.Kind(kind)):
		http.Error(w, "this host does not read the store itself", http.StatusServiceUnavailable)
	case result.expired:
		http.Error(w, "the changes since the revision are not known", http.StatusGone)
	default:
		s.respond(w, r, result, received)
	}
}

// available reports whether this host reads the store itself and hears from it, also of a kind.
func (s *Server) available(kind feed.Kind) bool { return s.Cache.fresh(kind) && s.Direct() }

// list returns all records of a kind. It waits a little until this host has read them and the configuration.
func (s *Server) list(ctx context.Context, kind feed.Kind) read {
	deadline := s.Cache.now() + bootclock.Instant(maxListWait)
	for {
		result := s.Cache.list(kind)
		if result.known && s.Cache.started() || s.Cache.now() >= deadline || ctx.Err() != nil {
			return result
		}
		sleep(ctx, listCheckInterval)
	}
}

// watch returns the changes of a kind as soon as there are some, or none after wait. A watch of the configuration also returns when
// the store has confirmed it again, since callers' API keys depend on that.
func (s *Server) watch(ctx context.Context, kind feed.Kind, era, since int64, wait time.Duration) read {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	first := s.Cache.changes(kind, era, since)
	for result := first; ; result = s.Cache.changes(kind, era, since) {
		confirmed := kind == feed.KindConfiguration && result.completeAt > first.completeAt
		if !result.known || result.expired || len(result.payload.records) > 0 || confirmed || !s.available(kind) {
			return result
		}
		select {
		case <-ctx.Done():
			return result
		case <-timer.C:
			return result
		case <-result.changed:
		}
	}
}

func (s *Server) respond(w http.ResponseWriter, r *http.Request, result read, received bootclock.Instant) {
	now := s.Cache.now()
	head := wireHead{
		Revision: result.revision,
		Era:      result.era,
		HeldMS:   time.Duration(now - received).Milliseconds(),
		// One is added because both times are rounded down.
		AgeMS: time.Duration(now-result.completeAt).Milliseconds() + 1,
	}
	changed := min(max(time.Duration(now-result.payload.changedAfter), 0), maxChangedAge).Milliseconds() + 1
	head.ChangedMS = &changed
	compressed := strings.Contains(r.Header.Get("Accept-Encoding"), encodingGzip)
	parts, packed, err := result.payload.encode(head, r.URL.Query().Has(paramBrief), compressed)
	if err != nil {
		s.fail(w, err)
		return
	}
	varServed.Add(1)
	size := 0
	for _, part := range parts {
		size += len(part)
	}
	varServedBytes.Add(int64(size))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(size))
	if packed {
		w.Header().Set("Content-Encoding", encodingGzip)
	}
	for _, part := range parts {
		_, _ = w.Write(part)
	}
}

func (s *Server) fail(w http.ResponseWriter, err error) {
	s.Log.WithError(err).Error("encode records for another host")
	http.Error(w, "encode records", http.StatusInternalServerError)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
