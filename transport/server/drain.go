package server

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// http2Preface is the beginning of an HTTP/2 connection without TLS.
var http2Preface = []byte("PRI")

// past is a deadline that ends a pending read or accept.
var past = time.Unix(1, 0)

// drainListener is a listener that, when it is stopped, still accepts the connections that wait in its backlog.
type drainListener struct {
	*net.TCPListener
	add      func(*drainConn)
	stopping atomic.Bool
}

// Accept implements net.Listener.
func (l *drainListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil && l.stopping.Load() {
		conn, err = l.acceptPending()
	}
	if err != nil {
		return nil, err
	}
	wrapped := &drainConn{TCPConn: conn, since: time.Now()}
	l.add(wrapped)
	return wrapped, nil
}

// stop makes Accept return the pending connections and then close the listener.
func (l *drainListener) stop() {
	l.stopping.Store(true)
	_ = l.SetDeadline(past)
}

// acceptPending returns a connection from the backlog. If there is none, it closes the listener and returns http.ErrServerClosed.
func (l *drainListener) acceptPending() (*net.TCPConn, error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	fd, acceptErr := -1, error(nil)
	err = raw.Control(func(listener uintptr) {
		for {
			fd, _, acceptErr = unix.Accept4(int(listener), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if acceptErr != unix.EINTR && acceptErr != unix.ECONNABORTED {
				return
			}
		}
	})
	if err != nil || acceptErr != nil {
		_ = l.Close()
		return nil, http.ErrServerClosed
	}
	file := os.NewFile(uintptr(fd), "accepted connection")
	defer file.Close()
	conn, err := net.FileConn(file)
	if err != nil {
		return nil, err
	}
	return conn.(*net.TCPConn), nil
}

// drainConn is a connection that can be ended at a moment at which no byte of a request has arrived. The goroutine that reads the
// connection decides that, so a request can't arrive between the decision and the end.
type drainConn struct {
	*net.TCPConn

	mu sync.Mutex
	// begun is set if a byte of the current request has been read, readAhead if the last read was for the single byte that
	// net/http reads while a request is being served, which belongs to the next request.
	begun     bool
	readAhead bool
	// serving is true while a request is being served, http2 if the connection carries HTTP/2.
	serving bool
	http2   bool
	// since is the time of the last response or of the accept, used is true after a response.
	since time.Time
	used  bool
	// ending is set if the next read shall end the connection unless a request has arrived. deadline is the read deadline that
	// the server has set.
	ending   bool
	deadline time.Time
}

// Read implements net.Conn.
func (c *drainConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.isEnding() {
		n, err = c.readArrived(p)
	}
	if n > 0 {
		c.recordRead(p[:n], len(p) == 1)
	}
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *drainConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.ending {
		return nil
	}
	return c.TCPConn.SetReadDeadline(t)
}

func (c *drainConn) isEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending
}

// readArrived returns the bytes that have arrived already, or io.EOF if there are none.
func (c *drainConn) readArrived(p []byte) (int, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	n := 0
	err = raw.Control(func(fd uintptr) { n, _, _ = unix.Recvfrom(int(fd), p, unix.MSG_DONTWAIT) })
	if err != nil || n <= 0 {
		return 0, io.EOF
	}
	return n, nil
}

func (c *drainConn) recordRead(data []byte, single bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.begun && bytes.HasPrefix(data, http2Preface) {
		c.http2 = true
	}
	c.begun, c.readAhead = true, single && c.serving
	if c.ending {
		c.ending = false
		_ = c.TCPConn.SetReadDeadline(c.deadline)
	}
}

func (c *drainConn) setState(state http.ConnState, http2 bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.http2 = c.http2 || http2
	c.serving = state == http.StateActive
	if state == http.StateIdle {
		c.begun, c.readAhead = c.readAhead, false
		c.since, c.used = time.Now(), true
	}
}

// endIfUnused makes the reader end the connection if no request has begun. It reports whether the connection carries HTTP/1.
func (c *drainConn) endIfUnused(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.http2 {
		return false
	}
	if c.begun || c.serving || c.ending {
		return true
	}
	grace := unusedGrace
	if c.used {
		grace = idleGrace
	}
	if now.Sub(c.since) >= grace {
		c.ending = true
		_ = c.TCPConn.SetReadDeadline(past)
	}
	return true
}
