package staging

import (
	"context"
	"sync"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/transfer"
)

// throttle bounds the concurrent fetches by a limit that adapts to the bandwidth of the host's link.
type throttle struct {
	mu      sync.Mutex
	limiter *transfer.FetchLimiter
	active  int
	// freed is closed and replaced when a slot becomes free.
	freed chan struct{}
}

func newThrottle(maxFetches int) *throttle {
	return &throttle{limiter: transfer.NewFetchLimiter(maxFetches), freed: make(chan struct{})}
}

// acquire waits until a slot is free and takes it.
func (t *throttle) acquire(ctx context.Context) error {
	for {
		freed, ok := t.tryAcquire()
		if ok {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-freed:
		}
	}
}

// tryAcquire takes a slot if one is free. Otherwise it returns a channel that is closed when one becomes free.
func (t *throttle) tryAcquire() (freed <-chan struct{}, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.active >= t.limiter.Limit() {
		return t.freed, false
	}
	t.active++
	return nil, true
}

// release frees a slot and records the duration of the fetch; alone is that of a fetch which has the whole link of this host.
func (t *throttle) release(duration, alone time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active--
	t.limiter.RecordDuration(duration, alone)
	close(t.freed)
	t.freed = make(chan struct{})
}
