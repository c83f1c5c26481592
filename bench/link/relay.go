// Package link simulates a network link by a TCP relay with a delay, shared rate limits and byte counters.
package link

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"
)

const (
	// maxPacketBytes bounds one read or write of a relay, and so the burst of a rate limit.
	maxPacketBytes = 16 << 10
	// maxQueuedPackets bounds the packets that a relay buffers per direction during the delay.
	maxQueuedPackets = 64
)

// NewLimiter returns a rate limit that several relays can share.
func NewLimiter(bytesPerSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(bytesPerSecond), maxPacketBytes)
}

// Config configures a Relay.
type Config struct {
	// Target is the address that connections are relayed to.
	Target string
	// ConditionsFor returns the conditions of a connection that was accepted from a client.
	ConditionsFor func(client net.Conn) Conditions
}

// Conditions describe the link that a connection passes.
type Conditions struct {
	// Delay is the one-way delay.
	Delay time.Duration
	// Limiters limit the rate from the target to the client.
	Limiters []*rate.Limiter
	// ByteCounters count the bytes from the target to the client.
	ByteCounters []*atomic.Int64
}

// Relay relays connections to a target until it is closed.
type Relay struct {
	cfg      Config
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// New starts a Relay on a loopback address.
func New(cfg Config) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen for a relay")
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relay{cfg: cfg, listener: listener, ctx: ctx, cancel: cancel}
	r.wg.Go(r.acceptConns)
	return r, nil
}

// Addr returns the address that the relay listens on.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Close closes all connections and waits for their goroutines.
func (r *Relay) Close() {
	r.cancel()
	_ = r.listener.Close()
	r.wg.Wait()
}

func (r *Relay) acceptConns() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.wg.Go(func() { r.relay(client) })
	}
}

func (r *Relay) relay(client net.Conn) {
	defer func() { _ = client.Close() }()
	dialer := net.Dialer{}
	target, err := dialer.DialContext(r.ctx, "tcp", r.cfg.Target)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	conditions := r.cfg.ConditionsFor(client)
	stop := context.AfterFunc(r.ctx, func() {
		_ = client.Close()
		_ = target.Close()
	})
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { r.copyOneWay(target, client, Conditions{Delay: conditions.Delay}) })
	wg.Go(func() { r.copyOneWay(client, target, conditions) })
	wg.Wait()
}

// packet is the data of one read and the earliest time at which it is delivered.
type packet struct {
	due  time.Time
	data []byte
}

// copyOneWay copies from one connection to the other under the given conditions, and closes both when either ends.
func (r *Relay) copyOneWay(to, from net.Conn, conditions Conditions) {
	packets := make(chan packet, maxQueuedPackets)
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		defer close(done)
		r.writePackets(to, packets, conditions)
		_ = from.Close()
	})
	r.readPackets(from, packets, done, conditions.Delay)
	close(packets)
	wg.Wait()
	_ = to.Close()
}

func (r *Relay) readPackets(from net.Conn, packets chan<- packet, done <-chan struct{}, delay time.Duration) {
	for {
		data := make([]byte, maxPacketBytes)
		n, err := from.Read(data)
		if n > 0 {
			select {
			case packets <- packet{due: time.Now().Add(delay), data: data[:n]}:
			case <-done:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (r *Relay) writePackets(to io.Writer, packets <-chan packet, conditions Conditions) {
	for p := range packets {
		if err := r.waitToSend(p, conditions.Limiters); err != nil {
			return
		}
		n, err := to.Write(p.data)
		for _, counter := range conditions.ByteCounters {
			counter.Add(int64(n))
		}
		if err != nil {
			return
		}
	}
}

// waitToSend waits until a packet is due and all rate limits allow it.
func (r *Relay) waitToSend(p packet, limiters []*rate.Limiter) error {
	if wait := time.Until(p.due); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-r.ctx.Done():
			return r.ctx.Err()
		}
	}
	var errs error
	for _, limiter := range limiters {
		errs = errors.Join(errs, limiter.WaitN(r.ctx, len(p.data)))
	}
	return errs
}
