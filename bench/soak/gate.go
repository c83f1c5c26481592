package soak

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// proxyBufferBytes is the size of the copy buffer.
const proxyBufferBytes = 16 << 10

// condition determines what a proxy does with its connections.
type condition int

const (
	// passThrough forwards bytes in both directions.
	passThrough condition = iota
	// slow adds slowProxyDelay before each forwarded buffer.
	slow
	// dropResponses discards the bytes that the target sends.
	dropResponses
	// dropAll discards all bytes. A direction of a connection in which bytes were discarded never forwards again.
	dropAll
	// reset resets all connections and every new one.
	reset
)

// slowProxyDelay is the delay of a slow proxy.
const slowProxyDelay = 150 * time.Millisecond

// faultProxy is a TCP proxy whose condition can change at any time.
type faultProxy struct {
	target   string
	listener net.Listener
	wg       sync.WaitGroup

	mu        sync.Mutex
	condition condition
	conns     map[net.Conn]bool
}

// startFaultProxy listens on address and forwards connections to target.
func startFaultProxy(address, target string) (*faultProxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "listen for a fault proxy")
	}
	p := &faultProxy{target: target, listener: listener, conns: make(map[net.Conn]bool)}
	p.wg.Go(p.acceptConns)
	return p, nil
}

// setCondition changes the condition.
func (p *faultProxy) setCondition(c condition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.condition = c
	if c != reset {
		return
	}
	for conn := range p.conns {
		resetConn(conn)
	}
}

func (p *faultProxy) currentCondition() condition {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.condition
}

// close resets all connections and waits for their goroutines.
func (p *faultProxy) close() {
	_ = p.listener.Close()
	p.setCondition(reset)
	p.wg.Wait()
}

func (p *faultProxy) acceptConns() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if !p.register(client) {
			resetConn(client)
			continue
		}
		p.wg.Go(func() { p.relay(client) })
	}
}

// register adds a connection; it returns false if the proxy resets all connections.
func (p *faultProxy) register(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.condition == reset {
		return false
	}
	p.conns[conn] = true
	return true
}

func (p *faultProxy) closeConn(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
	_ = conn.Close()
}

func (p *faultProxy) relay(client net.Conn) {
	defer p.closeConn(client)
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	if !p.register(target) {
		resetConn(target)
		return
	}
	defer p.closeConn(target)
	var wg sync.WaitGroup
	wg.Go(func() { p.copyOneWay(target, client, false) })
	wg.Go(func() { p.copyOneWay(client, target, true) })
	wg.Wait()
}

// copyOneWay copies from one connection to the other and closes both when either ends.
func (p *faultProxy) copyOneWay(to, from net.Conn, fromTarget bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, proxyBufferBytes)
	discarding := false
	for {
		n, err := from.Read(buffer)
		current := p.currentCondition()
		discarding = discarding || current == dropAll || current == dropResponses && fromTarget
		if current == slow {
			time.Sleep(slowProxyDelay)
		}
		if n > 0 && !discarding {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// resetConn closes a connection with a TCP reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
