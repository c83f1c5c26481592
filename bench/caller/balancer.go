package caller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/guavatrestle/guavatrestle/bench/cluster"
)

// readyInterval is the time between two readiness checks of an entry.
const readyInterval = 50 * time.Millisecond

// Balancer stands for the platform's load balancer: it spreads requests over the entries that are ready.
type Balancer struct {
	entries []*cluster.Process
	ready   []atomic.Bool
	next    atomic.Uint64
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// NewBalancer returns a Balancer over entries that are ready now; Close ends its checks.
func NewBalancer(ctx context.Context, entries ...*cluster.Process) *Balancer {
	ctx, cancel := context.WithCancel(ctx)
	b := &Balancer{entries: entries, ready: make([]atomic.Bool, len(entries)), cancel: cancel}
	for i := range entries {
		b.ready[i].Store(true)
		b.wg.Go(func() { b.check(ctx, i) })
	}
	return b
}

// Close ends the readiness checks.
func (b *Balancer) Close() {
	b.cancel()
	b.wg.Wait()
}

// Send builds a request for the next ready entry and sends it; a request that no connection took goes to another entry.
func (b *Balancer) Send(ctx context.Context, c *Caller, build func(base string) Request) Outcome {
	var out Outcome
	for range b.entries {
		i := b.pick()
		out = c.Do(ctx, build(b.entries[i].URL()))
		if out.Kind != Unsent {
			return out
		}
		b.ready[i].Store(false)
	}
	return out
}

func (b *Balancer) pick() int {
	n := b.next.Add(1)
	for k := range uint64(len(b.entries)) {
		i := int((n + k) % uint64(len(b.entries)))
		if b.ready[i].Load() {
			return i
		}
	}
	return int(n % uint64(len(b.entries)))
}

func (b *Balancer) check(ctx context.Context, i int) {
	ticker := time.NewTicker(readyInterval)
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
