package staging

import (
	"context"
	"sync"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/transfer"
)

// throttlePause is the time between two looks for a free slot.
const throttlePause = 20 * time.Millisecond

// throttle keeps the fetches that run at once within slots that follow the width of the host's link.
type throttle struct {
	mu     sync.Mutex
	slots  *transfer.FetchLimiter
	active int
}

func newThrottle(most int) *throttle { return &throttle{slots: transfer.NewFetchLimiter(most)} }

// acquire waits for a slot.
func (t *throttle) acquire(ctx context.Context) error {
	for !t.take() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(throttlePause):
		}
	}
	return nil
}

func (t *throttle) take() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.active >= t.slots.Limit() {
		return false
	}
	t.active++
	return true
}

// release gives the slot back; took is the time of the fetch.
func (t *throttle) release(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active--
	t.slots.RecordDuration(took)
}
