// Package server runs the HTTP listeners of a process and its debug and health endpoints.
package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// readHeaderTimeout bounds how long a client may take to send the request headers.
	readHeaderTimeout = 10 * time.Second
	// pingAfter is the idle time after which an HTTP/2 connection is probed with a PING frame.
	pingAfter = 2 * time.Second
	// pingTimeout is how long a response to a PING frame may take before the connection is closed.
	pingTimeout = 2 * time.Second
)

// Protocols returns a set with HTTP/1.1, HTTP/2 and unencrypted HTTP/2.
func Protocols() *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// HTTP2 returns HTTP/2 settings that detect unresponsive connections by PING frames.
func HTTP2() *http.HTTP2Config {
	return &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout, MaxConcurrentStreams: 1000}
}

// Listener is an HTTP server on one address.
type Listener struct {
	server *Graceful
	net    net.Listener
	wg     sync.WaitGroup
}

// Listen starts to serve handler on addr without TLS.
func Listen(addr string, handler http.Handler) (*Listener, error) {
	return ListenWith(addr, handler, Options{})
}

// Addr returns the address that the listener is bound to.
func (l *Listener) Addr() string { return l.net.Addr().String() }

// Shutdown stops accepting connections and waits for the requests in flight. When ctx ends first, it closes their
// connections and returns the error of ctx.
func (l *Listener) Shutdown(ctx context.Context) error {
	err := l.server.Shutdown(ctx)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		_ = l.server.Close()
	}
	l.wg.Wait()
	return eris.Wrap(err, "shut down listener")
}
