package upstream

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/transport/httphead"
	"github.com/guavatrestle/guavatrestle/transport/netdial"
)

const (
	// dialTimeout bounds the time to connect to the back end on the same host.
	dialTimeout = 2 * time.Second
	// maxIdleConnections is large enough to keep the connections of a fully loaded back end open between requests.
	maxIdleConnections = 512
	// idleTimeout is the time after which an unused connection to the back end is closed.
	idleTimeout = 30 * time.Second
)

// Transport sends admitted requests to the back end over HTTP/1.1.
//
// A request is sent only on a connection that was opened before the start of the last successful status read, and it
// is sent at most once. Without this check, net/http resends some requests when a reused connection breaks. A malformed response fails its
// request.
type Transport struct {
	base *httphead.Transport
	gate *Gate
}

var _ http.RoundTripper = (*Transport)(nil)

// NewTransport returns a Transport whose connections are numbered in the identity sequence of gate.
func NewTransport(gate *Gate) *Transport {
	t := &Transport{gate: gate}
	t.base = httphead.NewTransport(&http.Transport{
		DialContext:         t.dial,
		DisableCompression:  true,
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,

		MaxResponseHeaderBytes: netdial.MaxHeadBytes,
	})
	return t
}

// RoundTrip implements http.RoundTripper. It refuses a request whose context holds no attempt.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	a := attemptFrom(request.Context())
	if a == nil {
		return nil, protocol.Errorf(protocol.CodeRefused, "request to the back end was not admitted")
	}
	a.track()
	// On success ctx is not canceled here but with the request's own context, because the response body is read after
	// the return.
	ctx, cancel := context.WithCancelCause(request.Context())
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if err := bindConnection(ctx, a, info.Conn); err != nil {
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
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: conn, openedAt: t.gate.identity.next()}, nil
}

// bindConnection assigns the connection to the attempt, or makes all writes to it fail if the attempt may not use it.
func bindConnection(ctx context.Context, a *attempt, conn net.Conn) error {
	tracked := trackedConnOf(conn)
	if tracked == nil {
		return protocol.Errorf(protocol.CodeRefused, "connection of type %T is not tracked", conn)
	}
	err := a.authorizeSend(ctx, tracked.openedAt)
	tracked.bind(a, err)
	return err
}

// trackedConnOf returns the trackedConn below the connections that wrap it, or nil.
func trackedConnOf(conn net.Conn) *trackedConn {
	for {
		switch c := conn.(type) {
		case *trackedConn:
			return c
		case interface{ NetConn() net.Conn }:
			conn = c.NetConn()
		default:
			return nil
		}
	}
}

// trackedConn reports each write to the attempt that uses the connection.
type trackedConn struct {
	net.Conn
	// openedAt is the identity sequence number taken right after the connection was opened.
	openedAt uint64

	mu       sync.Mutex
	attempt  *attempt
	writeErr error
}

func (c *trackedConn) bind(a *attempt, writeErr error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempt, c.writeErr = a, writeErr
}

func (c *trackedConn) boundAttempt() (*attempt, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attempt, c.writeErr
}

// Write implements net.Conn. Writes before the first attempt, such as a TLS handshake, are not tracked.
func (c *trackedConn) Write(p []byte) (int, error) {
	a, err := c.boundAttempt()
	if err != nil {
		return 0, err
	}
	if a != nil {
		if err := a.beforeWrite(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}
