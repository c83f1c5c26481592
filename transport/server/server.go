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
	// readHeaderTimeout bounds the time a client takes to send its headers.
	readHeaderTimeout = 10 * time.Second
	// pingAfter is the idle time of an HTTP/2 connection after which it is probed.
	pingAfter = 2 * time.Second
	// pingTimeout is the time without an answer to a probe after which the connection is closed.
	pingTimeout = 2 * time.Second
)

// Protocols returns HTTP/1.1 and HTTP/2, the latter without TLS as well.
func Protocols() *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// HTTP2 returns settings that detect connections that went silent.
func HTTP2() *http.HTTP2Config {
	return &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout, MaxConcurrentStreams: 1000}
}

// Listener is one HTTP listener.
type Listener struct {
	http *http.Server
	net  net.Listener
	wg   sync.WaitGroup
}

// Listen starts serving handler on addr.
func Listen(addr string, handler http.Handler) (*Listener, error) {
	n, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", addr)
	}
	l := &Listener{
		net: n,
		http: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: readHeaderTimeout,
			Protocols:         Protocols(),
			HTTP2:             HTTP2(),
		},
	}
	l.wg.Go(func() { _ = l.http.Serve(n) })
	return l, nil
}

// Addr returns the address listened on.
func (l *Listener) Addr() string { return l.net.Addr().String() }

// Shutdown stops accepting connections and waits for the requests in flight until ctx ends.
func (l *Listener) Shutdown(ctx context.Context) error {
	err := l.http.Shutdown(ctx)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		_ = l.http.Close()
	}
	l.wg.Wait()
	return eris.Wrap(err, "shut down listener")
}
