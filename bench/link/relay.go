// Package link stands for a network link: a TCP relay with a delay, shared rate limits and byte counters.
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
	// pieceBytes is the largest piece that a relay moves at once.
	pieceBytes = 16 << 10
	// queuedPieces bounds what a relay holds per direction while it delays it.
	queuedPieces = 64
)

// NewLimiter returns a rate limit that several relays can share.
func NewLimiter(bytesPerSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(bytesPerSecond), pieceBytes)
}

// Config describes a relay.
type Config struct {
	// Target is the address that connections are relayed to.
	Target string
	// ConditionsFor returns the conditions of a connection that a client opened.
	ConditionsFor func(client net.Conn) Conditions
}

// Conditions are what a connection meets on its way.
type Conditions struct {
	// Delay is the one-way delay.
	Delay time.Duration
	// Limiters bound the bytes from the target to the client.
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
	r.wg.Go(r.accept)
	return r, nil
}

// Addr returns the address of the relay.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Close ends all connections and waits for them.
func (r *Relay) Close() {
	r.cancel()
	_ = r.listener.Close()
	r.wg.Wait()
}

func (r *Relay) accept() {
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
	path := r.cfg.ConditionsFor(client)
	stop := context.AfterFunc(r.ctx, func() {
		_ = client.Close()
		_ = target.Close()
	})
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { r.move(target, client, Conditions{Delay: path.Delay}) })
	wg.Go(func() { r.move(client, target, path) })
	wg.Wait()
}

type piece struct {
	due  time.Time
	data []byte
}

// move copies from one side to the other with the link's delay, and closes both when either ends.
func (r *Relay) move(to, from net.Conn, path Conditions) {
	pieces := make(chan piece, queuedPieces)
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		defer close(done)
		r.send(to, pieces, path)
		_ = from.Close()
	})
	r.receive(from, pieces, done, path.Delay)
	close(pieces)
	wg.Wait()
	_ = to.Close()
}

func (r *Relay) receive(from net.Conn, pieces chan<- piece, done <-chan struct{}, delay time.Duration) {
	for {
		data := make([]byte, pieceBytes)
		n, err := from.Read(data)
		if n > 0 {
			select {
			case pieces <- piece{due: time.Now().Add(delay), data: data[:n]}:
			case <-done:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (r *Relay) send(to io.Writer, pieces <-chan piece, path Conditions) {
	for p := range pieces {
		if err := r.pace(p, path.Limiters); err != nil {
			return
		}
		n, err := to.Write(p.data)
		for _, counter := range path.ByteCounters {
			counter.Add(int64(n))
		}
		if err != nil {
			return
		}
	}
}

// pace waits until a piece is due and all limits let it pass.
func (r *Relay) pace(p piece, limits []*rate.Limiter) error {
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
	for _, limit := range limits {
		errs = errors.Join(errs, limit.WaitN(r.ctx, len(p.data)))
	}
	return errs
}
