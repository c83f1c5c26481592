package control

import (
	"math/rand/v2"
	"time"
)

const (
	// backoffBase is the upper bound of the first wait.
	backoffBase = 400 * time.Millisecond
	// backoffCap is the upper bound of the waits without a Retry-After. After an outage, 22 watchers retry within it, which is
	// about one call per second.
	backoffCap = 20 * time.Second
)

// backoff computes exponentially growing waits with jitter.
type backoff struct {
	random  *rand.Rand
	attempt int
}

// newBackoff returns a backoff with its own random source, so that it needs no lock.
func (n *Node) newBackoff() *backoff {
	n.mu.Lock()
	defer n.mu.Unlock()
	return newBackoff(n.Random.Uint64())
}

func newBackoff(seed uint64) *backoff {
	return &backoff{random: rand.New(rand.NewPCG(seed, 0))}
}

// next returns the wait after another failure. It is never shorter than retryAfter, with jitter added to it so
// that processes which were given the same Retry-After do not retry at the same time.
func (b *backoff) next(retryAfter time.Duration) time.Duration {
	longest := min(backoffBase<<min(b.attempt, 10), backoffCap)
	b.attempt++
	wait := longest/2 + time.Duration(b.random.Int64N(int64(longest/2)))
	if wait < retryAfter {
		wait = retryAfter + time.Duration(b.random.Int64N(int64(retryAfter/2)+1))
	}
	return wait
}

func (b *backoff) reset() { b.attempt = 0 }
