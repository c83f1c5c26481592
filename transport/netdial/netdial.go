// Package netdial opens TCP connections that fail quickly when the peer becomes unreachable.
package netdial

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/guavatrestle/guavatrestle/transport/httphead"
)

const (
	// DialTimeout bounds the time to open a connection. It allows for one retransmission of the SYN, after one second.
	DialTimeout = 1200 * time.Millisecond
	// userTimeout is the time for which sent bytes may stay unacknowledged before the connection is closed.
	userTimeout = 3 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect an unreachable peer of an idle connection within 5 s.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// maxIdlePerHost bounds the idle connections that an HTTP transport keeps to one address.
	maxIdlePerHost = 8
	// idleTimeout is the time after which an HTTP transport closes an idle connection.
	idleTimeout = 20 * time.Second
	// MaxHeadBytes bounds the head of a response that an HTTP transport reads. The default of net/http is 10 MB.
	MaxHeadBytes = 64 << 10
)

// Dialer returns a dialer for connections that fail when the peer becomes unreachable.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout: DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: setUserTimeout,
	}
}

// ListenConfig returns the configuration of a listener for connections that fail when the peer becomes unreachable.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{
		KeepAliveConfig: Dialer().KeepAliveConfig,
		Control:         setUserTimeout,
	}
}

// LimitBuffers returns a control function that also limits both socket buffers, or control if bytes is 0. It must run before the connection
// is opened, or at the listener, because the scale of the receive window is agreed on then.
func LimitBuffers(bytes int, control func(network, address string, raw syscall.RawConn) error) func(network, address string, raw syscall.RawConn) error {
	if bytes <= 0 {
		return control
	}
	return func(network, address string, raw syscall.RawConn) error {
		var sockErr error
		err := raw.Control(func(fd uintptr) {
			sockErr = errors.Join(
				unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes),
				unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, bytes),
			)
		})
		return errors.Join(err, sockErr, control(network, address, raw))
	}
}

// Dial opens a TCP connection to address.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	return Dialer().DialContext(ctx, "tcp", address)
}

// NewTransport returns an HTTP transport that dials with Dialer and fails requests that get a malformed response.
func NewTransport() *httphead.Transport { return NewTransportWithTimeout(DialTimeout) }

// NewTransportWithTimeout is like NewTransport with timeout instead of DialTimeout.
func NewTransportWithTimeout(timeout time.Duration) *httphead.Transport {
	return httphead.NewTransport(newBaseTransport(timeout))
}

// NewSingleUseTransport is like NewTransport but closes each connection after its first response.
func NewSingleUseTransport() *httphead.Transport {
	base := newBaseTransport(DialTimeout)
	base.DisableKeepAlives = true
	return httphead.NewTransport(base)
}

func newBaseTransport(timeout time.Duration) *http.Transport {
	dialer := Dialer()
	dialer.Timeout = timeout
	return &http.Transport{
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,

		MaxResponseHeaderBytes: MaxHeadBytes,
	}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}
