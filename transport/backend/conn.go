// Package backend sends requests to back ends over HTTP/1.1. In contrast to net/http it never repeats a request by itself
// and tells whether any byte of a failed one has left, so that the caller can tell what may have run.
package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/guavatrestle/guavatrestle/internal/bootclock"
	"github.com/guavatrestle/guavatrestle/transport/netdial"
)

const (
	// readBufferBytes holds the head of a response and a few events of a stream.
	readBufferBytes = 4 << 10
	// defaultIdle is the time for which an unused connection is kept when the back end names none.
	defaultIdle = 10 * time.Second
	// idleMargin is subtracted from the idle time that a back end announces.
	idleMargin = time.Second
	// maxIdle bounds the unused connections kept to one address.
	maxIdle = 24
)

// conn is a connection to a back end that carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// returned is the time at which the last response ended, idle the time for which the connection may stay unused.
	returned time.Time
	idle     time.Duration
}

// quiet reports whether the connection is open and nothing has arrived on it.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, failed := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = failed == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// Pool keeps connections to back ends.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*conn
	dial func(ctx context.Context, address string) (net.Conn, error)
	now  func() time.Time
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{idle: make(map[string][]*conn), dial: netdial.Dial, now: bootclock.Time}
}

// get returns an unused connection that was used within maxAge, or a new one. reused tells which.
func (p *Pool) get(ctx context.Context, address string, maxAge time.Duration) (c *conn, reused bool, err error) {
	for {
		c = p.pop(address)
		if c == nil {
			break
		}
		unused := p.now().Sub(c.returned)
		if unused < min(c.idle, maxAge) && c.quiet() {
			return c, true, nil
		}
		_ = c.Close()
	}
	raw, err := p.dial(ctx, address)
	if err != nil {
		return nil, false, err
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBufferBytes)}, false, nil
}

// pop returns the connection used last.
func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// put takes back a connection whose response has been read to its end.
func (p *Pool) put(address string, c *conn, announced time.Duration) {
	c.returned = p.now()
	c.idle = defaultIdle
	if announced > 0 {
		c.idle = announced - idleMargin
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdle {
		_ = c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// Prune closes the connections that have been unused for too long and those to addresses that keep refuses.
func (p *Pool) Prune(keep func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if keep(address) && now.Sub(c.returned) < c.idle {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// Close closes all unused connections.
func (p *Pool) Close() { p.Prune(func(string) bool { return false }) }

// announcedIdle returns the timeout that a Keep-Alive header names, or 0.
func announcedIdle(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// endOfBody reports whether err says that a body was read to its end.
func endOfBody(err error) bool { return err == io.EOF }
