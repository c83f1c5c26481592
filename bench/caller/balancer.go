package caller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/guavatrestle/guavatrestle/bench/cluster"
)

// readinessInterval is the time between two readiness checks of an entry.
const readinessInterval = 50 * time.Millisecond

// Balancer spreads requests over the ready entries in turn, as the platform's load balancer does.
type Balancer struct {
	entries []*cluster.Process
	ready   []atomic.Bool
	next    atomic.Uint64
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// NewBalancer returns a Balancer over entries, which must be ready, and starts their readiness checks.
func NewBalancer(ctx context.Context, entries ...*cluster.Process) *Balancer {
	ctx, cancel := context.WithCancel(ctx)
	b := &Balancer{entries: entries, ready: make([]atomic.Bool, len(entries)), cancel: cancel}
	for i := range entries {
		b.ready[i].Store(true)
		b.wg.Go(func() { b.watchReadiness(ctx, i) })
	}
	return b
}

// Close ends the readiness checks.
func (b *Balancer) Close() {
	b.cancel()
	b.wg.Wait()
}

// Send builds a request for the next ready entry and sends it. If the request is not sent, Send continues with the other
// entries.
func (b *Balancer) Send(ctx context.Context, c *Caller, build func(base string) Request) Outcome {
	var out Outcome
	for range b.entries {
		i := b.nextReady()
		out = c.Do(ctx, build(b.entries[i].URL()))
		if out.Kind != Unsent {
			return out
		}
		b.ready[i].Store(false)
	}
	return out
}

// nextReady returns the index of the next ready entry in turn, or of the next entry if none is ready.
func (b *Balancer) nextReady() int {
	n := b.next.Add(1)
	for offset := range uint64(len(b.entries)) {
		i := int((n + offset) % uint64(len(b.entries)))
		if b.ready[i].Load() {
			return i
		}
	}
	return int(n % uint64(len(b.entries)))
}

func (b *Balancer) watchReadiness(ctx context.Context, i int) {
	ticker := time.NewTicker(readinessInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			b.ready[i].Store(b.entries[i].Ready(ctx))
		}
	}
}
