package entry

import (
	"net/http"
	"sync"
	"time"

	"github.com/guavatrestle/guavatrestle/transport/httphead"
	"github.com/guavatrestle/guavatrestle/transport/netdial"
	"github.com/guavatrestle/guavatrestle/transport/server"
)

// idleConnTimeout is the time after which an unused connection is closed.
const idleConnTimeout = 30 * time.Second

// connPool holds one HTTP transport per agent address, so that a dead connection to one agent is replaced without
// affecting those to others.
type connPool struct {
	tls TLSWrapper

	mu         sync.Mutex
	transports map[string]*pooledTransport
}

// pooledTransport is the HTTP transport for one agent address.
type pooledTransport struct {
	addr         string
	roundTripper http.RoundTripper
	// inFlight counts the requests that use the transport; retired is set when no new request may use it.
	inFlight int
	retired  bool
}

// TLSWrapper returns a round tripper that uses base with TLS, for http URLs as well; a nil TLSWrapper means no TLS.
type TLSWrapper func(base *http.Transport) http.RoundTripper

// wrap returns base with TLS, or base itself if s is nil.
func (s TLSWrapper) wrap(base *http.Transport) http.RoundTripper {
	if s == nil {
		return base
	}
	return s(base)
}

func (p *pooledTransport) closeIdle() {
	(&http.Client{Transport: p.roundTripper}).CloseIdleConnections()
}

func newConnPool(secure TLSWrapper) *connPool {
	return &connPool{tls: secure, transports: make(map[string]*pooledTransport)}
}

// acquire returns the transport for addr; the caller must release it.
func (p *connPool) acquire(addr string) *pooledTransport {
	p.mu.Lock()
	defer p.mu.Unlock()
	pooled, ok := p.transports[addr]
	if !ok {
		pooled = &pooledTransport{addr: addr, roundTripper: httphead.NewHTTP2Transport(p.tls.wrap(newAgentTransport()))}
		p.transports[addr] = pooled
	}
	pooled.inFlight++
	return pooled
}

// release ends one use of a transport; the last user of a retired transport closes its connections.
func (p *connPool) release(pooled *pooledTransport) {
	p.mu.Lock()
	pooled.inFlight--
	closing := pooled.retired && pooled.inFlight == 0
	p.mu.Unlock()
	if closing {
		pooled.closeIdle()
	}
}

// retire stops new requests on a transport whose connection no longer responds; requests in flight on it end by their
// own progress timeout.
func (p *connPool) retire(pooled *pooledTransport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pooled.retired = true
	if p.transports[pooled.addr] == pooled {
		delete(p.transports, pooled.addr)
	}
}

// retireExcept retires the transports for all addresses that are not listed.
func (p *connPool) retireExcept(listed map[string]bool) {
	p.mu.Lock()
	var idle []*pooledTransport
	for addr, pooled := range p.transports {
		if listed[addr] {
			continue
		}
		pooled.retired = true
		delete(p.transports, addr)
		if pooled.inFlight == 0 {
			idle = append(idle, pooled)
		}
	}
	p.mu.Unlock()
	for _, pooled := range idle {
		pooled.closeIdle()
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

		MaxResponseHeaderBytes: netdial.MaxHeadBytes,
	}
}
