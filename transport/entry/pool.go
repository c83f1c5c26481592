package entry

import (
	"net/http"
	"sync"
	"time"

	"github.com/guavatrestle/guavatrestle/transport/server"
)

// idleConnTimeout closes connections that no request uses.
const idleConnTimeout = 30 * time.Second

// connPool holds one HTTP transport per agent address, so that a dead path to one agent is replaced alone.
type connPool struct {
	secure TLSWrapper

	mu    sync.Mutex
	paths map[string]*path
}

// path is the connection to one agent address.
type path struct {
	addr      string
	transport http.RoundTripper
	// users counts the requests in flight; retired says that no new request may use the path.
	users   int
	retired bool
}

// TLSWrapper returns a round tripper that uses base with TLS, for http URLs as well; a nil TLSWrapper means no TLS.
type TLSWrapper func(base *http.Transport) http.RoundTripper

// wrap returns base itself without TLS.
func (s TLSWrapper) wrap(base *http.Transport) http.RoundTripper {
	if s == nil {
		return base
	}
	return s(base)
}

func (p *path) closeIdle() { (&http.Client{Transport: p.transport}).CloseIdleConnections() }

func newConnPool(secure TLSWrapper) *connPool {
	return &connPool{secure: secure, paths: make(map[string]*path)}
}

// acquire returns the current path to addr; the caller returns it with release.
func (p *connPool) acquire(addr string) *path {
	p.mu.Lock()
	defer p.mu.Unlock()
	held, ok := p.paths[addr]
	if !ok {
		held = &path{addr: addr, transport: p.secure.wrap(newAgentTransport())}
		p.paths[addr] = held
	}
	held.users++
	return held
}

// release ends one use of a path; the last user of a retired path closes its connections.
func (p *connPool) release(used *path) {
	p.mu.Lock()
	used.users--
	closing := used.retired && used.users == 0
	p.mu.Unlock()
	if closing {
		used.closeIdle()
	}
}

// retire keeps new requests off a path that went silent; requests in flight on it end by their own progress deadline.
func (p *connPool) retire(dead *path) {
	p.mu.Lock()
	defer p.mu.Unlock()
	dead.retired = true
	if p.paths[dead.addr] == dead {
		delete(p.paths, dead.addr)
	}
}

// keep retires the paths to addresses that are not listed.
func (p *connPool) keep(listed map[string]bool) {
	p.mu.Lock()
	var idle []*path
	for addr, held := range p.paths {
		if listed[addr] {
			continue
		}
		held.retired = true
		delete(p.paths, addr)
		if held.users == 0 {
			idle = append(idle, held)
		}
	}
	p.mu.Unlock()
	for _, held := range idle {
		held.closeIdle()
	}
}

func newAgentTransport() *http.Transport {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		Protocols:          protocols,
		HTTP2:              server.HTTP2(),
		IdleConnTimeout:    idleConnTimeout,
		DisableCompression: true,
	}
}
