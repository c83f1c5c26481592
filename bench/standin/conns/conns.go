// Package conns provides an HTTP server for stand-ins whose connections can be reset or stalled.
package conns

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
)

type connectionNumberKey struct{}

// Server is an HTTP server that numbers its connections and injects connection faults.
type Server struct {
	http     *httptest.Server
	accepted atomic.Uint64
	// lastStalled and lastReset are the numbers of the newest connections that StallConnections and Reset affected.
	lastStalled atomic.Uint64
	lastReset   atomic.Uint64
	resetting   atomic.Bool
	closing     chan struct{}
}

// Start serves handler on a loopback address.
func Start(handler http.Handler) *Server {
	s := &Server{closing: make(chan struct{})}
	s.http = httptest.NewUnstartedServer(s.withFaults(handler))
	s.http.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, connectionNumberKey{}, s.accepted.Add(1))
	}
	s.http.Start()
	return s
}

// URL returns the base URL.
func (s *Server) URL() string { return s.http.URL }

// Reset closes all connections and calls change while every new request is aborted.
func (s *Server) Reset(change func()) {
	s.resetting.Store(true)
	s.http.CloseClientConnections()
	s.lastReset.Store(s.accepted.Load())
	change()
	s.resetting.Store(false)
}

// OpenedSinceReset reports whether the connection of r was accepted after the last Reset.
func (s *Server) OpenedSinceReset(r *http.Request) bool {
	return connectionNumber(r) > s.lastReset.Load()
}

// StallConnections makes requests on the open connections hang for good; new connections work.
func (s *Server) StallConnections() { s.lastStalled.Store(s.accepted.Load()) }

// BlockIfStalled blocks if the connection of r is stalled, until the client gives up or the server closes,
// and then aborts the request.
func (s *Server) BlockIfStalled(r *http.Request) {
	if connectionNumber(r) > s.lastStalled.Load() {
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

func connectionNumber(r *http.Request) uint64 {
	n, _ := r.Context().Value(connectionNumberKey{}).(uint64)
	return n
}

func (s *Server) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.resetting.Load() {
			panic(http.ErrAbortHandler)
		}
		s.BlockIfStalled(r)
		next.ServeHTTP(w, r)
	})
}
