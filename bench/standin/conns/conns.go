// Package conns serves HTTP for a stand-in whose connections can be reset or go silent.
package conns

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
)

type sequenceKey struct{}

// Server is an HTTP server that numbers its connections.
type Server struct {
	http     *httptest.Server
	accepted atomic.Uint64
	silent   atomic.Uint64
	dead     atomic.Uint64
	down     atomic.Bool
	closing  chan struct{}
}

// Start serves handler on a loopback address.
func Start(handler http.Handler) *Server {
	s := &Server{closing: make(chan struct{})}
	s.http = httptest.NewUnstartedServer(s.guard(handler))
	s.http.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, sequenceKey{}, s.accepted.Add(1))
	}
	s.http.Start()
	return s
}

// URL returns the base URL.
func (s *Server) URL() string { return s.http.URL }

// Reset closes all connections; change runs while every request is being cut off.
func (s *Server) Reset(change func()) {
	s.down.Store(true)
	s.http.CloseClientConnections()
	s.dead.Store(s.accepted.Load())
	change()
	s.down.Store(false)
}

// OpenedSinceReset reports whether the connection of r was opened after the last Reset.
func (s *Server) OpenedSinceReset(r *http.Request) bool { return sequence(r) > s.dead.Load() }

// StallConnections makes all open connections silent for good; new connections work.
func (s *Server) StallConnections() { s.silent.Store(s.accepted.Load()) }

// BlockIfStalled blocks while the connection of r is silent, until the client gives up or the server closes.
func (s *Server) BlockIfStalled(r *http.Request) {
	if sequence(r) > s.silent.Load() {
		return
	}
	select {
	case <-r.Context().Done():
	case <-s.closing:
	}
	panic(http.ErrAbortHandler)
}

// Close stops the server.
func (s *Server) Close() {
	close(s.closing)
	s.http.CloseClientConnections()
	s.http.Close()
}

func sequence(r *http.Request) uint64 {
	n, _ := r.Context().Value(sequenceKey{}).(uint64)
	return n
}

func (s *Server) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.down.Load() {
			panic(http.ErrAbortHandler)
		}
		s.BlockIfStalled(r)
		next.ServeHTTP(w, r)
	})
}
