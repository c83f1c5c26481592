package soak

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// gateBytes is the largest piece that a gate moves at once.
const gateBytes = 16 << 10

// condition is what a gate does with connections.
type condition int

const (
	// pass moves bytes in both directions.
	pass condition = iota
	// slow adds gateDelay to each piece.
	slow
	// oneWay loses what the target sends.
	oneWay
	// silent loses everything; connections that met it stay silent for good.
	silent
	// reset breaks all connections and refuses new ones.
	reset
)

// gateDelay is the delay of a slow gate.
const gateDelay = 150 * time.Millisecond

// gate is a TCP proxy whose condition can change at any time.
type gate struct {
	target   string
	listener net.Listener
	wg       sync.WaitGroup

	mu    sync.Mutex
	state condition
	conns map[net.Conn]bool
}

// openGate listens on address and relays to target.
func openGate(address, target string) (*gate, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "listen for a gate")
	}
	g := &gate{target: target, listener: listener, conns: make(map[net.Conn]bool)}
	g.wg.Go(g.accept)
	return g, nil
}

// set changes the condition.
func (g *gate) set(state condition) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state = state
	if state != reset {
		return
	}
	for conn := range g.conns {
		abort(conn)
	}
}

func (g *gate) current() condition {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state
}

// close ends all connections and waits for them.
func (g *gate) close() {
	_ = g.listener.Close()
	g.set(reset)
	g.wg.Wait()
}

func (g *gate) accept() {
	for {
		client, err := g.listener.Accept()
		if err != nil {
			return
		}
		if !g.add(client) {
			abort(client)
			continue
		}
		g.wg.Go(func() { g.relay(client) })
	}
}

// add registers a connection unless the gate resets all.
func (g *gate) add(conn net.Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state == reset {
		return false
	}
	g.conns[conn] = true
	return true
}

func (g *gate) remove(conn net.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, conn)
	_ = conn.Close()
}

func (g *gate) relay(client net.Conn) {
	defer g.remove(client)
	target, err := net.Dial("tcp", g.target)
	if err != nil {
		return
	}
	if !g.add(target) {
		abort(target)
		return
	}
	defer g.remove(target)
	var wg sync.WaitGroup
	wg.Go(func() { g.move(target, client, false) })
	wg.Go(func() { g.move(client, target, true) })
	wg.Wait()
}

// move copies from one side to the other and closes both when either ends.
func (g *gate) move(to, from net.Conn, answers bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, gateBytes)
	lost := false
	for {
		n, err := from.Read(buffer)
		state := g.current()
		lost = lost || state == silent || state == oneWay && answers
		if state == slow {
			time.Sleep(gateDelay)
		}
		if n > 0 && !lost {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// abort closes a connection with a reset.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
