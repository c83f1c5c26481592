package objectapi

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strings"
)

// callerPrefix is the path prefix that identifies a caller: /as/<caller>/apis/... is served as /apis/...
const callerPrefix = "/as/"

type callerKey struct{}

// CallerPath returns the path to append to the API's base URL so that calls identify the caller.
func CallerPath(caller string) string { return callerPrefix + caller }

// Watchers returns the names of the callers with open watches, sorted.
func (s *Server) Watchers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.watchers))
}

// withCaller strips the caller prefix from the path and stores the caller in the request context.
func (s *Server) withCaller(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rest, ok := strings.CutPrefix(r.URL.Path, callerPrefix)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		caller, _, _ := strings.Cut(rest, "/")
		r = r.WithContext(context.WithValue(r.Context(), callerKey{}, caller))
		http.StripPrefix(callerPrefix+caller, next).ServeHTTP(w, r)
	})
}

func callerOf(r *http.Request) string {
	caller, _ := r.Context().Value(callerKey{}).(string)
	return caller
}
