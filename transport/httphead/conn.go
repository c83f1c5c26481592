package httphead

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// http2Protocol is the name of HTTP/2 in the negotiation of TLS.
const http2Protocol = "h2"

// errRejected is returned for a request on a connection whose last response was malformed. No byte of the request has been sent.
var errRejected = eris.New("the last response on the connection was malformed")

// gatedConn is a connection whose next request waits until the last response has been checked: net/http offers a connection for reuse
// before its caller has seen the response.
type gatedConn struct {
	net.Conn
	// last is the latest use, nil before the first request.
	last     atomic.Pointer[connUse]
	rejected atomic.Bool
}

func gatedDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &gatedConn{Conn: conn}, nil
	}
}

// gatedConnOf returns the gatedConn of a connection, or nil for one that carries several requests at a time.
func gatedConnOf(conn net.Conn) *gatedConn {
	if secure, ok := conn.(*tls.Conn); ok {
		if secure.ConnectionState().NegotiatedProtocol == http2Protocol {
			return nil
		}
		conn = secure.NetConn()
	}
	gated, _ := conn.(*gatedConn)
	return gated
}

// connUse is the time in which a connection carries one request.
type connUse struct {
	conn *gatedConn
	once sync.Once
	// checked is closed once the response has been checked.
	checked chan struct{}
}

// beginUse waits until the response of the last use of a connection has been checked, or until done is closed. It returns nil for a
// connection that carries several requests at a time.
func beginUse(conn net.Conn, done <-chan struct{}) *connUse {
	gated := gatedConnOf(conn)
	if gated == nil {
		return nil
	}
	next := &connUse{conn: gated, checked: make(chan struct{})}
	if last := gated.last.Swap(next); last != nil {
		select {
		case <-last.checked:
		case <-done:
		}
	}
	return next
}

// accept lets the connection carry another request, unless the response has been rejected.
func (u *connUse) accept() {
	if u != nil {
		u.once.Do(func() { close(u.checked) })
	}
}

// reject closes the connection and fails further requests on it, unless the response has been accepted.
func (u *connUse) reject() {
	if u == nil {
		return
	}
	u.once.Do(func() {
		u.conn.rejected.Store(true)
		_ = u.conn.Close()
		close(u.checked)
	})
}

// Write implements net.Conn.
func (c *gatedConn) Write(p []byte) (int, error) {
	if c.rejected.Load() {
		return 0, errRejected
	}
	return c.Conn.Write(p)
}

// NetConn returns the connection below.
func (c *gatedConn) NetConn() net.Conn { return c.Conn }
