// Package backend sends requests to back ends over HTTP/1.1. Unlike net/http it never retries a request on its own, and it
// reports whether any byte of a failed request was sent, so that the caller knows whether the request may have run.
package backend

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/guavatrestle/guavatrestle/internal/bootclock"
	"github.com/guavatrestle/guavatrestle/transport/netdial"
)

const (
	// readBufferBytes is enough for the head of a response or a few events of a stream.
	readBufferBytes = 4 << 10
	// defaultIdleTimeout is the time for which an idle connection is kept if the back end announces no timeout.
	defaultIdleTimeout = 10 * time.Second
	// idleTimeoutMargin is subtracted from the idle timeout that a back end announces, so that no request is sent on a
	// connection that is about to be closed.
	idleTimeoutMargin = time.Second
	// maxHeadBytes bounds the head of a response, including informational responses before it. Header lines of a few bytes take
	// about 16 times their size in memory, for each request in flight.
	maxHeadBytes = 16 << 10
	// maxIdlePerAddress bounds the idle connections kept to one address.
	maxIdlePerAddress = 24
	// maxRecentIDs bounds the IDs of requests that a connection remembers. A request is sent again within seconds, if at all.
	maxRecentIDs = 64
)

// conn is a connection to a back end that carries one request at a time.
type conn struct {
	net.Conn
	input  *limitedInput
	reader *bufio.Reader
	// returnedAt is the time at which the connection became idle, idleTimeout the time for which it may stay so.
	returnedAt  time.Time
	idleTimeout time.Duration
	// recentIDs holds the IDs of the latest requests on this connection. A late second copy of the response to one of them could be
	// taken for the response to another try with the same ID.
	recentIDs []string
	// reused is true from the second request on.
	reused bool
}

// begin notes that a request is sent on the connection.
func (c *conn) begin(id string) {
	if len(c.recentIDs) == maxRecentIDs {
		c.recentIDs = slices.Delete(c.recentIDs, 0, 1)
	}
	c.recentIDs = append(c.recentIDs, id)
}

// mayCarry reports whether a request with the ID may be sent on a connection that was used before.
func (c *conn) mayCarry(id string) bool { return id != "" && !slices.Contains(c.recentIDs, id) }

// reusable reports whether the idle connection is still open and no unexpected bytes have arrived on it.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, recvErr := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = recvErr == unix.EAGAIN
		return true
	})
	return err == nil && noData
}

// Pool keeps idle connections to back ends for reuse.
type Pool struct {
	mu        sync.Mutex
	idleConns map[string][]*conn
	dial      func(ctx context.Context, address string) (net.Conn, error)
	now       func() time.Time
}

// NewPool returns an empty pool.
func NewPool() *Pool { return NewPoolWithBuffers(0) }

// NewPoolWithBuffers is NewPool with a limit in bytes of each socket buffer of a connection; 0 means that of the system.
func NewPoolWithBuffers(bytes int) *Pool {
	dialer := netdial.Dialer()
	dialer.Control = netdial.LimitBuffers(bytes, dialer.Control)
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
	return &Pool{idleConns: make(map[string][]*conn), dial: dial, now: bootclock.Time}
}

// get returns an idle connection that was last used within maxIdle and may carry a request with the ID, or a new one.
func (p *Pool) get(ctx context.Context, address, id string, maxIdle time.Duration) (*conn, error) {
	for c := p.popIdle(address, id); c != nil; c = p.popIdle(address, id) {
		idleTime := p.now().Sub(c.returnedAt)
		if idleTime < min(c.idleTimeout, maxIdle) && c.reusable() {
			c.reused = true
			return c, nil
		}
		_ = c.Close()
	}
	raw, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	input := &limitedInput{reader: raw, left: unlimitedInput}
	return &conn{Conn: raw, input: input, reader: bufio.NewReaderSize(input, readBufferBytes)}, nil
}

// popIdle removes and returns the most recently used idle connection that may carry a request with the ID, or nil.
func (p *Pool) popIdle(address, id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idleConns[address]
	for i, c := range slices.Backward(list) {
		if c.mayCarry(id) {
			p.idleConns[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// put adds a connection whose last response has been read completely. announcedTimeout is the idle timeout that the back
// end announced, or 0.
func (p *Pool) put(address string, c *conn, announcedTimeout time.Duration) {
	c.returnedAt = p.now()
	c.idleTimeout = defaultIdleTimeout
	if announcedTimeout > 0 {
		c.idleTimeout = announcedTimeout - idleTimeoutMargin
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idleConns[address]) >= maxIdlePerAddress {
		_ = c.Close()
		return
	}
	p.idleConns[address] = append(p.idleConns[address], c)
}

// Prune closes the connections whose idle timeout has passed and those to addresses for which keep returns false.
func (p *Pool) Prune(keep func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for address, list := range p.idleConns {
		kept := list[:0]
		for _, c := range list {
			if keep(address) && now.Sub(c.returnedAt) < c.idleTimeout {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(p.idleConns, address)
			continue
		}
		p.idleConns[address] = kept
	}
}

// Close closes all idle connections.
func (p *Pool) Close() { p.Prune(func(string) bool { return false }) }

// announcedIdleTimeout returns the timeout parameter of the Keep-Alive header, or 0.
func announcedIdleTimeout(header http.Header) time.Duration {
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

// unlimitedInput is the value of limitedInput.left for input without a limit.
const unlimitedInput = -1

// errHeadTooLarge is returned for a response whose head does not end within maxHeadBytes.
var errHeadTooLarge = eris.Errorf("response head exceeds the limit of %d bytes", maxHeadBytes)

// limitedInput is the input of a connection. It is limited while the head of a response is read, since http.ReadResponse would
// buffer a head without end.
type limitedInput struct {
	reader io.Reader
	// left is the number of bytes that may still be read.
	left int64
	// copied, if set, gets a copy of what is read.
	copied *bytes.Buffer
}

// Read implements io.Reader.
func (l *limitedInput) Read(p []byte) (int, error) {
	switch {
	case l.left == unlimitedInput:
		return l.reader.Read(p)
	case l.left == 0:
		return 0, errHeadTooLarge
	}
	n, err := l.reader.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	if l.copied != nil {
		l.copied.Write(p[:n])
	}
	return n, err
}

// endOfBody reports whether err marks the regular end of a body.
func endOfBody(err error) bool { return err == io.EOF }
