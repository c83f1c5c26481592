// Package netdial opens TCP connections that notice a peer that has gone silent.
package netdial

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// DialTimeout bounds the time to open a connection; a lost opening packet is sent again after one second.
	DialTimeout = 1200 * time.Millisecond
	// userTimeout bounds the time for which sent bytes stay unacknowledged before the connection breaks.
	userTimeout = 3 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount find an idle connection that lost its peer within 5 s.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// maxIdlePerHost bounds the idle connections that a transport keeps to one address.
	maxIdlePerHost = 8
	// idleTimeout is the time after which a transport closes an unused connection.
	idleTimeout = 20 * time.Second
)

// Dialer returns a dialer whose connections break when their peer is silent.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout: DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: control,
	}
}

// ListenConfig returns the settings of a listener whose connections break when their peer is silent.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{
		KeepAliveConfig: Dialer().KeepAliveConfig,
		Control:         control,
	}
}

// Dial opens a TCP connection to address.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	return Dialer().DialContext(ctx, "tcp", address)
}

// NewTransport returns an HTTP transport on connections of Dialer.
func NewTransport() *http.Transport { return NewTransportWithTimeout(DialTimeout) }

// NewTransportWithTimeout is NewTransport with another bound for the time to open a connection.
func NewTransportWithTimeout(timeout time.Duration) *http.Transport {
	dialer := Dialer()
	dialer.Timeout = timeout
	return &http.Transport{
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
	}
}

func control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
