package upstream

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/guavatrestle/guavatrestle/protocol"
)

const (
	// dialTimeout bounds the time to connect to the back end on the same host.
	dialTimeout = 2 * time.Second
	// maxIdleConnections keeps the connections of a fully loaded back end open between requests.
	maxIdleConnections = 512
	// idleTimeout is the time after which an unused connection to the back end is closed.
	idleTimeout = 30 * time.Second
)

// Transport sends admitted requests to the back end over HTTP/1.1.
//
// A request leaves only on a connection that was opened before the start of the last successful status read, and it
// leaves at most once: net/http repeats some requests on its own when a reused connection breaks.
type Transport struct {
	base *http.Transport
	gate *Gate
}

var _ http.RoundTripper = (*Transport)(nil)

// NewTransport returns a Transport whose connections take part in the identity sequence of gate.
func NewTransport(gate *Gate) *Transport {
	t := &Transport{gate: gate}
	t.base = &http.Transport{
		DialContext:         t.dial,
		DisableCompression:  true,
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
	}
	return t
}

// RoundTrip implements http.RoundTripper; a request whose context holds no admission is refused.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	a := attemptFrom(request.Context())
	if a == nil {
		return nil, protocol.Errorf(protocol.CodeRefused, "request to the back end has no admission")
	}
	a.track()
	// The context ends with the request's own, because the response body is read after the return.
	ctx, cancel := context.WithCancelCause(request.Context())
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if err := take(ctx, a, info.Conn); err != nil {
			cancel(err)
		}
	}}
	response, err := t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		cancel(err)
	}
	return response, err
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

func (t *Transport) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: raw, opened: t.gate.identity.mark()}, nil
}

// take gives the connection to the attempt, or makes the connection refuse to write.
func take(ctx context.Context, a *attempt, conn net.Conn) error {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	tracked, ok := conn.(*trackedConn)
	if !ok {
		return protocol.Errorf(protocol.CodeRefused, "connection of type %T is not tracked", conn)
	}
	err := a.claim(ctx, tracked.opened)
	tracked.assign(a, err)
	return err
}

// trackedConn tells the attempt that it carries about each write.
type trackedConn struct {
	net.Conn
	// opened is the point of the identity sequence right after the connection was opened.
	opened uint64

	mu      sync.Mutex
	attempt *attempt
	refused error
}

func (c *trackedConn) assign(a *attempt, refused error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempt, c.refused = a, refused
}

func (c *trackedConn) current() (*attempt, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attempt, c.refused
}

// Write implements net.Conn. Before the first request it lets a TLS handshake through.
func (c *trackedConn) Write(p []byte) (int, error) {
	a, err := c.current()
	if err != nil {
		return 0, err
	}
	if a != nil {
		if err := a.leave(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}
