package server

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// idleGrace is the time for which a connection stays open after a response, so that a caller that sends its next request at
	// once gets an answer.
	idleGrace = 500 * time.Millisecond
	// unusedGrace is the time that a new connection has for the first byte of a request.
	unusedGrace = 2 * time.Second
	// drainPollInterval is the time between two checks of the open connections during a shutdown.
	drainPollInterval = 10 * time.Millisecond
)

// Graceful is an HTTP server whose shutdown answers every request of which a byte has arrived. http.Server.Shutdown closes kept
// connections in the middle of a request's head, and the connections that have not been accepted yet.
type Graceful struct {
	http     *http.Server
	listener *drainListener
	// served is closed when the server accepts no more connections.
	served chan struct{}

	mu    sync.Mutex
	conns map[*drainConn]struct{}
}

// NewGraceful returns a server that accepts connections from n. It replaces the ConnState callback of s.
func NewGraceful(s *http.Server, n *net.TCPListener) *Graceful {
	g := &Graceful{http: s, served: make(chan struct{}), conns: make(map[*drainConn]struct{})}
	g.listener = &drainListener{TCPListener: n, add: g.add}
	s.ConnState = g.connState
	return g
}

// Serve serves connections until Shutdown or Close, with TLS if the server has a TLS configuration. It must be called once.
func (g *Graceful) Serve() error {
	defer close(g.served)
	if g.http.TLSConfig != nil {
		return g.http.ServeTLS(g.listener, "", "")
	}
	return g.http.Serve(g.listener)
}

// Close closes the listener and all connections, and waits until Serve returns.
func (g *Graceful) Close() error {
	err := g.http.Close()
	<-g.served
	return err
}

// Shutdown stops accepting connections, after those that wait to be accepted, and waits until all requests have been answered. When
// ctx ends first, it returns the error of ctx and leaves the remaining connections open; it may be called again then.
func (g *Graceful) Shutdown(ctx context.Context) error {
	g.listener.stop()
	<-g.served
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for g.endUnused(time.Now()) > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	// Ends the HTTP/2 connections.
	return g.http.Shutdown(ctx)
}

// endUnused ends the HTTP/1 connections on which no request has begun, and returns the number of open ones.
func (g *Graceful) endUnused(now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	open := 0
	for conn := range g.conns {
		if conn.endIfUnused(now) {
			open++
		}
	}
	return open
}

func (g *Graceful) add(conn *drainConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns[conn] = struct{}{}
}

func (g *Graceful) connState(c net.Conn, state http.ConnState) {
	http2 := false
	if secure, ok := c.(*tls.Conn); ok {
		http2 = secure.ConnectionState().NegotiatedProtocol == "h2"
		c = secure.NetConn()
	}
	conn, ok := c.(*drainConn)
	if !ok {
		return
	}
	conn.setState(state, http2)
	if state == http.StateClosed || state == http.StateHijacked {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.conns, conn)
	}
}
