package staging

import (
	"context"
	"sync"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/transfer"
)

// throttlePollInterval is the time between two checks for a free slot.
const throttlePollInterval = 20 * time.Millisecond

// throttle bounds the concurrent fetches by a limit that adapts to the bandwidth of the host's link.
type throttle struct {
	mu      sync.Mutex
	limiter *transfer.FetchLimiter
	active  int
}

func newThrottle(maxFetches int) *throttle {
	return &throttle{limiter: transfer.NewFetchLimiter(maxFetches)}
}

// acquire waits until a slot is free and takes it.
func (t *throttle) acquire(ctx context.Context) error {
	for !t.tryAcquire() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(throttlePollInterval):
		}
	}
	return nil
}

func (t *throttle) tryAcquire() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.active >= t.limiter.Limit() {
		return false
	}
	t.active++
	return true
}

// release frees a slot and records the duration of its fetch.
func (t *throttle) release(duration time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active--
	t.limiter.RecordDuration(duration)
}
